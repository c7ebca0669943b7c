#ifndef BURDOCKHILL_SRC_CTL_VERB_SUPPORT_H_
#define BURDOCKHILL_SRC_CTL_VERB_SUPPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "burdockhill/src/ctl/verbs.h"
#include "burdockhill/src/entry/configuration_state.h"
#include "burdockhill/src/resources/configuration.h"
#include "burdockhill/src/store/object_store.h"

namespace burdockhill::internal {

// Prints a message to standard error, prefixed with the name of the tool.
void PrintError(const std::string& message);

// Parses the address `value` of an option. If it is invalid, prints an error
// and returns nullopt.
std::optional<Address> ParseAddressOption(const std::string& option,
                                          const std::string& value);

// Prints an error about the unsuccessful call for `what` and returns the exit
// code for it.
int PrintFailure(const CtlAnswer& answer, const std::string& what);

// Parses the resources of a file. If the file cannot be read or a resource is
// invalid, prints an error and returns nullopt.
std::optional<std::vector<ResourceText>> ReadResources(const std::string& path);

// Prints rows in aligned columns. The first row is the header.
void PrintTable(const std::vector<std::vector<std::string>>& rows);

// Gets an object from the platform's store. Returns nullopt on failure;
// `answer` is the response in both cases.
std::optional<StoredObject> FetchObject(CtlClient* client,
                                        const Address& platform,
                                        const ResourceKey& key,
                                        CtlAnswer* answer);

// Creates or overwrites a resource, and tries again if another writer changed
// it in between. Returns its version, or nullopt on failure; `answer` is the
// last response.
std::optional<uint64_t> WriteResource(CtlClient* client,
                                      const Address& platform,
                                      const ResourceText& resource,
                                      CtlAnswer* answer);

// Waits until the writes up to `version` are accepted and in force on all VMs.
// Prints the reason if one is refused, or the VMs that are behind at the
// timeout. Returns an exit code.
int WaitUntilInForce(CtlClient* client, const Address& platform,
                     uint64_t version, Duration timeout);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_CTL_VERB_SUPPORT_H_

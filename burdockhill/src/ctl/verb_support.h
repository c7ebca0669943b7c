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

// Prints a message to standard error, with the name of the tool before it.
void Complain(const std::string& message);

// Parses an address option; complains and returns nullopt if it is wrong.
std::optional<Address> NeedAddress(const std::string& option,
                                   const std::string& value);

// Exit code for an answer that is not what was wanted; complains.
int Failed(const CtlAnswer& answer, const std::string& what);

// Reads the resources of a file; complains and returns nullopt if any is
// wrong or the file cannot be read.
std::optional<std::vector<ResourceText>> ReadResources(const std::string& path);

// Prints rows in columns; the first row is the head.
void PrintTable(const std::vector<std::vector<std::string>>& rows);

// A resource as the platform has it, or nullopt with the failed answer.
std::optional<StoredObject> Fetch(CtlClient* client, const Address& platform,
                                  const ResourceKey& key, CtlAnswer* answer);

// Writes a resource over what is there now, repeating when another writer was
// faster. Returns the new version.
std::optional<uint64_t> Write(CtlClient* client, const Address& platform,
                              const ResourceText& resource, CtlAnswer* answer);

// Waits until the writes up to `version` are decided and in force everywhere.
// Prints why if they are refused or late. Returns an exit code.
int WaitInForce(CtlClient* client, const Address& platform, uint64_t version,
                Duration timeout);

}  // namespace burdockhill::internal

#endif  // BURDOCKHILL_SRC_CTL_VERB_SUPPORT_H_

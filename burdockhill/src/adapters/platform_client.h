#ifndef BURDOCKHILL_SRC_ADAPTERS_PLATFORM_CLIENT_H_
#define BURDOCKHILL_SRC_ADAPTERS_PLATFORM_CLIENT_H_

#include <functional>
#include <string>
#include <utility>

#include "burdockhill/src/http/http_client.h"
#include "burdockhill/src/store/object_store.h"

namespace burdockhill {

// HTTP client for the platform's object store and its list of VMs. See
// docs/platform-api.md. An entry that cannot be read is left out; the others of
// its answer are not affected.
class PlatformClient : public ObjectStore {
 public:
  // Called with a message for the log.
  using Warn = std::function<void(const std::string& message)>;

  PlatformClient(HttpClient* client, const Address& platform, Warn warn)
      : m_client(client), m_platform(platform), m_warn(std::move(warn)) {}

  void Get(const ResourceKey& key, GetDone done) override;
  void Put(const ResourceKey& key, const std::string& value,
           uint64_t expected_version, PutDone done) override;
  void Delete(const ResourceKey& key, uint64_t expected_version,
              PutDone done) override;
  void Watch(const std::vector<std::string>& kinds, uint64_t since,
             WatchDone done) override;
  void ListVms(ListDone done) override;

  // Requests sent so far; a watch counts once.
  uint64_t CallCount() const { return m_call_count; }

 private:
  void SendRequest(
      const std::string& method, const std::string& path,
      const std::string& body,
      std::function<void(StoreStatus, const std::string& body)> done);

  HttpClient* m_client;
  Address m_platform;
  Warn m_warn;
  uint64_t m_call_count = 0;
};

}  // namespace burdockhill

#endif  // BURDOCKHILL_SRC_ADAPTERS_PLATFORM_CLIENT_H_

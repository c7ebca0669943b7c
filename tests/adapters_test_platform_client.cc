// Module adapters: the client of the platform's object store, over loopback
// sockets.

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "burdockhill/adapters.h"
#include "tests/free_port.h"
#include "tests/raw_server.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)

namespace {

std::string Response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Entries that cannot be read.
std::vector<std::string> OddEntries() {
  return {std::string(500, '[') + std::string(500, ']'),
          R"({"kind":"team","name":"x","version":1e400})",
          R"({"kind":"team","name":"x\udcff","version":3})",
          R"({"kind":"team","name":7,"version":3})",
          R"({"role":"agent","name":"x","peers":5})",
          "\"\xff\"",
          "{}",
          "null"};
}

}  // namespace

TEST_GROUP(PlatformClient) {
  const FreePort port;
  EventLoop loop;
  HttpClient http{&loop};
  int warnings = 0;
  PlatformClient client{&http, port.Loopback(),
                        [this](const std::string&) { ++warnings; }};
};

// Guards against one unreadable entry that hides the others of a watch.
TEST(PlatformClient, AnUnreadableObjectCostsOnlyItself) {
  for (const std::string& odd : OddEntries()) {
    const RawServer server(port.Number());
    warnings = 0;
    StoreStatus status = StoreStatus::kUnavailable;
    std::vector<StoredObject> objects;
    bool done = false;
    client.Watch(
        {"team"}, 0,
        [&](StoreStatus result, const std::vector<StoredObject>& changes,
            uint64_t revision) {
          status = result;
          objects = changes;
          done = revision == 9;
        });
    server.Answer(
        &loop,
        Response(R"({"objects":[{"kind":"team","name":"a","version":3},)" +
                 odd + R"(,{"kind":"team","name":"b","version":4}],)" +
                 R"("revision":9})"),
        /*reset=*/false);
    RunUntil(&loop, [&] { return done; });
    CHECK(status == StoreStatus::kOk);
    LONGS_EQUAL(2, objects.size());
    STRCMP_EQUAL("b", objects[1].key.name.c_str());
    LONGS_EQUAL(1, warnings);
  }
}

// Guards against one unreadable VM that hides the others of the list.
TEST(PlatformClient, AnUnreadableVmCostsOnlyItself) {
  for (const std::string& odd : OddEntries()) {
    const RawServer server(port.Number());
    std::vector<ListedVm> vms;
    client.ListVms(
        [&](StoreStatus, const std::vector<ListedVm>& list) { vms = list; });
    server.Answer(
        &loop,
        Response(R"({"vms":[)" + odd +
                 R"(,{"name":"vm","role":"agent","peers":"127.0.0.1:1",)" +
                 R"("zone":"z","region":"r"}]})"),
        /*reset=*/false);
    RunUntil(&loop, [&] { return !vms.empty(); });
    LONGS_EQUAL(1, vms.size());
  }
}

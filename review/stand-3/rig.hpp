// A small deployment: a store, entries, and plain runners of one service. The
// bounds are those of the sheets of both sites in sites/.
#ifndef REVIEW_STAND_3_RIG_HPP_
#define REVIEW_STAND_3_RIG_HPP_

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "stand.hpp"

namespace stand {

constexpr double kDrainS = 2.5;   // drainMs
constexpr double kStableS = 4.0;  // stableMs
constexpr char kHost[] = "ficu95.example";

class Rig {
 public:
  // `argv[1]` is a temporary folder, `argv[2]` the path of record.txt.
  Rig(int argc, char** argv, int entries, int runners) {
    if (argc < 3) CannotRun("usage: FOLDER RECORD");
    OpenRecord(argv[2]);
    Record("trouble: %s", Trouble() ? "yes" : "no");
    std::vector<std::string> ips = {Ip(0, 1)};
    for (int i = 0; i < entries; ++i) ips.push_back(Ip(1, i + 1));
    for (int i = 0; i < runners; ++i) ips.push_back(Ip(2, i + 1));
    const int port = FreePort(ips);
    if (port == 0) CannotRun("no free port");
    const Endpoint store_at{Ip(0, 1), port};
    store.Start(store_at);
    store.Put("config", "main", Manifest());
    for (int i = 0; i < runners; ++i) {
      this->runners.push_back(std::make_unique<Runner>(
          &store, Endpoint{Ip(2, i + 1), port}, "desk", "z1"));
    }
    for (int i = 0; i < entries; ++i) {
      const EntryAddresses entry{Ip(1, i + 1), port, port + 1, port + 2};
      this->entries.push_back(entry);
      daemons.push_back(std::make_unique<Daemon>());
    }
    m_folder = argv[1];
    m_store_at = store_at;
  }
  ~Rig() {
    daemons.clear();
    for (auto& runner : runners) runner->Stop();
    store.Stop();
  }

  // Starts the entries; call once the runners run.
  void StartEntries() {
    for (size_t i = 0; i < entries.size(); ++i) {
      WriteSettings(i);
      if (!daemons[i]->Start(EntryName(i), m_folder)) CannotRun("no daemon");
    }
    const double until = Now() + 10;
    for (const EntryAddresses& entry : entries) {
      while (!IsReady(entry)) {
        if (Now() > until) CannotRun("an entry is not ready");
        SleepFor(0.05);
      }
    }
    Record("all entries are ready");
  }
  // As the platform does at each start, and when the settings change.
  void WriteSettings(size_t entry) {
    Daemon::WriteSettings(
        EntryName(entry), m_folder,
        EntrySettings(entries[entry], m_store_at,
                      seeds.empty() ? std::vector{entries[0].ip} : seeds));
  }
  Endpoint Front(size_t entry) const {
    return {entries[entry].ip, entries[entry].front};
  }

  static void CannotRun(const char* reason) {
    std::fprintf(stderr, "cannot run: %s\n", reason);
    std::exit(2);
  }

  // A safe, an unsafe and a streaming route to the service. `more` is a further
  // route, of which RouteText gives the text.
  static std::string Manifest(int version = 7, const std::string& more = "") {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           RouteText("look", "/look/", "safe") + "," +
           RouteText("book", "/book/", "unsafe") + "," +
           RouteText("digest", "/digest/", "streaming") +
           (more.empty() ? "" : "," + more) +
           R"(],"services":[{"name":"desk","healthPath":"/health",)"
           R"("maxConns":370}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000}})";
  }
  static std::string RouteText(const std::string& name,
                               const std::string& prefix,
                               const std::string& kind) {
    const bool streams = kind == "streaming";
    return R"({"name":")" + name + R"(","host":")" + kHost +
           R"(","pathPrefix":")" + prefix + R"(","service":"desk","kind":")" +
           kind + R"(","timeoutMs":)" + (streams ? "14000" : "5000") +
           R"(,"targetLatencyMs":)" +
           (streams ? R"(900,"targetGapMs":300,"resumable":true)" : "300") +
           R"(,"maxAttempts":2,"priority":2})";
  }

  Store store;
  std::vector<std::unique_ptr<Runner>> runners;
  std::vector<EntryAddresses> entries;
  std::vector<std::unique_ptr<Daemon>> daemons;
  // Of the settings of all entries; the first entry if empty.
  std::vector<std::string> seeds;

 private:
  static std::string EntryName(size_t i) {
    return "entry-" + std::to_string(i + 1);
  }

  std::string m_folder;
  Endpoint m_store_at;
};

}  // namespace stand

#endif  // REVIEW_STAND_3_RIG_HPP_

// While streams run, the manifest adds a more specific route to their service.
// Half of the channels of one entry are reset, and consumers take their streams
// up at another entry.
#include "../stand-3/rig.hpp"

using namespace stand;

int main(int argc, char** argv) {
  Rig rig(argc, argv, /*entries=*/3, /*runners=*/3);
  constexpr int kStreams = 40;
  constexpr int kEvents = 70;
  const auto handler = [&](Runner* /*runner*/, const Message& request) {
    Runner::Reply reply;
    reply.work_s = 0;
    reply.events = kEvents;
    reply.gap_s = 0.11;
    Record("runs %s after event '%s'", request.Get("X-Request-Id").c_str(),
           request.Get("Last-Event-Id").c_str());
    return reply;
  };
  for (size_t i = 0; i < rig.runners.size(); ++i) {
    rig.runners[i]->Start("i-7f3a91c" + std::to_string(i), handler);
  }
  SleepFor(0.3);
  rig.StartEntries();
  Proxy proxy;
  proxy.Start({Ip(3, 1), rig.entries[0].front}, rig.Front(0));
  SleepFor(4.5);

  std::mutex mutex;
  int broken = 0, taken_up = 0, goes_on = 0, joined_wrongly = 0;
  int begun = 0, new_streams = 0;
  std::atomic<bool> stop{false};
  std::vector<std::thread> consumers;
  for (int c = 0; c < kStreams; ++c) {
    consumers.emplace_back([&, c] {
      SleepFor(c * 0.02);
      const std::string path = "/digest/east/" + std::to_string(c);
      const std::string first = "s" + std::to_string(c);
      const double until = Now() + 14;
      auto result = StreamConsumer::Read({Ip(3, 1), rig.entries[0].front}, path,
                                         first, 14000);
      if (result.whole || result.ids.empty()) return;
      int last = result.ids.back();
      {
        const std::lock_guard<std::mutex> lock(mutex);
        ++broken;
        ++taken_up;
      }
      // Taken up at the second entry; after a refusal once more.
      for (int n = 0; n < 2; ++n) {
        const std::string id = first + "-" + std::to_string(n + 1);
        Record("%s takes up %s after event %d", id.c_str(), first.c_str(),
               last);
        result = StreamConsumer::Read(rig.Front(1), path, id,
                                      static_cast<int>((until - Now()) * 1000),
                                      first, last);
        Record("%s is answered %d, %zu events, %s", id.c_str(), result.status,
               result.ids.size(), result.whole ? "whole" : "not whole");
        if (!result.ids.empty()) break;
        SleepFor(2);
      }
      const std::lock_guard<std::mutex> lock(mutex);
      if (!result.ids.empty()) ++goes_on;
      if (!result.ids.empty() && result.ids.front() != last + 1) {
        ++joined_wrongly;
      }
    });
  }
  // New streams at the second entry all the while.
  for (int c = 0; c < 5; ++c) {
    consumers.emplace_back([&, c] {
      for (int n = 0; !stop; ++n) {
        const std::string id =
            "n" + std::to_string(c) + "-" + std::to_string(n);
        const auto result =
            StreamConsumer::Read(rig.Front(1), "/digest/east/" + id, id, 14000);
        const std::lock_guard<std::mutex> lock(mutex);
        ++new_streams;
        if (!result.ids.empty()) ++begun;
      }
    });
  }
  SleepFor(2);
  if (Trouble()) {
    rig.store.Put(
        "config", "main",
        Rig::Manifest(
            8, Rig::RouteText("digest-east", "/digest/east/", "streaming")));
    Record("store: version 8 of the manifest adds a route");
  }
  SleepFor(2.6);
  Record("%d channels of the first entry are reset", proxy.Reset(0.5));
  SleepFor(9);
  stop = true;
  for (std::thread& consumer : consumers) consumer.join();
  for (auto& daemon : rig.daemons) {
    if (!daemon->Runs()) Record("an entry has ended by itself");
  }
  Record(
      "taken up: %d, of which go on: %d; new streams: %d, of which begin: "
      "%d; joined wrongly: %d",
      taken_up, goes_on, new_streams, begun, joined_wrongly);
  std::printf("taken up %d, go on %d; new %d, begin %d\n", taken_up, goes_on,
              new_streams, begun);
  if (taken_up < 12 || begun == 0) Rig::CannotRun("too few streams");
  return 2.0 * goes_on / taken_up < 1.0 * begun / new_streams ? 1 : 0;
}

// Answers of the store are lost for a moment. Later, with the store stable
// again, a runner leaves without having reported `draining`.
#include "../stand-3/rig.hpp"

using namespace stand;

int main(int argc, char** argv) {
  Rig rig(argc, argv, /*entries=*/10, /*runners=*/5);
  std::mutex mutex;
  double removed_at = 0;
  double latest = 0;
  int late = 0;
  int served = 0;
  int lost = 0;  // Orders that have no answer of a runner.
  const auto handler = [&](Runner* runner, const Message& request) {
    Runner::Reply reply;
    reply.work_s = 0.3;  // Of 0.45 at most, in the sheets.
    if (runner->Name() != rig.runners[0]->Name()) return reply;
    const std::lock_guard<std::mutex> lock(mutex);
    if (removed_at > 0 && Now() > removed_at + kDrainS) {
      ++late;
      latest = Now() - removed_at;
      Record("%s reaches %s %.3f s after its entry was removed",
             request.Get("X-Request-Id").c_str(), runner->Name().c_str(),
             latest);
    }
    return reply;
  };
  for (size_t i = 0; i < 3; ++i) {
    rig.runners[i]->Start("i-7f3a91c" + std::to_string(i), handler);
  }
  SleepFor(0.3);
  rig.StartEntries();

  // At each entry, a board of twelve places is refreshed every four seconds, one
  // board after the other.
  constexpr double kRefreshS = 4;
  constexpr int kPlaces = 12;
  const double boards_at = Now();
  std::atomic<bool> stop{false};
  std::vector<std::thread> consumers;
  for (size_t e = 0; e < rig.entries.size(); ++e) {
    const double begin =
        boards_at + kRefreshS * static_cast<double>(e) /
                        static_cast<double>(rig.entries.size());
    for (int place = 0; place < kPlaces; ++place) {
      consumers.emplace_back([&, e, place, begin] {
        Consumer consumer(rig.Front(e));
        for (int n = 0; !stop; ++n) {
          while (Now() < begin + n * kRefreshS && !stop) SleepFor(0.005);
          if (stop) return;
          const std::string id = "e" + std::to_string(e) + "-" +
                                 std::to_string(place) + "-" +
                                 std::to_string(n);
          // Half of the places take an order, too.
          const bool orders = place % 2 == 1;
          const Answer answer =
              consumer.Send(orders ? "POST" : "GET", kHost,
                            (orders ? "/book/" : "/look/") + id, id, 5000);
          const std::lock_guard<std::mutex> lock(mutex);
          if (answer.status == 200) {
            ++served;
          } else {
            Record("%s (%s) is answered %d", id.c_str(),
                   orders ? "order" : "lookup", answer.status);
            if (orders && answer.status != 503) ++lost;
          }
        }
      });
    }
  }
  SleepFor(4);
  // Two runners are added, a little over a second apart.
  rig.runners[3]->Start("i-7f3a91c3", handler);
  SleepFor(1.1);
  if (Trouble()) rig.store.LoseAnswers("servers", 0.3);
  rig.runners[4]->Start("i-7f3a91c4", handler);
  const double added_at = Now();
  SleepFor(0.5);
  if (Trouble() && rig.store.LostAt() == 0) Rig::CannotRun("no answer lost");
  // The store has been without disturbance for longer than stableMs.
  SleepUntil((Trouble() ? rig.store.LostAt() : added_at) + kStableS + 0.2);
  rig.runners[0]->RemoveEntry();
  {
    const std::lock_guard<std::mutex> lock(mutex);
    removed_at = rig.store.RemovedAt(rig.runners[0]->Id());
  }
  // It continues to serve for drainMs and a little longer, and then exits: here
  // 0.2 s after a board was refreshed.
  double exit_at = boards_at + 0.2;
  while (exit_at < removed_at + kDrainS + 0.9) {
    exit_at += kRefreshS / static_cast<double>(rig.entries.size());
  }
  SleepUntil(exit_at);
  rig.runners[0]->Crash();
  SleepFor(1.5);
  stop = true;
  for (std::thread& consumer : consumers) consumer.join();
  Record(
      "served: %d; later than drainMs: %d, the last after %.3f s; orders "
      "lost: %d",
      served, late, latest, lost);
  std::printf("later than drainMs: %d; orders lost: %d\n", late, lost);
  if (served < 100) Rig::CannotRun("hardly anything was served");
  return late > 0 ? 1 : 0;
}

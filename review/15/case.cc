// A runner asks an entry for a pause; its registration lapses for a moment.
#include "../stand-3/rig.h"

using namespace stand;

int main(int argc, char** argv) {
  Rig rig(argc, argv, /*entries=*/1, /*runners=*/3);
  constexpr double kPauseS = 12;
  std::mutex mutex;
  double asked_at = 0;   // When the pause was asked for.
  int during_pause = 0;  // Requests that reached the runner too early.
  int served = 0;
  std::atomic<bool> asks{false};
  const auto handler = [&](Runner* runner, const Message& request) {
    Runner::Reply reply;
    const std::lock_guard<std::mutex> lock(mutex);
    const double now = Now();
    const std::string id = request.Get("X-Request-Id");
    if (runner->Name() != rig.runners[0]->Name()) return reply;
    if (asked_at == 0 && asks) {
      asked_at = now;
      Record("%s turns %s away, Retry-After %.0f", runner->Name().c_str(),
             id.c_str(), kPauseS);
      // Full just now. What comes all the same is served.
      reply.status = 503;
      reply.ran = false;
      reply.work_s = 0;
      reply.headers.emplace_back("Retry-After",
                                 std::to_string(static_cast<int>(kPauseS)));
    } else if (asked_at > 0 && now > asked_at + 0.5 &&
               now < asked_at + kPauseS) {
      ++during_pause;
      Record("%s reaches %s %.3f s after it asked for a pause of %.0f s",
             id.c_str(), runner->Name().c_str(), now - asked_at, kPauseS);
    }
    return reply;
  };
  for (size_t i = 0; i < rig.runners.size(); ++i) {
    rig.runners[i]->Start("i-7f3a91c" + std::to_string(i), handler);
  }
  SleepFor(0.3);
  rig.StartEntries();

  std::atomic<bool> stop{false};
  std::vector<std::thread> consumers;
  for (int c = 0; c < 8; ++c) {
    consumers.emplace_back([&, c] {
      Consumer consumer(rig.Front(0));
      for (int n = 0; !stop; ++n) {
        const std::string id =
            "c" + std::to_string(c) + "-" + std::to_string(n);
        const Answer answer =
            consumer.Send("GET", kHost, "/look/" + id, id, 5000);
        if (answer.status == 200) {
          const std::lock_guard<std::mutex> lock(mutex);
          ++served;
        } else {
          Record("%s is answered %d", id.c_str(), answer.status);
        }
        SleepFor(0.04);
      }
    });
  }
  SleepFor(6);
  asks = true;
  while (Now() < 30) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (asked_at > 0) break;
  }
  if (asked_at == 0) Rig::CannotRun("the runner got no request");
  if (Trouble()) {
    SleepFor(1);
    rig.runners[0]->SetReachesStore(false);
    Record("the runner does not reach the store");
    SleepFor(5);
    rig.runners[0]->SetReachesStore(true);
    Record("the runner reaches the store again");
  }
  SleepUntil(asked_at + kPauseS + 1);
  stop = true;
  for (std::thread& consumer : consumers) consumer.join();
  if (!rig.daemons[0]->Runs()) Record("the entry has ended by itself");
  Record("served: %d; requests that reached the runner during its pause: %d",
         served, during_pause);
  std::printf("during the pause: %d (more than 2 break the rule)\n",
              during_pause);
  if (served < 200) Rig::CannotRun("hardly anything was served");
  return during_pause > 2 ? 1 : 0;
}

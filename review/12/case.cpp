// A request crashes each runner that begins to run it, and comes again at one
// entry after the other. The entries that the others have as seeds are lost.
#include <csignal>
#include <set>

#include "../stand-3/rig.hpp"

using namespace stand;

int main(int argc, char** argv) {
  constexpr size_t kSeeds = 3;
  Rig rig(argc, argv, /*entries=*/6, /*runners=*/3);
  for (size_t i = 0; i < kSeeds; ++i) rig.seeds.push_back(rig.entries[i].ip);
  constexpr double kBackS = 2.5;
  constexpr double kComesAgainS = 3;
  std::mutex mutex;
  std::set<std::string> crashed;  // Runners, by id.
  double third_at = 0;            // When the request had crashed the third.
  int arrivals = 0;
  int late = 0;  // Retries later than stableMs after that.
  int served = 0;
  int lost = 0;       // Orders of others that have no answer of a runner.
  int lost_late = 0;  // Of these, later than stableMs after the third crash.
  std::vector<std::pair<double, Runner*>> back;  // When to start again.
  Runner::Handler handler;
  handler = [&](Runner* runner, const Message& request) {
    Runner::Reply reply;
    reply.work_s = 0.06;
    if (request.Target() != "/book/harm") return reply;
    reply.crash = true;
    const std::lock_guard<std::mutex> lock(mutex);
    ++arrivals;
    crashed.insert(runner->Id());
    const bool is_late = third_at > 0 && Now() > third_at + kStableS;
    if (is_late) ++late;
    Record("%s reaches %s (%s), which crashes; arrival %d%s",
           request.Get("X-Request-Id").c_str(), runner->Name().c_str(),
           runner->Id().c_str(), arrivals, is_late ? ", late" : "");
    if (third_at == 0 && crashed.size() == 3) third_at = Now();
    back.emplace_back(Now() + kBackS, runner);
    return reply;
  };
  // Each start of a runner has a new id.
  const auto start = [&](size_t i) {
    rig.runners[i]->Start("i-7f3a91c" + std::to_string(i) +
                              std::to_string(rig.runners[i]->Lifetime()),
                          handler);
  };
  for (size_t i = 0; i < rig.runners.size(); ++i) start(i);
  SleepFor(0.3);
  rig.StartEntries();

  std::atomic<bool> stop{false};
  std::thread keeper([&] {
    while (!stop) {
      SleepFor(0.01);
      Runner* due = nullptr;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!back.empty() && Now() >= back.front().first) {
          due = back.front().second;
          back.erase(back.begin());
        }
      }
      for (size_t i = 0; i < rig.runners.size(); ++i) {
        if (rig.runners[i].get() == due) start(i);
      }
    }
  });
  SleepFor(3);
  if (Trouble()) {
    for (size_t i = 0; i < kSeeds; ++i) rig.daemons[i]->Kill();
    Record("the %zu entries that are seeds are lost for good", kSeeds);
    SleepFor(1);
    // The platform names other seeds to those that are left.
    rig.seeds.clear();
    for (size_t i = kSeeds; i < rig.entries.size(); ++i) {
      rig.seeds.push_back(rig.entries[i].ip);
    }
    for (size_t i = kSeeds; i < rig.entries.size(); ++i) {
      rig.WriteSettings(i);
      rig.daemons[i]->Signal(SIGHUP);
    }
    Record("the settings of the others name them as seeds; SIGHUP");
  }
  std::vector<std::thread> consumers;
  for (size_t c = 0; c < 6; ++c) {
    consumers.emplace_back([&, c] {
      Consumer consumer(rig.Front(kSeeds + c % 3));
      for (int n = 0; !stop; ++n) {
        const std::string id =
            "c" + std::to_string(c) + "-" + std::to_string(n);
        const Answer answer =
            consumer.Send("POST", kHost, "/book/" + id, id, 5000, "order");
        {
          const std::lock_guard<std::mutex> lock(mutex);
          if (answer.status == 200) {
            ++served;
          } else {
            Record("%s is answered %d", id.c_str(), answer.status);
            if (answer.status != 503) ++lost;
            if (answer.status != 503 && third_at > 0 &&
                answer.ended_at > third_at + kStableS) {
              ++lost_late;
            }
          }
        }
        SleepFor(0.25);
      }
    });
  }
  // All that is left has been in touch for longer than stableMs.
  SleepFor(kStableS + 1);
  for (size_t n = 0; n < 15; ++n) {
    const std::string id = "h-" + std::to_string(n);
    Consumer consumer(rig.Front(kSeeds + n % 3));
    const double begin = Now();
    const Answer answer =
        consumer.Send("POST", kHost, "/book/harm", id, 2000, "harm");
    Record("%s is answered %d", id.c_str(), answer.status);
    SleepUntil(begin + kComesAgainS);
  }
  stop = true;
  for (std::thread& consumer : consumers) consumer.join();
  keeper.join();
  for (size_t i = kSeeds; i < rig.entries.size(); ++i) {
    if (!rig.daemons[i]->Runs()) Record("an entry has ended by itself");
  }
  Record(
      "served: %d; crashes: %d; the third at %.3f; retries later than "
      "stableMs after it: %d; orders of others lost: %d",
      served, arrivals, third_at, late, lost);
  std::printf(
      "late retries: %d (more than 3 break the rule); orders lost: %d\n", late,
      lost);
  if (served < 100) Rig::CannotRun("hardly anything was served");
  return late > 3 ? 1 : 0;
}

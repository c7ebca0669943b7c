// A request crashes each runner that begins to run it. The runners are back
// after some seconds, under the ids that they had.
#include <random>
#include <set>

#include "../stand-3/rig.hpp"

using namespace stand;

int main(int argc, char** argv) {
  Rig rig(argc, argv, /*entries=*/2, /*runners=*/3);
  constexpr double kBackS = 2;
  constexpr double kComesAgainS = 2.5;
  std::mutex mutex;
  std::set<std::string> crashed;  // Runners, by address.
  double third_at = 0;            // When it had crashed the third.
  int arrivals = 0;
  int late = 0;  // Retries later than stableMs after that.
  int served = 0;
  int lost = 0;  // Orders of others that have no answer of a runner.
  std::vector<std::pair<double, Runner*>> back;  // When to start again.
  Runner::Handler handler;
  handler = [&](Runner* runner, const Message& request) {
    Runner::Reply reply;
    reply.work_s = 0.45;
    if (request.Target() != "/book/harm") return reply;
    reply.crash = true;
    const std::lock_guard<std::mutex> lock(mutex);
    ++arrivals;
    crashed.insert(runner->Name());
    if (third_at > 0 && Now() > third_at + kStableS) ++late;
    Record("%s reaches %s (%s), which crashes; arrival %d%s",
           request.Get("X-Request-Id").c_str(), runner->Name().c_str(),
           runner->Id().c_str(), arrivals,
           third_at > 0 && Now() > third_at + kStableS ? ", late" : "");
    if (third_at == 0 && crashed.size() == 3) third_at = Now();
    back.emplace_back(Now() + kBackS, runner);
    return reply;
  };
  const auto start = [&](size_t i) {
    // Without the disruption each start has a new id.
    const int start = Trouble() ? 0 : rig.runners[i]->Lifetime();
    rig.runners[i]->Start(
        "i-7f3a91c" + std::to_string(i) + std::to_string(start), handler);
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
  std::vector<std::thread> consumers;
  // A quiet hour: one order after the other at each entry, with pauses.
  for (int c = 0; c < 2; ++c) {
    consumers.emplace_back([&, c] {
      Consumer consumer(rig.Front(static_cast<size_t>(c % 2)));
      std::mt19937 random(static_cast<unsigned>(c + 1));
      std::uniform_real_distribution<double> pause(1, 3);
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
          }
        }
        SleepFor(pause(random));
      }
    });
  }
  SleepFor(3);
  for (int n = 0; n < 28; ++n) {
    const std::string id = "h-" + std::to_string(n);
    Consumer consumer(rig.Front(static_cast<size_t>(n % 2)));
    const double begin = Now();
    const Answer answer =
        consumer.Send("POST", kHost, "/book/harm", id, 2000, "harm");
    Record("%s is answered %d", id.c_str(), answer.status);
    SleepUntil(begin + kComesAgainS);
  }
  stop = true;
  for (std::thread& consumer : consumers) consumer.join();
  keeper.join();
  Record(
      "served: %d; crashes: %d; the third runner at %.3f; later than "
      "stableMs after it: %d; orders of others lost: %d",
      served, arrivals, third_at, late, lost);
  std::printf(
      "late retries: %d (more than 3 break the rule); orders lost: %d\n", late,
      lost);
  if (served < 20) Rig::CannotRun("hardly anything was served");
  return late > 3 ? 1 : 0;
}

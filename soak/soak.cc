// Environment of the daemons in a soak test: the store, upstreams behind
// fault-injecting proxies, and callers. Checks at the end what callers and
// upstreams saw. soak/run starts the daemons and sends them signals.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <sstream>

#include "burdockhill/src/transport/event_loop.h"
#include "burdockhill/src/transport/tcp_sockets.h"
#include "soak/callers.h"
#include "soak/checks.h"
#include "soak/daemon_memory.h"
#include "soak/environment.h"
#include "soak/signals.h"
#include "soak/upstreams.h"

ABSL_FLAG(uint64_t, seed, 1, "Seed of the faults and the load.");
ABSL_FLAG(int, seconds, 15, "Duration of the load.");
ABSL_FLAG(int, entries, 2, "Entries that soak/run has started.");
ABSL_FLAG(int, engines, 4, "Engines, whose agents soak/run has started.");
ABSL_FLAG(int, net, 0,
          "Second number of the loopback addresses, 127.NET.x.y; runs with "
          "different ones do not disturb each other.");
ABSL_FLAG(double, rate, 12, "Requests per second.");
ABSL_FLAG(int, memory_mb, 110, "Memory that a daemon may use.");
ABSL_FLAG(std::string, classes, "",
          "What the run plays besides, separated by spaces; see soak/run.");
ABSL_FLAG(bool, calm, false,
          "Plays no other faults than those of the classes, and changes of the "
          "configuration.");
ABSL_FLAG(
    std::string, signals, "",
    "File to which soak/run writes the signals that it sends, a line each: "
    "the daemon's name, the signal and the time.");

namespace burdockhill::soak {
namespace {

// Time in which the daemons start and read the store for the first time.
// Without that they can serve nothing.
constexpr Duration kStartTime = std::chrono::milliseconds(2500);
// Time from the last fault to the check. Longer than the timeout of every
// request, so that all requests have ended.
constexpr Duration kCheckDelay = std::chrono::seconds(12);
// Time from the last fault until requests to the newest route must succeed: the
// last graceful stop is over, restarted entries have reached the store, and all
// have the configuration.
constexpr Duration kSettleDelay = std::chrono::seconds(9);
// One interval of this many begins or ends a fault, so two in a second.
constexpr Duration kFaultInterval = std::chrono::milliseconds(10);
constexpr uint64_t kIntervalsPerFault = 50;
constexpr size_t kBufferLimit = size_t{1} << 30;
// Of the limit of a daemon. The upstreams stop to send then, for the machine.
constexpr int64_t kMaxTimesMemory = 4;

class Soak {
 public:
  int Run() {
    // The limit of a process is that of the daemons alone.
    m_loop.Buffers().SetLimit(kBufferLimit);
    const TimePoint start = m_clock.Now();
    Duration fault_time = kStartTime;
    for (Duration elapsed{0}; elapsed < m_environment.load_time;
         elapsed = m_clock.Now() - start) {
      RunIteration();
      m_callers.SendDue(elapsed);
      // The choices do not depend on how often this loop runs.
      for (; fault_time < elapsed; fault_time += kFaultInterval) {
        if (m_random.UniformBelow(kIntervalsPerFault) == 0) {
          m_upstreams.InjectFault();
        }
      }
    }
    m_upstreams.EndFaults();
    const TimePoint cleared_at = m_clock.Now();
    while (m_clock.Now() - cleared_at < kSettleDelay) RunIteration();
    m_callers.AskAfterFaults();
    while (m_clock.Now() - cleared_at < kCheckDelay) RunIteration();
    return CheckResults(m_environment, m_signals, m_callers, m_memory,
                        &m_upstreams);
  }

 private:
  Environment ReadEnvironment() {
    Environment environment;
    environment.seed = absl::GetFlag(FLAGS_seed);
    environment.load_time = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    environment.entries = absl::GetFlag(FLAGS_entries);
    environment.engines = absl::GetFlag(FLAGS_engines);
    environment.net = absl::GetFlag(FLAGS_net);
    environment.rate = absl::GetFlag(FLAGS_rate);
    std::istringstream classes(absl::GetFlag(FLAGS_classes));
    for (std::string name; classes >> name;) environment.classes.insert(name);
    environment.is_calm = absl::GetFlag(FLAGS_calm);
    environment.sockets = &m_sockets;
    environment.queue = &m_queue;
    environment.clock = &m_clock;
    return environment;
  }

  void RunIteration() {
    m_loop.WakeAfter(std::chrono::milliseconds(5));
    m_loop.RunOnce();
    m_queue.RunUntil(
        m_started_at + (m_system_clock.Now() - m_system_started_at), [] {});
    for (const Signals::Signal& signal : m_signals.ReadNew()) {
      m_callers.OnStopSignal(signal);
    }
    m_upstreams.Tick();
    m_callers.Tick();
    m_memory.Tick();
    if (m_memory.WorstMb() > kMaxTimesMemory * m_memory.LimitMb()) {
      m_upstreams.EndEndless();
    }
    m_sockets.CheckTimeouts(m_system_clock.Now());
  }

  SystemClock m_system_clock;
  // Advances as the system clock does, one event-loop iteration behind. The two
  // start at different times: the system clock counts from the machine's boot.
  ManualClock m_clock;
  TimePoint m_system_started_at = m_system_clock.Now();
  TimePoint m_started_at = m_clock.Now();
  EventLoop m_loop;
  TcpSockets m_sockets{&m_loop};
  emulation::EventQueue m_queue{&m_clock};
  Environment m_environment = ReadEnvironment();
  Random m_random{m_environment.seed + 2};
  Signals m_signals{absl::GetFlag(FLAGS_signals), &m_clock};
  DaemonMemory m_memory{&m_clock, absl::GetFlag(FLAGS_memory_mb)};
  Upstreams m_upstreams{m_environment};
  Callers m_callers{m_environment, m_upstreams};
};

}  // namespace
}  // namespace burdockhill::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return burdockhill::soak::Soak().Run() == 0 ? 0 : 1;
}

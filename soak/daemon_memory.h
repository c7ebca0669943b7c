#ifndef BURDOCKHILL_SOAK_DAEMON_MEMORY_H_
#define BURDOCKHILL_SOAK_DAEMON_MEMORY_H_

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <string>

#include "burdockhill/src/base/clock.h"

namespace burdockhill::soak {

// The resident memory of the daemons that soak/run has started, which are
// children of the same process as this one.
class DaemonMemory {
 public:
  DaemonMemory(const Clock* clock, int limit_mb)
      : m_clock(clock), m_limit_mb(limit_mb) {}

  void Tick() {
    if (m_clock->Now() < m_next_at) return;
    m_next_at = m_clock->Now() + kInterval;
    const std::string parent = std::to_string(getppid());
    std::ifstream children("/proc/" + parent + "/task/" + parent + "/children");
    for (std::string pid; children >> pid;) Read("/proc/" + pid);
  }

  // The most of each daemon, by its settings.
  const std::map<std::string, int64_t>& MostKb() const { return m_most_kb; }
  int64_t WorstMb() const {
    int64_t worst = 0;
    for (const auto& [name, kb] : m_most_kb) worst = std::max(worst, kb >> 10);
    return worst;
  }
  int LimitMb() const { return m_limit_mb; }

 private:
  static constexpr Duration kInterval = std::chrono::milliseconds(100);

  void Read(const std::string& process) {
    std::ifstream status(process + "/status");
    std::string value;
    status >> value >> value;
    if (value != "burdockhilld") return;
    std::string settings;
    std::ifstream command(process + "/cmdline");
    std::getline(command, settings, '\0');
    std::getline(command, settings, '\0');
    settings = settings.substr(settings.rfind('/') + 1);
    while (status >> value) {
      if (value != "VmRSS:") continue;
      int64_t kb = 0;
      status >> kb;
      m_most_kb[settings] = std::max(m_most_kb[settings], kb);
      return;
    }
  }

  const Clock* m_clock;
  int m_limit_mb;
  TimePoint m_next_at{};
  std::map<std::string, int64_t> m_most_kb;
};

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_DAEMON_MEMORY_H_

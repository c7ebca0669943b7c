#ifndef BURDOCKHILL_SOAK_SIGNALS_H_
#define BURDOCKHILL_SOAK_SIGNALS_H_

#include <fstream>
#include <string>
#include <vector>

#include "burdockhill/src/base/clock.h"

namespace burdockhill::soak {

// What soak/run has done to the daemons. Its file has a line each: the daemon's
// name, the signal or START, and the microsecond of the Unix time.
class Signals {
 public:
  struct Signal {
    std::string daemon;
    std::string name;
    TimePoint at;
  };

  Signals(const std::string& path, const Clock* clock)
      : m_file(path), m_clock(clock) {}

  // Reads the lines that have been added, and returns them.
  std::vector<Signal> ReadNew() {
    std::vector<Signal> added;
    Signal signal;
    int64_t unix_us = 0;
    m_file.clear();
    while (m_file >> signal.daemon >> signal.name >> unix_us) {
      const std::chrono::system_clock::time_point at{Duration(unix_us)};
      signal.at = m_clock->Now() - std::chrono::duration_cast<Duration>(
                                       std::chrono::system_clock::now() - at);
      added.push_back(signal);
    }
    m_signals.insert(m_signals.end(), added.begin(), added.end());
    return added;
  }

  // Whether the daemon got one of these signals, separated by spaces, in that
  // time.
  bool Got(const std::string& daemon, const std::string& names, TimePoint from,
           TimePoint to) const {
    for (const Signal& signal : m_signals) {
      if (signal.daemon == daemon && signal.at >= from && signal.at <= to &&
          (" " + names + " ").find(" " + signal.name + " ") !=
              std::string::npos) {
        return true;
      }
    }
    return false;
  }
  // The last signal before that time which starts or ends the daemon.
  std::string Last(const std::string& daemon, TimePoint until) const {
    std::string last;
    for (const Signal& signal : m_signals) {
      const bool counts = signal.name != "HUP" && signal.name != "CONT";
      if (signal.daemon == daemon && signal.at <= until && counts) {
        last = signal.name;
      }
    }
    return last;
  }
  bool EverGot(const std::string& daemon, const std::string& names) const {
    return Got(daemon, names, TimePoint::min(), TimePoint::max());
  }

 private:
  std::ifstream m_file;
  const Clock* m_clock;
  std::vector<Signal> m_signals;
};

// Names of the daemons, which are numbered from 0 in the program and from 1 in
// the file.
inline std::string EntryName(int i) { return "entry-" + std::to_string(i + 1); }
inline std::string AgentName(int i) { return "agent-" + std::to_string(i + 1); }

}  // namespace burdockhill::soak

#endif  // BURDOCKHILL_SOAK_SIGNALS_H_

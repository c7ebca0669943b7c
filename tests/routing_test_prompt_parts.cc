// Module routing: prompt parts that crash upstreams.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "burdockhill/src/base/random.h"
#include "tests/routing_test_support.h"

using namespace burdockhill;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Parts = std::vector<PromptPartName>;

Parts MakeParts(const std::vector<std::string>& names) {
  Parts parts;
  for (const std::string& name : names) parts.emplace_back(name);
  return parts;
}

}  // namespace

TEST_GROUP(PromptPartQuarantine) {
  void Crash(const std::vector<std::string>& parts,
             const std::string& upstream) {
    m_quarantine.RecordCrash({MakeParts(parts), UpstreamName(upstream), m_now},
                             m_now);
    m_now += milliseconds(800);
  }
  void Answer(const std::vector<std::string>& parts) {
    m_quarantine.RecordSoundAnswer(MakeParts(parts), m_now);
    m_now += milliseconds(100);
  }
  bool MustRefuse(const std::vector<std::string>& parts) {
    return m_quarantine.MustRefuse(MakeParts(parts), m_now);
  }

  TimePoint m_now{seconds(100)};
  PromptPartQuarantine m_quarantine;
};

TEST(PromptPartQuarantine, RefusesAPartAfterItsThirdCrash) {
  Crash({"a", "bad"}, "x");
  Crash({"b", "bad"}, "y");
  CHECK_FALSE(MustRefuse({"a", "bad"}));
  Crash({"c", "bad"}, "z");
  CHECK(MustRefuse({"d", "bad"}));
  CHECK(MustRefuse({"bad"}));
  CHECK_FALSE(MustRefuse({"a", "b", "c"}));
  CHECK_FALSE(MustRefuse({}));
}

TEST(PromptPartQuarantine, ServesSoundPromptsThatShareOtherParts) {
  for (const char* upstream : {"x", "y", "z"}) Crash({"a", "bad"}, upstream);
  CHECK(MustRefuse({"a", "bad"}));
  CHECK_FALSE(MustRefuse({"a"}));
  // Its answer shows which of the two it is.
  Answer({"a"});
  CHECK(MustRefuse({"bad"}));
  CHECK_FALSE(MustRefuse({"a", "c"}));
}

TEST(PromptPartQuarantine, AnswersBetweenCrashesKeepASharedPartServed) {
  for (const char* upstream : {"x", "y", "z", "v", "w"}) {
    Crash({"shared", "bad"}, upstream);
    Answer({"shared"});
  }
  CHECK_FALSE(MustRefuse({"shared"}));
  CHECK(MustRefuse({"shared", "bad"}));
}

TEST(PromptPartQuarantine, ReportsOfOneCrashCountOnce) {
  for (int entry = 0; entry < 5; ++entry) {
    m_quarantine.AddReport({PromptPartName("p"), UpstreamName("x"),
                            m_now + milliseconds(20 * entry)},
                           m_now);
  }
  m_now += seconds(5);
  CHECK_FALSE(MustRefuse({"p"}));
}

TEST(PromptPartQuarantine, CrashesOfARestartedUpstreamCountEach) {
  for (int restart = 0; restart < 3; ++restart) {
    Crash({"bad"}, "x");
    m_now += seconds(2);
  }
  CHECK(MustRefuse({"bad"}));
}

TEST(PromptPartQuarantine, ALateReportDoesNotOutweighALaterAnswer) {
  const TimePoint crashed_at = m_now;
  m_now += seconds(2);
  Answer({"shared"});
  for (const char* upstream : {"x", "y", "z"}) {
    CHECK_FALSE(m_quarantine.AddReport(
        {PromptPartName("shared"), UpstreamName(upstream), crashed_at}, m_now));
  }
  CHECK_FALSE(MustRefuse({"shared"}));
  // The sender is told once.
  LONGS_EQUAL(1, m_quarantine.DrainReports().size());
}

TEST(PromptPartQuarantine, APartThatIsStillAskedForStaysRefused) {
  for (const char* upstream : {"x", "y", "z"}) Crash({"bad"}, upstream);
  for (int minute = 0; minute < 60; ++minute) {
    m_now += std::chrono::minutes(1);
    m_quarantine.Tick(m_now);
    CHECK(MustRefuse({"bad"}));
  }
  m_now += std::chrono::minutes(11);
  m_quarantine.Tick(m_now);
  CHECK_FALSE(MustRefuse({"bad"}));
}

TEST(PromptPartQuarantine, TakesBoundedMemory) {
  for (int crash = 0; crash < 100; ++crash) {
    std::vector<std::string> names;
    names.reserve(1000);
    for (int i = 0; i < 1000; ++i) {
      names.push_back(std::to_string(crash) + "-" + std::to_string(i));
    }
    Crash(names, "x" + std::to_string(crash));
    m_quarantine.DrainReports();
  }
  CHECK(m_quarantine.AllCrashes().size() <= 4096);
}

namespace {

// A fleet of entries, each with its own quarantine, before engines that crash
// on a part of some prompts. Reports are flooded over connections to three
// seeds.
class TaintedFleet {
 public:
  struct Options {
    int entries = 6;
    int engines = 7;
    double requests_per_second = 10;
    double harmful_share = 0.05;
    // Whether sound prompts begin with the first part of the harmful ones.
    bool first_part_is_shared = true;
    // An engine crashes this often without a prompt's fault; zero for never.
    Duration crash_interval{0};
    uint64_t seed = 1;
  };

  explicit TaintedFleet(const Options& options)
      : m_options(options), m_random(options.seed) {
    for (int i = 0; i < options.entries; ++i) m_entries.emplace_back();
    m_engines.resize(static_cast<size_t>(options.engines));
  }

  void RunFor(Duration time) {
    const TimePoint end = m_now + time;
    double due = 0;
    TimePoint next_crash = m_now + m_options.crash_interval;
    while (m_now < end) {
      m_now += kStep;
      due += m_options.requests_per_second *
             std::chrono::duration<double>(kStep).count();
      for (; due >= 1; --due) SendRequest();
      if (m_options.crash_interval > Duration(0) && m_now >= next_crash) {
        next_crash = m_now + m_options.crash_interval;
        CrashEngine(m_random.NextId() % m_engines.size());
      }
      RunActions();
      Flood();
    }
  }

  // Harmful requests that engines got later than 4 s after the fifth crash.
  int harmful_after_bound = 0;
  int harmful_crashes = 0;
  int sound_requests = 0;
  int sound_refused = 0;

 private:
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kPrefillTime = milliseconds(150);
  static constexpr Duration kTimeToCrash = milliseconds(95);
  static constexpr Duration kRestartTime = seconds(3);
  static constexpr Duration kBound = seconds(4);
  static constexpr Duration kAnswerTime = seconds(4);
  static constexpr int64_t kMaxConfirmationMs = 4000;
  static constexpr int kDocuments = 40;

  struct Run {
    size_t entry = 0;
    size_t engine = 0;
    Parts parts;
    TimePoint started_at{};
    bool is_sound = false;
  };
  struct Engine {
    int restarts = 0;
    TimePoint down_until{};
  };

  void Schedule(Duration delay, std::function<void()> action) {
    m_actions.emplace(m_now + delay, std::move(action));
  }
  void RunActions() {
    while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
      const auto action = std::move(m_actions.begin()->second);
      m_actions.erase(m_actions.begin());
      action();
    }
  }
  size_t Pick(size_t count) { return m_random.NextId() % count; }

  void SendRequest() {
    const bool harmful =
        static_cast<double>(Pick(10000)) < 10000 * m_options.harmful_share;
    const std::string document = "doc" + std::to_string(Pick(kDocuments));
    Parts parts = MakeParts({"first", document});
    if (harmful) parts = MakeParts({"first", "bad", document});
    if (!harmful && !m_options.first_part_is_shared) {
      parts = MakeParts({"other", document});
    }
    const size_t entry = Pick(m_entries.size());
    sound_requests += harmful ? 0 : 1;
    if (m_entries[entry].MustRefuse(parts, m_now)) {
      sound_refused += harmful ? 0 : 1;
      return;
    }
    const size_t engine = Pick(m_engines.size());
    if (m_engines[engine].down_until > m_now) return;
    if (harmful && harmful_crashes >= 5 && m_now > m_fifth_crash_at + kBound) {
      ++harmful_after_bound;
    }
    const uint64_t id = ++m_last_run;
    m_runs[id] = {entry, engine, parts, m_now, false};
    if (harmful) {
      Schedule(kPrefillTime + kTimeToCrash, [this, id, engine] {
        if (!m_runs.contains(id)) return;
        if (++harmful_crashes == 5) m_fifth_crash_at = m_now;
        CrashEngine(engine);
      });
      return;
    }
    Schedule(kPrefillTime + PromptPartQuarantine::kSoundAnswerTime, [this, id] {
      const auto run = m_runs.find(id);
      if (run == m_runs.end()) return;
      run->second.is_sound = true;
      m_entries[run->second.entry].RecordSoundAnswer(run->second.parts,
                                                     run->second.started_at);
    });
    Schedule(kAnswerTime, [this, id] { m_runs.erase(id); });
  }

  void CrashEngine(size_t index) {
    Engine& engine = m_engines[index];
    const UpstreamName name(std::to_string(index) + "-" +
                            std::to_string(engine.restarts++));
    engine.down_until = m_now + kRestartTime;
    std::map<size_t, Duration> confirmation;  // Of each entry.
    for (auto it = m_runs.begin(); it != m_runs.end();) {
      const Run& run = it->second;
      if (run.engine != index) {
        ++it;
        continue;
      }
      const auto delay = confirmation.try_emplace(
          run.entry,
          milliseconds(static_cast<int64_t>(Pick(kMaxConfirmationMs))));
      if (!run.is_sound) {
        const PromptCrash crash{run.parts, name, m_now};
        const size_t entry = run.entry;
        Schedule(delay.first->second, [this, entry, crash] {
          m_entries[entry].RecordCrash(crash, m_now);
        });
      }
      it = m_runs.erase(it);
    }
  }

  void Flood() {
    for (size_t i = 0; i < m_entries.size(); ++i) {
      for (const PromptPartReport& report : m_entries[i].DrainReports()) {
        Send(i, i, report);
      }
    }
  }
  // To all neighbours of `from`, but not back to `origin`.
  void Send(size_t from, size_t origin, const PromptPartReport& report) {
    constexpr size_t kSeeds = 3;
    for (size_t to = 0; to < m_entries.size(); ++to) {
      const bool connected = from < kSeeds || to < kSeeds;
      if (to == from || to == origin || !connected) continue;
      Schedule(kStep, [this, from, to, report] {
        if (m_entries[to].AddReport(report, m_now)) Send(to, from, report);
      });
    }
  }

  Options m_options;
  Random m_random;
  TimePoint m_now{seconds(100)};
  TimePoint m_fifth_crash_at{};
  uint64_t m_last_run = 0;
  std::vector<PromptPartQuarantine> m_entries;
  std::vector<Engine> m_engines;
  std::map<uint64_t, Run> m_runs;
  std::multimap<TimePoint, std::function<void()>> m_actions;
};

}  // namespace

TEST_GROUP(TaintedFleet){};

TEST(TaintedFleet, FewHarmfulRequestsReachEnginesOnceFiveHaveCrashed) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (const bool shared : {true, false}) {
      for (const bool large : {true, false}) {
        TaintedFleet::Options options;
        options.seed = seed;
        options.first_part_is_shared = shared;
        if (large) {
          options.entries = 100;
          options.engines = 70;
          options.requests_per_second = 66;
        }
        TaintedFleet fleet(options);
        fleet.RunFor(seconds(60));
        CHECK(fleet.harmful_crashes >= 3);
        CHECK(fleet.harmful_after_bound <= 3);
        // Sound requests share their first part and their documents.
        CHECK(fleet.sound_refused * 100 <= fleet.sound_requests);
      }
    }
  }
}

TEST(TaintedFleet, CrashesWithoutAHarmfulPromptBlameNoPart) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    TaintedFleet::Options options;
    options.seed = seed;
    options.harmful_share = 0;
    options.crash_interval = seconds(2);
    TaintedFleet fleet(options);
    fleet.RunFor(seconds(120));
    CHECK(fleet.sound_refused * 1000 <= fleet.sound_requests);
  }
}

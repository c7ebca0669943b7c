// Stand-ins for the cases 11 to 15: the platform's store, plain runners and
// consumers, as PROTOCOL.md describes them, and the start of the daemons. All
// of them run in one process, on loopback addresses and the real clock.
#ifndef REVIEW_STAND_3_STAND_HPP_
#define REVIEW_STAND_3_STAND_HPP_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

constexpr double kHeartbeatS = 1.2;  // heartbeatMs of DEPLOY.md.

// Seconds since the start of this process.
double Now();
void SleepUntil(double time);
void SleepFor(double seconds);
int64_t UnixMs();

// Writes one line to record.txt, with the time before it.
void OpenRecord(const std::string& path);
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));

// Whether the disruption of the case is played (TROUBLE is not 0).
bool Trouble();

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string Get(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// Reads one message; `buffer` keeps what follows it. False if the connection
// ends, the message is not valid, or `until` has passed.
bool ReadMessage(int fd, std::string* buffer, Message* message, bool response,
                 double until);
bool SendAll(int fd, const std::string& text);

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};
// A port that is free at all addresses of this run, as are the next two.
int FreePort(const std::vector<std::string>& ips);
int ConnectTo(const Endpoint& to, double timeout_s);
void CloseWithReset(int fd);

// Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(int fd)>;
  ~Listener() { Stop(); }
  void Start(const Endpoint& at, Serve serve);
  // Closes the port and resets all connections, as the end of a process.
  void Stop();

 private:
  std::mutex m_mutex;
  int m_fd = -1;
  std::thread m_thread;
  std::set<int> m_open;
  int m_serving = 0;
  std::condition_variable m_idle;
};

// The store: lists, watches, and registrations that expire after three
// heartbeats of silence.
class Store {
 public:
  void Start(const Endpoint& at);
  void Stop();
  void Put(const std::string& kind, const std::string& name,
           const std::string& spec);
  void Delete(const std::string& kind, const std::string& name);
  // A runner's heartbeat. The entry changes only when `spec` does.
  void Beat(const std::string& name, const std::string& spec);
  // For this time, answers to watches of this kind that have events are lost:
  // they are never sent, and their channels return nothing further.
  void LoseAnswers(const std::string& kind, double seconds);
  // When the latest answer was lost; zero if none was.
  double LostAt() const { return m_lost_at; }
  // When the object was removed (the store's confirmation); zero if it is
  // there.
  double RemovedAt(const std::string& name);

 private:
  struct Object {
    uint64_t revision = 0;
    std::string spec;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind, name, spec;
    bool deleted = false;
  };
  void Serve(int fd);
  std::string List(const std::string& kind);
  static std::string Encode(const std::string& name, uint64_t revision,
                            const std::string& spec);
  void ExpireLoop();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  uint64_t m_revision = 100;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Event> m_events;
  std::map<std::string, double> m_beats;
  std::map<std::string, double> m_removed_at;
  std::string m_lose_kind;
  double m_lose_until = 0;
  std::atomic<double> m_lost_at{0};
  std::atomic<bool> m_stopped{false};
  std::thread m_expiry;
  Listener m_listener;
};

// A plain runner of one service.
class Runner {
 public:
  struct Reply {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body = "ok\n";
    double work_s = 0.02;
    bool ran = true;     // Otherwise the answer has X-Not-Executed.
    bool crash = false;  // The process ends while it runs the request.
    // If not zero, the answer is a stream of so many events, which goes on
    // after Last-Event-Id.
    int events = 0;
    double gap_s = 0.1;  // Between two events.
  };
  using Handler = std::function<Reply(Runner* runner, const Message& request)>;

  Runner(Store* store, Endpoint at, std::string service, std::string zone)
      : m_store(store),
        m_at(std::move(at)),
        m_service(std::move(service)),
        m_zone(std::move(zone)) {}
  ~Runner() { Stop(); }
  // Starts a new lifetime under this id. The first heartbeat is written
  // `first_beat_s` later.
  void Start(const std::string& id, Handler handler, double first_beat_s = 0);
  // Ends the process without a word.
  void Crash();
  void Stop() { Crash(); }
  // Whether the runner reaches the store.
  void SetReachesStore(bool reaches) { m_reaches_store = reaches; }
  // Leaves without ever reporting `draining`: the entry is removed, and the
  // runner continues to serve. It says so in all its answers.
  void RemoveEntry();
  const std::string& Id() const { return m_id; }
  const std::string& Name() const { return m_at.ip; }
  int Lifetime() const { return m_lifetime; }
  void SetVersion(const std::string& version) { m_version = version; }
  const std::string& Version() const { return m_version; }

 private:
  void Serve(int fd);
  bool SendStream(int fd, const Message& request, const Reply& reply) const;
  void BeatLoop(double first_beat_s);

  Store* m_store;
  Endpoint m_at;
  std::string m_service, m_zone, m_id;
  std::string m_version = "v1";
  Handler m_handler;
  int64_t m_born = 0;
  std::atomic<int> m_lifetime{0};
  std::atomic<bool> m_running{false};
  std::atomic<bool> m_registers{false};
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_reaches_store{true};
  std::thread m_beats;
  Listener m_listener;
  std::mutex m_mutex;
};

// One daemon of the project, started with the command of the deploy file.
class Daemon {
 public:
  ~Daemon() { Kill(); }
  // Writes the settings file that the process of this name reads.
  static void WriteSettings(const std::string& name, const std::string& folder,
                            const std::string& settings);
  bool Start(const std::string& name, const std::string& folder);
  void Signal(int signal) const;
  void Kill();
  // False if the process has ended by itself.
  bool Runs();

 private:
  int m_pid = -1;
};

struct EntryAddresses {
  std::string ip;
  int front = 0, ready = 0, peers = 0;
};
// Text of an entry's settings, as deploy/entry.json is filled in.
std::string EntrySettings(const EntryAddresses& entry, const Endpoint& store,
                          const std::vector<std::string>& seeds);
bool IsReady(const EntryAddresses& entry);

struct Answer {
  int status = 0;  // Zero: the channel ended without an answer.
  Message message;
  double sent_at = 0, ended_at = 0;
};
// Sends one request on a kept channel, or a new one, and reads its answer.
class Consumer {
 public:
  explicit Consumer(Endpoint front) : m_front(std::move(front)) {}
  ~Consumer();
  Answer Send(const std::string& method, const std::string& host,
              const std::string& path, const std::string& id, int deadline_ms,
              const std::string& body = "");
  void Close();
  // Further header fields of all requests, each with its line end.
  void SetHeaders(const std::string& fields) { m_fields = fields; }

 private:
  Endpoint m_front;
  std::string m_fields;
  int m_fd = -1;
  std::string m_buffer;
};

// Reads an event stream. Each event is `id: N` and a line of data.
class StreamConsumer {
 public:
  struct Result {
    int status = 0;      // Zero: no answer.
    bool whole = false;  // The stream has ended as complete.
    std::vector<int> ids;
    std::vector<std::string> data;
    double ended_at = 0;
  };
  // `resumes`: id of the attempt that brought the first event; empty for a new
  // stream.
  static Result Read(const Endpoint& front, const std::string& path,
                     const std::string& id, int deadline_ms,
                     const std::string& resumes = "", int last_event = 0);
};

// Passes channels on to a server, and resets some of them at both ends.
class Proxy {
 public:
  ~Proxy() { m_listener.Stop(); }
  void Start(const Endpoint& at, const Endpoint& to);
  // Resets this part of the open channels; returns how many.
  int Reset(double share);

 private:
  void Pass(int fd);
  Endpoint m_to;
  std::mutex m_mutex;
  std::map<int, std::shared_ptr<std::atomic<bool>>> m_channels;
  Listener m_listener;
};

// A loopback network 127.N.x.y of this run.
std::string Ip(int third, int fourth);

}  // namespace stand

#endif  // REVIEW_STAND_3_STAND_HPP_

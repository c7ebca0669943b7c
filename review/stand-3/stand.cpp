#include "stand.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>

namespace stand {

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point g_start = Clock::now();
std::mutex g_record_mutex;
FILE* g_record = nullptr;

sockaddr_in SocketAddress(const Endpoint& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
  return address;
}

// Reads more input into `buffer`; false at its end, on failure or too late.
bool ReadMore(int fd, std::string* buffer, double until) {
  for (;;) {
    const double left = until - Now();
    if (left <= 0) return false;
    pollfd wait{fd, POLLIN, 0};
    const int ready = poll(&wait, 1, static_cast<int>(std::ceil(left * 1000)));
    if (ready < 0 && errno != EINTR) return false;
    if (ready <= 0) continue;
    char bytes[16384];
    const ssize_t size = recv(fd, bytes, sizeof bytes, 0);
    if (size <= 0) return false;
    buffer->append(bytes, static_cast<size_t>(size));
    return true;
  }
}

bool ReadLine(int fd, std::string* buffer, std::string* line, double until) {
  for (;;) {
    const size_t end = buffer->find("\r\n");
    if (end != std::string::npos) {
      *line = buffer->substr(0, end);
      buffer->erase(0, end + 2);
      return true;
    }
    if (!ReadMore(fd, buffer, until)) return false;
  }
}

bool ReadBytes(int fd, std::string* buffer, size_t size, std::string* out,
               double until) {
  while (buffer->size() < size) {
    if (!ReadMore(fd, buffer, until)) return false;
  }
  out->append(*buffer, 0, size);
  buffer->erase(0, size);
  return true;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t next = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, next - at - 1);
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    at = next;
  }
  return "";
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - g_start).count();
}

void SleepUntil(double time) { SleepFor(time - Now()); }

void SleepFor(double seconds) {
  if (seconds <= 0) return;
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void OpenRecord(const std::string& path) {
  g_record = std::fopen(path.c_str(), "w");
}

void Record(const char* format, ...) {
  const std::lock_guard<std::mutex> lock(g_record_mutex);
  FILE* out = g_record == nullptr ? stdout : g_record;
  std::fprintf(out, "%9.3f  ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(out, format, arguments);
  va_end(arguments);
  std::fprintf(out, "\n");
  std::fflush(out);
}

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

std::string Message::Get(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

std::string Message::Method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Message::Target() const {
  const size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int Message::Status() const {
  return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
}

bool ReadMessage(int fd, std::string* buffer, Message* message, bool response,
                 double until) {
  for (;;) {
    *message = Message();
    if (!ReadLine(fd, buffer, &message->first_line, until)) return false;
    for (;;) {
      std::string line;
      if (!ReadLine(fd, buffer, &line, until)) return false;
      if (line.empty()) break;
      const size_t colon = line.find(':');
      if (colon == std::string::npos) return false;
      size_t value = line.find_first_not_of(' ', colon + 1);
      if (value == std::string::npos) value = line.size();
      message->headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    // Interim responses precede the final one.
    if (!response || message->Status() / 100 != 1) break;
  }
  if (strcasecmp(message->Get("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      std::string line;
      if (!ReadLine(fd, buffer, &line, until)) return false;
      const size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (!ReadBytes(fd, buffer, size, &message->body, until)) return false;
      if (!ReadLine(fd, buffer, &line, until)) return false;
      if (size == 0) return true;
    }
  }
  const std::string length = message->Get("Content-Length");
  if (length.empty()) return true;
  return ReadBytes(fd, buffer, std::strtoul(length.c_str(), nullptr, 10),
                   &message->body, until);
}

bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<size_t>(size);
  }
  return true;
}

int FreePort(const std::vector<std::string>& ips) {
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int port = 20000 + (getpid() * 37 + attempt * 101) % 12000;
    bool free = true;
    for (const std::string& ip : ips) {
      // The ports of an entry are this one and the next two.
      for (int offset = 0; offset < 3; ++offset) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = SocketAddress({ip, port + offset});
        free = free && bind(fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof address) == 0;
        close(fd);
      }
    }
    if (free) return port;
  }
  return 0;
}

int ConnectTo(const Endpoint& to, double timeout_s) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(to);
  const int flags = fcntl(fd, F_GETFL);
  fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS ||
        poll(&wait, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, flags);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

void CloseWithReset(int fd) {
  const linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  close(fd);
}

void Listener::Start(const Endpoint& at, Serve serve) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = SocketAddress(at);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 256) != 0) {
    std::fprintf(stderr, "cannot listen on %s\n", at.Text().c_str());
    std::exit(2);
  }
  m_fd = fd;
  m_thread = std::thread([this, fd, serve = std::move(serve)] {
    for (;;) {
      const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) return;
      const int nodelay = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &nodelay,
                 sizeof nodelay);
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_fd < 0) {
          CloseWithReset(connection);
          return;
        }
        m_open.insert(connection);
        ++m_serving;
      }
      std::thread([this, connection, serve] {
        serve(connection);
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_open.erase(connection) > 0) close(connection);
        --m_serving;
        m_idle.notify_all();
      }).detach();
    }
  });
}

void Listener::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_fd < 0) return;
    shutdown(m_fd, SHUT_RDWR);
    close(m_fd);
    m_fd = -1;
  }
  m_thread.join();
  std::unique_lock<std::mutex> lock(m_mutex);
  for (const int fd : m_open) {
    // The threads that read from it see its end; the peer gets a reset.
    const linger option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    shutdown(fd, SHUT_RD);
  }
  m_idle.wait(lock, [this] { return m_serving == 0; });
}

void Store::Start(const Endpoint& at) {
  m_listener.Start(at, [this](int fd) { Serve(fd); });
  m_expiry = std::thread([this] { ExpireLoop(); });
}

void Store::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  if (m_expiry.joinable()) m_expiry.join();
  m_listener.Stop();
}

void Store::Put(const std::string& kind, const std::string& name,
                const std::string& spec) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Object& object = m_objects[kind][name];
  if (object.spec == spec) return;
  object = {++m_revision, spec};
  m_events.push_back({m_revision, kind, name, spec, false});
  m_removed_at.erase(name);
  m_changed.notify_all();
}

void Store::Delete(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_objects[kind].find(name);
  if (found == m_objects[kind].end()) return;
  m_events.push_back({++m_revision, kind, name, found->second.spec, true});
  m_objects[kind].erase(found);
  m_removed_at[name] = Now();
  m_changed.notify_all();
}

void Store::Beat(const std::string& name, const std::string& spec) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_beats[name] = Now();
  }
  Put("servers", name, spec);
}

void Store::LoseAnswers(const std::string& kind, double seconds) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_lose_kind = kind;
  m_lose_until = Now() + seconds;
}

double Store::RemovedAt(const std::string& name) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_removed_at.find(name);
  return found == m_removed_at.end() ? 0 : found->second;
}

void Store::ExpireLoop() {
  while (!m_stopped) {
    SleepFor(0.05);
    std::vector<std::string> silent;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (const auto& [name, object] : m_objects["servers"]) {
        if (Now() - m_beats[name] > 3 * kHeartbeatS) silent.push_back(name);
      }
    }
    for (const std::string& name : silent) {
      Record("store: the entry of %s expires", name.c_str());
      Delete("servers", name);
    }
  }
}

std::string Store::Encode(const std::string& name, uint64_t revision,
                          const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + spec +
         R"(,"status":{}})";
}

std::string Store::List(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::string items;
  for (const auto& [name, object] : m_objects[kind]) {
    items +=
        (items.empty() ? "" : ",") + Encode(name, object.revision, object.spec);
  }
  return R"({"items":[)" + items + R"(],"hasMore":false,"asOf":)" +
         std::to_string(m_revision) + "}";
}

void Store::Serve(int fd) {
  std::string buffer;
  Message request;
  while (ReadMessage(fd, &buffer, &request, false, Now() + 3600)) {
    const std::string target = request.Target();
    const std::string prefix = "/-/objects/";
    std::string body = "{}";
    int status = 404;
    bool lose = false;
    if (request.Method() == "GET" && target.rfind(prefix, 0) == 0) {
      status = 200;
      const std::string kind =
          target.substr(prefix.size(), target.find('?') - prefix.size());
      const std::string watch = QueryValue(target, "watch");
      if (watch.empty()) {
        body = List(kind);
      } else {
        const uint64_t since = std::strtoull(watch.c_str(), nullptr, 10);
        const double until =
            Now() + std::atoi(QueryValue(target, "waitMs").c_str()) / 1000.0;
        std::unique_lock<std::mutex> lock(m_mutex);
        std::string events;
        for (;;) {
          for (const Event& event : m_events) {
            if (event.kind != kind || event.revision <= since) continue;
            events +=
                (events.empty() ? "" : ",") + std::string("{\"object\":") +
                Encode(event.name, event.revision, event.spec) +
                ",\"deleted\":" + (event.deleted ? "true" : "false") + "}";
          }
          const double left = until - Now();
          if (!events.empty() || left <= 0 || m_stopped) break;
          m_changed.wait_for(lock, std::chrono::duration<double>(left));
        }
        if (m_stopped) return;
        body = R"({"events":[)" + events + R"(],"asOf":)" +
               std::to_string(m_revision) + "}";
        lose = !events.empty() && kind == m_lose_kind && Now() < m_lose_until;
      }
    }
    if (lose) {
      m_lost_at = Now();
      Record("store: the answer to a watch is lost");
      // The channel returns nothing further.
      while (ReadMore(fd, &buffer, Now() + 3600)) {
      }
      return;
    }
    SleepFor(0.004);
    if (!SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                         " Answer\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

void Runner::Start(const std::string& id, Handler handler,
                   double first_beat_s) {
  m_id = id;
  m_handler = std::move(handler);
  m_born = UnixMs();
  ++m_lifetime;
  m_running = true;
  m_registers = true;
  m_leaving = false;
  Record("runner %s starts as %s, born %lld", m_at.ip.c_str(), id.c_str(),
         static_cast<long long>(m_born));
  m_listener.Start(m_at, [this](int fd) { Serve(fd); });
  m_beats = std::thread([this, first_beat_s] { BeatLoop(first_beat_s); });
}

void Runner::BeatLoop(double first_beat_s) {
  double next = Now() + first_beat_s;
  bool written = false;
  while (m_running) {
    SleepFor(0.01);
    if (Now() < next) continue;
    next += kHeartbeatS;
    if (!m_reaches_store || !m_registers) continue;
    const std::string spec =
        R"({"service":")" + m_service + R"(","address":")" + m_at.Text() +
        R"(","zone":")" + m_zone + R"(","version":")" + m_version +
        R"(","slots":6,"state":"ready","coldRemainingMs":0,)" +
        R"("seq":1,"born":)" + std::to_string(m_born) + "}";
    m_store->Beat(m_id, spec);
    if (!written) {
      Record("store: the entry of %s is written, born %lld", m_id.c_str(),
             static_cast<long long>(m_born));
    }
    written = true;
  }
}

void Runner::RemoveEntry() {
  m_registers = false;
  m_leaving = true;
  m_store->Delete("servers", m_id);
  Record("store: the entry of %s is removed; it serves on", m_id.c_str());
}

void Runner::Crash() {
  if (!m_running.exchange(false)) return;
  Record("runner %s (%s) ends", m_at.ip.c_str(), m_id.c_str());
  m_listener.Stop();
  m_beats.join();
}

void Runner::Serve(int fd) {
  std::string buffer;
  Message request;
  while (m_running && ReadMessage(fd, &buffer, &request, false, Now() + 3600)) {
    const std::string id = request.Get("X-Request-Id");
    const std::string expected = request.Get("X-Expect-Instance");
    Reply reply;
    if (request.Target() == "/health") {
      reply.headers.emplace_back("X-Instance-Id", m_id);
    } else if (!expected.empty() && expected != m_id) {
      reply.status = 421;
      reply.ran = false;
    } else {
      reply = m_handler(this, request);
    }
    if (reply.crash) {
      // The process ends; its other threads see that at once.
      std::thread([this] { Crash(); }).detach();
      while (m_running) SleepFor(0.001);
      return;
    }
    SleepFor(reply.work_s);
    if (!m_running) return;
    std::string text = "HTTP/1.1 " + std::to_string(reply.status) +
                       " Answer\r\nX-Request-Id: " + id + "\r\n";
    if (reply.events > 0) {
      if (!SendAll(fd, text + "X-Response-Seal: " + m_id + "." + id +
                           "\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n") ||
          !SendStream(fd, request, reply)) {
        return;
      }
      continue;
    }
    if (!reply.ran) text += "X-Not-Executed: 1\r\n";
    if (reply.ran) text += "X-Response-Seal: " + m_id + "." + id + "\r\n";
    if (m_leaving) text += "Server-Leaving: 1\r\n";
    for (const auto& [name, value] : reply.headers) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(reply.body.size()) +
            "\r\n\r\n" + reply.body;
    if (!SendAll(fd, text)) return;
  }
}

bool Runner::SendStream(int fd, const Message& request,
                        const Reply& reply) const {
  const int after = std::atoi(request.Get("Last-Event-Id").c_str());
  for (int event = after + 1; event <= reply.events; ++event) {
    SleepFor(reply.gap_s);
    const std::string text = "id: " + std::to_string(event) +
                             "\ndata: " + m_version + " " + m_id + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    // Like most runners, this one drops a request when its channel closes.
    pollfd input{fd, POLLIN, 0};
    char byte = 0;
    const bool gone = poll(&input, 1, 0) > 0 &&
                      recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    if (!m_running || gone || !SendAll(fd, size + text + "\r\n")) return false;
  }
  return SendAll(fd, "0\r\n\r\n");
}

void Daemon::WriteSettings(const std::string& name, const std::string& folder,
                           const std::string& settings) {
  std::ofstream(folder + "/" + name + ".json") << settings;
}

bool Daemon::Start(const std::string& name, const std::string& folder) {
  const std::string path = folder + "/" + name + ".json";
  const std::string log = folder + "/" + name + ".log";
  m_pid = fork();
  if (m_pid != 0) return m_pid > 0;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, 1);
  dup2(out, 2);
  setenv("BURDOCKHILL_BOOT", path.c_str(), 1);
  execl("target/burdockhilld", "target/burdockhilld", nullptr);
  _exit(127);
}

void Daemon::Signal(int signal) const {
  if (m_pid > 0) kill(m_pid, signal);
}

void Daemon::Kill() {
  if (m_pid <= 0) return;
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
  m_pid = -1;
}

bool Daemon::Runs() {
  if (m_pid <= 0) return false;
  if (waitpid(m_pid, nullptr, WNOHANG) == 0) return true;
  m_pid = -1;
  return false;
}

std::string EntrySettings(const EntryAddresses& entry, const Endpoint& store,
                          const std::vector<std::string>& seeds) {
  const std::string ip = entry.ip;
  std::string list;
  for (const std::string& seed : seeds) {
    list += (list.empty() ? "\"" : ",\"") + seed + ":1\"";
  }
  return "{\"role\":\"entry\",\"vm\":\"" + ip +
         "\",\"zone\":\"z1\",\"region\":\"r1\",\"store\":\"" + store.Text() +
         "\",\"callers\":\"" + ip + ":" + std::to_string(entry.front) +
         "\",\"readiness\":\"" + ip + ":" + std::to_string(entry.ready) +
         "\",\"peers\":\"" + ip + ":" + std::to_string(entry.peers) +
         "\",\"peer_port\":" + std::to_string(entry.peers) + ",\"seeds\":[" +
         list +
         "],\"peer_key\":\"burdockhill-on-one-private-network\","
         "\"memory_mb\":110,\"stop_time_ms\":8000,\"retry_ratio\":0.2,"
         "\"retry_window_ms\":10000,\"drain_time_ms\":2500}";
}

bool IsReady(const EntryAddresses& entry) {
  const int fd = ConnectTo({entry.ip, entry.ready}, 1);
  if (fd < 0) return false;
  std::string buffer;
  Message answer;
  const bool ready = SendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
                     ReadMessage(fd, &buffer, &answer, true, Now() + 1) &&
                     answer.Status() == 200;
  close(fd);
  return ready;
}

Consumer::~Consumer() { Close(); }

void Consumer::Close() {
  if (m_fd >= 0) close(m_fd);
  m_fd = -1;
  m_buffer.clear();
}

Answer Consumer::Send(const std::string& method, const std::string& host,
                      const std::string& path, const std::string& id,
                      int deadline_ms, const std::string& body) {
  Answer answer;
  answer.sent_at = Now();
  if (m_fd < 0) m_fd = ConnectTo(m_front, 1);
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\n";
  text += m_fields;
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  const double until = Now() + deadline_ms / 1000.0;
  if (m_fd >= 0 && SendAll(m_fd, text + "\r\n" + body) &&
      ReadMessage(m_fd, &m_buffer, &answer.message, true, until)) {
    answer.status = answer.message.Status();
  }
  answer.ended_at = Now();
  const bool closes =
      strcasecmp(answer.message.Get("Connection").c_str(), "close") == 0;
  if (answer.status == 0 || closes) Close();
  return answer;
}

StreamConsumer::Result StreamConsumer::Read(
    const Endpoint& front, const std::string& path, const std::string& id,
    int deadline_ms, const std::string& resumes, int last_event) {
  Result result;
  const double until = Now() + deadline_ms / 1000.0;
  const int fd = ConnectTo(front, 1);
  std::string text =
      "POST " + path +
      " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id +
      "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
      "\r\nContent-Length: 0\r\n";
  if (!resumes.empty()) {
    text += "Resumes: " + resumes +
            "\r\nLast-Event-Id: " + std::to_string(last_event) + "\r\n";
  }
  std::string buffer;
  std::string line;
  if (fd >= 0 && SendAll(fd, text + "\r\n") &&
      ReadLine(fd, &buffer, &line, until)) {
    Message head;
    head.first_line = line;
    result.status = head.Status();
    while (ReadLine(fd, &buffer, &line, until) && !line.empty()) {
    }
    while (result.status == 200 && ReadLine(fd, &buffer, &line, until)) {
      const size_t size = std::strtoul(line.c_str(), nullptr, 16);
      std::string events;
      if (!ReadBytes(fd, &buffer, size, &events, until) ||
          !ReadLine(fd, &buffer, &line, until)) {
        break;
      }
      if (size == 0) {
        result.whole = true;
        break;
      }
      for (size_t at = events.find("id: "); at != std::string::npos;
           at = events.find("id: ", at + 1)) {
        result.ids.push_back(std::atoi(events.c_str() + at + 4));
        const size_t data = events.find("data: ", at) + 6;
        result.data.push_back(
            events.substr(data, events.find('\n', data) - data));
      }
    }
  }
  if (fd >= 0) close(fd);
  result.ended_at = Now();
  return result;
}

void Proxy::Start(const Endpoint& at, const Endpoint& to) {
  m_to = to;
  m_listener.Start(at, [this](int fd) { Pass(fd); });
}

void Proxy::Pass(int fd) {
  const int out = ConnectTo(m_to, 1);
  if (out < 0) return;
  const auto reset = std::make_shared<std::atomic<bool>>(false);
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_channels[fd] = reset;
  }
  bool open = true;
  while (open && !*reset) {
    pollfd wait[2] = {{fd, POLLIN, 0}, {out, POLLIN, 0}};
    if (poll(wait, 2, 5) <= 0) continue;
    for (int i = 0; i < 2 && open; ++i) {
      if (wait[i].revents == 0) continue;
      char bytes[16384];
      const ssize_t size = recv(wait[i].fd, bytes, sizeof bytes, 0);
      open = size > 0 && SendAll(wait[1 - i].fd,
                                 std::string(bytes, static_cast<size_t>(size)));
    }
  }
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_channels.erase(fd);
  }
  if (*reset) {
    const linger option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    CloseWithReset(out);
  } else {
    close(out);
  }
}

int Proxy::Reset(double share) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  int count = 0;
  const int wanted = static_cast<int>(
      std::lround(share * static_cast<double>(m_channels.size())));
  for (auto& [fd, reset] : m_channels) {
    if (count == wanted) break;
    *reset = true;
    ++count;
  }
  return count;
}

std::string Ip(int third, int fourth) {
  static const int kNet = 40 + getpid() % 150;
  return "127." + std::to_string(kNet) + "." + std::to_string(third) + "." +
         std::to_string(fourth);
}

}  // namespace stand

// Stand-ins for the second review: clients, price servers, the counter, discovery's agent, and the
// edge node as a process of its own. Blocking sockets and threads, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review2 {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_s(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// What was sent, answered and run, with the time since the start in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path, std::ios::trunc) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", now());
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline std::string text_of(const char* format, auto... values) {
  char text[512];
  std::snprintf(text, sizeof text, format, values...);
  return text;
}

// ---- Sockets ------------------------------------------------------------------------------------

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)), in_(std::move(other.in_)) {}
  Socket& operator=(Socket&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    in_ = std::move(other.in_);
    return *this;
  }
  ~Socket() { close(); }
  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void reset() {
    const linger now_{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now_, sizeof now_);
    close();
  }
  bool send(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const auto n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  enum class Got { bytes, end, reset, time };
  // Reads what is there, or waits until `until`.
  Got read(double until) {
    for (;;) {
      const double left = until - now();
      if (left <= 0) return Got::time;
      pollfd p{fd_, POLLIN, 0};
      const int ready = ::poll(&p, 1, static_cast<int>(left * 1000) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0) continue;
      char bytes[16384];
      const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
      if (n > 0) return in_.append(bytes, static_cast<std::size_t>(n)), Got::bytes;
      if (n == 0) return Got::end;
      if (errno != EINTR && errno != EAGAIN) return Got::reset;
    }
  }
  // A line without its end; none if the connection ends or the time is over.
  std::optional<std::string> line(double until) {
    for (;;) {
      if (const auto end = in_.find("\r\n"); end != std::string::npos) {
        auto text = in_.substr(0, end);
        in_.erase(0, end + 2);
        return text;
      }
      if (read(until) != Got::bytes) return std::nullopt;
    }
  }
  std::string& in() { return in_; }
  // Whether the peer's machine has acknowledged all that was sent.
  bool all_acknowledged() const {
    int left = 0;
    return ::ioctl(fd_, SIOCOUTQ, &left) == 0 && left == 0;
  }

 private:
  int fd_;
  std::string in_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}
inline std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }

inline Socket connect_to(int port) {
  Socket s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto a = loopback(port);
  const int on = 1;
  ::setsockopt(s.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(s.fd(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) s.close();
  return s;
}

class Listener {
 public:
  explicit Listener(int backlog = 1024, int receive_buffer = 0)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_buffer > 0)
      ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    auto a = loopback(0);
    socklen_t size = sizeof a;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(fd_, backlog) != 0)
      std::perror("listen");
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
    port_ = ntohs(a.sin_port);
  }
  ~Listener() { ::close(fd_); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  int port() const { return port_; }
  // Calls `serve` for each connection, on a thread of its own. The threads end with the process.
  void run(std::function<void(Socket)> serve) {
    std::thread([fd = fd_, serve = std::move(serve)] {
      for (;;) {
        const int c = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (c < 0 && errno == EINTR) continue;
        if (c < 0) return;
        const int on = 1;
        ::setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([c, serve] { serve(Socket(c)); }).detach();
      }
    }).detach();
  }

 private:
  int fd_, port_ = 0;
};

inline int free_port() { return Listener().port(); }

// ---- HTTP ---------------------------------------------------------------------------------------

struct Head {
  std::string first;                          // the first line
  std::map<std::string, std::string> fields;  // names in lower case
  std::string field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  bool chunked() const { return field("transfer-encoding") == "chunked"; }
  std::optional<std::size_t> length() const {
    const auto text = field("content-length");
    return text.empty() ? std::nullopt : std::optional<std::size_t>(std::stoull(text));
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

inline std::optional<Head> read_head(Socket& s, double until) {
  Head h;
  const auto first = s.line(until);
  if (!first) return std::nullopt;
  h.first = *first;
  for (;;) {
    const auto l = s.line(until);
    if (!l) return std::nullopt;
    if (l->empty()) return h;
    const auto colon = l->find(':');
    if (colon == std::string::npos) continue;
    auto name = l->substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
    auto value = l->substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    h.fields[name] = value;
  }
}

// Reads a body. Returns none if it isn't whole by `until`; `ended` tells why.
inline std::optional<std::string> read_body(Socket& s, const Head& h, bool is_answer, double until,
                                            Socket::Got* ended = nullptr) {
  Socket::Got got = Socket::Got::bytes;
  const auto more = [&] {
    got = s.read(until);
    if (ended != nullptr) *ended = got;
    return got == Socket::Got::bytes;
  };
  std::string body;
  if (h.chunked()) {
    for (;;) {
      std::size_t end = 0;
      while ((end = s.in().find("\r\n")) == std::string::npos)
        if (!more()) return std::nullopt;
      const auto size = std::strtoull(s.in().c_str(), nullptr, 16);
      while (s.in().size() < end + 2 + size + 2)
        if (!more()) return std::nullopt;
      body += s.in().substr(end + 2, size);
      s.in().erase(0, end + 2 + size + 2);
      if (size == 0) return body;
    }
  }
  if (h.length()) {
    while (s.in().size() < *h.length())
      if (!more()) return std::nullopt;
    body = s.in().substr(0, *h.length());
    s.in().erase(0, *h.length());
    return body;
  }
  if (!is_answer) return body;
  while (more()) continue;
  if (got != Socket::Got::end) return std::nullopt;
  return std::exchange(s.in(), {});
}

inline std::string answer(const std::string& status, const std::string& body,
                          const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The counter, discovery's agent, price servers ----------------------------------------------

class Counter {
 public:
  Counter() {
    listener_.run([this](Socket s) { serve(std::move(s)); });
  }
  int port() const { return listener_.port(); }

 private:
  void serve(Socket s) {
    while (const auto l = s.line(now() + 10)) {
      std::istringstream words(*l);
      std::string verb, name;
      double amount = 0, life_ms = 0;
      words >> verb;
      if (verb == "ping") {
        if (!s.send("pong\r\n")) return;
        continue;
      }
      if (verb != "incr" || !(words >> name >> amount >> life_ms)) {
        if (!s.send("error\r\n")) return;
        continue;
      }
      double total = 0;
      {
        const std::lock_guard lock(mutex_);
        auto& [value, end] = counts_[name];
        if (end <= now()) value = 0, end = now() + std::min(life_ms, 60000.0) / 1000;
        total = value += amount;
      }
      if (!s.send(text_of("ok %.7g\r\n", total))) return;
    }
  }
  std::mutex mutex_;
  std::map<std::string, std::pair<double, double>> counts_;
  Listener listener_;
};

struct Member {
  std::string id;
  int port = 0;
  std::string phase = "SERVING", zone = "north-building";
  int cell = 0;
  std::string json() const {
    return R"({"id":")" + id + R"(","host_port":")" + address(port) + R"(","locality":")" + zone +
           R"(","flavor":"standard-4core","cell":)" + std::to_string(cell) + R"(,"phase":")" +
           phase + R"(","size":1.0,"up_since_ms":0})";
  }
};

class Agent {
 public:
  explicit Agent(std::vector<Member> members) : members_(std::move(members)) {
    listener_.run([this](Socket s) { serve(std::move(s)); });
  }
  int port() const { return listener_.port(); }
  std::string list() {
    const std::lock_guard lock(mutex_);
    std::string text = R"({"revision":)" + std::to_string(revision_) +
                       R"(,"complete":true,"members":[)";
    for (std::size_t i = 0; i < members_.size(); ++i)
      text += (i > 0 ? "," : "") + members_[i].json();
    return text + "]}";
  }

 private:
  void serve(Socket s) {
    while (const auto head = read_head(s, now() + 100)) {
      const auto text = list() + "\n";
      if (head->first.find("watch=1") == std::string::npos) {
        if (!s.send(answer("200 OK", text))) return;
        continue;
      }
      const auto chunk = [](const std::string& part) {
        return text_of("%zx\r\n", part.size()) + part + "\r\n";
      };
      if (!s.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text))) return;
      for (;;) {
        sleep_s(2);
        if (!s.send(chunk("\n"))) return;
      }
    }
  }
  std::mutex mutex_;
  int revision_ = 1;
  std::vector<Member> members_;
  Listener listener_;
};

// A price server: `serve` is called with each request's head, reads its body and answers it, and
// returns whether the connection stays open.
class PriceServer {
 public:
  using Serve = std::function<bool(Socket&, const Head&)>;
  explicit PriceServer(Serve serve, int receive_buffer = 0) : listener_(1024, receive_buffer) {
    listener_.run([serve = std::move(serve)](Socket s) {
      while (const auto head = read_head(s, now() + 100))
        if (!serve(s, *head)) return;
    });
  }
  int port() const { return listener_.port(); }

 private:
  Listener listener_;
};

// ---- The edge node ------------------------------------------------------------------------------

struct NodeOptions {
  std::string grades;  // of the settings
  int fleet_size = 3;
  int memory_mb = 192, descriptors = 1024;
  std::string known;
  int counter = 0, discovery = 0;
  std::string folder_name;  // appended to the temporary folder
};

inline std::string grade(const std::string& name, const std::string& effect, double aim_s,
                         double deadline_s) {
  return R"({"gain":1.0,"group":"all","hard-limit-ns":)" +
         std::to_string(static_cast<long long>(deadline_s * 1e9)) + R"(,"idempotency":")" + effect +
         R"(","late-worth":0.0,"memory-span-ns":5000000000,"name":")" + name +
         R"(","on-time-ns":)" + std::to_string(static_cast<long long>(aim_s * 1e9)) +
         R"(,"streamed":false})";
}

inline std::string settings(const NodeOptions& o) {
  return R"({"az":"north-building","ceilings":{"cancel":true,"connect-timeout-ns":250000000,)"
         R"("cpu-us-per-request":0.0,"cpu-us-per-s":400000,"keepalive-ns":30000000000,)"
         R"("max-attempts":3,"max-open":20000,"max-retry-after-ns":1000000000,)"
         R"("peer-messages":true,"probes":false,"retry-after":true,"second-copies":false,)"
         R"("streams-per-conn":1},"clients":{"marks-retry":true},"discovery":"push",)"
         R"("extra":{"count-limit-ns":50000000,"counter":true,"counter-price":0.02,)"
         R"("inbox-per-s":60.0,"max-units":1,"metering-ns":0,"trued-up":false},"family":"gate",)"
         R"("fleet-size":)" +
         std::to_string(o.fleet_size) +
         R"(,"goal":{"whole":0.5,"worst-class":0.0,"worst-tenant":0.25,"worst-window":0.25},)"
         R"("grades":[)" +
         o.grades +
         R"(],"host-types":["standard-4core"],"index":0,"layer":0,)"
         R"("load-report":{"fields":[],"how":"off"},)"
         R"("packages":[{"cap-depth":0.0,"ceiling-rate":0.0,"max-out":0,"name":"standard",)"
         R"("over-worth":0.0,"overrun-cost":0.8,"store-size":40.0,"tolerance":0.0,)"
         R"("units-per-s":10.0,"value-factor":1.2}],)"
         R"("prices":{"connection":0.0,"cross-zone":0.005,"discovery":0.0,"handshake":0.0,)"
         R"("late-fail":0.03,"moves":0.0,"origin":0.0,"peer":0.02,"probe":0.0,"waste":0.03},)"
         R"("safety":{"answer-slack-ns":16000000,"drain-grace-ns":1000000000,)"
         R"("fall-multiple":2.5,"fall-ns":1000000000,"must-ask-in-ns":10000000000,)"
         R"("start-capacity":0.24,"warm-within-ns":18000000000},"tick-ns":4000000,)"
         R"("tiers":["price-servers"],"weights":"rough",)"
         R"("zones":["north-building","south-building","annex"]})";
}

// The run command of the deploy file.
inline std::string run_command() {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("run = \"")) return line.substr(7, line.rfind('"') - 7);
  return {};
}

// Processes of one edge node, with a temporary folder. They end with this object, or with the
// test's process.
class Node {
 public:
  explicit Node(NodeOptions options) : options_(std::move(options)), listen_(free_port()) {
    auto name = (std::filesystem::temp_directory_path() / "petrelrail-review-XXXXXX").string();
    base_ = ::mkdtemp(name.data());
    folder_ = base_ + options_.folder_name;
    std::filesystem::create_directories(folder_);
  }
  ~Node() { end(); }
  void end() {
    for (const auto pid : children_) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
    children_.clear();
    std::filesystem::remove_all(base_);
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  int port() const { return listen_; }
  const std::string& folder() const { return folder_; }

  // Starts a process by the deploy file's command.
  pid_t start(int control = 0) {
    const auto config = base_ + "/config-" + std::to_string(started_) + ".json";
    std::ofstream(config) << R"({"name":"n0","listen":")" << address(listen_)
                          << R"(","discovery":")" << address(options_.discovery)
                          << R"(","counter":")" << address(options_.counter)
                          << R"(","seed":"8c1f30d27a5be964",)"
                          << R"("limits":{"cores":1.0,"memory_mb":)" << options_.memory_mb
                          << R"(,"sockets":)" << options_.descriptors << "},"
                          << (control > 0 ? R"("control":")" + address(control) + R"(",)" : "")
                          << R"("known":)" << options_.known << R"(,"settings":)"
                          << settings(options_) << "}";
    const auto command = run_command();
    const auto log = base_ + "/log-" + std::to_string(started_++);
    const auto parent = ::getpid();
    const auto pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(1);
      const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
      ::dup2(out, 1), ::dup2(out, 2);
      ::setenv("GW_CONFIG", config.c_str(), 1);
      ::setenv("GW_NAME", "n0", 1);
      ::setenv("GW_LISTEN", address(listen_).c_str(), 1);
      ::setenv("GW_DISCOVERY", address(options_.discovery).c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      if (control > 0) ::setenv("GW_CONTROL", address(control).c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
    children_.push_back(pid);
    return pid;
  }
  bool ready(double within = 10) const { return says_yes(listen_, "/-/ready", within); }
  static bool says_yes(int port, const std::string& path, double within = 10) {
    for (const double until = now() + within; now() < until; sleep_s(0.05)) {
      auto s = connect_to(port);
      if (!s.open()) continue;
      s.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      const auto h = read_head(s, now() + 1);
      if (h && h->status() == 200) return true;
    }
    return false;
  }
  // Whether the process still runs.
  bool runs(pid_t pid) {
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return true;
    std::erase(children_, pid);
    return false;
  }
  std::string log(std::size_t number = 0) const {
    std::stringstream text;
    text << std::ifstream(base_ + "/log-" + std::to_string(number)).rdbuf();
    return text.str();
  }

 private:
  NodeOptions options_;
  int listen_;
  std::string base_, folder_;
  std::vector<pid_t> children_;
  int started_ = 0;
};

// Ends the node and the test, while threads of stand-ins may still run.
[[noreturn]] inline void finish(Node& node, int status) {
  node.end();
  std::fflush(nullptr);
  ::_exit(status);
}

// A request's head as PROTOCOL shows it, without its end.
inline std::string request_head(const std::string& method, const std::string& cls,
                                const std::string& id, const std::string& customer,
                                long timeout_ms) {
  return method + " /" + cls + "/" + id + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: " + cls + "\r\nX-Plan: standard\r\nCookie: client=" + customer +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) +
         "\r\nX-Quota: units=1,spread=1,first=0\r\n";
}
inline std::string hex16(std::uint64_t n) { return text_of("%016llx", (unsigned long long)n); }

// Ends the test's process after that time, whatever hangs.
inline void end_after(double seconds) {
  std::thread([seconds] {
    sleep_s(seconds);
    std::fputs("the case took too long\n", stderr);
    ::_exit(kCouldNotRun);
  }).detach();
}

}  // namespace review2

// Measures the cost of a request: an edge node and the tests' simulated peers run in one process
// over loopback. The node has an event loop of its own, and only work on that loop is counted:
// system calls, allocations, bytes copied by memcpy and memmove (those that are not inlined), and
// processor time. Runs for a few seconds with a fixed number of requests; it is no load test.
//
//   cost [REQUESTS]     prints values per request, client session and customer
//
// bench/compare.sh runs it alternately with that of another revision.
#include <dlfcn.h>
#include <malloc.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <new>

#include "gateway_fixture.hpp"
#include "limits.hpp"
#include "loopback_peers.hpp"
#include "node.hpp"

namespace {

struct CostCounters {
  std::uint64_t allocations = 0, allocated_bytes = 0, moved_bytes = 0;
  std::uint64_t receives = 0, sends = 0, epoll_waits = 0, epoll_changes = 0, timers = 0,
                sockets = 0;
  std::int64_t live_bytes = 0;  // on the heap; counted also while is_counting is false
  std::uint64_t system_calls() const {
    return receives + sends + epoll_waits + epoll_changes + timers + sockets;
  }
};
constinit CostCounters counters;
constinit bool is_counting = false;  // true while the node's event loop runs

template <class F>
F next_function(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

// ---- Interposed functions of the C library ------------------------------------------------------

#define COUNT_CALLS(counter, type, name, parameters, arguments)        \
  extern "C" type name parameters {                                    \
    static const auto next = next_function<type(*) parameters>(#name); \
    counters.counter += is_counting;                                   \
    return next arguments;                                             \
  }
COUNT_CALLS(receives, ssize_t, recvmsg, (int fd, msghdr* m, int flags), (fd, m, flags))
COUNT_CALLS(receives, ssize_t, recv, (int fd, void* to, size_t n, int flags), (fd, to, n, flags))
COUNT_CALLS(receives, ssize_t, readv, (int fd, const iovec* v, int n), (fd, v, n))
COUNT_CALLS(receives, ssize_t, read, (int fd, void* to, size_t n), (fd, to, n))
COUNT_CALLS(sends, ssize_t, sendmsg, (int fd, const msghdr* m, int flags), (fd, m, flags))
COUNT_CALLS(sends, ssize_t, send, (int fd, const void* from, size_t n, int flags),
            (fd, from, n, flags))
COUNT_CALLS(sends, ssize_t, writev, (int fd, const iovec* v, int n), (fd, v, n))
COUNT_CALLS(epoll_waits, int, epoll_wait, (int fd, epoll_event* e, int n, int limit),
            (fd, e, n, limit))
COUNT_CALLS(epoll_changes, int, epoll_ctl, (int fd, int op, int at, epoll_event* e),
            (fd, op, at, e))
COUNT_CALLS(timers, int, timerfd_settime, (int fd, int flags, const itimerspec* a, itimerspec* b),
            (fd, flags, a, b))
COUNT_CALLS(sockets, int, socket, (int domain, int type, int protocol), (domain, type, protocol))
COUNT_CALLS(sockets, int, connect, (int fd, const sockaddr* at, socklen_t n), (fd, at, n))
COUNT_CALLS(sockets, int, accept, (int fd, sockaddr* at, socklen_t* n), (fd, at, n))
COUNT_CALLS(sockets, int, close, (int fd), (fd))
COUNT_CALLS(sockets, int, setsockopt, (int fd, int level, int name, const void* v, socklen_t n),
            (fd, level, name, v, n))

extern "C" void* memcpy(void* to, const void* from, size_t n) {
  counters.moved_bytes += is_counting ? n : 0;
  auto* result = to;
#if defined(__x86_64__)
  __asm__ volatile("rep movsb" : "+D"(to), "+S"(from), "+c"(n) : : "memory");
#else
  for (size_t i = 0; i < n; ++i)
    static_cast<volatile char*>(to)[i] = static_cast<const char*>(from)[i];
#endif
  return result;
}
extern "C" void* memmove(void* to, const void* from, size_t n) {
  if (to <= from || static_cast<char*>(to) >= static_cast<const char*>(from) + n)
    return memcpy(to, from, n);
  counters.moved_bytes += is_counting ? n : 0;
  while (n-- > 0) static_cast<volatile char*>(to)[n] = static_cast<const char*>(from)[n];
  return to;
}

void* operator new(std::size_t n) {
  auto* p = std::malloc(n);
  if (p == nullptr) throw std::bad_alloc();
  counters.allocations += is_counting, counters.allocated_bytes += is_counting ? n : 0;
  counters.live_bytes += static_cast<std::int64_t>(::malloc_usable_size(p));
  return p;
}
void operator delete(void* p) noexcept {
  counters.live_bytes -= p ? static_cast<std::int64_t>(::malloc_usable_size(p)) : 0;
  std::free(p);
}
void operator delete(void* p, std::size_t) noexcept { operator delete(p); }

namespace petrelrail::test {
namespace {

double processor_time_us() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}
std::size_t count_descriptors() {
  return static_cast<std::size_t>(std::distance(
      std::filesystem::directory_iterator("/proc/self/fd"), std::filesystem::directory_iterator()));
}

struct Bench {
  asio::io_context node_io{1};
  Loop loop;                             // of the simulated peers
  double node_us = 0;                    // processor time of the node's event loop
  std::map<std::string, double> totals;  // of the quota counter, by key
  Peer server{loop.io, [](Wire&w) { answer(w); }}, second{loop.io, [](Wire&w) { answer(w); }};
  Peer counter{loop.io, [this](Wire& w) {
                 for (auto l = w.line(); !l.empty(); l = w.line()) w.send(count(l));
               }};
  Peer agent{loop.io};
  std::optional<Node> node;

  static void answer(Wire& w) {
    while (!w.message().empty()) w.send(http_answer("200 OK", std::string(1024, 'x')));
  }
  std::string count(const std::string& line) {
    if (line == "ping") return "pong\r\n";
    const auto name = line.substr(5, line.find(' ', 5) - 5);
    return "ok " + std::to_string(totals[name] += std::stod(line.substr(5 + name.size()))) + "\r\n";
  }
  // Runs both event loops until `condition` holds. Throws after 20 s.
  void run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline)
        throw std::runtime_error("the awaited condition did not hold within 20 s");
      node_io.restart();
      const auto before = processor_time_us();
      is_counting = true;
      const auto ran = node_io.poll();
      is_counting = false;
      node_us += processor_time_us() - before;
      loop.io.restart();
      if (loop.io.poll() + ran == 0) ::usleep(20);
    }
  }
  Bench() {
    NodeConfig c;
    c.listen = Tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    c.discovery = agent.endpoint(), c.discovery_host = agent.text(), c.counter = counter.endpoint(),
    c.control = c.listen;
    c.descriptors = 1024, c.seed = 1, c.keep_alive = 30s;
    c.memory_limit = 192 * limits::kBytesPerMegabyte;
    c.settings.settings = settings();
    c.settings.settings.plans[0].rate = 1000, c.settings.settings.plans[0].burst = 4000;
    c.settings.settings.connect_timeout = 250ms;
    c.settings.names.zones = {{"a", 0}};
    auto members = nlohmann::json::array();
    for (const auto* s : {&server, &second})
      members.push_back({{"id", s == &server ? "s-00000001" : "s-00000002"},
                         {"host_port", s->text()},
                         {"locality", "a"},
                         {"cell", 1},
                         {"phase", "SERVING"},
                         {"up_since_ms", 0}});
    c.known_endpoints = {{"revision", 1}, {"complete", true}, {"members", members}};
    node.emplace(node_io, std::move(c));
    node->start();
    const auto probe = loop.connect(node->listen_address());
    std::string answer_text;
    probe->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return !(answer_text = probe->message()).empty(); });
    // Not ready until the connections to the counter are established.
    if (!answer_text.starts_with("HTTP/1.1 200")) {
      run_until([&] {
        probe->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        run_until([&] { return !(answer_text = probe->message()).empty(); });
        return answer_text.starts_with("HTTP/1.1 200");
      });
    }
    probe->close();
  }
  // Sends a request of a customer and waits for its answer. Throws if the status is not 200.
  void request(Wire& w, std::uint64_t id, std::uint64_t customer) {
    std::array<char, 512> text{};
    std::snprintf(text.data(), text.size(),
                  "GET /safe?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: "
                  "%016llx\r\nX-Priority-Class: safe\r\n"
                  "X-Plan: plain\r\nCookie: client=%016llx\r\nX-Timeout-Ms: 2000\r\n"
                  "X-Quota: units=1,spread=2,first=1\r\n\r\n",
                  static_cast<unsigned long long>(id), static_cast<unsigned long long>(customer));
    w.send(text.data());
    std::string answer_text;
    run_until([&] { return !(answer_text = w.message()).empty(); });
    if (!answer_text.starts_with("HTTP/1.1 200"))
      throw std::runtime_error("not served: " + answer_text);
  }
};

int run(std::uint64_t requests) {
  Bench b;
  const auto w = b.loop.connect(b.node->listen_address());
  std::uint64_t n = 0;
  for (int i = 0; i < 200; ++i)
    b.request(*w, ++n, 1 + n % 20);  // opens connections and obtains leases
  counters = {.live_bytes = counters.live_bytes}, b.node_us = 0;
  for (std::uint64_t i = 0; i < requests; ++i) b.request(*w, ++n, 1 + n % 20);
  const auto c = counters;
  const auto per_request = [&](std::uint64_t total) {
    return static_cast<double>(total) / static_cast<double>(requests);
  };
  std::cout << "request: microseconds " << b.node_us / static_cast<double>(requests)
            << "\nrequest: calls " << per_request(c.system_calls()) << "\nrequest: receives "
            << per_request(c.receives) << "\nrequest: sends " << per_request(c.sends)
            << "\nrequest: epoll_waits " << per_request(c.epoll_waits)
            << "\nrequest: epoll_changes " << per_request(c.epoll_changes)
            << "\nrequest: timer_settings " << per_request(c.timers) << "\nrequest: socket_calls "
            << per_request(c.sockets) << "\nrequest: allocations " << per_request(c.allocations)
            << "\nrequest: bytes_allocated " << per_request(c.allocated_bytes)
            << "\nrequest: bytes_moved " << per_request(c.moved_bytes) << "\n";

  constexpr std::size_t kSessions = 200, kCustomers = 1000;
  auto live_before = counters.live_bytes;
  auto descriptors_before = count_descriptors();
  std::vector<std::shared_ptr<Wire>> sessions;
  for (std::size_t i = 0; i < kSessions; ++i)
    sessions.push_back(b.loop.connect(b.node->listen_address()));
  const auto client_bytes = counters.live_bytes - live_before;  // of the clients' ends
  live_before = counters.live_bytes;
  const auto client_descriptors = count_descriptors() - descriptors_before;
  for (const auto& s : sessions) b.request(*s, ++n, 1 + n % 20);
  std::cout << "session: bytes "
            << (counters.live_bytes - live_before) / static_cast<std::int64_t>(kSessions)
            << "\nsession: descriptors "
            << static_cast<double>(count_descriptors() - descriptors_before - client_descriptors) /
                   static_cast<double>(kSessions)
            << "\n";
  (void)client_bytes;
  live_before = counters.live_bytes;
  for (std::size_t i = 0; i < kCustomers; ++i) b.request(*w, ++n, 1000 + i);
  std::cout << "customer: bytes "
            << (counters.live_bytes - live_before) / static_cast<std::int64_t>(kCustomers) << "\n";
  return 0;
}

}  // namespace
}  // namespace petrelrail::test

int main(int argc, char** argv) {
  try {
    return petrelrail::test::run(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 4000);
  } catch (const std::exception& x) {
    std::cerr << "cost: " << x.what() << "\n";
    return 1;
  }
}

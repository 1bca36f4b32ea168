// What a request costs: the edge node's own parts in one process with the stand-ins of the tests,
// over loopback. The node runs on its own event loop, and only what happens there is counted:
// system calls, allocations, bytes moved by memcpy and memmove (those that are not inlined), and
// processor time. Bounded counts, a few seconds; no load rig.
//
//   cost [REQUESTS]     figures by request, client session and customer
//
// bench/compare.sh runs it against another revision, interleaved.
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
#include "loopback_peers.hpp"
#include "node.hpp"

namespace {

struct Counted {
  std::uint64_t allocations = 0, allocated = 0, moved = 0;
  std::uint64_t receives = 0, sends = 0, epoll_waits = 0, epoll_changes = 0, timers = 0,
                sockets = 0;
  std::int64_t live = 0;  // bytes, always counted
  std::uint64_t calls() const {
    return receives + sends + epoll_waits + epoll_changes + timers + sockets;
  }
};
constinit Counted counted;
constinit bool counting = false;  // the node's loop runs

template <class F>
F real(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

// ---- Interposed: the C library's calls go through here ------------------------------------------

#define COUNT_CALLS(figure, type, name, parameters, arguments) \
  extern "C" type name parameters {                            \
    static const auto next = real<type(*) parameters>(#name);  \
    counted.figure += counting;                                \
    return next arguments;                                     \
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
  counted.moved += counting ? n : 0;
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
  counted.moved += counting ? n : 0;
  while (n-- > 0) static_cast<volatile char*>(to)[n] = static_cast<const char*>(from)[n];
  return to;
}

void* operator new(std::size_t n) {
  auto* p = std::malloc(n);
  if (p == nullptr) throw std::bad_alloc();
  counted.allocations += counting, counted.allocated += counting ? n : 0;
  counted.live += static_cast<std::int64_t>(::malloc_usable_size(p));
  return p;
}
void operator delete(void* p) noexcept {
  counted.live -= p ? static_cast<std::int64_t>(::malloc_usable_size(p)) : 0;
  std::free(p);
}
void operator delete(void* p, std::size_t) noexcept { operator delete(p); }

namespace petrelrail::test {
namespace {

double processor_time() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}
std::size_t descriptors() {
  return static_cast<std::size_t>(std::distance(
      std::filesystem::directory_iterator("/proc/self/fd"), std::filesystem::directory_iterator()));
}

struct Bench {
  asio::io_context node_io{1};
  Loop loop;  // of the stand-ins
  double micros = 0;
  std::map<std::string, double> totals;
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
  void until(const std::function<bool()>& so) {
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!so()) {
      if (std::chrono::steady_clock::now() > end)
        throw std::runtime_error("what was waited for never came");
      node_io.restart();
      const auto before = processor_time();
      counting = true;
      const auto ran = node_io.poll();
      counting = false;
      micros += processor_time() - before;
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
    std::string got;
    probe->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    until([&] { return !(got = probe->message()).empty(); });
    if (!got.starts_with("HTTP/1.1 200")) {  // the counter's connections come up
      until([&] {
        probe->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        until([&] { return !(got = probe->message()).empty(); });
        return got.starts_with("HTTP/1.1 200");
      });
    }
    probe->close();
  }
  // One request of one customer, answered.
  void ask(Wire& w, std::uint64_t n, std::uint64_t customer) {
    std::array<char, 512> text{};
    std::snprintf(text.data(), text.size(),
                  "GET /safe?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: "
                  "%016llx\r\nX-Priority-Class: safe\r\n"
                  "X-Plan: plain\r\nCookie: client=%016llx\r\nX-Timeout-Ms: 2000\r\n"
                  "X-Quota: units=1,spread=2,first=1\r\n\r\n",
                  static_cast<unsigned long long>(n), static_cast<unsigned long long>(customer));
    w.send(text.data());
    std::string got;
    until([&] { return !(got = w.message()).empty(); });
    if (!got.starts_with("HTTP/1.1 200")) throw std::runtime_error("not served: " + got);
  }
};

int run(std::uint64_t requests) {
  Bench b;
  const auto w = b.loop.connect(b.node->listen_address());
  std::uint64_t n = 0;
  for (int i = 0; i < 200; ++i) b.ask(*w, ++n, 1 + n % 20);  // connections and leases are there
  counted = {.live = counted.live}, b.micros = 0;
  for (std::uint64_t i = 0; i < requests; ++i) b.ask(*w, ++n, 1 + n % 20);
  const auto c = counted;
  const auto each = [&](std::uint64_t all) {
    return static_cast<double>(all) / static_cast<double>(requests);
  };
  std::cout << "request: microseconds " << b.micros / static_cast<double>(requests)
            << "\nrequest: calls " << each(c.calls()) << "\nrequest: receives " << each(c.receives)
            << "\nrequest: sends " << each(c.sends) << "\nrequest: epoll_waits "
            << each(c.epoll_waits) << "\nrequest: epoll_changes " << each(c.epoll_changes)
            << "\nrequest: timer_settings " << each(c.timers) << "\nrequest: socket_calls "
            << each(c.sockets) << "\nrequest: allocations " << each(c.allocations)
            << "\nrequest: bytes_allocated " << each(c.allocated) << "\nrequest: bytes_moved "
            << each(c.moved) << "\n";

  constexpr std::size_t kSessions = 200, kCustomers = 1000;
  auto live = counted.live;
  auto open = descriptors();
  std::vector<std::shared_ptr<Wire>> sessions;
  for (std::size_t i = 0; i < kSessions; ++i)
    sessions.push_back(b.loop.connect(b.node->listen_address()));
  const auto wires = counted.live - live;  // the stand-ins' own ends
  live = counted.live;
  const auto far_ends = descriptors() - open;
  for (const auto& s : sessions) b.ask(*s, ++n, 1 + n % 20);
  std::cout << "session: bytes " << (counted.live - live) / static_cast<std::int64_t>(kSessions)
            << "\nsession: descriptors "
            << static_cast<double>(descriptors() - open - far_ends) / static_cast<double>(kSessions)
            << "\n";
  (void)wires;
  live = counted.live;
  for (std::size_t i = 0; i < kCustomers; ++i) b.ask(*w, ++n, 1000 + i);
  std::cout << "customer: bytes " << (counted.live - live) / static_cast<std::int64_t>(kCustomers)
            << "\n";
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

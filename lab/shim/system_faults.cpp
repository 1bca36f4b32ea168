// A library that the lab and the tests load into a node's process (LD_PRELOAD). It makes system
// calls fail now and then in ways that Linux documents, and steps the wall clock. The monotonic
// clock, and with it every span of real time, stays as it is.
//
// PETRELRAIL_FAULTS names what it does, as KEY=VALUE with commas between:
//   seed=N      of its random draws
//   accept=P    share of accepts that fail (ECONNABORTED, ENFILE, ENOBUFS); the client stays in the
//   queue connect=P   share of connects that fail (EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR)
//   socket=P    share of sockets that can't be had (ENFILE, ENOBUFS)
//   poll=P      share of polls that are interrupted (EINTR)
//   read=P, write=P  share of reads and writes that are short, or interrupted (EINTR) before a byte
//   step_s=S    the wall clock is S seconds off, from `step_after_ms` after the start of the
//   process on
#include <dlfcn.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>

namespace {

constexpr std::uint64_t kMixFirst = 0xbf58476d1ce4e5b9ULL, kMixSecond = 0x94d049bb133111ebULL,
                        kMixStep = 0x9e3779b97f4a7c15ULL;
constexpr std::int64_t kNanosecondsInMillisecond = 1'000'000, kMillisecondsInSecond = 1000;

template <class Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));  // the way that dlsym(3) gives
}

std::int64_t monotonic_ms() {
  static const auto now = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  timespec t{};
  now(CLOCK_MONOTONIC, &t);
  return t.tv_sec * kMillisecondsInSecond + t.tv_nsec / kNanosecondsInMillisecond;
}

// What PETRELRAIL_FAULTS says, read once.
struct Plan {
  double accept = 0, connect = 0, socket = 0, poll = 0, read = 0, write = 0;
  bool hide_closes = false;
  std::int64_t step_s = 0, step_after_ms = 0, started_ms = monotonic_ms();
  std::uint64_t state = 1;

  Plan() {
    const char* text = std::getenv("PETRELRAIL_FAULTS");
    std::string rest = text != nullptr ? text : "";
    while (!rest.empty()) {
      const auto part = rest.substr(0, rest.find(','));
      rest.erase(0, std::min(rest.size(), part.size() + 1));
      const auto equals = part.find('=');
      if (equals != std::string::npos) set(part.substr(0, equals), part.substr(equals + 1));
    }
    state += static_cast<std::uint64_t>(getpid());
  }
  void set(const std::string& key, const std::string& value) {
    const double number = std::strtod(value.c_str(), nullptr);
    if (key == "accept") accept = number;
    if (key == "connect") connect = number;
    if (key == "socket") socket = number;
    if (key == "poll") poll = number;
    if (key == "read") read = number;
    if (key == "write") write = number;
    if (key == "hide_closes") hide_closes = number != 0;
    if (key == "step_s") step_s = static_cast<std::int64_t>(number);
    if (key == "step_after_ms") step_after_ms = static_cast<std::int64_t>(number);
    if (key == "seed") state = std::strtoull(value.c_str(), nullptr, 10);
  }
  std::uint64_t draw() {  // splitmix64
    std::uint64_t z = state += kMixStep;
    z = (z ^ (z >> 30U)) * kMixFirst;
    z = (z ^ (z >> 27U)) * kMixSecond;
    return z ^ (z >> 31U);
  }
  bool happens(double share) {
    constexpr double kAll = 1.0 / 9007199254740992.0;  // 2^-53
    return share > 0 && static_cast<double>(draw() >> 11U) * kAll < share;
  }
  // Sets errno to one of these; the value that a failed call returns.
  template <std::size_t kCount>
  int fail(const std::array<int, kCount>& errors) {
    errno = errors[draw() % kCount];
    return -1;
  }
  // A part of so many bytes, one at least.
  std::size_t part_of(std::size_t bytes) { return bytes <= 1 ? bytes : 1 + draw() % (bytes - 1); }
};

Plan& plan() {
  static Plan p;
  return p;
}

// The first buffer of a message, shortened: what a short read or write is.
template <class Call>
ssize_t shortened(const msghdr* message, Call call) {
  if (message->msg_iovlen == 0 || message->msg_iov[0].iov_len <= 1) return call(message);
  iovec first = message->msg_iov[0];
  first.iov_len = plan().part_of(first.iov_len);
  msghdr less = *message;
  less.msg_iov = &first, less.msg_iovlen = 1;
  return call(&less);
}
bool is_stream(int descriptor) {
  int type = 0;
  socklen_t size = sizeof type;
  return getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}
// What a process sees that misses that its peers have closed: nothing has come yet.
ssize_t without_close(int descriptor, ssize_t result, std::size_t wanted) {
  if (!plan().hide_closes || result != 0 || wanted == 0 || !is_stream(descriptor)) return result;
  errno = EAGAIN;
  return -1;
}
int without_close(pollfd* descriptors, nfds_t count, int result) {
  if (!plan().hide_closes || result <= 0) return result;
  int ready = 0;
  for (nfds_t i = 0; i < count; ++i) {
    auto& events = descriptors[i].revents;
    if ((events & POLLRDHUP) != 0) events = 0;
    ready += events != 0 ? 1 : 0;
  }
  return ready;
}
bool interrupts() { return plan().draw() % 4 == 0; }

constexpr std::array<int, 3> kAcceptErrors{ECONNABORTED, ENFILE, ENOBUFS};
constexpr std::array<int, 4> kConnectErrors{EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR};
constexpr std::array<int, 2> kSocketErrors{ENFILE, ENOBUFS};
constexpr std::array<int, 1> kInterrupted{EINTR};

}  // namespace

extern "C" {

int accept(int listener, sockaddr* from, socklen_t* size) {
  static const auto call = real<int (*)(int, sockaddr*, socklen_t*)>("accept");
  if (plan().happens(plan().accept)) return plan().fail(kAcceptErrors);
  return call(listener, from, size);
}
int accept4(int listener, sockaddr* from, socklen_t* size, int flags) {
  static const auto call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (plan().happens(plan().accept)) return plan().fail(kAcceptErrors);
  return call(listener, from, size, flags);
}
int connect(int descriptor, const sockaddr* to, socklen_t size) {
  static const auto call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (plan().happens(plan().connect)) return plan().fail(kConnectErrors);
  return call(descriptor, to, size);
}
int socket(int domain, int type, int protocol) noexcept {
  static const auto call = real<int (*)(int, int, int)>("socket");
  if (plan().happens(plan().socket)) return plan().fail(kSocketErrors);
  return call(domain, type, protocol);
}
int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto call = real<int (*)(pollfd*, nfds_t, int)>("poll");
  if (plan().happens(plan().poll)) return plan().fail(kInterrupted);
  return without_close(descriptors, count, call(descriptors, count, timeout));
}
ssize_t recv(int descriptor, void* to, std::size_t size, int flags) {
  static const auto call = real<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  if (plan().happens(plan().read) && is_stream(descriptor)) {
    if (interrupts()) return plan().fail(kInterrupted);
    size = plan().part_of(size);
  }
  return without_close(descriptor, call(descriptor, to, size, flags), size);
}
ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto call = real<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  const auto wanted = message->msg_iovlen;
  if (!plan().happens(plan().read) || !is_stream(descriptor))
    return without_close(descriptor, call(descriptor, message, flags), wanted);
  if (interrupts()) return plan().fail(kInterrupted);
  return without_close(descriptor,
                       shortened(message,
                                 [&](const msghdr* less) {
                                   msghdr copy = *less;
                                   return call(descriptor, &copy, flags);
                                 }),
                       wanted);
}
ssize_t send(int descriptor, const void* from, std::size_t size, int flags) {
  static const auto call = real<ssize_t (*)(int, const void*, std::size_t, int)>("send");
  if (plan().happens(plan().write) && is_stream(descriptor)) {
    if (interrupts()) return plan().fail(kInterrupted);
    size = plan().part_of(size);
  }
  return call(descriptor, from, size, flags);
}
ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto call = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (!plan().happens(plan().write) || !is_stream(descriptor))
    return call(descriptor, message, flags);
  if (interrupts()) return plan().fail(kInterrupted);
  return shortened(message, [&](const msghdr* less) { return call(descriptor, less, flags); });
}
int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto call = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = call(clock, now);
  const auto& p = plan();
  if (clock == CLOCK_REALTIME && p.step_s != 0 && monotonic_ms() - p.started_ms >= p.step_after_ms)
    now->tv_sec += p.step_s;
  return result;
}

}  // extern "C"

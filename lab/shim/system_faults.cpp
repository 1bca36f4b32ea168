// A shared library that the lab and the tests load into a node's process with LD_PRELOAD. It makes
// system calls fail at random in ways that Linux documents, and steps the wall clock. The monotonic
// clock, and with it every measured duration, stays unchanged.
//
// PETRELRAIL_FAULTS configures it as a comma-separated list of KEY=VALUE:
//   seed=N            seed of the random draws, to which the process id is added
//   accept=P          probability that an accept fails (ECONNABORTED, ENFILE, ENOBUFS); the client
//                     stays in the queue
//   connect=P         probability that a connect fails (EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR)
//   socket=P          probability that a socket can't be created (ENFILE, ENOBUFS)
//   poll=P            probability that a poll is interrupted (EINTR)
//   read=P, write=P   probability that a read or write is short, or interrupted (EINTR) before the
//                     first byte
//   hide_closes=1     hides from the process that its peers have closed their connections
//   step_s=S          sets the wall clock S seconds off,
//   step_after_ms=T   from T milliseconds after the start of the process
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
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000, kMillisecondsPerSecond = 1000;

template <class Function>
Function next_function(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));  // as dlsym(3) recommends
}

std::int64_t monotonic_ms() {
  static const auto now = next_function<int (*)(clockid_t, timespec*)>("clock_gettime");
  timespec t{};
  now(CLOCK_MONOTONIC, &t);
  return t.tv_sec * kMillisecondsPerSecond + t.tv_nsec / kNanosecondsPerMillisecond;
}

// The configuration in PETRELRAIL_FAULTS, read once, and the state of the random draws.
struct FaultConfig {
  double accept = 0, connect = 0, socket = 0, poll = 0, read = 0, write = 0;
  bool hide_closes = false;
  std::int64_t step_s = 0, step_after_ms = 0, started_ms = monotonic_ms();
  std::uint64_t state = 1;

  FaultConfig() {
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
  bool should_fail(double probability) {
    constexpr double kUnit = 1.0 / 9007199254740992.0;  // 2^-53
    return probability > 0 && static_cast<double>(draw() >> 11U) * kUnit < probability;
  }
  // Sets errno to one of `errors` and returns -1, as a failed call does.
  template <std::size_t kCount>
  int fail(const std::array<int, kCount>& errors) {
    errno = errors[draw() % kCount];
    return -1;
  }
  // Returns a size of at least one byte and less than `bytes`, or `bytes` if that is at most one.
  std::size_t draw_short_size(std::size_t bytes) {
    return bytes <= 1 ? bytes : 1 + draw() % (bytes - 1);
  }
};

FaultConfig& config() {
  static FaultConfig instance;
  return instance;
}

// Calls with only a part of the message's first buffer, which gives a short read or write.
template <class Call>
ssize_t call_shortened(const msghdr* message, Call call) {
  if (message->msg_iovlen == 0 || message->msg_iov[0].iov_len <= 1) return call(message);
  iovec first = message->msg_iov[0];
  first.iov_len = config().draw_short_size(first.iov_len);
  msghdr shortened = *message;
  shortened.msg_iov = &first, shortened.msg_iovlen = 1;
  return call(&shortened);
}
bool is_stream(int descriptor) {
  int type = 0;
  socklen_t size = sizeof type;
  return getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}
// With hide_closes, reports the end of a stream as EAGAIN, as if nothing had been received yet.
ssize_t hide_close(int descriptor, ssize_t result, std::size_t wanted) {
  if (!config().hide_closes || result != 0 || wanted == 0 || !is_stream(descriptor)) return result;
  errno = EAGAIN;
  return -1;
}
// With hide_closes, removes the events of descriptors whose peer has closed.
int hide_close(pollfd* descriptors, nfds_t count, int result) {
  if (!config().hide_closes || result <= 0) return result;
  int ready = 0;
  for (nfds_t i = 0; i < count; ++i) {
    auto& events = descriptors[i].revents;
    if ((events & POLLRDHUP) != 0) events = 0;
    ready += events != 0 ? 1 : 0;
  }
  return ready;
}
// One in four faulty reads and writes is interrupted; the others are short.
bool draw_interruption() { return config().draw() % 4 == 0; }

constexpr std::array<int, 3> kAcceptErrors{ECONNABORTED, ENFILE, ENOBUFS};
constexpr std::array<int, 4> kConnectErrors{EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR};
constexpr std::array<int, 2> kSocketErrors{ENFILE, ENOBUFS};
constexpr std::array<int, 1> kInterrupted{EINTR};

}  // namespace

extern "C" {

int accept(int listener, sockaddr* from, socklen_t* size) {
  static const auto call = next_function<int (*)(int, sockaddr*, socklen_t*)>("accept");
  if (config().should_fail(config().accept)) return config().fail(kAcceptErrors);
  return call(listener, from, size);
}
int accept4(int listener, sockaddr* from, socklen_t* size, int flags) {
  static const auto call = next_function<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (config().should_fail(config().accept)) return config().fail(kAcceptErrors);
  return call(listener, from, size, flags);
}
int connect(int descriptor, const sockaddr* to, socklen_t size) {
  static const auto call = next_function<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (config().should_fail(config().connect)) return config().fail(kConnectErrors);
  return call(descriptor, to, size);
}
int socket(int domain, int type, int protocol) noexcept {
  static const auto call = next_function<int (*)(int, int, int)>("socket");
  if (config().should_fail(config().socket)) return config().fail(kSocketErrors);
  return call(domain, type, protocol);
}
int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto call = next_function<int (*)(pollfd*, nfds_t, int)>("poll");
  if (config().should_fail(config().poll)) return config().fail(kInterrupted);
  return hide_close(descriptors, count, call(descriptors, count, timeout));
}
ssize_t recv(int descriptor, void* to, std::size_t size, int flags) {
  static const auto call = next_function<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  if (config().should_fail(config().read) && is_stream(descriptor)) {
    if (draw_interruption()) return config().fail(kInterrupted);
    size = config().draw_short_size(size);
  }
  return hide_close(descriptor, call(descriptor, to, size, flags), size);
}
ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto call = next_function<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  const auto wanted = message->msg_iovlen;
  if (!config().should_fail(config().read) || !is_stream(descriptor))
    return hide_close(descriptor, call(descriptor, message, flags), wanted);
  if (draw_interruption()) return config().fail(kInterrupted);
  return hide_close(descriptor,
                    call_shortened(message,
                                   [&](const msghdr* shortened) {
                                     msghdr copy = *shortened;
                                     return call(descriptor, &copy, flags);
                                   }),
                    wanted);
}
ssize_t send(int descriptor, const void* from, std::size_t size, int flags) {
  static const auto call = next_function<ssize_t (*)(int, const void*, std::size_t, int)>("send");
  if (config().should_fail(config().write) && is_stream(descriptor)) {
    if (draw_interruption()) return config().fail(kInterrupted);
    size = config().draw_short_size(size);
  }
  return call(descriptor, from, size, flags);
}
ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto call = next_function<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (!config().should_fail(config().write) || !is_stream(descriptor))
    return call(descriptor, message, flags);
  if (draw_interruption()) return config().fail(kInterrupted);
  return call_shortened(
      message, [&](const msghdr* shortened) { return call(descriptor, shortened, flags); });
}
int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto call = next_function<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = call(clock, now);
  const auto& faults = config();
  if (clock == CLOCK_REALTIME && faults.step_s != 0 &&
      monotonic_ms() - faults.started_ms >= faults.step_after_ms)
    now->tv_sec += faults.step_s;
  return result;
}

}  // extern "C"

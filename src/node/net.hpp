// Basics of the edge node's sockets: types, the fleet's clock and one timer queue, on the thread of
// the io_context.
#pragma once

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "log.hpp"
#include "petrelrail/gateway.hpp"

namespace petrelrail {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using Executor = asio::io_context::executor_type;

// Repeats a system call while a signal interrupts it.
template <class Call>
auto retry_on_interrupt(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

// A TCP stream socket that continues after a short write. Asio takes a short write for a full send
// buffer and then waits for an edge-triggered readiness event, which does not come if the buffer
// had space. Here only a write refused with EWOULDBLOCK waits, and it waits for the state of
// readiness, not for an edge.
class Socket : public asio::basic_stream_socket<Tcp, Executor> {
 public:
  using Base = asio::basic_stream_socket<Tcp, Executor>;
  using Base::Base;
  Socket(Base&& other) : Base(std::move(other)) {}  // implicit, for accepted sockets

  // The socket must not be moved while a write is pending. The handler is never called from within
  // this function.
  template <class Buffers, class Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    error_code failed;
    if (!non_blocking()) non_blocking(true, failed);
    std::size_t written = 0;
    if (!failed) written = write_now(buffers, failed);
    if (failed == asio::error::would_block)
      return write_when_ready(buffers, std::forward<Handler>(handler));
    asio::post(get_executor(), [handler = std::forward<Handler>(handler), failed,
                                written]() mutable { handler(failed, written); });
  }

 private:
  template <class Buffers>
  std::size_t write_now(const Buffers& buffers, error_code& failed) {
    std::size_t written = 0;
    do {
      failed = {};
      written = write_some(buffers, failed);
    } while (failed == asio::error::interrupted);
    return written;
  }
  template <class Buffers, class Handler>
  void write_when_ready(const Buffers& buffers, Handler&& handler) {
    async_wait(wait_write, [this, buffers,
                            handler = std::forward<Handler>(handler)](error_code failed) mutable {
      std::size_t written = 0;
      if (!failed) written = write_now(buffers, failed);
      if (failed == asio::error::would_block) return write_when_ready(buffers, std::move(handler));
      handler(failed, written);
    });
  }
};

// Whether opening a connection failed for a reason of this machine, which says nothing about the
// peer.
inline bool is_local_failure(const error_code& failed) {
  return failed == asio::error::no_descriptors || failed == asio::error::no_buffer_space ||
         failed == asio::error::no_memory || failed == asio::error::network_unreachable ||
         failed == asio::error::interrupted || failed.value() == ENFILE ||
         failed.value() == EADDRNOTAVAIL;
}
// Whether an accept failed because the client disconnected again, or without a lasting cause:
// another client may be waiting.
inline bool is_transient_accept_failure(const error_code& failed) {
  return failed == asio::error::connection_aborted || failed == asio::error::interrupted ||
         failed.value() == EPROTO;
}
// Whether an accept failed for lack of a resource of the whole machine: closing connections of this
// process doesn't help.
inline bool is_system_shortage(const error_code& failed) {
  return failed == asio::error::no_buffer_space || failed == asio::error::no_memory ||
         failed.value() == ENFILE;
}

// Closes at once; data that the peer has not read yet may be lost.
inline void close_now(Socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

// Disables Nagle's algorithm, so that small messages are sent at once.
inline void set_no_delay(Socket& socket) {
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
}

// Unix time, read once at the start and advanced by the steady clock: the nodes agree on it, and it
// never goes backwards.
class Clock {
 public:
  using Steady = std::chrono::steady_clock;
  Time now() const { return Time(unix_ + (Steady::now() - steady_)); }
  Steady::time_point steady(Time t) const { return steady_ + (t.time_since_epoch() - unix_); }

 private:
  Duration unix_ = std::chrono::system_clock::now().time_since_epoch();
  Steady::time_point steady_ = Steady::now();
};

// Counts of malformed messages by the HTTP status of the response; 0: closed without a response.
using StatusCounts = std::map<unsigned, std::uint64_t>;

// All timers of the process, on one timer of the operating system: setting and cancelling a
// time-out costs no system call. Times are of Clock; callbacks run on the thread of the io_context.
class Timers {
 public:
  using Queue = std::multimap<Time, std::function<void()>>;
  using Handle = std::optional<Queue::iterator>;

  Timers(asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io.get_executor()) {}

  Time now() const { return clock_.now(); }

  // Runs `callback` once at `deadline`, or after `delay`. The handle is invalid once the callback
  // runs, so the callback has to reset a handle that is kept.
  Handle at(Time deadline, std::function<void()> callback) {
    const auto it = queue_.emplace(deadline, std::move(callback));
    if (deadline < armed_time_) arm();
    return it;
  }
  Handle after(Duration delay, std::function<void()> callback) {
    return at(now() + delay, std::move(callback));
  }

  // Cancels the timer of the handle, if it is set, and resets the handle.
  void cancel(Handle& handle) {
    if (const auto it = std::exchange(handle, std::nullopt)) queue_.erase(*it);
  }

 private:
  void arm() {
    armed_time_ = queue_.begin()->first;
    timer_.expires_at(clock_.steady(armed_time_));
    timer_.async_wait([this](const error_code& failed) {
      if (!failed) run_due();
    });
  }
  void run_due() {
    armed_time_ = Time::max();
    const Time until = now();
    while (!queue_.empty() && queue_.begin()->first <= until) {
      const auto due = queue_.extract(queue_.begin());
      try {
        due.mapped()();
      } catch (const std::exception& x) {
        log::warning("node", "a timer callback threw", {{"why", x.what()}});
      }
    }
    if (!queue_.empty() && queue_.begin()->first < armed_time_) arm();
  }

  const Clock& clock_;
  asio::basic_waitable_timer<Clock::Steady, asio::wait_traits<Clock::Steady>, Executor> timer_;
  Queue queue_;
  Time armed_time_ = Time::max();
};

}  // namespace petrelrail

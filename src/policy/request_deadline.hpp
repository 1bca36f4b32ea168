// From which moment a request's time counts, and the deadlines that follow from it. src/node and
// the decision module take every deadline of a request from here.
//
// A request's time counts from its last byte (PROTOCOL, "Figures"), not from its header:
//
//   body                   its last byte has arrived when
//   ---------------------  ------------------------------------------------------------------------
//   none, or a short one   it is read, though the request may wait behind one of its connection
//   long, with a length    all that its length still announces lies in the socket's receive buffer
//   long, in chunks        its last chunk is read, as nothing earlier tells which one is the last
//
// Where the last byte may have lain unread by then, the time counts from the last moment at which
// it had surely not been written (BodyArrival).
//
// A long body is forwarded while it arrives. Until its last byte has arrived the request has no
// deadline, unless the process ends: the client is bound by the rate at which it has to write, and
// the price server by body_write_deadline().
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "petrelrail/types.hpp"

namespace petrelrail::policy {

class RequestDeadline {
 public:
  RequestDeadline() = default;
  // Of a request that has arrived completely.
  static RequestDeadline running(Time now, Duration timeout) {
    RequestDeadline deadline = pending(timeout);
    deadline.on_last_byte(now);
    return deadline;
  }
  // Of a request whose body is still arriving.
  static RequestDeadline pending(Duration timeout) {
    RequestDeadline deadline;
    deadline.timeout_ = timeout;
    return deadline;
  }

  // Returns whether the time begins to count now; it begins only once.
  bool on_last_byte(Time now) {
    if (running_) return false;
    running_ = true;
    deadline_ = now + timeout_;
    return true;
  }
  // The process ends at `latest`, and no answer can be given after that.
  void limit(Time latest) { latest_ = std::min(latest_, latest); }

  bool is_running() const { return running_; }
  // How long the client waits from the request's last byte.
  Duration timeout() const { return timeout_; }
  // When the answer is due; Time::max() before the last byte has arrived, unless limited.
  Time time() const { return std::min(deadline_, latest_); }
  // The earliest that the answer may be due if the last byte may have arrived at any time since
  // `last_byte_hidden_since`; none: it can't have arrived unseen.
  Time earliest_time(std::optional<Time> last_byte_hidden_since) const {
    return last_byte_hidden_since ? std::min(time(), *last_byte_hidden_since + timeout_) : time();
  }
  // How long the client still waits: the whole timeout while its time does not count.
  Duration time_left(Time now) const {
    return std::min(running_ ? deadline_ - now : timeout_, latest_ - now);
  }

 private:
  Duration timeout_{};
  bool running_ = false;
  Time deadline_ = Time::max();
  Time latest_ = Time::max();
};

// How far a price server has taken a body that is forwarded while it arrives.
struct BodyWriteProgress {
  Time last_write_time{};  // when it last took a part; at first, when the attempt was started
  // Since when the body's last byte may lie unread, as the server takes less than the client may
  // have written (BodyArrival). None: all is read, or so much is missing that it can't lie there.
  std::optional<Time> last_byte_hidden_since{};
};

// Until when a price server has to take the rest of a body. The attempt ends after `stall_timeout`
// without a part that the server takes, and as soon as the time of a client may be over whose last
// byte may lie unread.
inline Time body_write_deadline(const RequestDeadline& deadline, const BodyWriteProgress& progress,
                                Duration stall_timeout) {
  return std::min(deadline.earliest_time(progress.last_byte_hidden_since),
                  progress.last_write_time + stall_timeout);
}

// What is known of the length of a response that is forwarded while it arrives.
enum class ResponseLength { within_limit, over_limit, unknown };
struct ResponseProgress {
  ResponseLength length = ResponseLength::unknown;
  Time start_time{};             // when its head had arrived
  Time last_part_time{};         // when a part of its body was last passed on
  std::uint64_t body_bytes = 0;  // passed on so far
};
struct ResponseLimits {
  Duration stall_timeout{};      // without a part of a long response
  Duration max_lateness{};       // of a short response, after its request's deadline
  Duration max_part_interval{};  // of one that may turn out long, once its time is over
  std::uint64_t long_bytes = 0;  // a response with more is a long one
  Duration long_time{};          // within which one of unknown length has to pass that
};

// When such a response ends unfinished if nothing more of its body comes. A long one may take any
// time as long as parts of it keep arriving; a short one has to be complete soon after its
// request's deadline. One of unknown length may still be a long one: once its time is over, it has
// to go on without long pauses, and at a pace that makes it a long one within a fixed time. Parts
// that come more slowly move its end by less than they take, so that it ends.
inline Time response_stall_deadline(const RequestDeadline& deadline,
                                    const ResponseProgress& progress,
                                    const ResponseLimits& limits) {
  const Time stalled = progress.last_part_time + limits.stall_timeout;
  if (progress.length == ResponseLength::over_limit || deadline.time() == Time::max())
    return stalled;
  const Time latest = deadline.time() + limits.max_lateness;
  if (progress.length == ResponseLength::within_limit) return std::min(stalled, latest);
  const auto share = static_cast<double>(progress.body_bytes) /
                     static_cast<double>(limits.long_bytes);
  const std::chrono::duration<double> time_at_pace = share * limits.long_time;
  const Time next_part = std::min(
      progress.last_part_time + limits.max_part_interval,
      progress.start_time + std::chrono::duration_cast<Duration>(time_at_pace));
  return std::min(stalled, std::max(next_part, latest));
}

}  // namespace petrelrail::policy

// When the client of a long body may have written its last byte although the node has not read it.
//
// While the node reads more slowly than a client writes, the last byte may lie in the sockets'
// buffers of either machine. Observations of the node's socket bound how much of the request the
// client had written at a time:
//
//   unread in the node's socket   the client had written by then at most
//   ----------------------------  -----------------------------------------------------------------
//   nothing                       what was read: the receive window is open, and what is written
//                                 arrives
//   some                          what was read, what lies unread, and what the client's socket may
//                                 hold: the window may be closed, however little lies unread
//
// The last byte was written after an observation if it lies behind that bound. With a known length
// this shows at once; else once that much was read and the body has not ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "petrelrail/types.hpp"

namespace petrelrail::policy {

class BodyArrival {
 public:
  struct Limits {
    // What a client's socket may hold that has not arrived.
    std::uint64_t max_send_buffer_bytes = 0;
    // What the sockets of both machines may hold together.
    std::uint64_t max_buffered_bytes = 0;
  };
  struct Observation {
    std::uint64_t read_bytes = 0;                  // of the request
    std::uint64_t unread_bytes = 0;                // in the node's socket
    std::optional<std::uint64_t> missing_bytes{};  // of the body, not read yet; none: unknown
  };

  // `started`: when the first part of the request was read.
  BodyArrival(Time started, const Limits& limits) : limits_(limits), not_written_until_(started) {}

  // The body has not been read to its end. `now` and the bytes read never decrease.
  void observe(Time now, const Observation& observation);
  // The body was read to its end, which is that many bytes behind the request's start.
  void on_end_read(std::uint64_t end);

  // The last byte was not written before this.
  Time not_written_until() const { return not_written_until_; }
  // So much is missing that the last byte can't have been written before more is read.
  bool is_end_out_of_reach() const { return is_end_out_of_reach_; }

 private:
  // What the client had written at most at a time.
  struct Bound {
    Time time{};
    std::uint64_t written_bytes = 0;
  };
  // Of those that wait for more to be read; beyond this, every second one is dropped.
  static constexpr std::size_t kMaxBounds = 64;

  void on_bound(const Bound& bound, const Observation& observation);
  void on_read(std::uint64_t read_bytes);

  Limits limits_;
  Time not_written_until_;
  bool is_end_out_of_reach_ = false;
  std::deque<Bound> bounds_;  // of a body of unknown length; both members increase
};

}  // namespace petrelrail::policy

// Why client connections, attempts and requests ended: one value for each cause, counted in
// /metrics and named in the log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "petrelrail/gateway.hpp"

namespace petrelrail {

// Of a client connection.
enum class SessionEndReason {
  client_closed,      // the client closed its side
  read_failed,        // a read failed, other than by the client's close
  write_failed,       // a write failed
  response_complete,  // the last response on this connection was written
  response_broken,    // the streamed response was truncated by the price server
  malformed,          // the rest of a forwarded request can't be parsed
  request_too_long,   // more bytes than any request may have
  request_too_slow,   // a request did not begin, or was not complete, in time
  reader_too_slow,    // the client read nothing of its response for too long
  idle,               // no request for too long
  descriptor_needed,  // evicted to free its descriptor
  process_ends,       // this process drains, or a successor serves
  memory_needed,      // closed to free what its incomplete request held
};
inline constexpr std::array<std::string_view, 13> kSessionEndNames{
    "client_closed",   "read_failed", "write_failed",     "answered",
    "answer_broke",    "malformed",   "request_too_long", "request_too_slow",
    "reader_too_slow", "idle",        "descriptor",       "process_ends",
    "memory"};
static_assert(kSessionEndNames.size() ==
              static_cast<std::size_t>(SessionEndReason::memory_needed) + 1);

// Of an attempt.
enum class AttemptEndReason {
  response_complete,        // a complete response, whatever its status
  not_started,              // nothing written: client gone, server draining, or deadline too near
  deadline_before_connect,  // the request's deadline passed while the connection was opened
  local_failure,            // this machine could not open a connection
  connect_failed,           // the connection was refused or reset before it was established
  connect_timeout,          // the connection was not established in time
  write_failed,             // the connection broke before the request's last byte was written
  request_body_broken,      // the client did not send the rest of the request's body
  reset,                    // the connection broke after the request was written
  ended_early,              // the server closed it before its response was complete
  malformed,                // the received bytes are not a valid response
  unsolicited_data,         // bytes arrived that don't belong to this attempt's response
  trailing_bytes,           // bytes followed a complete response
  timed_out,                // no complete response in time
  stalled,                  // a streamed response stopped
  client_disconnected,      // the client disconnected before the response was streamed
  cancelled,                // by a decision of the module
};
inline constexpr std::array<std::string_view, 17> kAttemptEndNames{
    "answered",        "not_started",  "no_time",        "local_failure", "connect_failed",
    "connect_timeout", "write_failed", "body_broke",     "reset",         "ended_early",
    "malformed",       "out_of_turn",  "trailing_bytes", "timed_out",     "stalled",
    "client_gone",     "cancelled"};
static_assert(kAttemptEndNames.size() == static_cast<std::size_t>(AttemptEndReason::cancelled) + 1);

inline constexpr std::array<std::string_view, 11> kRejectionReasonNames{
    "quota_used",    "open_cap", "counter_silent", "counter_busy",   "lease_timeout", "no_server",
    "place_timeout", "too_late", "yields",         "attempt_failed", "customers_full"};
static_assert(kRejectionReasonNames.size() ==
              static_cast<std::size_t>(RejectionReason::customers_full) + 1);

inline constexpr std::array<std::string_view, 8> kOutcomeNames{
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "never_sent"};

constexpr std::string_view name_of(SessionEndReason reason) {
  return kSessionEndNames.at(static_cast<std::size_t>(reason));
}
constexpr std::string_view name_of(AttemptEndReason reason) {
  return kAttemptEndNames.at(static_cast<std::size_t>(reason));
}
constexpr std::string_view name_of(AttemptOutcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}
constexpr std::string_view name_of(RejectionReason reason) {
  return kRejectionReasonNames.at(static_cast<std::size_t>(reason));
}

// Whether this node decided to end the session, rather than the client or a broken response.
constexpr bool is_local_decision(SessionEndReason reason) {
  switch (reason) {
    case SessionEndReason::response_complete:
    case SessionEndReason::idle:
    case SessionEndReason::descriptor_needed:
    case SessionEndReason::process_ends:
    case SessionEndReason::memory_needed: return true;
    default: return false;
  }
}

// Number of occurrences of each value of an enumeration.
template <class Reason, std::size_t kCount>
class ReasonCounts {
 public:
  void add(Reason reason) { ++counts_.at(static_cast<std::size_t>(reason)); }
  const std::array<std::uint64_t, kCount>& all() const { return counts_; }

 private:
  std::array<std::uint64_t, kCount> counts_{};
};
using SessionEnds = ReasonCounts<SessionEndReason, kSessionEndNames.size()>;
using AttemptEnds = ReasonCounts<AttemptEndReason, kAttemptEndNames.size()>;
using RejectionReasons = ReasonCounts<RejectionReason, kRejectionReasonNames.size()>;

}  // namespace petrelrail

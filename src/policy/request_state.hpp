// Checks the invariants of a request: whether an attempt may begin or be written, a final answer be
// given, a response count as complete, or the client's connection be closed. src/node checks here
// before each of these steps. A refused step would have violated a guarantee to the client; the
// caller counts the violation.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

#include "petrelrail/gateway.hpp"
#include "policy/request_deadline.hpp"

namespace petrelrail::policy {

enum class InvariantViolation {
  // An attempt for a request that has its final answer or whose client has disconnected.
  forwarded_after_end,
  // An attempt after the client's deadline, or after the deduplication window of its key.
  forwarded_too_late,
  // An attempt while another one is in flight.
  concurrent_attempt,
  // More attempts than the settings allow.
  too_many_attempts,
  // A repeat of a non-idempotent request that may have run.
  non_idempotent_retry,
  // A final answer after the final answer.
  second_response,
  // A complete response was ended as an incomplete one.
  complete_response_aborted,
  // No final answer was given in time.
  response_overdue,
  // This node closed a client connection with a request pending.
  closed_without_response,
};
inline constexpr std::array<std::string_view, 9> kInvariantViolationNames{
    "sent_after_end", "sent_too_late",    "second_copy",    "too_many_attempts", "unsafe_repeat",
    "second_answer",  "whole_answer_cut", "answer_overdue", "closed_unanswered"};
static_assert(kInvariantViolationNames.size() ==
              static_cast<std::size_t>(InvariantViolation::closed_without_response) + 1);

// Maximum difference between two clock readings for one event.
constexpr Duration kClockSlack = std::chrono::milliseconds(1);

// What happens to a response whose last byte has arrived, or will not arrive.
enum class ResponseDisposition { deliver, fail };

// If further bytes follow a complete response, it is uncertain which request the response belongs
// to: it fails while that is harmless. Once a part of it has been forwarded, the client can't be
// given another response, and withholding the rest would lose the request.
constexpr ResponseDisposition response_disposition(bool complete, bool has_trailing_bytes,
                                                   bool is_partly_forwarded) {
  if (!complete) return ResponseDisposition::fail;
  return has_trailing_bytes && !is_partly_forwarded ? ResponseDisposition::fail
                                                    : ResponseDisposition::deliver;
}

// Returns the violation that closing a client's connection now would be, or nullopt.
constexpr std::optional<InvariantViolation> check_session_close(bool response_pending,
                                                                bool is_node_initiated) {
  if (response_pending && is_node_initiated) return InvariantViolation::closed_without_response;
  return std::nullopt;
}

struct RequestPolicy {
  Idempotency idempotency = Idempotency::idempotent;
  Duration deduplication_window{};  // of an idempotency key
  RequestDeadline deadline;
  std::uint32_t max_attempts = 1;
};

// State of one request from its arrival to the end of its last attempt. The check_ functions return
// the violation that a step would be, or nullopt if it is allowed.
class RequestState {
 public:
  explicit RequestState(const RequestPolicy& policy) : policy_(policy) {}

  std::uint32_t attempts() const { return attempts_; }
  std::uint32_t outstanding_attempts() const { return outstanding_attempts_; }
  bool streams_response() const { return streams_response_; }
  // An attempt may have run, or may still run.
  bool may_have_run() const { return may_have_run_ || outstanding_attempts_ > 0; }
  // Of the first attempt that may have run.
  Time first_forwarded_time() const { return first_forwarded_time_; }

  // The last byte of a request whose body was still arriving is here.
  void on_received(Time now) { policy_.deadline.on_last_byte(now); }

  // ---- Attempts
  std::optional<InvariantViolation> check_forward(Time now) const {
    if (ended_ || streams_response_) return InvariantViolation::forwarded_after_end;
    if (outstanding_attempts_ > 0) return InvariantViolation::concurrent_attempt;
    if (attempts_ >= policy_.max_attempts) return InvariantViolation::too_many_attempts;
    if (may_have_run_ && policy_.idempotency == Idempotency::non_idempotent)
      return InvariantViolation::non_idempotent_retry;
    if (now - kClockSlack >= write_deadline()) return InvariantViolation::forwarded_too_late;
    return std::nullopt;
  }
  void on_forwarded(Time now) {
    ++attempts_, ++outstanding_attempts_;
    if (!may_have_run_) first_forwarded_time_ = now;
  }
  // Returns whether the first byte of the attempt in flight may be written. False is no violation:
  // the client may have disconnected since the attempt was forwarded.
  bool may_write(Time now) const { return !ended_ && now < write_deadline(); }
  void on_attempt_ended(AttemptOutcome outcome) {
    outstanding_attempts_ -= std::min(outstanding_attempts_, 1U);
    const bool never_ran = outcome == AttemptOutcome::overloaded ||
                           outcome == AttemptOutcome::connect_failed ||
                           outcome == AttemptOutcome::never_sent;
    may_have_run_ = may_have_run_ || !never_ran;
  }

  // ---- The final answer
  std::optional<InvariantViolation> check_respond() const {
    return ended_ || streams_response_ ? std::optional(InvariantViolation::second_response)
                                       : std::nullopt;
  }
  void on_responded() { ended_ = true; }
  void on_stream_started() { streams_response_ = true; }
  void on_client_disconnected() { ended_ = true; }
  // Returns whether the final answer is missing `grace` after the client's deadline.
  bool is_overdue(Time now, Duration grace) const {
    return !ended_ && !streams_response_ && now - grace >= policy_.deadline.time();
  }

 private:
  Time write_deadline() const {
    if (!may_have_run_ || policy_.idempotency != Idempotency::idempotency_key)
      return policy_.deadline.time();
    return std::min(policy_.deadline.time(), first_forwarded_time_ + policy_.deduplication_window);
  }

  RequestPolicy policy_;
  std::uint32_t attempts_ = 0, outstanding_attempts_ = 0;
  Time first_forwarded_time_{};  // of the first attempt that may have run
  bool may_have_run_ = false;
  bool streams_response_ = false;  // part of the response was forwarded
  bool ended_ = false;             // answered, or the client has disconnected
};

}  // namespace petrelrail::policy

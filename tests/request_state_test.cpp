// Unit tests of RequestState and the functions beside it: which steps are allowed for a request,
// and which violation each refused step is reported as.
#include "policy/request_state.hpp"

#include <gtest/gtest.h>

namespace petrelrail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kStart{1000s};

RequestState request_state(Idempotency idempotency, std::uint32_t max_attempts = 3) {
  return RequestState({.idempotency = idempotency,
                       .deduplication_window = 500ms,
                       .deadline = RequestDeadline::running(kStart, 2s),
                       .max_attempts = max_attempts});
}

// Guards against delivering a response that may belong to another request, and against withholding
// the rest of one that is partly forwarded.
TEST(RequestStateTest, TrailingBytesFailACompleteResponseOnlyBeforeItIsForwarded) {
  EXPECT_EQ(response_disposition(true, false, false), ResponseDisposition::deliver);
  EXPECT_EQ(response_disposition(true, true, false), ResponseDisposition::fail);
  EXPECT_EQ(response_disposition(true, true, true), ResponseDisposition::deliver);
  EXPECT_EQ(response_disposition(false, false, true), ResponseDisposition::fail);
}
// Guards against closing a client connection here while its request has no response.
TEST(RequestStateTest, OnlyTheClientMayCloseASessionWithAPendingResponse) {
  EXPECT_EQ(check_session_close(true, true), InvariantViolation::closed_without_response);
  EXPECT_EQ(check_session_close(true, false), std::nullopt);
  EXPECT_EQ(check_session_close(false, true), std::nullopt);
}
// Guards against two attempts in flight for one request, and against more than the settings allow.
TEST(RequestStateTest, SecondConcurrentAttemptAndTooManyAttemptsAreViolations) {
  auto r = request_state(Idempotency::idempotent, 2);
  EXPECT_EQ(r.check_forward(kStart), std::nullopt);
  r.on_forwarded(kStart);
  EXPECT_EQ(r.check_forward(kStart), InvariantViolation::concurrent_attempt);
  r.on_attempt_ended(AttemptOutcome::reset);
  EXPECT_EQ(r.check_forward(kStart), std::nullopt);
  r.on_forwarded(kStart);
  r.on_attempt_ended(AttemptOutcome::reset);
  EXPECT_EQ(r.check_forward(kStart), InvariantViolation::too_many_attempts);
}
// Guards against executing a request twice: a non-idempotent one, or one with an idempotency key
// after its deduplication window.
TEST(RequestStateTest, RetryAfterPossibleExecutionDependsOnIdempotency) {
  for (const auto outcome : {AttemptOutcome::reset, AttemptOutcome::timeout, AttemptOutcome::error,
                             AttemptOutcome::cancelled}) {
    auto unsafe = request_state(Idempotency::non_idempotent),
         keyed = request_state(Idempotency::idempotency_key);
    for (auto* r : {&unsafe, &keyed}) r->on_forwarded(kStart), r->on_attempt_ended(outcome);
    EXPECT_EQ(unsafe.check_forward(kStart), InvariantViolation::non_idempotent_retry);
    EXPECT_EQ(keyed.check_forward(kStart + 499ms), std::nullopt);
    EXPECT_EQ(keyed.check_forward(kStart + 502ms), InvariantViolation::forwarded_too_late);
    EXPECT_FALSE(keyed.may_write(kStart + 500ms));
  }
  for (const auto outcome :
       {AttemptOutcome::overloaded, AttemptOutcome::connect_failed, AttemptOutcome::never_sent}) {
    auto unsafe = request_state(Idempotency::non_idempotent);
    unsafe.on_forwarded(kStart), unsafe.on_attempt_ended(outcome);
    EXPECT_EQ(unsafe.check_forward(kStart), std::nullopt);
  }
}
// Guards against attempts whose response nobody receives, and against a second final answer.
TEST(RequestStateTest, ForwardingAfterTheDeadlineTheResponseOrTheDisconnectIsAViolation) {
  EXPECT_EQ(request_state(Idempotency::idempotent).check_forward(kStart + 3s),
            InvariantViolation::forwarded_too_late);
  auto responded = request_state(Idempotency::idempotent),
       disconnected = request_state(Idempotency::idempotent),
       streaming = request_state(Idempotency::idempotent);
  responded.on_responded(), disconnected.on_client_disconnected();
  streaming.on_forwarded(kStart), streaming.on_stream_started();
  for (const auto* r : {&responded, &disconnected, &streaming})
    EXPECT_EQ(r->check_forward(kStart), InvariantViolation::forwarded_after_end);
  EXPECT_FALSE(disconnected.may_write(kStart));
  EXPECT_EQ(responded.check_respond(), InvariantViolation::second_response);
  EXPECT_EQ(streaming.check_respond(), InvariantViolation::second_response);
}
// Guards against reporting a request as overdue while its response is being forwarded.
TEST(RequestStateTest, RequestIsNotOverdueOnceItsResponseStreams) {
  auto r = request_state(Idempotency::idempotent);
  EXPECT_FALSE(r.is_overdue(kStart + 2s, 300ms));
  EXPECT_TRUE(r.is_overdue(kStart + 2300ms, 300ms));
  r.on_stream_started();
  EXPECT_FALSE(r.is_overdue(kStart + 3s, 300ms));
}

}  // namespace
}  // namespace petrelrail::policy

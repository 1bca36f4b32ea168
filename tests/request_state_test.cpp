// The rules on what may be done for a request, alone: each step that is allowed, and each that is
// turned down.
#include "policy/request_state.hpp"

#include <gtest/gtest.h>

namespace petrelrail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kStart{1000s};

RequestState life(Idempotency effect, std::uint32_t attempts = 3) {
  return RequestState({.idempotency = effect,
                       .deduplication_window = 500ms,
                       .deadline = kStart + 2s,
                       .max_attempts = attempts});
}

TEST(RequestRules, BytesBehindAWholeAnswerFailItOnlyWhileNothingWasPassedOn) {
  EXPECT_EQ(response_disposition(true, false, false), ResponseDisposition::deliver);
  EXPECT_EQ(response_disposition(true, true, false), ResponseDisposition::fail);
  EXPECT_EQ(response_disposition(true, true, true), ResponseDisposition::deliver);
  EXPECT_EQ(response_disposition(false, false, true), ResponseDisposition::fail);
}
TEST(RequestRules, ASessionEndsUnderItsRequestForReasonsOfItsClientAlone) {
  EXPECT_EQ(check_session_close(true, true), InvariantViolation::closed_without_response);
  EXPECT_EQ(check_session_close(true, false), std::nullopt);
  EXPECT_EQ(check_session_close(false, true), std::nullopt);
}
TEST(RequestRules, OneAttemptAtATimeAndNoMoreThanAllowed) {
  auto r = life(Idempotency::idempotent, 2);
  EXPECT_EQ(r.check_forward(kStart), std::nullopt);
  r.on_forwarded(kStart);
  EXPECT_EQ(r.check_forward(kStart), InvariantViolation::concurrent_attempt);
  r.on_attempt_ended(AttemptOutcome::reset);
  EXPECT_EQ(r.check_forward(kStart), std::nullopt);
  r.on_forwarded(kStart);
  r.on_attempt_ended(AttemptOutcome::reset);
  EXPECT_EQ(r.check_forward(kStart), InvariantViolation::too_many_attempts);
}
TEST(RequestRules, WhatMayHaveRunIsRepeatedByItsEffect) {
  for (const auto outcome : {AttemptOutcome::reset, AttemptOutcome::timeout, AttemptOutcome::error,
                             AttemptOutcome::cancelled}) {
    auto unsafe = life(Idempotency::non_idempotent), keyed = life(Idempotency::idempotency_key);
    for (auto* r : {&unsafe, &keyed}) r->on_forwarded(kStart), r->on_attempt_ended(outcome);
    EXPECT_EQ(unsafe.check_forward(kStart), InvariantViolation::non_idempotent_retry);
    EXPECT_EQ(keyed.check_forward(kStart + 499ms), std::nullopt);
    EXPECT_EQ(keyed.check_forward(kStart + 502ms), InvariantViolation::forwarded_too_late);
    EXPECT_FALSE(keyed.may_write(kStart + 500ms));
  }
  for (const auto outcome :
       {AttemptOutcome::overloaded, AttemptOutcome::connect_failed, AttemptOutcome::never_sent}) {
    auto unsafe = life(Idempotency::non_idempotent);
    unsafe.on_forwarded(kStart), unsafe.on_attempt_ended(outcome);
    EXPECT_EQ(unsafe.check_forward(kStart), std::nullopt);
  }
}
TEST(RequestRules, NothingIsSentAfterTheTimeTheAnswerOrTheClient) {
  EXPECT_EQ(life(Idempotency::idempotent).check_forward(kStart + 3s),
            InvariantViolation::forwarded_too_late);
  auto answered = life(Idempotency::idempotent), left = life(Idempotency::idempotent),
       passes_on = life(Idempotency::idempotent);
  answered.on_responded(), left.on_client_disconnected();
  passes_on.on_forwarded(kStart), passes_on.on_stream_started();
  for (const auto* r : {&answered, &left, &passes_on})
    EXPECT_EQ(r->check_forward(kStart), InvariantViolation::forwarded_after_end);
  EXPECT_FALSE(left.may_write(kStart));
  EXPECT_EQ(answered.check_respond(), InvariantViolation::second_response);
  EXPECT_EQ(passes_on.check_respond(), InvariantViolation::second_response);
}
TEST(RequestRules, ARequestIsOverdueUntilItHasItsAnswerOrAPartOfIt) {
  auto r = life(Idempotency::idempotent);
  EXPECT_FALSE(r.is_overdue(kStart + 2s, 300ms));
  EXPECT_TRUE(r.is_overdue(kStart + 2300ms, 300ms));
  r.on_stream_started();
  EXPECT_FALSE(r.is_overdue(kStart + 3s, 300ms));
}

}  // namespace
}  // namespace petrelrail::policy

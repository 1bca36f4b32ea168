// The rules on what may be done for a request, alone: each step that is allowed, and each that is turned down.
#include "policy/request_rules.hpp"

#include <gtest/gtest.h>

namespace petrelrail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kStart{1000s};

RequestLife life(Effect effect, std::uint32_t attempts = 3) {
  return RequestLife(
      {.effect = effect, .memory_span = 500ms, .deadline = kStart + 2s, .max_attempts = attempts});
}

TEST(RequestRules, BytesBehindAWholeAnswerFailItOnlyWhileNothingWasPassedOn) {
  EXPECT_EQ(fate_of_answer(true, false, false), AnswerFate::deliver);
  EXPECT_EQ(fate_of_answer(true, true, false), AnswerFate::fail);
  EXPECT_EQ(fate_of_answer(true, true, true), AnswerFate::deliver);
  EXPECT_EQ(fate_of_answer(false, false, true), AnswerFate::fail);
}
TEST(RequestRules, ASessionEndsUnderItsRequestForReasonsOfItsClientAlone) {
  EXPECT_EQ(may_end_session(true, true), Breach::closed_unanswered);
  EXPECT_EQ(may_end_session(true, false), std::nullopt);
  EXPECT_EQ(may_end_session(false, true), std::nullopt);
}
TEST(RequestRules, OneAttemptAtATimeAndNoMoreThanAllowed) {
  auto r = life(Effect::safe, 2);
  EXPECT_EQ(r.may_send(kStart), std::nullopt);
  r.sent(kStart);
  EXPECT_EQ(r.may_send(kStart), Breach::second_copy);
  r.attempt_ended(Outcome::reset);
  EXPECT_EQ(r.may_send(kStart), std::nullopt);
  r.sent(kStart);
  r.attempt_ended(Outcome::reset);
  EXPECT_EQ(r.may_send(kStart), Breach::too_many_attempts);
}
TEST(RequestRules, WhatMayHaveRunIsRepeatedByItsEffect) {
  for (const auto outcome : {Outcome::reset, Outcome::timeout, Outcome::error, Outcome::cancelled}) {
    auto unsafe = life(Effect::unsafe), keyed = life(Effect::keyed);
    for (auto* r : {&unsafe, &keyed}) r->sent(kStart), r->attempt_ended(outcome);
    EXPECT_EQ(unsafe.may_send(kStart), Breach::unsafe_repeat);
    EXPECT_EQ(keyed.may_send(kStart + 499ms), std::nullopt);
    EXPECT_EQ(keyed.may_send(kStart + 502ms), Breach::sent_too_late);
    EXPECT_FALSE(keyed.may_write(kStart + 500ms));
  }
  for (const auto outcome : {Outcome::full, Outcome::connect_failed, Outcome::never_sent}) {
    auto unsafe = life(Effect::unsafe);
    unsafe.sent(kStart), unsafe.attempt_ended(outcome);
    EXPECT_EQ(unsafe.may_send(kStart), std::nullopt);
  }
}
TEST(RequestRules, NothingIsSentAfterTheTimeTheAnswerOrTheClient) {
  EXPECT_EQ(life(Effect::safe).may_send(kStart + 3s), Breach::sent_too_late);
  auto answered = life(Effect::safe), left = life(Effect::safe), passes_on = life(Effect::safe);
  answered.answered(), left.client_left();
  passes_on.sent(kStart), passes_on.passes_on_from_now();
  for (const auto* r : {&answered, &left, &passes_on}) EXPECT_EQ(r->may_send(kStart), Breach::sent_after_end);
  EXPECT_FALSE(left.may_write(kStart));
  EXPECT_EQ(answered.may_answer(), Breach::second_answer);
  EXPECT_EQ(passes_on.may_answer(), Breach::second_answer);
}
TEST(RequestRules, ARequestIsOverdueUntilItHasItsAnswerOrAPartOfIt) {
  auto r = life(Effect::safe);
  EXPECT_FALSE(r.overdue(kStart + 2s, 300ms));
  EXPECT_TRUE(r.overdue(kStart + 2300ms, 300ms));
  r.passes_on_from_now();
  EXPECT_FALSE(r.overdue(kStart + 3s, 300ms));
}

}  // namespace
}  // namespace petrelrail::policy

// Each invariant of the checker against a trace that violates it, and against a similar trace that
// does not.
#include "world/rules.hpp"

#include <gtest/gtest.h>

namespace petrelrail::world::test {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};

struct InvariantCheckerTest : ::testing::Test {
  InvariantConfig config;
  std::uint64_t attempts = 0;

  InvariantCheckerTest() {
    Plan p;
    p.name = "p", p.rate = 2, p.burst = 6;
    config.plans = {p};
  }
  // The rules that a trace violates, as "rule;rule".
  std::string violated_rules(const std::vector<std::pair<Duration, Observation>>& trace) {
    InvariantChecker checker(config);
    Duration last{};
    for (const auto& [at, s] : trace) checker.observe(kNow + at, s), last = std::max(last, at);
    checker.check_expired(kNow + last + 60s);
    std::string text;
    for (const auto& b : checker.violations()) text += (text.empty() ? "" : ";") + b.rule;
    return text;
  }
  static Observation sent(std::uint64_t id, Duration at = 0s, std::uint64_t customer = 1) {
    return ClientAttemptSent{
        ClientAttemptId(id), 0,        CustomerId(customer), 0, 1, 1, kNow + at + 2s,
        ClientAttemptId(id), kNow + at};
  }
  static Observation received(std::uint64_t id) {
    return ClientAttemptReceived{ClientAttemptId(id)};
  }
  static Observation answered(std::uint64_t id, Verdict v = Verdict::served, bool genuine = true) {
    return ClientAttemptAnswered{ClientAttemptId(id), v, genuine};
  }
  static Observation announced(std::uint32_t server, EndpointPhase phase = EndpointPhase::ready) {
    return ServerAnnounced{0, EndpointId(server), phase, false};
  }
  Observation arrived(std::uint64_t id, Duration at, std::uint32_t server = 1) {
    return AttemptArrived{ClientAttemptId(id), 0, EndpointId(server), kNow + at, ++attempts};
  }
};

TEST_F(InvariantCheckerTest, AServedRequestViolatesNoRule) {
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, received(1)},
                            {2ms, arrived(1, 2ms)},
                            {3ms, answered(1)}}),
            "");
}
TEST_F(InvariantCheckerTest, ASecondAnswerViolatesOneFinalAnswer) {
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, received(1)},
                            {2ms, arrived(1, 2ms)},
                            {3ms, answered(1)},
                            {4ms, answered(1, Verdict::refused)}}),
            "one final answer");
}
TEST_F(InvariantCheckerTest, AMissingAnswerViolatesOneFinalAnswer) {
  EXPECT_EQ(violated_rules({{0s, sent(1)}, {1ms, received(1)}}), "one final answer");
  EXPECT_EQ(violated_rules({{0s, sent(1)}}), "");  // it did not reach the node
}
TEST_F(InvariantCheckerTest, AnAnswerWithinHalfASecondOfTheDeadlineIsLateAndALaterOneIsLost) {
  EXPECT_EQ(
      violated_rules({{0s, sent(1)}, {1ms, received(1)}, {2400ms, answered(1, Verdict::failed)}}),
      "");
  EXPECT_EQ(violated_rules({{0s, sent(1)},
                            {1ms, received(1)},
                            {2500ms, ClientAttemptAbandoned{ClientAttemptId(1)}}}),
            "one final answer");
}
TEST_F(InvariantCheckerTest, AConnectionClosedWithoutAnAnswerLosesTheRequestUnlessItIsTheFirst) {
  EXPECT_EQ(violated_rules({{0s, sent(1)},
                            {1ms, received(1)},
                            {9ms, ClientAttemptBroken{ClientAttemptId(1), false}}}),
            "one final answer");
  EXPECT_EQ(violated_rules({{0s, sent(1)},
                            {1ms, received(1)},
                            {9ms, ClientAttemptBroken{ClientAttemptId(1), true}}}),
            "");
}
// A forwarded request had been read, so it counts as lost even if it is the first on its
// connection.
TEST_F(InvariantCheckerTest, AConnectionClosedAfterForwardingLosesEvenTheFirstRequest) {
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, received(1)},
                            {2ms, arrived(1, 2ms)},
                            {9ms, ClientAttemptBroken{ClientAttemptId(1), true}}}),
            "one final answer");
}
TEST_F(InvariantCheckerTest, AnAttemptStartedAfterItsClientDisconnectedIsAViolation) {
  const auto forwarded_at = [&](Duration at) {
    return violated_rules({{0s, announced(1)},
                           {0s, sent(1)},
                           {1ms, received(1)},
                           {5ms, ClientAttemptAbandoned{ClientAttemptId(1), true}},
                           {at, arrived(1, at)}});
  };
  EXPECT_EQ(forwarded_at(150ms), "");
  EXPECT_EQ(forwarded_at(160ms), "one final answer");
}
// Data sent before a kill may be read only after it: the requests were sent before the kill.
TEST_F(InvariantCheckerTest, DataReadRightAfterAKillBelongsToTheFormerProcess) {
  const auto read_at = [&](Duration at) {
    return violated_rules({{0s, announced(1)},
                           {0s, sent(1)},
                           {2ms, NodeDown{0, false}},
                           {at, arrived(1, at)},
                           {at, ClientAttemptBroken{ClientAttemptId(1), false}}});
  };
  EXPECT_EQ(read_at(12ms), "");
  EXPECT_EQ(read_at(60ms), "listed servers");
}
TEST_F(InvariantCheckerTest, RequestsOfAKilledNodeAreNoViolationAndACrashIs) {
  EXPECT_EQ(violated_rules({{0s, sent(1)},
                            {1ms, received(1)},
                            {2ms, NodeDown{0, false}},
                            {3ms, ClientAttemptBroken{ClientAttemptId(1), false}}}),
            "");
  EXPECT_EQ(violated_rules({{2ms, NodeDown{0, true}}}), "no crash");
}
TEST_F(InvariantCheckerTest, AResponseThatNoServerSentIsAViolation) {
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, received(1)},
                            {2ms, arrived(1, 2ms)},
                            {3ms, answered(1, Verdict::served, false)}}),
            "one final answer");
  EXPECT_EQ(violated_rules({{0s, sent(1)}, {1ms, received(1)}, {3ms, answered(1)}}),
            "one final answer");
}
TEST_F(InvariantCheckerTest, ForwardingAfterTheDrainGraceIsAViolation) {
  const auto trace = [&](Duration at) {
    return std::vector<std::pair<Duration, Observation>>{
        {0s, announced(1)},
        {100ms, announced(1, EndpointPhase::draining)},
        {500ms, announced(1, EndpointPhase::gone)},
        {at, sent(1, at)},
        {at, arrived(1, at)},
        {at, answered(1)}};
  };
  EXPECT_EQ(violated_rules(trace(1100ms)), "");
  EXPECT_EQ(violated_rules(trace(1200ms)), "drains");
}
TEST_F(InvariantCheckerTest, ForwardingToAnUnlistedServerIsAViolation) {
  EXPECT_EQ(violated_rules(
                {{0s, announced(1)}, {0s, sent(1)}, {2ms, arrived(1, 2ms, 2)}, {3ms, answered(1)}}),
            "listed servers");
}
TEST_F(InvariantCheckerTest, ForwardingAfterARestartBeforeTheListArrivesIsAViolation) {
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {1ms, NodeDown{0, false}},
                            {2ms, sent(1)},
                            {3ms, arrived(1, 3ms)},
                            {4ms, answered(1)}}),
            "listed servers");
}
TEST_F(InvariantCheckerTest, ARequestInFlightWhenItsNodeWasKilledIsNoViolation) {
  EXPECT_EQ(
      violated_rules(
          {{0s, announced(1)}, {0s, sent(1)}, {5ms, NodeDown{0, false}}, {6ms, arrived(1, 4ms)}}),
      "");
}
TEST_F(InvariantCheckerTest, ARequestThatNoClientSentIsAViolation) {
  EXPECT_EQ(violated_rules({{0s, announced(1)}, {2ms, arrived(9, 2ms)}}), "duplicates");
}
TEST_F(InvariantCheckerTest, MoreAttemptsThanAllowedIsAViolation) {
  std::vector<std::pair<Duration, Observation>> trace{{0s, announced(1)}, {0s, sent(1)}};
  for (int i = 0; i < 4; ++i) trace.emplace_back(1ms * i, arrived(1, 1ms * i));
  trace.emplace_back(9ms, answered(1));
  EXPECT_EQ(violated_rules(trace), "attempts");
}
TEST_F(InvariantCheckerTest, ConcurrentCopiesAreAViolationWhereForbidden) {
  config.second_copies = false;
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, arrived(1, 1ms)},
                            {2ms, arrived(1, 2ms)},
                            {9ms, answered(1)}}),
            "duplicates");
  attempts = 0;
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, arrived(1, 1ms)},
                            {2ms, AttemptCompleted{ClientAttemptId(1), 1, false}},
                            {3ms, arrived(1, 2ms)},
                            {9ms, answered(1)}}),
            "");
}
TEST_F(InvariantCheckerTest, RetryingANonIdempotentRequestThatMayHaveRunIsAViolation) {
  config.idempotency = Idempotency::non_idempotent;
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, arrived(1, 1ms)},
                            {2ms, AttemptCompleted{ClientAttemptId(1), 1, true}},
                            {3ms, arrived(1, 3ms)},
                            {9ms, answered(1)}}),
            "");  // it did not run
  attempts = 0;
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, arrived(1, 1ms)},
                            {2ms, AttemptCompleted{ClientAttemptId(1), 1, false}},
                            {3ms, arrived(1, 3ms)},
                            {9ms, answered(1)}}),
            "no double effects");
  attempts = 0;
  EXPECT_EQ(violated_rules({{0s, announced(1)},
                            {0s, sent(1)},
                            {1ms, arrived(1, 1ms)},
                            {2ms, AttemptCompleted{ClientAttemptId(1), 1, false}},
                            {9ms, answered(1, Verdict::refused)}}),
            "no double effects");
}
TEST_F(InvariantCheckerTest,
       RetryingAKeyedRequestOutsideItsDeduplicationScopeOrWindowIsAViolation) {
  config.idempotency = Idempotency::idempotency_key,
  config.deduplication_scope = DeduplicationScope::zone;
  const auto again = [&](Duration at, std::uint32_t server) {
    attempts = 0;
    return violated_rules({{0s, ServerStarted{EndpointId(1), 0, 0}},
                           {0s, ServerStarted{EndpointId(2), 1, 0}},
                           {0s, ServerStarted{EndpointId(3), 0, 1}},
                           {0s, announced(1)},
                           {0s, announced(2)},
                           {0s, announced(3)},
                           {0s, sent(1)},
                           {1ms, arrived(1, 1ms)},
                           {2ms, AttemptCompleted{ClientAttemptId(1), 1, false}},
                           {at, arrived(1, at, server)},
                           {at + 1ms, answered(1)}});
  };
  EXPECT_EQ(again(3ms, 3), "");
  EXPECT_EQ(again(3ms, 2), "no double effects");
  EXPECT_EQ(again(5100ms, 3), "no double effects");
}
TEST_F(InvariantCheckerTest, OverloadingAColdServerByInformedNodesIsAViolation) {
  EXPECT_EQ(violated_rules({{0s, ServerOverloadedCold{EndpointId(1), 0.5}}}), "");
  EXPECT_EQ(violated_rules({{0s, ServerOverloadedCold{EndpointId(1), 0.7}}}), "cold starts");
}
// A node that admits everything. Each window admits 6 units and one request before it is leased; at
// most two windows can be used at once.
TEST_F(InvariantCheckerTest, AdmittingWithoutALeaseViolatesTheQuota) {
  const auto admit = [&](int requests, Duration gap) {
    std::vector<std::pair<Duration, Observation>> trace{{0s, announced(1)}};
    for (int i = 0; i < requests; ++i) {
      const auto id = static_cast<std::uint64_t>(i) + 1;
      trace.emplace_back(gap * i, sent(id, gap * i));
      trace.emplace_back(gap * i, arrived(id, gap * i));
      trace.emplace_back(gap * i, answered(id));
    }
    return trace;
  };
  EXPECT_EQ(violated_rules(admit(14, 0s)), "");
  EXPECT_NE(violated_rules(admit(30, 0s)).find("quotas"), std::string::npos);
  EXPECT_EQ(violated_rules(admit(100, 500ms)), "");
  EXPECT_NE(violated_rules(admit(100, 250ms)).find("quotas"), std::string::npos);
  // Units that the counter grants again after it lost its totals are no violation.
  auto reset = admit(24, 0s);
  reset.insert(reset.begin() + 3 * 12 + 1, {0s, CounterReset{}});
  EXPECT_EQ(violated_rules(reset), "");
}
TEST_F(InvariantCheckerTest, RequestsOverTheQuotaAreCountedAndNoViolation) {
  InvariantChecker checker(config);
  checker.observe(kNow, announced(1));
  for (std::uint64_t id = 1; id <= 8; ++id) {
    checker.observe(kNow, sent(id));
    checker.observe(kNow, arrived(id, 0s));
    EXPECT_EQ(checker.is_within_quota(ClientAttemptId(id)), id <= 6) << id;
  }
  EXPECT_EQ(checker.units_forwarded(), 8);
  EXPECT_EQ(checker.units_over_quota(), 2);
}
TEST_F(InvariantCheckerTest, ExceedingTheCeilingOverAllNodesIsAViolation) {
  config.plans[0].ceiling_rate = 2, config.plans[0].ceiling_burst = 6,
  config.plans[0].ceiling_slack = 1;
  const auto admit = [&](int requests) {
    std::vector<std::pair<Duration, Observation>> trace{{0s, announced(1)}};
    for (std::uint64_t id = 1; id <= static_cast<std::uint64_t>(requests); ++id) {
      trace.emplace_back(0s, sent(id));
      trace.emplace_back(0s, arrived(id, 0s));
      trace.emplace_back(0s, answered(id));
    }
    return trace;
  };
  EXPECT_EQ(violated_rules(admit(7)), "");
  EXPECT_EQ(violated_rules(admit(8)),
            "ceiling");  // burst 6, slack 1, and 0.3 that the rate adds in 150 ms
}
TEST_F(InvariantCheckerTest, AnOversizedDatagramIsAViolation) {
  EXPECT_EQ(violated_rules({{0s, Datagram{0, 1, 256, true}}}), "");
  EXPECT_EQ(violated_rules({{0s, Datagram{0, 1, 257, false}}}), "datagrams");
}

}  // namespace
}  // namespace petrelrail::world::test

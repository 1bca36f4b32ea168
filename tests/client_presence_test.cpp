// Unit tests of until when a client counts as connected, and of what a gateway does with a request
// whose client can't be seen any longer.
#include "policy/client_presence.hpp"

#include <gtest/gtest.h>

#include "gateway_fixture.hpp"

namespace petrelrail::test {
namespace {

using policy::ClientPresence;

constexpr Time kStart{1h};

TEST(PresenceTrackerTest, AClientWithUnreadInputCountsAsConnectedForAShortTime) {
  struct Case {
    Duration age;
    ClientPresence presence;
  };
  const std::vector<Case> cases{{0ms, ClientPresence::connected},
                                {policy::kMaxPresenceAge - 1ns, ClientPresence::connected},
                                {policy::kMaxPresenceAge, ClientPresence::unknown},
                                {1h, ClientPresence::unknown}};
  policy::PresenceTracker tracker;
  EXPECT_EQ(tracker.with_unread_input(kStart), ClientPresence::unknown);
  tracker.confirm(kStart);
  for (const auto& [age, presence] : cases)
    EXPECT_EQ(tracker.with_unread_input(kStart + age), presence) << age.count();
  EXPECT_EQ(tracker.latest_start(), kStart + policy::kMaxPresenceAge);
  tracker.confirm(kStart + 1h);
  EXPECT_EQ(tracker.with_unread_input(kStart + 1h), ClientPresence::connected);
  tracker.confirm(kStart);  // an older proof takes nothing back
  EXPECT_EQ(tracker.latest_start(), kStart + 1h + policy::kMaxPresenceAge);
  // An attempt that begins at the last moment is within 100 ms of the client's close.
  EXPECT_LT(policy::kMaxPresenceAge, 100ms);
}

// Requests to servers whose capacity for this gateway is used up.
struct StartLimitedTest : ::testing::Test {
  static constexpr Duration kTimeLeft = 80ms;

  static constexpr std::uint32_t kFreePlan = 2;  // without a quota

  static Settings settings_with_free_plan() {
    auto s = settings();
    s.plans.push_back({.name = "free"});
    return s;
  }
  StartLimitedTest() : host(settings_with_free_plan()) { host.list_servers(2); }
  // Submits a request that needs no units; returns whether it was forwarded.
  bool submit() {
    host.submit_request(++customer, 0, 1, kFreePlan);
    return host.has<Send>();
  }
  // Returns how many requests were forwarded; the last one that was submitted waits.
  std::size_t fill_capacity() {
    std::size_t forwarded = 0;
    while (submit()) ++forwarded;
    return forwarded;
  }
  RequestId last_request() const { return static_cast<RequestId>(host.next_request - 1); }
  std::vector<Send> limit_start(RequestId request) {
    host.handle_event(StartLimited{request, host.now + kTimeLeft});
    return host.actions_of<Send>();
  }
  std::vector<Reject> rejected_at(Time now) {
    host.now = now;
    host.handle_event(TimerDue{TimerId{1}});
    return host.actions_of<Reject>();
  }

  Host host;
  std::uint64_t customer = 1000;
};
// Guards against a request waiting for capacity until its client may have left unseen.
TEST_F(StartLimitedTest, ARequestThatCannotWaitIsForwardedBeyondTheConcurrencyLimit) {
  fill_capacity();
  const auto latest_start = host.now + kTimeLeft;
  const auto sends = limit_start(last_request());
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].request, last_request());
  EXPECT_EQ(sends[0].start_deadline, latest_start);
  EXPECT_FALSE(submit());  // others wait as before
}
// Guards against many such requests overloading the servers.
TEST_F(StartLimitedTest, BeyondTwiceTheLimitSuchARequestIsRejectedUnsent) {
  const auto limit = fill_capacity();
  std::size_t beyond = 0;
  while (!limit_start(last_request()).empty()) {
    ++beyond;
    submit();
  }
  EXPECT_GE(beyond, limit);
  EXPECT_LE(beyond, limit + 4);  // the limit is up to 2 above what was forwarded
  const auto latest_start = host.now + kTimeLeft;
  EXPECT_TRUE(rejected_at(latest_start - 1ns).empty());
  const auto rejects = rejected_at(latest_start);
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].request, last_request());
  EXPECT_EQ(rejects[0].reason, RejectionReason::queue_timeout);
  EXPECT_GT(rejects[0].retry_after, Duration{});
}
// Guards against such a request passing a quota: while its units are missing it is not forwarded.
TEST_F(StartLimitedTest, ARequestThatWaitsForUnitsIsForwardedOnlyIfTheyComeInTime) {
  for (const bool in_time : {true, false}) {
    const auto request = host.submit_request(++customer);
    const auto calls = host.actions_of<AddToCounter>();
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_TRUE(limit_start(request).empty());
    const auto latest_start = host.now + kTimeLeft;
    EXPECT_TRUE(rejected_at(latest_start - 1ns).empty());
    if (!in_time) {
      const auto rejects = rejected_at(latest_start);
      ASSERT_EQ(rejects.size(), 1U);
      EXPECT_EQ(rejects[0].reason, RejectionReason::lease_timeout);
    }
    host.respond_to_call(calls[0], calls[0].amount);
    EXPECT_EQ(host.has<Send>(), in_time);
  }
}
TEST_F(StartLimitedTest, NoFurtherAttemptBeginsAtTheLatestStart) {
  for (const bool in_time : {true, false}) {
    const auto sent = host.submit_and_grant(++customer);
    ASSERT_TRUE(sent);
    limit_start(sent->request);
    host.now += in_time ? kTimeLeft - 1ns : kTimeLeft;
    host.end_attempt(*sent, AttemptOutcome::connect_failed);
    EXPECT_EQ(host.has<Send>(), in_time);
    EXPECT_EQ(host.has<Reject>(), !in_time);
  }
}
TEST_F(StartLimitedTest, OfARequestThatIsOverHasNoEffect) {
  EXPECT_TRUE(limit_start(RequestId{99}).empty());
  const auto sent = host.submit_and_grant(++customer);
  ASSERT_TRUE(sent);
  host.end_attempt(*sent, AttemptOutcome::ok, true);
  EXPECT_TRUE(limit_start(sent->request).empty());
  EXPECT_TRUE(rejected_at(host.now + kTimeLeft).empty());
}

}  // namespace
}  // namespace petrelrail::test

// Tests of best-effort requests, which are forwarded only while capacity is free and leave the rest
// to all other requests.
#include <gtest/gtest.h>

#include "gateway_fixture.hpp"

namespace petrelrail::test {
namespace {

RequestId submit_best_effort(Host& h, std::uint64_t customer) {
  const auto id = static_cast<RequestId>(h.next_request++);
  RequestArrived a{id, ClassIndex(0), PlanIndex(0), CustomerId(customer), 1s, 1, 2, false};
  a.best_effort = true;
  h.handle_event(a);
  return id;
}

// Guards against reporting capacity while no server is listed.
TEST(BestEffort, CapacityIsZeroWithoutServersAndPositiveAfterTheFirstList) {
  Host h;
  EXPECT_EQ(h.gateway.best_effort_capacity(h.now), 0U);
  h.list_servers(4);
  EXPECT_GT(h.gateway.best_effort_capacity(h.now), 0U);
}
// Guards against best-effort requests that bypass the quota.
TEST(BestEffort, RequestIsLeasedForAndForwardedLikeAnyOther) {
  Host h;
  h.list_servers(4);
  submit_best_effort(h, 3);
  const auto calls = h.actions_of<AddToCounter>();
  ASSERT_EQ(calls.size(), 1U);
  h.respond_to_call(calls[0], calls[0].amount);
  EXPECT_TRUE(h.has<Send>());
}
// Guards against best-effort requests that displace requests of clients.
TEST(BestEffort, RequestsUseOnlyAPartOfTheConcurrencyLimitAndLeaveTheRestToClients) {
  Host h;
  h.list_servers(4);
  const auto capacity = h.gateway.best_effort_capacity(h.now);
  ASSERT_GT(capacity, 0U);
  for (std::uint32_t i = 0; i < capacity; ++i) {
    ASSERT_TRUE(h.submit_and_grant(100 + i)) << i;
    h.now += 200ms;
  }
  EXPECT_EQ(h.gateway.best_effort_capacity(h.now), 0U);
  submit_best_effort(h, 3);
  EXPECT_TRUE(h.has<Reject>());
  EXPECT_FALSE(h.has<AddToCounter>());
  EXPECT_TRUE(h.submit_and_grant(200)) << "a client's request is still forwarded";
}
// Guards against best-effort requests that use up units or calls during a counter outage.
TEST(BestEffort, RequestIsRejectedWhileTheCounterIsDown) {
  Host h;
  h.list_servers(4);
  for (std::uint64_t i = 0; i < 3; ++i) {
    h.submit_request(50 + i);
    for (const auto& call : h.actions_of<AddToCounter>())
      h.respond_to_call(call, 0, CounterOutcome::timeout);
  }
  EXPECT_EQ(h.gateway.best_effort_capacity(h.now), 0U);
  submit_best_effort(h, 3);
  EXPECT_TRUE(h.has<Reject>());
}

}  // namespace
}  // namespace petrelrail::test

// The parts of src/policy/, each driven alone through its interface.
#include <gtest/gtest.h>

#include "common/lookup.hpp"
#include "gateway_fixture.hpp"
#include "policy/load_balancer.hpp"
#include "policy/quota_lease_table.hpp"
#include "policy/request_timers.hpp"

namespace petrelrail::policy {
namespace {

using test::settings;

template <class T>
std::vector<T> taken(DecisionContext& context) {
  std::vector<T> found;
  for (const auto& a : std::exchange(context.actions, {}))
    if (const auto* t = std::get_if<T>(&a)) found.push_back(*t);
  return found;
}

// ---- Windowed quota

TEST(WindowedQuotaTest, FollowFromThePlan) {
  const WindowedQuota plain(Plan{.name = "", .rate = 10, .burst = 20});
  EXPECT_TRUE(plain.metered);
  EXPECT_FALSE(plain.has_ceiling);
  EXPECT_DOUBLE_EQ(plain.limit, 20);
  EXPECT_EQ(plain.window, 2s);
  EXPECT_FALSE(WindowedQuota(Plan{}).metered);
  EXPECT_EQ(WindowedQuota(Plan{.name = "", .rate = 1, .burst = 1000}).window,
            59s);  // no count lives for longer than 60 s
}

TEST(WindowedQuotaTest, NoSpanOfWindowsAdmitsMoreThanTheCeiling) {
  std::mt19937 random(3);
  std::uniform_real_distribution<double> rate(0.1, 50), depth(0.5, 200);
  for (int i = 0; i < 1000; ++i) {
    const Plan p{.name = "",
                 .rate = rate(random),
                 .burst = depth(random),
                 .ceiling_rate = rate(random),
                 .ceiling_burst = depth(random)};
    const WindowedQuota t(p);
    for (int k = 1; k < 20; ++k)
      EXPECT_LE((k + 1) * t.limit,
                p.ceiling_burst + p.ceiling_rate * seconds(t.window) * (k - 1) + 1e-6 * k);
  }
}

// ---- Counter rate limiter

void set_tokens(CounterRateLimiter& limiter, double tokens) {
  limiter.consume(limiter.tokens() - tokens);
}

TEST(CounterRateLimiterTest, SavesUpToItsMostAndSpendsByWorth) {
  CounterRateLimiter p(50ms, 100);
  EXPECT_DOUBLE_EQ(p.rate(), 1 / (100 * 0.0025));
  Time now{1h};
  p.refill(now);
  p.refill(now + 1h);
  EXPECT_DOUBLE_EQ(p.tokens(), p.burst());
  EXPECT_TRUE(p.may_call(0));
  set_tokens(p, 1);
  EXPECT_TRUE(p.may_call(1));
  EXPECT_FALSE(p.may_call(0.5));
  EXPECT_EQ(p.time_until_call(1), Duration{});
  EXPECT_GT(p.time_until_call(0), p.time_until_call(0.5));
  p.enqueue(0.9, CustomerId{1});
  p.enqueue(0.2, CustomerId{2});
  EXPECT_EQ(p.queueing_time(0.5) - p.time_until_call(0.5),
            from_seconds(1 / p.rate()));  // behind one of the two
}

TEST(CounterRateLimiterTest, FallsOnceForCallsOfOneMomentAndRisesWhileCallsAreHeldBack) {
  CounterRateLimiter p(50ms, 100);
  const Time now{1h};
  const double fair = p.rate();
  p.on_response(now, CounterOutcome::timeout, 50ms);
  EXPECT_DOUBLE_EQ(p.rate(), 0.7 * fair);
  p.on_response(now + 1ms, CounterOutcome::timeout, 50ms);  // was out when the rate was cut
  EXPECT_DOUBLE_EQ(p.rate(), 0.7 * fair);
  set_tokens(p, 0);
  p.on_response(now + 2ms, CounterOutcome::ok, 2ms);
  EXPECT_DOUBLE_EQ(p.rate(), 0.9 * fair);
}

TEST(CounterRateLimiterTest, IsDownAfterThreeFailuresAndTriesOnceInTwoTimeouts) {
  CounterRateLimiter p(50ms, 2);
  Time now{1h};
  for (int i = 0; i < 3; ++i) p.on_response(now += 100ms, CounterOutcome::timeout, 50ms);
  EXPECT_TRUE(p.is_down());
  EXPECT_EQ(p.down_since(), now);
  EXPECT_DOUBLE_EQ(p.rate(), 10);
  EXPECT_FALSE(p.may_call(1));
  p.refill(now);
  p.refill(now += 100ms);
  EXPECT_TRUE(p.may_call(1));
  p.on_response(now, CounterOutcome::ok, 1ms);
  EXPECT_FALSE(p.is_down());
  EXPECT_GE(p.rate(), p.fair_rate());
}
// However large the fleet, calls that are held back rise as fast until a line was seen, and anew
// after an outage.
TEST(CounterRateLimiterTest, SlowStartLastsUntilALineWasSeen) {
  for (const double fleet : {30.0, 300.0, 3000.0}) {
    CounterRateLimiter p(50ms, fleet);
    Time now{1h};
    const auto answered = [&](Duration span,
                              Duration took) {  // as many calls as the rate allows, all held back
      for (const Time end = now + span; now < end;)
        now += from_seconds(1 / p.rate()), set_tokens(p, 0),
            p.on_response(now, CounterOutcome::ok, took);
    };
    const double began = p.rate();
    answered(3s, 2ms);
    EXPECT_GT(p.rate(), 3 * began) << fleet;
    now += 1s, p.on_response(now, CounterOutcome::ok, 40ms);  // a line
    const double after = p.rate();
    set_tokens(p, 0), p.on_response(now += 1ms, CounterOutcome::ok, 2ms);
    EXPECT_NEAR(p.rate(), after + 0.2 * p.fair_rate(), 1e-9) << fleet;
    for (int i = 0; i < 3; ++i) p.on_response(now += 100ms, CounterOutcome::timeout, 50ms);
    ASSERT_TRUE(p.is_down());
    p.on_recovered();
    EXPECT_FALSE(p.is_down());
    EXPECT_GE(p.rate(), p.fair_rate());
    const double again = p.rate();
    set_tokens(p, 0), p.on_response(now += 100ms, CounterOutcome::ok, 2ms);
    EXPECT_NEAR(p.rate(), again + std::max(1.0, 0.2 * p.fair_rate()), 1e-9) << fleet;
  }
}
// A counter that needs much of its time-out, or more, for each call alone: its answers show no line
// there.
TEST(CounterRateLimiterTest, ASlowCounterIsNotTakenForACrowdedOne) {
  CounterRateLimiter p(30ms, 6);
  auto now = Time(1h);
  for (int i = 0; i < 50; ++i) p.refill(now), p.on_response(now += 100ms, CounterOutcome::ok, 34ms);
  EXPECT_NEAR(p.fair_rate(), 1 / (6 * 0.034), 1e-6);
  EXPECT_GE(p.rate(), p.fair_rate());
  const double before = p.rate();
  p.on_response(now += 100ms, CounterOutcome::ok,
                34ms + 30ms);  // a line of a time-out beyond its own time
  EXPECT_LT(p.rate(), before);
}
// One that needs less than its time-out, but long enough for a line: that it is none shows at the
// floor of the rate, where the fleet together leaves the counter three quarters of its time. A line
// shows again by what it adds.
TEST(CounterRateLimiterTest, AnswersThatStaySlowAtTheFloorAreTheCountersOwn) {
  for (const Duration alone : {10ms, 15ms, 29ms}) {
    CounterRateLimiter p(30ms, 4);
    auto now = Time(1h);
    const auto answered = [&](int n, Duration took) {  // while calls are held back
      for (; n > 0; --n) set_tokens(p, 0), p.on_response(now += 100ms, CounterOutcome::ok, took);
    };
    for (int i = 0; i < 1000 && p.rate() > kMinRateShare * p.fair_rate(); ++i) answered(1, alone);
    ASSERT_DOUBLE_EQ(p.rate(), kMinRateShare * p.fair_rate());
    answered(kSlowResponsesAtFloor / 2, alone),
        answered(1, 1ms);  // one that is quick: it may be a line
    const double least = kMinRateShare * p.fair_rate();
    while (p.rate() > least) answered(1, alone);
    answered(kSlowResponsesAtFloor - 1, alone);
    EXPECT_DOUBLE_EQ(p.rate(), least);
    answered(100, alone);
    EXPECT_GT(p.rate(), p.fair_rate());
    const double before = p.rate();
    answered(1, alone + 29ms);
    EXPECT_LT(p.rate(), before);
  }
}

// ---- Quota leases

struct QuotaLeaseTableTest : testing::Test {
  DecisionContext context{settings(), nullptr, std::mt19937_64(1), Time(1h)};
  QuotaLeaseTable table{context};
  std::vector<std::unique_ptr<QuotaRequest>> requests;

  QuotaRequest& ask(std::uint32_t plan = 0, std::uint64_t customer = 1) {
    requests.push_back(std::make_unique<QuotaRequest>(
        QuotaRequest{RequestId(requests.size()), PlanIndex(plan), CustomerId(customer)}));
    auto& a = *requests.back();
    a.gateways = 2, a.priority = 1;
    table.record_request(a, table.lease_of(a));
    return a;
  }
  // A request that waits, and the call that is made for it.
  AddToCounter call(std::uint32_t plan = 0) {
    auto& a = ask(plan);
    auto& l = table.lease_of(a);
    l.waiting = {&a};
    EXPECT_TRUE(table.request_units(l));
    const auto calls = taken<AddToCounter>(context);
    return calls.empty() ? AddToCounter{} : calls.front();
  }
  QuotaLease* answer(const AddToCounter& c, double total, CounterOutcome o = CounterOutcome::ok) {
    return table.on_response({c.key, o, total, 1ms});
  }
};

TEST_F(QuotaLeaseTableTest, UnitsAreLeasedTakenAndGoneWithTsuccessorWindow) {
  const auto c = call();
  EXPECT_DOUBLE_EQ(c.amount, 4);
  auto* l = answer(c, c.amount);
  ASSERT_TRUE(l);
  EXPECT_FALSE(table.has_outstanding_call(*l));
  auto& a = *requests[0];
  EXPECT_TRUE(table.take(a, *l));
  EXPECT_DOUBLE_EQ(l->state.current.held, 3);
  EXPECT_TRUE(table.still_holds_units(a));
  table.return_units(a, 1);
  EXPECT_DOUBLE_EQ(l->state.current.held, 4);
  context.now += table.until_next_window(*l);
  EXPECT_FALSE(table.still_holds_units(a));
  EXPECT_DOUBLE_EQ(l->state.current.held, 0);
}

TEST_F(QuotaLeaseTableTest, WhatPassesTheLimitIsNotHeldAndHandedBack) {
  auto* l = answer(call(), 22);  // 18 by others, of 20
  EXPECT_DOUBLE_EQ(l->state.current.held, 2);
  EXPECT_TRUE(l->state.current.exhausted);
  const auto back = taken<AddToCounter>(context);
  ASSERT_EQ(back.size(), 1u);
  EXPECT_DOUBLE_EQ(back[0].amount, -2);
}

TEST_F(QuotaLeaseTableTest, ATimedOutAddIsTakenOffAtTheNextCallButNotUnderACeiling) {
  answer(call(), 0, CounterOutcome::timeout);
  EXPECT_DOUBLE_EQ(call().amount, 0);  // four more, less the four that may have been added
  answer(call(1), 0, CounterOutcome::timeout);
  EXPECT_GT(call(1).amount, 0);
}

TEST_F(QuotaLeaseTableTest, AfterALossOfCountsAWindowUnderACeilingStaysShut) {
  auto c = call(1);
  answer(c, c.amount);
  c = call(1);
  auto* l = answer(c, c.amount);  // the first is missing
  EXPECT_TRUE(l->state.current.exhausted);
  auto& a = ask(1);
  l->waiting = {&a};
  EXPECT_FALSE(table.request_units(*l));
  context.now += table.until_next_window(*l);
  auto& next = ask(1);
  l->waiting = {&next};
  EXPECT_TRUE(table.request_units(*l));
}

TEST_F(QuotaLeaseTableTest, CallsThatWaitGoByWorth) {
  set_tokens(table.rate_limiter(), 0);
  for (const std::uint64_t customer : {1, 2}) {
    auto& a = ask(customer == 2 ? 1 : 0, customer);
    auto& l = table.lease_of(a);
    l.waiting = {&a};
    EXPECT_TRUE(table.request_units(l));
  }
  EXPECT_TRUE(taken<AddToCounter>(context).empty());
  EXPECT_FALSE(table.next_in_queue());
  set_tokens(table.rate_limiter(), 1);
  auto* first = table.next_in_queue();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->state.customer, CustomerId{2});  // under a ceiling nothing passes without a call
}

TEST_F(QuotaLeaseTableTest, WhatIsHandedOverIsHeldOnce) {
  const auto c = call();
  auto* l = answer(c, c.amount);
  HandoverState s;
  table.export_state(s, {{CustomerId{1}, {context.now + 1s}}});
  EXPECT_DOUBLE_EQ(l->state.current.held, 0);
  QuotaLeaseTable successor(context);
  successor.restore(s);
  EXPECT_DOUBLE_EQ(successor.find(CustomerId{1})->state.current.held, 4);
  EXPECT_EQ(successor.find(CustomerId{1})->slots_in_use, 1u);
  context.now += 2s;
  successor.sweep();
  EXPECT_EQ(successor.find(CustomerId{1})->slots_in_use, 0u);
  context.now += 1h;
  successor.sweep();
  EXPECT_TRUE(successor.empty());
}

// ---- Endpoints, load balancer and requests

struct EndpointTableTest : testing::Test, ConnectionView {
  std::map<EndpointId, ConnectionCounts> open;
  DecisionContext context{settings(), this, std::mt19937_64(1), Time(1h)};
  EndpointTable endpoints{context};
  LoadBalancer balancer{context, endpoints};
  std::shared_ptr<const ClassSnapshot> classes = std::make_shared<const ClassSnapshot>(
      context.settings, nullptr);
  std::uint64_t next = 0;

  ConnectionCounts connections(EndpointId id) const override {
    const auto* l = find_or_null(open, id);
    return l ? *l : ConnectionCounts{1, 1};
  }
  void list(std::uint32_t n, std::uint32_t zones = 1) {
    EndpointListUpdate u;
    for (std::uint32_t i = 1; i <= n; ++i)
      u.entries.push_back({.id = EndpointId(i), .zone = ZoneIndex(i % zones), .cell = i / 2});
    endpoints.apply_list(u);
  }
  Endpoint& server(std::uint32_t i) { return endpoints.get(EndpointId(i)); }
  Request request(std::uint32_t cls = 0) {
    return {context,
            {RequestId(++next), ClassIndex(cls), PlanIndex(0), CustomerId(1), 2s, 1, 2, false},
            classes};
  }
  void attempt(std::uint32_t i, AttemptOutcome o, Duration took = 100ms) {
    const auto r = request();
    endpoints.on_forwarded(server(i), r.expected_latency());
    endpoints.on_attempt_ended(server(i), r,
                               {EndpointId(i), context.now, r.expected_latency(), false},
                               {.outcome = o, .duration = took});
  }
};

TEST_F(EndpointTableTest, OneThatFailsMoreThanTheOthersIsTakenOutForAWhile) {
  list(3);
  for (int i = 0; i < 20 && !endpoints.is_ejected(server(1)); ++i) {
    attempt(1, AttemptOutcome::error);
    for (int k = 0; k < 5; ++k) attempt(2, AttemptOutcome::ok), attempt(3, AttemptOutcome::ok);
  }
  EXPECT_TRUE(endpoints.is_ejected(server(1)));
  EXPECT_EQ(endpoints.counts(context.now).excluded, 1u);
  context.now += 10s;
  EXPECT_FALSE(endpoints.is_ejected(server(1)));
}

TEST_F(EndpointTableTest, FaultsOfAllAreHeldAgainstNone) {
  list(3);
  for (int i = 0; i < 60; ++i)
    for (std::uint32_t k = 1; k <= 3; ++k)
      attempt(k, i % 2 ? AttemptOutcome::ok : AttemptOutcome::error);
  EXPECT_EQ(endpoints.counts(context.now).excluded, 0u);
}

TEST_F(EndpointTableTest, AZoneIsLeftOnlyWhileAnotherAnswers) {
  list(6, 2);
  attempt(2, AttemptOutcome::connect_failed);
  attempt(4, AttemptOutcome::connect_failed);
  EXPECT_FALSE(endpoints.is_ejected(server(6)));  // it may be this gateway that is cut off
  attempt(1, AttemptOutcome::ok);
  attempt(4, AttemptOutcome::connect_failed);
  EXPECT_TRUE(endpoints.is_ejected(server(6)));
  attempt(2, AttemptOutcome::ok);
  EXPECT_FALSE(endpoints.is_ejected(server(6)));
}

TEST_F(EndpointTableTest, AFailedConnectBesideOpenOnesIsABoundAndNotADeath) {
  list(2);
  open[EndpointId(1)] = {0, 3};
  attempt(1, AttemptOutcome::ok);
  attempt(1, AttemptOutcome::connect_failed);
  EXPECT_FALSE(endpoints.is_ejected(server(1)));
  EXPECT_EQ(server(1).connection_limit.max_connections, 3u);
  for (int i = 0; i < 20; ++i) {
    const auto selection = balancer.select(request());
    EXPECT_EQ(selection.kind, Selection::Kind::endpoint);
    EXPECT_EQ(selection.endpoint, EndpointId(2));
  }
}

TEST_F(EndpointTableTest, OutByHandHoldsWhateverTheListSaysAndOnePutBackIsCold) {
  list(2);
  endpoints.apply_operator_ejection({EndpointId(1), true});
  list(2);
  EXPECT_FALSE(endpoints.is_usable(server(1)));
  endpoints.apply_operator_ejection({EndpointId(1), false});
  EXPECT_TRUE(endpoints.is_usable(server(1)));
  EXPECT_TRUE(endpoints.in_slow_start(server(1)));
  EXPECT_DOUBLE_EQ(endpoints.slow_start_factor(server(1)), 0.2);
  context.now += 10s;
  EXPECT_FALSE(endpoints.in_slow_start(server(1)));
}

TEST_F(EndpointTableTest, ChoiceTellsNoServerFromNoRoomAndKeepsToItsBound) {
  EXPECT_EQ(balancer.select(request()).kind, Selection::Kind::no_endpoint);
  list(2);
  int out = 0;
  for (; out < 100; ++out) {
    const auto selection = balancer.select(request());
    if (selection.kind != Selection::Kind::endpoint) break;
    endpoints.on_forwarded(endpoints.get(selection.endpoint), 0.1);
  }
  EXPECT_EQ(balancer.select(request()).kind, Selection::Kind::wait);
  EXPECT_NEAR(out, balancer.concurrency_limit(), 2);
  EXPECT_EQ(server(1).in_flight + server(2).in_flight, static_cast<unsigned>(out));
  const double before = balancer.concurrency_limit();
  balancer.on_attempt_ended(request(), {.outcome = AttemptOutcome::ok, .duration = 700ms});
  EXPECT_DOUBLE_EQ(balancer.concurrency_limit(), before * 0.9);
  balancer.on_attempt_ended(request(), {.outcome = AttemptOutcome::ok, .duration = 100ms});
  EXPECT_GT(balancer.concurrency_limit(), before * 0.9);
}

TEST_F(EndpointTableTest, WhatMayHaveRunRunsAgainOnlyWhereItsClassAllows) {
  auto safe = request(0), keyed = request(1), unsafe = request(2);
  for (auto* r : {&safe, &keyed, &unsafe}) {
    EXPECT_TRUE(r->may_retry(context.now));
    r->on_attempt_ended({EndpointId(2), context.now}, AttemptOutcome::never_sent,
                        {.id = EndpointId(2), .cell = 1});
    EXPECT_FALSE(r->may_have_run);
    r->on_attempt_ended({EndpointId(2), context.now}, AttemptOutcome::reset,
                        {.id = EndpointId(2), .cell = 1});
  }
  EXPECT_TRUE(safe.may_retry(context.now) && safe.client_may_retry(context.now));
  EXPECT_TRUE(keyed.may_retry(context.now));
  EXPECT_FALSE(keyed.client_may_retry(context.now));
  EXPECT_TRUE(keyed.may_go_to({.id = EndpointId(3), .cell = 1}));
  EXPECT_FALSE(keyed.may_go_to({.id = EndpointId(4), .cell = 2}));
  EXPECT_FALSE(unsafe.may_retry(context.now) || unsafe.client_may_retry(context.now));
  EXPECT_FALSE(safe.may_retry(context.now + 800ms));  // its aim has passed
}

// The span counts from the first attempt that may have run: for further ones, until their first
// byte, and for the client that is told that it may try again.
TEST_F(EndpointTableTest, AKeyedRequestIsRepeatedWithinItsSpanAlone) {
  context.settings.classes[1].deduplication_scope = DeduplicationScope::all,
  context.settings.classes[1].deduplication_window = 300ms;
  classes = std::make_shared<const ClassSnapshot>(context.settings, classes.get());
  auto keyed = request(1);
  const Time first = context.now;
  EXPECT_EQ(keyed.retry_deadline(), Time::max());
  keyed.on_attempt_ended({EndpointId(2), first}, AttemptOutcome::reset, {.id = EndpointId(2)});
  context.now += 100ms;
  keyed.on_attempt_ended({EndpointId(3), context.now}, AttemptOutcome::reset,
                         {.id = EndpointId(3)});
  EXPECT_EQ(keyed.retry_deadline(), first + 300ms);
  EXPECT_TRUE(keyed.may_retry(first + 300ms - 1ns) && keyed.client_may_retry(first + 300ms - 1ns));
  EXPECT_FALSE(keyed.may_retry(first + 300ms) || keyed.client_may_retry(first + 300ms));
}

// ---- Request timers

TEST(RequestTimersTest, OneTimerIsSetForWhatComesFirst) {
  DecisionContext context{settings(), nullptr, std::mt19937_64(1), Time(1h)};
  RequestTimers timers(context);
  Time first = Time::max(), second = Time::max();
  timers.set(RequestId{1}, first, context.now + 2s);
  timers.set(RequestId{2}, second, context.now + 1s);
  timers.arm(context.now + 3s);
  timers.arm(context.now + 3s);  // armed already
  const auto set = taken<SetTimer>(context);
  ASSERT_EQ(set.size(), 1u);
  EXPECT_EQ(set[0].delay, 1s);
  context.now += 1s;
  timers.on_due(set[0].timer);
  EXPECT_EQ(timers.next_due(), RequestId{2});
  timers.set(RequestId{2}, second, Time::max());
  EXPECT_FALSE(timers.next_due());
  EXPECT_EQ(timers.size(), 1u);
}

}  // namespace
}  // namespace petrelrail::policy

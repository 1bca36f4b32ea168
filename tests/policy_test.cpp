// Unit tests of the classes of src/policy, each through its own interface.
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
std::vector<T> drain_actions(DecisionContext& context) {
  std::vector<T> selected;
  for (const auto& a : std::exchange(context.actions, {}))
    if (const auto* t = std::get_if<T>(&a)) selected.push_back(*t);
  return selected;
}

// ---- Windowed quota

TEST(WindowedQuotaTest, LimitAndWindowAreDerivedFromThePlan) {
  const WindowedQuota plain(Plan{.name = "", .rate = 10, .burst = 20});
  EXPECT_TRUE(plain.metered);
  EXPECT_FALSE(plain.has_ceiling);
  EXPECT_DOUBLE_EQ(plain.limit, 20);
  EXPECT_EQ(plain.window, 2s);
  EXPECT_FALSE(WindowedQuota(Plan{}).metered);
  EXPECT_EQ(WindowedQuota(Plan{.name = "", .rate = 1, .burst = 1000}).window,
            59s);  // a count is kept for at most 60 s
}

// Guards against exceeding the ceiling at the boundaries of windows: a time span that touches k + 1
// windows covers at least k - 1 of them as a whole.
TEST(WindowedQuotaTest, ConsecutiveWindowsAdmitNoMoreThanTheCeiling) {
  std::mt19937 random(3);
  std::uniform_real_distribution<double> rate(0.1, 50), depth(0.5, 200);
  for (int i = 0; i < 1000; ++i) {
    const Plan p{.name = "",
                 .rate = rate(random),
                 .burst = depth(random),
                 .ceiling_rate = rate(random),
                 .ceiling_burst = depth(random)};
    const WindowedQuota quota(p);
    for (int k = 1; k < 20; ++k)
      EXPECT_LE((k + 1) * quota.limit,
                p.ceiling_burst + p.ceiling_rate * seconds(quota.window) * (k - 1) + 1e-6 * k);
  }
}

// ---- Counter rate limiter

void set_tokens(CounterRateLimiter& limiter, double tokens) {
  limiter.consume(limiter.tokens() - tokens);
}

// Guards against a burst of calls after an idle time, and against spending the last tokens on calls
// of low priority.
TEST(CounterRateLimiterTest, TokensAreCappedAtTheBurstAndSpentByPriority) {
  CounterRateLimiter limiter(50ms, 100);
  EXPECT_DOUBLE_EQ(limiter.rate(), 1 / (100 * 0.0025));
  Time now{1h};
  limiter.refill(now);
  limiter.refill(now + 1h);
  EXPECT_DOUBLE_EQ(limiter.tokens(), limiter.burst());
  EXPECT_TRUE(limiter.may_call(0));
  set_tokens(limiter, 1);
  EXPECT_TRUE(limiter.may_call(1));
  EXPECT_FALSE(limiter.may_call(0.5));
  EXPECT_EQ(limiter.time_until_call(1), Duration{});
  EXPECT_GT(limiter.time_until_call(0), limiter.time_until_call(0.5));
  limiter.enqueue(0.9, CustomerId{1});
  limiter.enqueue(0.2, CustomerId{2});
  EXPECT_EQ(limiter.queueing_time(0.5) - limiter.time_until_call(0.5),
            from_seconds(1 / limiter.rate()));  // behind one of the two queued calls
}

// Guards against a rate that collapses because several calls in flight fail for one cause.
TEST(CounterRateLimiterTest, RateFallsOnceForCallsInFlightTogetherAndRisesWhileCallsAreDelayed) {
  CounterRateLimiter limiter(50ms, 100);
  const Time now{1h};
  const double fair = limiter.rate();
  limiter.on_response(now, CounterOutcome::timeout, 50ms);
  EXPECT_DOUBLE_EQ(limiter.rate(), 0.7 * fair);
  // This call was in flight when the rate was decreased.
  limiter.on_response(now + 1ms, CounterOutcome::timeout, 50ms);
  EXPECT_DOUBLE_EQ(limiter.rate(), 0.7 * fair);
  set_tokens(limiter, 0);
  limiter.on_response(now + 2ms, CounterOutcome::ok, 2ms);
  EXPECT_DOUBLE_EQ(limiter.rate(), 0.9 * fair);
}

// Guards against calls at full rate to a counter that does not respond.
TEST(CounterRateLimiterTest, CounterIsDownAfterThreeFailuresAndProbedOncePerTwoTimeouts) {
  CounterRateLimiter limiter(50ms, 2);
  Time now{1h};
  for (int i = 0; i < 3; ++i) limiter.on_response(now += 100ms, CounterOutcome::timeout, 50ms);
  EXPECT_TRUE(limiter.is_down());
  EXPECT_EQ(limiter.down_since(), now);
  EXPECT_DOUBLE_EQ(limiter.rate(), 10);
  EXPECT_FALSE(limiter.may_call(1));
  limiter.refill(now);
  limiter.refill(now += 100ms);
  EXPECT_TRUE(limiter.may_call(1));
  limiter.on_response(now, CounterOutcome::ok, 1ms);
  EXPECT_FALSE(limiter.is_down());
  EXPECT_GE(limiter.rate(), limiter.fair_rate());
}
// Guards against a slow start whose speed depends on the size of the fleet. While calls are delayed
// the rate rises equally fast in every fleet until a queue is observed, and again after an outage.
TEST(CounterRateLimiterTest, SlowStartLastsUntilAQueueIsObserved) {
  for (const double gateways : {30.0, 300.0, 3000.0}) {
    CounterRateLimiter limiter(50ms, gateways);
    Time now{1h};
    // Makes as many calls as the rate allows, all of them delayed.
    const auto respond_at_rate = [&](Duration span, Duration response_time) {
      for (const Time end = now + span; now < end;)
        now += from_seconds(1 / limiter.rate()), set_tokens(limiter, 0),
            limiter.on_response(now, CounterOutcome::ok, response_time);
    };
    const double initial_rate = limiter.rate();
    respond_at_rate(3s, 2ms);
    EXPECT_GT(limiter.rate(), 3 * initial_rate) << gateways;
    now += 1s, limiter.on_response(now, CounterOutcome::ok, 40ms);  // a queue
    const double rate_after_queue = limiter.rate();
    set_tokens(limiter, 0), limiter.on_response(now += 1ms, CounterOutcome::ok, 2ms);
    EXPECT_NEAR(limiter.rate(), rate_after_queue + 0.2 * limiter.fair_rate(), 1e-9) << gateways;
    for (int i = 0; i < 3; ++i) limiter.on_response(now += 100ms, CounterOutcome::timeout, 50ms);
    ASSERT_TRUE(limiter.is_down());
    limiter.on_recovered();
    EXPECT_FALSE(limiter.is_down());
    EXPECT_GE(limiter.rate(), limiter.fair_rate());
    const double rate_after_outage = limiter.rate();
    set_tokens(limiter, 0), limiter.on_response(now += 100ms, CounterOutcome::ok, 2ms);
    EXPECT_NEAR(limiter.rate(), rate_after_outage + std::max(1.0, 0.2 * limiter.fair_rate()), 1e-9)
        << gateways;
  }
}
// Guards against a rate that collapses because each call alone takes most of the time-out or
// longer: such response times show no queue at the counter.
TEST(CounterRateLimiterTest, InherentlySlowCounterIsNotTreatedAsOverloaded) {
  CounterRateLimiter limiter(30ms, 6);
  auto now = Time(1h);
  for (int i = 0; i < 50; ++i)
    limiter.refill(now), limiter.on_response(now += 100ms, CounterOutcome::ok, 34ms);
  EXPECT_NEAR(limiter.fair_rate(), 1 / (6 * 0.034), 1e-6);
  EXPECT_GE(limiter.rate(), limiter.fair_rate());
  const double before = limiter.rate();
  // A queue: one time-out longer than a call alone.
  limiter.on_response(now += 100ms, CounterOutcome::ok, 34ms + 30ms);
  EXPECT_LT(limiter.rate(), before);
}
// Guards against a rate that stays at its minimum because calls alone take long enough to look like
// a queue. At the minimum rate the whole fleet leaves the counter idle for three quarters of the
// time, so responses that stay slow there are inherently slow. A queue then shows by the time that
// it adds.
TEST(CounterRateLimiterTest, ResponsesThatStaySlowAtTheMinimumRateCountAsInherentlySlow) {
  for (const Duration service_time : {10ms, 15ms, 29ms}) {
    CounterRateLimiter limiter(30ms, 4);
    auto now = Time(1h);
    const auto respond_delayed = [&](int n, Duration response_time) {  // while calls are delayed
      for (; n > 0; --n)
        set_tokens(limiter, 0),
            limiter.on_response(now += 100ms, CounterOutcome::ok, response_time);
    };
    for (int i = 0; i < 1000 && limiter.rate() > kMinRateShare * limiter.fair_rate(); ++i)
      respond_delayed(1, service_time);
    ASSERT_DOUBLE_EQ(limiter.rate(), kMinRateShare * limiter.fair_rate());
    respond_delayed(kSlowResponsesAtFloor / 2, service_time),
        respond_delayed(1, 1ms);  // one fast response: the cause may be a queue
    const double min_rate = kMinRateShare * limiter.fair_rate();
    while (limiter.rate() > min_rate) respond_delayed(1, service_time);
    respond_delayed(kSlowResponsesAtFloor - 1, service_time);
    EXPECT_DOUBLE_EQ(limiter.rate(), min_rate);
    respond_delayed(100, service_time);
    EXPECT_GT(limiter.rate(), limiter.fair_rate());
    const double before = limiter.rate();
    respond_delayed(1, service_time + 29ms);
    EXPECT_LT(limiter.rate(), before);
  }
}

// ---- Quota leases

struct QuotaLeaseTableTest : testing::Test {
  DecisionContext context{settings(), nullptr, std::mt19937_64(1), Time(1h)};
  QuotaLeaseTable table{context};
  std::vector<std::unique_ptr<QuotaRequest>> requests;

  QuotaRequest& add_request(std::uint32_t plan = 0, std::uint64_t customer = 1) {
    requests.push_back(std::make_unique<QuotaRequest>(
        QuotaRequest{RequestId(requests.size()), PlanIndex(plan), CustomerId(customer)}));
    auto& a = *requests.back();
    a.gateways = 2, a.priority = 1;
    table.record_request(a, table.lease_of(a));
    return a;
  }
  // Adds a waiting request and returns the counter call made for it.
  AddToCounter call(std::uint32_t plan = 0) {
    auto& a = add_request(plan);
    auto& l = table.lease_of(a);
    l.waiting = {&a};
    EXPECT_TRUE(table.request_units(l));
    const auto calls = drain_actions<AddToCounter>(context);
    return calls.empty() ? AddToCounter{} : calls.front();
  }
  QuotaLease* respond(const AddToCounter& c, double total,
                      CounterOutcome outcome = CounterOutcome::ok) {
    return table.on_response({c.key, outcome, total, 1ms});
  }
};

// Guards against spending units after the window for which they were leased.
TEST_F(QuotaLeaseTableTest, LeasedUnitsAreTakenAndExpireWithTheirWindow) {
  const auto c = call();
  EXPECT_DOUBLE_EQ(c.amount, 4);
  auto* l = respond(c, c.amount);
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

// Guards against spending units over the limit, and against leaving them counted.
TEST_F(QuotaLeaseTableTest, UnitsOverTheLimitAreNotHeldAndAreReturned) {
  auto* l = respond(call(), 22);  // 18 of 20 units were added by others
  EXPECT_DOUBLE_EQ(l->state.current.held, 2);
  EXPECT_TRUE(l->state.current.exhausted);
  const auto returned = drain_actions<AddToCounter>(context);
  ASSERT_EQ(returned.size(), 1u);
  EXPECT_DOUBLE_EQ(returned[0].amount, -2);
}

// Guards against counting a timed-out call twice; under a ceiling it stays counted, as it may not
// have been added.
TEST_F(QuotaLeaseTableTest, UnitsOfATimedOutCallAreSubtractedFromTheNextCallExceptUnderACeiling) {
  respond(call(), 0, CounterOutcome::timeout);
  EXPECT_DOUBLE_EQ(call().amount, 0);  // four more units, less the four that may have been added
  respond(call(1), 0, CounterOutcome::timeout);
  EXPECT_GT(call(1).amount, 0);
}

// Guards against exceeding a ceiling after the counter has lost the units leased so far in a
// window.
TEST_F(QuotaLeaseTableTest, AfterACounterResetAWindowUnderACeilingStaysExhausted) {
  auto c = call(1);
  respond(c, c.amount);
  c = call(1);
  auto* l = respond(c, c.amount);  // the first amount is missing
  EXPECT_TRUE(l->state.current.exhausted);
  auto& a = add_request(1);
  l->waiting = {&a};
  EXPECT_FALSE(table.request_units(*l));
  context.now += table.until_next_window(*l);
  auto& next = add_request(1);
  l->waiting = {&next};
  EXPECT_TRUE(table.request_units(*l));
}

// Guards against queued calls made in order of arrival.
TEST_F(QuotaLeaseTableTest, QueuedCallsAreMadeInOrderOfPriority) {
  set_tokens(table.rate_limiter(), 0);
  for (const std::uint64_t customer : {1, 2}) {
    auto& a = add_request(customer == 2 ? 1 : 0, customer);
    auto& l = table.lease_of(a);
    l.waiting = {&a};
    EXPECT_TRUE(table.request_units(l));
  }
  EXPECT_TRUE(drain_actions<AddToCounter>(context).empty());
  EXPECT_FALSE(table.next_in_queue());
  set_tokens(table.rate_limiter(), 1);
  auto* first = table.next_in_queue();
  ASSERT_TRUE(first);
  // No request passes a ceiling without a call, so calls under a ceiling have priority.
  EXPECT_EQ(first->state.customer, CustomerId{2});
}

// Guards against units held by two processes after a hand-over, and against slots of the
// predecessor that are never released.
TEST_F(QuotaLeaseTableTest, UnitsHandedOverAreHeldOnlyByTheSuccessor) {
  const auto c = call();
  auto* l = respond(c, c.amount);
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
  void list_servers(std::uint32_t n, std::uint32_t zones = 1) {
    EndpointListUpdate u;
    for (std::uint32_t i = 1; i <= n; ++i)
      u.entries.push_back({.id = EndpointId(i), .zone = ZoneIndex(i % zones), .cell = i / 2});
    endpoints.apply_list(u);
  }
  Endpoint& server(std::uint32_t i) { return endpoints.get(EndpointId(i)); }
  Request request(std::uint32_t class_index = 0) {
    return {
        context,
        {RequestId(++next), ClassIndex(class_index), PlanIndex(0), CustomerId(1), 2s, 1, 2, false},
        classes};
  }
  void attempt(std::uint32_t i, AttemptOutcome outcome, Duration duration = 100ms) {
    const auto r = request();
    endpoints.on_forwarded(server(i), r.expected_latency());
    endpoints.on_attempt_ended(server(i), r,
                               {EndpointId(i), context.now, r.expected_latency(), false},
                               {.outcome = outcome, .duration = duration});
  }
};

// Guards against a failing server that stays in use, and against one that stays ejected.
TEST_F(EndpointTableTest, ServerThatFailsMoreThanTheOthersIsEjectedForALimitedTime) {
  list_servers(3);
  for (int i = 0; i < 20 && !endpoints.is_ejected(server(1)); ++i) {
    attempt(1, AttemptOutcome::error);
    for (int k = 0; k < 5; ++k) attempt(2, AttemptOutcome::ok), attempt(3, AttemptOutcome::ok);
  }
  EXPECT_TRUE(endpoints.is_ejected(server(1)));
  EXPECT_EQ(endpoints.counts(context.now).excluded, 1u);
  context.now += 10s;
  EXPECT_FALSE(endpoints.is_ejected(server(1)));
}

// Guards against ejecting servers for failures that all of them have in common.
TEST_F(EndpointTableTest, FailuresCommonToAllServersEjectNone) {
  list_servers(3);
  for (int i = 0; i < 60; ++i)
    for (std::uint32_t k = 1; k <= 3; ++k)
      attempt(k, i % 2 ? AttemptOutcome::ok : AttemptOutcome::error);
  EXPECT_EQ(endpoints.counts(context.now).excluded, 0u);
}

// Guards against ejecting a zone while this gateway itself is cut off.
TEST_F(EndpointTableTest, ZoneIsEjectedOnlyWhileAnotherZoneAnswers) {
  list_servers(6, 2);
  attempt(2, AttemptOutcome::connect_failed);
  attempt(4, AttemptOutcome::connect_failed);
  EXPECT_FALSE(endpoints.is_ejected(server(6)));  // this gateway itself may be cut off
  attempt(1, AttemptOutcome::ok);
  attempt(4, AttemptOutcome::connect_failed);
  EXPECT_TRUE(endpoints.is_ejected(server(6)));
  attempt(2, AttemptOutcome::ok);
  EXPECT_FALSE(endpoints.is_ejected(server(6)));
}

// Guards against ejecting a server that has reached its connection limit but answers on its open
// connections.
TEST_F(EndpointTableTest, FailedConnectBesideOpenConnectionsSetsAConnectionLimitWithoutEjection) {
  list_servers(2);
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

// Guards against a list update that ends an operator's ejection, and against full load right after
// it.
TEST_F(EndpointTableTest, OperatorEjectionHoldsAcrossListUpdatesAndItsEndBeginsSlowStart) {
  list_servers(2);
  endpoints.apply_operator_ejection({EndpointId(1), true});
  list_servers(2);
  EXPECT_FALSE(endpoints.is_usable(server(1)));
  endpoints.apply_operator_ejection({EndpointId(1), false});
  EXPECT_TRUE(endpoints.is_usable(server(1)));
  EXPECT_TRUE(endpoints.in_slow_start(server(1)));
  EXPECT_DOUBLE_EQ(endpoints.slow_start_factor(server(1)), 0.2);
  context.now += 10s;
  EXPECT_FALSE(endpoints.in_slow_start(server(1)));
}

// Guards against requests that wait although no server exists, and against exceeding the limit.
TEST_F(EndpointTableTest, SelectionDistinguishesNoEndpointFromFullAndKeepsToTheConcurrencyLimit) {
  EXPECT_EQ(balancer.select(request()).kind, Selection::Kind::no_endpoint);
  list_servers(2);
  int forwarded = 0;
  for (; forwarded < 100; ++forwarded) {
    const auto selection = balancer.select(request());
    if (selection.kind != Selection::Kind::endpoint) break;
    endpoints.on_forwarded(endpoints.get(selection.endpoint), 0.1);
  }
  EXPECT_EQ(balancer.select(request()).kind, Selection::Kind::wait);
  EXPECT_NEAR(forwarded, balancer.concurrency_limit(), 2);
  EXPECT_EQ(server(1).in_flight + server(2).in_flight, static_cast<unsigned>(forwarded));
  const double before = balancer.concurrency_limit();
  balancer.on_attempt_ended(request(), {.outcome = AttemptOutcome::ok, .duration = 700ms});
  EXPECT_DOUBLE_EQ(balancer.concurrency_limit(), before * 0.9);
  balancer.on_attempt_ended(request(), {.outcome = AttemptOutcome::ok, .duration = 100ms});
  EXPECT_GT(balancer.concurrency_limit(), before * 0.9);
}

// Guards against executing a request twice where its class does not allow it.
TEST_F(EndpointTableTest, RequestThatMayHaveRunIsRetriedOnlyAsItsClassAllows) {
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
  EXPECT_FALSE(safe.may_retry(context.now + 800ms));  // its latency objective has passed
}

// Guards against a retry after the server has forgotten the key. The deduplication window begins
// with the first attempt that may have run; it limits the node's retries up to their first byte,
// and the client's retries that a response invites.
TEST_F(EndpointTableTest, RequestWithIdempotencyKeyIsRetriedOnlyWithinTheDeduplicationWindow) {
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

// Guards against one host timer per request, and against a timer set for a later due time.
TEST(RequestTimersTest, OneTimerIsSetForTheEarliestDueTime) {
  DecisionContext context{settings(), nullptr, std::mt19937_64(1), Time(1h)};
  RequestTimers timers(context);
  Time first = Time::max(), second = Time::max();
  timers.set(RequestId{1}, first, context.now + 2s);
  timers.set(RequestId{2}, second, context.now + 1s);
  timers.arm(context.now + 3s);
  timers.arm(context.now + 3s);  // armed already
  const auto set = drain_actions<SetTimer>(context);
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

// Property test: seeded random events for several gateways that share a counter, which loses and
// delays responses and loses its counts, while gateways restart. Only invariants are checked.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "gateway_fixture.hpp"

namespace petrelrail::test {
namespace {

struct RunResult {
  std::vector<std::string> trace;
  double min_tokens = 1e9;
};

RunResult run_simulation(std::uint64_t seed, bool with_faults) {
  auto s = settings();
  s.fleet_size = 3;
  std::mt19937_64 rng(seed);
  const auto chance = [&](double p) { return static_cast<double>(rng() >> 11) * 0x1.0p-53 < p; };
  std::vector<Host> hosts;
  for (std::uint64_t i = 0; i < 3; ++i) hosts.emplace_back(s, seed * 3 + i);
  struct ScheduledEvent {
    std::size_t host;
    std::uint64_t gateway_instance;
    Event event;
  };
  std::multimap<Time, ScheduledEvent> events;
  std::map<CounterKey, double> counts;
  std::vector<std::uint64_t> gateway_instances(3, 0);
  struct OpenRequest {
    int final_answers = 0;
    Time deadline{};
    std::uint32_t attempts = 0;
    bool is_forwarded = false;
    std::uint64_t customer = 0;
  };
  std::map<std::pair<std::size_t, RequestId>, OpenRequest> open_requests;
  std::map<std::uint64_t, std::pair<double, Time>> token_buckets;  // of the ceiling, by customer
  Time now{1h};
  RunResult result;

  const auto perform_actions = [&](std::size_t i) {
    for (const auto& a : hosts[i].last_actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        auto& o = open_requests.at({i, send->request});
        EXPECT_EQ(o.final_answers, 0) << "forwarded after the final answer";
        EXPECT_LE(now, o.deadline);
        if (!o.is_forwarded) {
          auto [it, fresh] = token_buckets.try_emplace(o.customer, s.plans[1].ceiling_burst, now);
          auto& [units, at] = it->second;
          const double refilled = std::chrono::duration<double>(now - at).count() *
                                  s.plans[1].ceiling_rate;
          units = std::min(s.plans[1].ceiling_burst, units + refilled) - 1;
          at = now;
          result.min_tokens = std::min(result.min_tokens, units);
        }
        o.is_forwarded = true;
        const auto duration = Duration(1ms * (10 + static_cast<int>(rng() % 400)));
        const auto kind = static_cast<AttemptOutcome>(chance(0.8) ? 0 : rng() % 6);
        const bool is_late = duration >= send->timeout;
        events.emplace(now + std::min(duration, send->timeout),
                       ScheduledEvent{i, gateway_instances[i],
                                      AttemptEnded{send->request,
                                                   o.attempts++,
                                                   send->endpoint,
                                                   is_late ? AttemptOutcome::timeout : kind,
                                                   std::min(duration, send->timeout),
                                                   !is_late && kind == AttemptOutcome::ok,
                                                   0,
                                                   {}}});
      } else if (const auto* reject = std::get_if<Reject>(&a)) {
        ++open_requests.at({i, reject->request}).final_answers;
      } else if (const auto* fail = std::get_if<Fail>(&a)) {
        ++open_requests.at({i, fail->request}).final_answers;
      } else if (const auto* add = std::get_if<AddToCounter>(&a)) {
        CounterResponse answer{add->key, CounterOutcome::ok, 0, 2ms};
        if (with_faults && chance(0.1)) {
          answer.outcome = chance(0.5) ? CounterOutcome::timeout : CounterOutcome::refused;
          if (answer.outcome == CounterOutcome::timeout && chance(0.5))
            counts[add->key] += add->amount;
          events.emplace(now + 50ms, ScheduledEvent{i, gateway_instances[i], answer});
        } else {
          answer.total = counts[add->key] += add->amount;
          events.emplace(now + 1ms * (1 + static_cast<int>(rng() % 5)),
                         ScheduledEvent{i, gateway_instances[i], answer});
        }
      } else if (const auto* timer = std::get_if<SetTimer>(&a)) {
        events.emplace(now + timer->delay,
                       ScheduledEvent{i, gateway_instances[i], TimerDue{timer->timer}});
      } else if (const auto* probe = std::get_if<CheckHealth>(&a)) {
        events.emplace(
            now + 5ms,
            ScheduledEvent{i, gateway_instances[i],
                           HealthCheckEnded{probe->endpoint, AttemptOutcome::ok, 5ms, {}}});
      }
      result.trace.push_back(std::to_string(i) + ":" + std::to_string(a.index()) + "@" +
                             std::to_string(now.time_since_epoch().count()));
    }
  };
  const auto handle_event = [&](std::size_t i, const Event& e) {
    hosts[i].now = now;
    hosts[i].handle_event(e);
    perform_actions(i);
  };
  for (std::size_t i = 0; i < 3; ++i) {
    hosts[i].now = now;
    hosts[i].list_servers(5);
    perform_actions(i);
  }
  std::uint64_t next = 1;
  const Time end = now + 12s;
  for (Time arrival = now; arrival < end; arrival += 1ms * (1 + static_cast<int>(rng() % 12))) {
    while (!events.empty() && events.begin()->first <= arrival) {
      const auto [at, d] = *events.begin();
      events.erase(events.begin());
      now = std::max(now, at);
      if (d.gateway_instance != gateway_instances[d.host]) continue;
      if (const auto* ended = std::get_if<AttemptEnded>(&d.event);
          ended && ended->request_completed)
        ++open_requests.at({d.host, ended->request}).final_answers;
      handle_event(d.host, d.event);
    }
    now = arrival;
    if (with_faults && chance(0.001)) counts.clear();
    if (with_faults && chance(0.002)) {  // a gateway restarts: clients repeat its open requests
      const auto i = static_cast<std::size_t>(rng() % 3);
      std::erase_if(open_requests, [&](const auto& o) { return o.first.first == i; });
      ++gateway_instances[i];
      hosts[i].gateway = Gateway(s, rng());
      hosts[i].list_servers(5);
      perform_actions(i);
    }
    const auto i = static_cast<std::size_t>(rng() % 3);
    const auto id = static_cast<RequestId>(next++);
    const auto customer = 1 + rng() % 3;
    open_requests[{i, id}] = OpenRequest{0, now + 1s, 0, false, customer};
    handle_event(i, RequestArrived{id, ClassIndex(static_cast<std::uint32_t>(rng() % 3)),
                                   PlanIndex{1}, CustomerId(customer), 1s, 1, 3, false});
  }
  while (!events.empty() && events.begin()->first < end + 3s) {
    const auto [at, d] = *events.begin();
    events.erase(events.begin());
    now = std::max(now, at);
    if (d.gateway_instance != gateway_instances[d.host]) continue;
    if (const auto* ended = std::get_if<AttemptEnded>(&d.event); ended && ended->request_completed)
      ++open_requests.at({d.host, ended->request}).final_answers;
    handle_event(d.host, d.event);
  }
  for (const auto& [key, o] : open_requests)
    EXPECT_EQ(o.final_answers, 1) << "request " << static_cast<std::uint64_t>(key.second);
  for (auto& h : hosts) {
    EXPECT_EQ(h.gateway.sizes().requests, 0u);
    EXPECT_EQ(h.gateway.sizes().counter_calls, 0u);
    EXPECT_LE(h.gateway.sizes().customers, 3u);
  }
  return result;
}

class RandomEvents : public testing::TestWithParam<int> {};

TEST_P(RandomEvents, InvariantsHoldAndTheSameSeedGivesTheSameActions) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  const auto a = run_simulation(seed, seed % 2 == 1), b = run_simulation(seed, seed % 2 == 1);
  EXPECT_EQ(a.trace, b.trace);
  EXPECT_GE(a.min_tokens, -settings().plans[1].ceiling_slack);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, testing::Range(1, 9));

}  // namespace
}  // namespace petrelrail::test

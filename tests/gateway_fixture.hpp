// A host of one Gateway for tests: keeps a simulated clock, passes events to the gateway and
// selects its actions by type.
#pragma once

#include <algorithm>
#include <petrelrail/gateway.hpp>
#include <vector>

namespace petrelrail::test {

using namespace std::chrono_literals;

inline Settings settings() {
  Settings s;
  s.classes = {{.name = "safe", .latency_objective = 800ms, .deadline = 2s},
               {.name = "keyed",
                .latency_objective = 800ms,
                .deadline = 2s,
                .idempotency = Idempotency::idempotency_key,
                .deduplication_scope = DeduplicationScope::cell,
                .deduplication_window = 3s},
               {.name = "unsafe",
                .latency_objective = 500ms,
                .deadline = 1s,
                .idempotency = Idempotency::non_idempotent}};
  s.plans = {{.name = "plain", .rate = 10, .burst = 20},
             {.name = "capped",
              .rate = 10,
              .burst = 20,
              .ceiling_rate = 16,
              .ceiling_burst = 32,
              .ceiling_slack = 3.2}};
  s.fleet_size = 2;
  s.max_attempts = 4;
  s.counter = true;
  s.counter_timeout = 50ms;
  s.health_checks = true;
  s.max_retry_after = 2s;
  s.response_slack = 16ms;
  s.drain_grace = 250ms;
  s.overload_multiple = 2;
  s.overload_window = 3s;
  s.slow_start_capacity = 0.2;
  s.slow_start_duration = 10s;
  return s;
}

struct Host {
  Gateway gateway;
  Time now{1h};
  std::vector<Action> last_actions;
  std::uint64_t next_request = 1;

  explicit Host(const Settings& s = settings(), std::uint64_t seed = 1) : gateway(s, seed) {}

  std::vector<Action>& handle_event(const Event& e) {
    return last_actions = gateway.handle(now, e);
  }

  void list_servers(int n, std::optional<Time> started = std::nullopt) {
    EndpointListUpdate u;
    for (int i = 0; i < n; ++i)
      u.entries.push_back({.id = EndpointId(static_cast<std::uint32_t>(i + 1)),
                           .cell = static_cast<std::uint32_t>(i / 2),
                           .started = started});
    handle_event(u);
  }
  RequestId submit_request(std::uint64_t customer = 1, std::uint32_t class_index = 0,
                           double units = 1, std::uint32_t plan = 0) {
    const auto id = static_cast<RequestId>(next_request++);
    handle_event(RequestArrived{id, ClassIndex(class_index), PlanIndex(plan), CustomerId(customer),
                                1s, units, 2, false});
    return id;
  }
  template <class T>
  std::vector<T> actions_of() const {
    std::vector<T> selected;
    for (const auto& a : last_actions)
      if (const auto* t = std::get_if<T>(&a)) selected.push_back(*t);
    return selected;
  }
  template <class T>
  bool has() const {
    return !actions_of<T>().empty();
  }
  // Responds to the counter call in flight; the count is `total` after the call was added.
  void respond_to_call(const AddToCounter& call, double total,
                       CounterOutcome outcome = CounterOutcome::ok) {
    handle_event(CounterResponse{call.key, outcome, total, 1ms});
  }
  // Submits a request and grants all units that the gateway calls the counter for. Returns the
  // send, or nullopt if the request was not forwarded.
  std::optional<Send> submit_and_grant(std::uint64_t customer = 1, std::uint32_t class_index = 0) {
    submit_request(customer, class_index);
    if (const auto calls = actions_of<AddToCounter>(); !calls.empty() && !has<Send>())
      respond_to_call(calls[0], calls[0].amount);
    const auto sends = actions_of<Send>();
    return sends.empty() ? std::nullopt : std::optional(sends[0]);
  }
  void end_attempt(const Send& s, AttemptOutcome outcome, bool request_completed = false,
                   Duration duration = 20ms, std::uint32_t attempt = 0) {
    handle_event(AttemptEnded{s.request, attempt, s.endpoint, outcome, duration, request_completed,
                              0, std::nullopt});
  }
};

}  // namespace petrelrail::test

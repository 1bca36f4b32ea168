// Minimal host: one price server, one customer, one request, and a counter that responds
// immediately.
#include <cstdio>
#include <petrelrail/gateway.hpp>

int main() {
  using namespace petrelrail;
  using namespace std::chrono_literals;
  Settings settings;
  settings.classes.push_back({.name = "read", .latency_objective = 500ms, .deadline = 2s});
  settings.plans.push_back({.name = "plan", .rate = 5, .burst = 10});
  settings.counter = true;
  settings.counter_timeout = 50ms;
  settings.slow_start_duration = 10s;
  Gateway gateway(settings, 1);

  const Time now{1h};
  gateway.handle(now, EndpointListUpdate{EndpointListKind::full, {{.id = EndpointId{7}}}});
  bool sent = false;
  for (const auto& action :
       gateway.handle(now, RequestArrived{.request = RequestId{1}, .time_left = 2s})) {
    if (const auto* add = std::get_if<AddToCounter>(&action)) {
      for (const auto& next : gateway.handle(
               now + 1ms, CounterResponse{add->key, CounterOutcome::ok, add->amount, 1ms}))
        sent = sent || std::holds_alternative<Send>(next);
    }
  }
  std::puts(sent ? "sent to server 7" : "not sent");
  return sent ? 0 : 1;
}

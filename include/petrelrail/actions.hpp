// Actions that the host executes for a gateway, in the given order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "petrelrail/types.hpp"

namespace petrelrail {

// Forwards the next attempt of a request. Attempts are numbered 0, 1, 2 in order of these actions.
struct Send {
  RequestId request{};
  EndpointId endpoint{};
  Duration timeout{};  // counts from the request's last byte if that has not arrived yet
  // Latest time for the attempt's first byte, on the clock of events. Past it the attempt is not
  // sent.
  Time start_deadline = Time::max();
};
enum class RejectionReason {
  // The customer's quota for this window is used up.
  quota_exhausted,
  // The plan's limit of concurrent requests is reached.
  concurrency_limit,
  // The counter does not respond, and the lease holds too few units.
  counter_unavailable,
  // The limit on counter calls allows no call in time.
  counter_rate_limited,
  // No lease was granted in time.
  lease_timeout,
  // No price server can take the request.
  no_endpoint,
  // No price server had capacity in time.
  queue_timeout,
  // An answer would be worthless after its latency objective.
  objective_missed,
  // Best-effort requests yield to all others.
  best_effort,
  // The attempt failed without side effects, and no further attempt is allowed.
  attempt_failed,
  // The table of customers is full of entries that can't be evicted.
  customers_full,
};
// Final answer: rejected; a retry by the client is harmless.
struct Reject {
  RequestId request{};
  Duration retry_after{};
  RejectionReason reason{};
};
// Final answer: failed; it is unknown whether the request ran.
struct Fail {
  RequestId request{};
};
// Stops waiting for an attempt. Its AttemptEnded still follows.
struct Cancel {
  RequestId request{};
  std::uint32_t attempt = 0;
};
// Adds to a count at the counter service. One CounterResponse follows.
struct AddToCounter {
  CounterKey key{};
  double amount = 0;
  Duration lifetime{};  // from the first call for a key
};
// One TimerDue follows after the delay, never immediately.
struct SetTimer {
  TimerId timer{};
  Duration delay{};
};
// Checks a server. One HealthCheckEnded follows.
struct CheckHealth {
  EndpointId endpoint{};
};
// Closes idle connections to a server, keeping at most `keep`.
struct ReleaseIdleConnections {
  EndpointId endpoint{};
  std::uint32_t keep = 0;
};
// Subscribes to changes of the server list; only where the settings require it.
struct Subscribe {};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Reject, Fail, Cancel, AddToCounter, SetTimer, CheckHealth,
                            ReleaseIdleConnections, Subscribe, Log>;

}  // namespace petrelrail

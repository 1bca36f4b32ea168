// Slow start: a restarted server gets a share of requests that grows while it warms up.
#pragma once

#include "policy/decision_context.hpp"
#include "policy/endpoint.hpp"

namespace petrelrail::policy {

// Invariant: a server in slow start earns no more than its warm-up share of what other servers
// answer.
class SlowStart {
 public:
  explicit SlowStart(DecisionContext& context) : context_(context) {}

  // Starts slow start for a server that restarted at `since`, as reported by the list or by
  // operators. Does nothing if the warm-up time has already passed.
  void begin(Endpoint& endpoint, Time since);
  bool is_active(const Endpoint& endpoint) const;
  // Capacity of a server relative to a warm one, from 0 to 1, for the slowest warm-up that the
  // settings allow.
  double factor(const Endpoint& endpoint) const;
  // Credits a server with its share of `attempts_per_second`, the rate of a warm server. As that
  // share assumes the slowest possible warm-up, more is credited, within the overload that the
  // settings allow, while the server answers no slower than others (`slowness`).
  void earn_tokens(Endpoint& endpoint, double attempts_per_second, double slowness) const;
  void on_forwarded(Endpoint& endpoint) const;

 private:
  DecisionContext& context_;
};

}  // namespace petrelrail::policy

// Learns how many connections a price server accepts, and releases idle connections while
// connections are scarce.
#pragma once

#include <vector>

#include "policy/decision_context.hpp"
#include "policy/endpoint.hpp"

namespace petrelrail::policy {

// A failed connect to a server that still answers on other connections shows that the server has
// reached its connection limit. All gateways share that limit: this gateway keeps to its present
// number of connections, raises it by one after a hold time, and for a while releases the idle
// connections that it does not need at all servers.
class ConnectionLimits {
 public:
  explicit ConnectionLimits(DecisionContext& context) : context_(context) {}

  ConnectionCounts connections(EndpointId endpoint) const;
  // Returns whether the server has no idle connection and accepts no new one.
  bool is_exhausted(const Endpoint& endpoint, const ConnectionCounts& counts) const;
  // Called after a failed connect. Returns false if the failure does not show a connection limit.
  bool record_failed_connect(Endpoint& endpoint);
  void on_forwarded(double in_flight);
  // Releases idle connections beyond the recent peak of concurrent attempts while connections are
  // scarce.
  void release_spare(const std::vector<Endpoint*>& preference_order, double in_flight);

 private:
  DecisionContext& context_;
  double peak_in_flight_ = 0;  // recent peak of concurrent attempts, decaying
  Time scarcity_deadline_{};   // until then idle connections are released
};

}  // namespace petrelrail::policy

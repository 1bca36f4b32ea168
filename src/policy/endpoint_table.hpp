// The price servers of the endpoint list, and which of them this gateway may use.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "policy/connection_limits.hpp"
#include "policy/endpoint.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/request.hpp"
#include "policy/slow_start.hpp"
#include "policy/zone_failover.hpp"

namespace petrelrail::policy {

// Invariants: a server's load is the sum of what its attempts in flight added; a server that is not
// listed as ready is never usable.
class EndpointTable {
 public:
  explicit EndpointTable(DecisionContext& context)
      : context_(context),
        slow_start_(context),
        outliers_(context),
        zones_(context),
        connection_limits_(context) {}

  // ---- Changes of the list
  void apply_list(const EndpointListUpdate& update);
  // Operator ejections are kept by id, apart from the list and from health, so that neither clears
  // them. A server that is put back is taken as restarted: it enters slow start, and a few gateways
  // get a token to probe it soon.
  void apply_operator_ejection(const OperatorEjection& event);
  void on_request_arrived();

  std::size_t size() const { return endpoints_.size(); }
  bool empty() const { return endpoints_.empty(); }
  Endpoint& get(EndpointId id) { return endpoints_.at(id); }  // must be in the table
  // All servers, in this gateway's order of preference.
  const std::vector<Endpoint*>& preference_order() const { return preference_order_; }
  double in_flight() const { return in_flight_; }  // this gateway's attempts at all servers
  EndpointCounts counts(Time now) const;

  // ---- Queries of the load balancer
  bool is_usable(const Endpoint& endpoint) const;
  bool is_ejected(const Endpoint& endpoint) const { return is_ejected(endpoint, context_.now); }
  // Returns whether the request may go to a server that was ejected: only one request at a time,
  // and only one that can be retried elsewhere.
  bool may_probe_ejected(const Request& request, const Endpoint& endpoint) const;
  bool in_slow_start(const Endpoint& endpoint) const { return slow_start_.is_active(endpoint); }
  // Capacity of a server relative to a warm one, from 0 to 1.
  double slow_start_factor(const Endpoint& endpoint) const { return slow_start_.factor(endpoint); }
  // Credits a server in slow start with its share of this gateway's answer rate per server's worth
  // of `capacity`. With no warm server, the arrival rate divided by the servers considered is used
  // instead.
  void earn_slow_start_tokens(Endpoint& endpoint, bool any_warm, double capacity,
                              std::size_t considered);
  double slowness(const Endpoint& endpoint) const;
  double outlier_score(const Endpoint& endpoint) const { return outliers_.score(endpoint); }
  const ConnectionLimits& connection_limits() const { return connection_limits_; }
  // Number of warm servers' worth of capacity among which this gateway spreads its requests. Each
  // server keeps enough gateways that their random choices even out. A subset avoids two costs of a
  // large fleet: handshakes to every server, and so few requests per server that the learned
  // statistics are out of date.
  double subset_size() const;

  // ---- Attempts
  void on_forwarded(Endpoint& endpoint, double work);
  void on_attempt_ended(Endpoint& endpoint, const Request& request, const Attempt& attempt,
                        const AttemptEnded& event);
  void sweep() { connection_limits_.release_spare(preference_order_, in_flight_); }

  // ---- Hand-over
  void export_state(HandoverState& state) const;
  void restore(const HandoverState& state);

 private:
  bool is_ejected(const Endpoint& endpoint, Time now) const;
  void update_preference_order();
  void on_response(Endpoint& endpoint);
  void record_latency(Endpoint& endpoint, const Request& request, const AttemptEnded& event) const;
  void record_failure(Endpoint& endpoint, bool connect_failed);

  DecisionContext& context_;
  SlowStart slow_start_;
  OutlierDetector outliers_;
  ZoneFailover zones_;
  ConnectionLimits connection_limits_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::vector<Endpoint*> preference_order_;
  std::set<EndpointId> operator_ejected_;
  DecayingCounter responses_, arrivals_;  // successful answers of all servers; requests
  double in_flight_ = 0;
};

}  // namespace petrelrail::policy

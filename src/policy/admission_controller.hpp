// Implements the decisions behind the interface in include/petrelrail/gateway.hpp.
//
// Combines quota leases, request state, the endpoint table and the load balancer, each of which is
// tested on its own. Time comes with each event and random numbers come from the seed alone.
// Containers whose order can reach an action are ordered; hash tables are used for look-up only.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "policy/load_balancer.hpp"
#include "policy/quota_lease_table.hpp"
#include "policy/request_timers.hpp"

namespace petrelrail {

class Gateway::AdmissionController {
 public:
  AdmissionController(Settings settings, std::uint64_t seed, const ConnectionView* connections);

  std::vector<Action> handle(Time now, const Event& event);
  TableSizes sizes() const;
  EndpointCounts endpoint_counts(Time now) const { return endpoints_.counts(now); }
  // Returns 0 while any request is queued or the counter call rate has no spare tokens.
  std::uint32_t best_effort_capacity(Time now);
  HandoverState export_state(Time now);
  void resume() { leases_.resume(); }
  void set_max_customers(std::size_t max) { leases_.set_max_leases(max); }

 private:
  using Request = policy::Request;
  using RequestStage = policy::RequestStage;
  using QuotaLease = policy::QuotaLease;
  using Selection = policy::Selection;

  // ---- Events
  void on(const TimeAdvanced&) {}
  void on(const HealthCheckEnded&) {}  // no health checks are sent
  void on(const EndpointListUpdate& event);
  void on(const OperatorEjection& event) { endpoints_.apply_operator_ejection(event); }
  void on(const RequestArrived& event);
  void on(const RequestReceived& event);
  void on(const StartLimited& event);
  void on(const AttemptEnded& event);
  void on(const ClientDisconnected& event);
  void on(const TimerDue& event);
  void on(const CounterResponse& event);
  void on(const CounterRecovered& event);
  void on(const FleetView& event);
  void on(const SettingsChanged& event);
  void on(const RestoreState& event);

  // ---- Admission: quota units and concurrency slots
  void admit(Request& request);
  // Takes a slot of the plan's concurrency limit. Returns false, with the request rejected, if no
  // slot is free.
  bool take_slot(Request& request, QuotaLease& lease);
  void admit_metered(Request& request, QuotaLease& lease);
  // Rejects a request for which no units can be leased in time, or admits it before its lease.
  // Returns false if the request may wait for a lease.
  bool decide_without_lease(Request& request, QuotaLease& lease);
  void wait_for_lease(Request& request, QuotaLease& lease);
  void process_waiting(QuotaLease& lease);
  bool must_wait_for_slot(const Request& request) const;

  // ---- Forwarding
  void forward_first(Request& request);
  void forward(Request& request, EndpointId endpoint);
  void retry_or_fail(Request& request);
  void serve_queued();

  // ---- End of a request
  Duration reject_backoff();
  void reject(Request& request, Duration retry_after, RejectionReason reason);
  void end(Request& request);
  void erase_if_done(RequestId id);

  void arm_timer();

  DecisionContext context_;
  std::shared_ptr<const ClassSnapshot> classes_;  // for new requests
  policy::QuotaLeaseTable leases_{context_};
  policy::EndpointTable endpoints_{context_};
  policy::LoadBalancer load_balancer_{context_, endpoints_};
  policy::RequestTimers timers_{context_};
  std::unordered_map<RequestId, Request> requests_;
  std::deque<RequestId> queue_;  // requests that wait for capacity at the price servers
  double retry_tokens_;
  bool subscribed_ = false;
  Time next_sweep_{};
};

}  // namespace petrelrail

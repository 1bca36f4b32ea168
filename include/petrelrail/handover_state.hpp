// The state that a gateway leaves to the one that takes its place in a running fleet.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "petrelrail/types.hpp"

namespace petrelrail {

// What a gateway leaves to the one that takes its place in a running fleet. Units pass on: what is
// in here is held by nobody else any more.
struct HandoverState {
  struct WindowUnits {  // of one window
    std::int64_t window = 0;
    double held = 0;     // and not spent
    double counted = 0;  // own net amount known to be in the count
    double
        correction = 0;  // of timed-out adds: taken off at the next call; below 0: to be added then
    Time last_response_time = Time::min();  // by the counter
    bool admitted_before_lease = false;     // a request has passed before its units were leased
    bool exhausted = false;                 // the window is known to have no units left
  };
  struct PlanWindows {  // what tells a plan's counts from those of another
    std::string name;
    Duration length{};  // of its windows; 0: it has no rate, and so none
  };
  struct CustomerLease {
    CustomerId customer{};
    PlanIndex plan{};                     // position in `plans`
    WindowUnits current;                  // of the present window
    std::vector<WindowUnits> prefetched;  // of windows to come, in order
    double requested_units = 0;           // units asked for here in this window
    double average_demand = 0;            // EWMA of that over windows
    double recent_requests = 0;           // here, each weighing less as it ages, as of tried_at
    double demand_ratio = 0;  // what was asked of the last window called for, times its limit
    double other_gateways_rate = -1;  // units a second that other gateways lease, by the last
                                      // answer; below 0: not known
    Time last_request_time{}, last_call_time{};
    std::vector<Time> slot_release_times;  // when the concurrency slots in use are likely free
  };
  std::vector<CustomerLease> leases;
  std::vector<PlanWindows> plans;  // of the settings that it ran under; empty: not told
  std::vector<EndpointId> operator_ejected;
  std::vector<std::pair<EndpointId, Time>> slow_starting;  // and since when
  std::vector<std::pair<std::string, double>> latencies;   // by class, in seconds
  std::vector<double> fastest_calls;
  double call_rate = 0, concurrency_limit = 0, recent_responses = 0, recent_arrivals = 0;
  Time export_time{}, counter_reset_time = Time::min();
};

}  // namespace petrelrail

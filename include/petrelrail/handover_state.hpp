// State that a gateway hands over to its successor in a running fleet.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "petrelrail/types.hpp"

namespace petrelrail {

// State that a gateway hands over to its successor in a running fleet. The units in it are
// transferred: no other process holds them any more.
struct HandoverState {
  struct WindowUnits {  // units of one window
    std::int64_t window = 0;
    double held = 0;     // leased and not spent
    double counted = 0;  // this gateway's net amount known to be in the count
    // Amount of timed-out adds, which the next call subtracts; if negative, it is added.
    double correction = 0;
    Time last_response_time = Time::min();  // of the counter
    bool admitted_before_lease = false;     // a request was admitted before its units were leased
    bool exhausted = false;                 // no units are left in the window
  };
  // Distinguishes a plan's counts from those of other plans.
  struct PlanWindows {
    std::string name;
    Duration length{};  // of a window; 0: the plan has no rate and so no windows
  };
  struct CustomerLease {
    CustomerId customer{};
    PlanIndex plan{};                     // position in `plans`
    WindowUnits current;                  // of the present window
    std::vector<WindowUnits> prefetched;  // of later windows, in order
    double requested_units = 0;           // requested at this gateway in this window
    double average_demand = 0;            // EWMA of requested_units over windows
    double recent_requests = 0;           // at this gateway, decaying, as of last_request_time
    double demand_ratio = 0;  // demand in the window last called for, relative to its limit
    // Units per second that other gateways lease, by the last response. Below 0: unknown.
    double other_gateways_rate = -1;
    Time last_request_time{}, last_call_time{};
    std::vector<Time> slot_release_times;  // expected release times of concurrency slots in use
  };
  std::vector<CustomerLease> leases;
  std::vector<PlanWindows> plans;  // of the exporter's settings; empty: unknown
  std::vector<EndpointId> operator_ejected;
  std::vector<std::pair<EndpointId, Time>> slow_starting;  // with start times
  std::vector<std::pair<std::string, double>> latencies;   // by class, in seconds
  std::vector<double> fastest_call_times;                  // in seconds
  double call_rate = 0, concurrency_limit = 0, recent_responses = 0, recent_arrivals = 0;
  Time export_time{}, counter_reset_time = Time::min();
};

}  // namespace petrelrail

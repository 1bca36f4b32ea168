// A customer's lease on units of its quota, and what a request needs from it.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>
#include <vector>

#include "petrelrail/handover_state.hpp"

namespace petrelrail::policy {

using WindowUnits = HandoverState::WindowUnits;

// Identifies a customer's lease under one plan. Each plan has windows and counts of its own, so a
// customer with several plans has one lease per plan.
struct LeaseId {
  CustomerId customer{};
  PlanIndex plan{};

  LeaseId() = default;
  // Converts from a customer id; the plan defaults to the first one.
  LeaseId(CustomerId customer_id, PlanIndex plan_index = {})
      : customer(customer_id), plan(plan_index) {}

  auto operator<=>(const LeaseId&) const = default;
};

// The quota side of a request: what it needs from its customer's lease and what it holds.
struct QuotaRequest {
  RequestId id{};
  PlanIndex plan{};
  CustomerId customer{};
  double units = 1;
  std::uint32_t gateways = 1;  // number of gateways that serve the customer
  double priority = 0;         // 0 to 1, relative to the most valuable request possible
  bool best_effort = false;    // yields to all other requests where capacity is short
  // Its counter call also adds the units that were admitted under its plan before they were leased.
  bool settles_unleased_units = false;
  std::int64_t window = 0;  // of the units held
  bool holds_units = false;

  LeaseId lease_id() const { return {customer, plan}; }
};

// Concurrency slots held by requests, and how many of these requests are forwarded.
struct SlotCounts {
  std::uint32_t in_use = 0, forwarded = 0;
};

struct QuotaLease {
  HandoverState::CustomerLease state;  // exported to a successor
  double queued_priority = -1;         // of the queued counter call; below 0: no call is queued
  // Concurrency slots of plans that limit them, held by waiting and forwarded requests.
  std::uint32_t slots_in_use = 0;
  std::uint32_t slots_forwarded = 0;  // slots of forwarded requests
  // A lease of this customer may have been evicted: what it used before is not known.
  bool history_unknown = false;
  std::vector<QuotaRequest*> waiting;  // the oldest first

  // Starts without a window.
  QuotaLease() { state.current.window = std::numeric_limits<std::int64_t>::min(); }

  LeaseId id() const { return {state.customer, state.plan}; }

  // Returns the units of the present window or of a later one, which is added if missing.
  WindowUnits& units_of(std::int64_t window) {
    if (window == state.current.window) return state.current;
    auto& prefetched = state.prefetched;
    const auto it = std::ranges::lower_bound(prefetched, window, {}, &WindowUnits::window);
    if (it != prefetched.end() && it->window == window) return *it;
    return *prefetched.insert(it, WindowUnits{.window = window});
  }

  void release_slot(bool was_forwarded) {
    --slots_in_use;
    if (was_forwarded) --slots_forwarded;
  }
};

}  // namespace petrelrail::policy

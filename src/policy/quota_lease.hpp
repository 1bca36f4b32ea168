// A customer's lease on units of its quota, and what a request asks of it.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <deque>
#include <limits>

#include "petrelrail/handover_state.hpp"

namespace petrelrail::policy {

using WindowUnits = HandoverState::WindowUnits;

// A customer's lease under one plan. Each plan has windows and counts of its own: one that comes
// under several plans has a lease for each.
struct LeaseId {
  CustomerId customer{};
  PlanIndex plan{};

  LeaseId() = default;
  // The first plan unless another is named.
  LeaseId(CustomerId its_customer, PlanIndex its_plan = {})
      : customer(its_customer), plan(its_plan) {}

  auto operator<=>(const LeaseId&) const = default;
};

// What a request asks of its customer's lease, and what it has of it.
struct QuotaRequest {
  RequestId id{};
  PlanIndex plan{};
  CustomerId customer{};
  double units = 1;
  std::uint32_t gateways = 1;  // through how many gateways the customer may come
  double priority = 0;         // against the most important request there can be, 0 to 1
  bool best_effort = false;    // it gives way to all others, wherever something is short
  bool settles_plan = false;   // its call also adds what its plan was admitted before it was leased
  std::int64_t window = 0;     // of the units taken
  bool holds_units = false;

  LeaseId lease_id() const { return {customer, plan}; }
};

// Concurrency slots that requests hold, and how many of these are forwarded.
struct SlotCounts {
  std::uint32_t in_use = 0, forwarded = 0;
};

struct QuotaLease {
  HandoverState::CustomerLease state;  // what a successor goes on with
  double queued_priority = -1;         // of the call that waits its turn; below 0: none waits
  // Concurrency slots, for plans that limit them: taken by requests that wait or are forwarded.
  std::uint32_t slots_in_use = 0;
  std::uint32_t slots_forwarded = 0;  // and by those of them that are forwarded
  std::deque<QuotaRequest*> waiting;

  QuotaLease() { state.current.window = std::numeric_limits<std::int64_t>::min(); }  // none yet

  LeaseId id() const { return {state.customer, state.plan}; }

  // The units of a window, the present one or one to come.
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

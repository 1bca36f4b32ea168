// Export of a quota lease table to its successor, and import under possibly different settings.
#include <algorithm>
#include <utility>

#include "policy/quota_lease_table.hpp"

namespace petrelrail::policy {

void QuotaLeaseTable::export_state(HandoverState& state,
                                   std::map<LeaseId, std::vector<Time>> slot_releases) {
  handed_over_ = true;
  state.counter_reset_time = counter_reset_;
  state.call_rate = rate_limiter_.rate();
  state.fastest_call_times = rate_limiter_.fastest_responses();
  for (std::size_t i = 0; i < quotas_.size(); ++i)
    state.plans.push_back({context_.settings.plans[i].name, quotas_[i].window});
  for (auto& [id, lease] : leases_) {
    if (quota(lease.state.plan).metered) roll_window(lease);
    if (last_eviction_time_ && is_evictable(lease) && !holds_units(lease)) continue;
    state.leases.push_back(lease.state);
    state.leases.back().slot_release_times = std::move(slot_releases[id]);
    lease.state.current.held = 0;
    lease.state.current.correction = 0;
    lease.state.prefetched.clear();
  }
}

void QuotaLeaseTable::restore(const HandoverState& state) {
  counter_reset_ = std::max(counter_reset_, state.counter_reset_time);
  rate_limiter_.restore(state.call_rate, state.fastest_call_times);
  for (const auto& exported : state.leases) {
    const auto [plan, same_windows] = import_plan(state, exported.plan);
    if (!plan) continue;
    const bool units_valid = same_windows && quota(*plan).metered &&
                             (!state.plans.empty() ||
                              has_same_window_number(exported, *plan, state.export_time));
    auto& lease = leases_[{exported.customer, *plan}];
    if (units_valid) lease.state = exported;
    lease.state.customer = exported.customer;
    lease.state.plan = *plan;
    lease.state.last_request_time = exported.last_request_time;
    for (const auto release : exported.slot_release_times) {
      ++lease.slots_in_use;
      inherited_slots_.emplace(release, lease.id());
    }
  }
}

// Matches plans by name, as their positions may differ; the same position is tried first.
QuotaLeaseTable::ImportedPlan QuotaLeaseTable::import_plan(const HandoverState& state,
                                                           PlanIndex exported) const {
  const auto index = static_cast<std::size_t>(exported);
  const auto& plans = context_.settings.plans;
  if (state.plans.empty())
    return index < plans.size() ? ImportedPlan{exported, true} : ImportedPlan{};
  if (index >= state.plans.size()) return {};
  const auto& [name, length] = state.plans[index];
  if (index < plans.size() && plans[index].name == name)
    return {exported, quotas_[index].window == length};
  const auto it = std::ranges::find(plans, name, &Plan::name);
  if (it == plans.end()) return {};
  const auto plan = static_cast<PlanIndex>(it - plans.begin());
  return {plan, quota(plan).window == length};
}

bool QuotaLeaseTable::has_same_window_number(const HandoverState::CustomerLease& exported,
                                             PlanIndex plan, Time exported_at) const {
  QuotaLease lease;
  lease.state.customer = exported.customer;
  lease.state.plan = plan;
  return exported.current.window == window_at(lease, exported_at);
}

}  // namespace petrelrail::policy

// Derives the keys of counts at the quota counter. All gateways of a fleet derive the same keys.
#pragma once

#include <cstdint>
#include <vector>

#include "policy/quota_lease.hpp"
#include "policy/windowed_quota.hpp"

namespace petrelrail::policy {

// A count belongs to one customer, plan and window.
class CounterKeys {
 public:
  // `plans` and `quotas` are indexed alike; a quota follows from its plan.
  CounterKeys(const std::vector<Plan>& plans, const std::vector<WindowedQuota>& quotas);

  CounterKey key(LeaseId lease, std::int64_t window) const;

 private:
  // By plan, from its name. 0 if no other plan has windows of about the same length: their window
  // numbers then differ, and the keys stay those that all versions of the program derive.
  std::vector<std::uint64_t> salts_;
};

}  // namespace petrelrail::policy

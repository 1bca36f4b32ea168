// Names of the counts at the quota counter, which all gateways of a fleet derive alike.
#pragma once

#include <cstdint>
#include <vector>

#include "policy/quota_lease.hpp"
#include "policy/windowed_quota.hpp"

namespace petrelrail::policy {

// A count is of one customer, plan and window.
class CountNames {
 public:
  // By plan: its terms and the quota that follows from them.
  CountNames(const std::vector<Plan>& plans, const std::vector<WindowedQuota>& quotas);

  CounterKey key(LeaseId lease, std::int64_t window) const;

 private:
  // By plan, from its name. 0 where no other plan's windows have about the same length: their
  // numbers are apart, and names stay as all versions of the program derive them.
  std::vector<std::uint64_t> salts_;
};

}  // namespace petrelrail::policy

// Bounds the table of quota leases, whose keys clients choose. A lease is evicted only if no
// customer gets past its quota by that: the units it holds are lost to its customer, and the
// counter knows the rest.
#include <algorithm>
#include <tuple>

#include "policy/quota_lease_table.hpp"
#include "policy/tuning.hpp"

namespace petrelrail::policy {
namespace {

// Fraction of the table that is evicted at once, so that the search is seldom.
constexpr std::size_t kEvictionDivisor = 8;
// After a search that found nothing.
constexpr Duration kEvictionRetryInterval = 250ms;
// Decaying number of requests from which a customer counts as a returning one.
constexpr double kReturningRequests = 1.5;
// Of the allocator and of the tree, for one node.
constexpr std::size_t kNodeOverheadBytes = 64;
// Window entries of a lease whose units are leased ahead, and its call in flight.
constexpr std::size_t kTypicalPrefetchedWindows = 8;
constexpr std::size_t kBytesPerCall = 160;

}  // namespace

std::size_t QuotaLeaseTable::max_bytes_per_lease() {
  return kNodeOverheadBytes + sizeof(std::pair<const LeaseId, QuotaLease>) +
         kTypicalPrefetchedWindows * sizeof(WindowUnits) + kBytesPerCall;
}

QuotaLease* QuotaLeaseTable::find_or_create(const QuotaRequest& request) {
  if (auto* lease = find(request.lease_id())) return lease;
  if (leases_.size() >= max_leases_ && !make_room()) return nullptr;
  auto& lease = lease_of(request);
  lease.history_unknown = last_eviction_time_ && context_.now < *last_eviction_time_ + kUsageMemory;
  return &lease;
}

// A lease is kept while a request or call refers to it, and while it knows what the counter does
// not: that units were granted without a counter or before they were leased, that the counter has
// to be corrected, or by what count under a ceiling a loss of counts is noticed.
bool QuotaLeaseTable::is_evictable(const QuotaLease& lease) const {
  const auto& units = lease.state.current;
  const auto& plan_quota = quota(lease.state.plan);
  if (!lease.waiting.empty() || lease.slots_in_use > 0) return false;
  if (!plan_quota.metered) return true;
  if (has_outstanding_call(lease)) return false;
  if (window_at_present(lease) != units.window) return true;
  const bool is_counted_under_ceiling = plan_quota.has_ceiling && units.counted > 0;
  return context_.settings.counter && !units.admitted_before_lease && units.correction >= 0 &&
         !is_counted_under_ceiling;
}

// Evicts a part of the table: first leases without units, then those of customers that came once,
// then those that were not used for longest. Returns whether there is room for one more lease.
bool QuotaLeaseTable::make_room() {
  if (context_.now < next_eviction_time_) return false;
  using Rank = std::tuple<bool, bool, Time, LeaseId>;
  std::vector<Rank> candidates;
  for (const auto& [id, lease] : leases_)
    if (is_evictable(lease))
      candidates.emplace_back(holds_units(lease), lease.state.recent_requests >= kReturningRequests,
                              lease.state.last_request_time, id);
  const auto batch = std::min(candidates.size(), max_leases_ / kEvictionDivisor + 1);
  if (batch == 0) {
    next_eviction_time_ = context_.now + kEvictionRetryInterval;
    return false;
  }
  std::ranges::nth_element(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(batch) - 1);
  candidates.resize(batch);
  for (const auto& candidate : candidates) {
    const auto it = leases_.find(std::get<LeaseId>(candidate));
    rate_limiter_.remove(it->second.queued_priority, it->first);
    leases_.erase(it);
  }
  if (evicted_ == 0) context_.log("quota leases are evicted: the table is full");
  evicted_ += batch;
  last_eviction_time_ = context_.now;
  return leases_.size() < max_leases_;
}

}  // namespace petrelrail::policy

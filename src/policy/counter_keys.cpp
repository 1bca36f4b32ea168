#include "policy/counter_keys.hpp"

#include <algorithm>
#include <chrono>
#include <string>

#include "common/hash.hpp"
#include "common/lookup.hpp"

namespace petrelrail::policy {
namespace {

// Two plans can have the same window number while their counts are kept if their window lengths
// differ by less than this fraction: a window number is the time since 1970 divided by the length.
constexpr int kSimilarLengthDivisor = 16;

bool have_similar_lengths(const WindowedQuota& first, const WindowedQuota& second) {
  if (!first.metered || !second.metered) return false;
  const auto difference = std::chrono::abs(first.window - second.window);
  return difference * kSimilarLengthDivisor < std::max(first.window, second.window);
}

std::uint64_t hash_of(const std::string& name) {
  std::uint64_t hash = name.size();
  for (const auto letter : name) hash = mix_hash(hash ^ static_cast<unsigned char>(letter));
  return hash;
}

}  // namespace

CounterKeys::CounterKeys(const std::vector<Plan>& plans, const std::vector<WindowedQuota>& quotas)
    : salts_(plans.size(), 0) {
  for (std::size_t i = 0; i < plans.size(); ++i)
    for (std::size_t other = 0; other < plans.size(); ++other)
      if (other != i && have_similar_lengths(quotas[i], quotas[other]))
        salts_[i] = hash_of(plans[i].name);
}

CounterKey CounterKeys::key(LeaseId lease, std::int64_t window) const {
  const auto hashed_customer = mix_hash(static_cast<std::uint64_t>(lease.customer));
  const auto hashed_lease = hashed_customer ^ at(salts_, lease.plan);
  return CounterKey(mix_hash(hashed_lease ^ static_cast<std::uint64_t>(window)) >> 1U);
}

}  // namespace petrelrail::policy

#include "policy/count_names.hpp"

#include <algorithm>
#include <chrono>
#include <string>

#include "common/hash.hpp"
#include "common/lookup.hpp"

namespace petrelrail::policy {
namespace {

// Windows of two plans may have the same number while counts of them are kept if their lengths
// differ by less than this part: numbers are time over length, and times are since 1970.
constexpr int kAlikeLengthParts = 16;

bool have_alike_lengths(const WindowedQuota& one, const WindowedQuota& other) {
  if (!one.metered || !other.metered) return false;
  const auto difference = std::chrono::abs(one.window - other.window);
  return difference * kAlikeLengthParts < std::max(one.window, other.window);
}

std::uint64_t hash_of(const std::string& name) {
  std::uint64_t hash = name.size();
  for (const auto letter : name) hash = mix_hash(hash ^ static_cast<unsigned char>(letter));
  return hash;
}

}  // namespace

CountNames::CountNames(const std::vector<Plan>& plans, const std::vector<WindowedQuota>& quotas)
    : salts_(plans.size(), 0) {
  for (std::size_t i = 0; i < plans.size(); ++i)
    for (std::size_t other = 0; other < plans.size(); ++other)
      if (other != i && have_alike_lengths(quotas[i], quotas[other]))
        salts_[i] = hash_of(plans[i].name);
}

CounterKey CountNames::key(LeaseId lease, std::int64_t window) const {
  const auto hashed_customer = mix_hash(static_cast<std::uint64_t>(lease.customer));
  const auto hashed_lease = hashed_customer ^ at(salts_, lease.plan);
  return CounterKey(mix_hash(hashed_lease ^ static_cast<std::uint64_t>(window)) >> 1U);
}

}  // namespace petrelrail::policy

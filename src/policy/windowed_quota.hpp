// The windowed quota derived from a customer's plan.
#pragma once

#include <algorithm>
#include <limits>

#include "common/time_math.hpp"
#include "petrelrail/settings.hpp"

namespace petrelrail::policy {

using namespace std::chrono_literals;

constexpr Duration kMaxCounterLifetime = 60s;  // the counter keeps no key for longer

// Allows at most `limit` units in each window of length `window`. A span that touches k+1 windows
// can admit (k+1) limits and lasts at least k-1 windows. A ceiling allows ceiling_burst +
// ceiling_rate * span, so it holds for every k when 2 * limit <= ceiling_burst and limit <=
// ceiling_rate * window. ceiling_slack remains as a margin.
struct WindowedQuota {
  bool metered = false, has_ceiling = false;
  double limit = 0;
  Duration window{};

  explicit WindowedQuota(const Plan& plan) : has_ceiling(plan.ceiling_rate > 0) {
    double rate = plan.rate;
    limit = plan.rate > 0 ? plan.burst : std::numeric_limits<double>::infinity();
    if (has_ceiling) {
      rate = rate > 0 ? std::min(rate, plan.ceiling_rate) : plan.ceiling_rate;
      limit = std::min(limit, plan.ceiling_burst / 2);
    }
    metered = rate > 0;
    if (!metered) return;
    limit = std::min(limit, rate * seconds(kMaxCounterLifetime - 1s));
    window = std::max(from_seconds(limit / rate), Duration(1ms));
  }
};

}  // namespace petrelrail::policy

#include "policy/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

#include "policy/ejection.hpp"
#include "policy/tuning.hpp"

namespace petrelrail::policy {
namespace {

// Minimum failure rate of a server that should be detected.
constexpr double kBadFailureRate = 0.4;
// Upper bound of that rate where the other servers fail often as well.
constexpr double kMaxBadFailureRate = 0.9;
// Failure rate of a bad server relative to the others.
constexpr double kBadFailureRatio = 3;
// Prior failure rate of healthy servers.
constexpr double kHealthyFailureRate = 0.02;
// Number of outcomes that the prior counts as.
constexpr double kPriorOutcomes = 20;
// Failure rate of the other servers from which on failures are not held against a single server.
constexpr double kAllFailingRate = 0.25;
// Time constant with which evidence decays.
constexpr Duration kScoreMemory = 10s;
// Minimum interval between log lines about one server.
constexpr Duration kLogInterval = 10s;

}  // namespace

double OutlierDetector::score(const Endpoint& endpoint) const {
  return endpoint.outlier.score.count(context_.now, kScoreMemory);
}

void OutlierDetector::record(Endpoint& endpoint, bool failed) {
  const Time now = context_.now;
  auto& state = endpoint.outlier;
  state.outcomes.add(now, kUsageMemory);
  outcomes_.add(now, kUsageMemory);
  if (failed) {
    state.failures.add(now, kUsageMemory);
    failures_.add(now, kUsageMemory);
  }
  const auto of_others = [now](const DecayingCounter& all, const DecayingCounter& own) {
    return std::max(0.0, all.count(now, kUsageMemory) - own.count(now, kUsageMemory));
  };
  const double baseline = (of_others(failures_, state.failures) +
                           kHealthyFailureRate * kPriorOutcomes) /
                          (of_others(outcomes_, state.outcomes) + kPriorOutcomes);
  if (baseline >= kAllFailingRate) return;
  const double bad_rate = std::max(kBadFailureRate,
                                   std::min(kBadFailureRatio * baseline, kMaxBadFailureRate));
  const double evidence = failed ? std::log(bad_rate / baseline)
                                 : std::log((1 - bad_rate) / (1 - baseline));
  state.score.add(now, kScoreMemory, std::max(evidence, -score(endpoint)));
}

void OutlierDetector::record_unreachable(Endpoint& endpoint) const {
  endpoint.outlier.score = {kEjectionThreshold, context_.now};
}

void OutlierDetector::eject(Endpoint& endpoint, const char* reason) {
  auto& state = endpoint.outlier;
  state.ejection_duration = next_ejection(state.ejection_duration);
  state.ejection_end_time = context_.now + with_jitter(state.ejection_duration, context_);
  if (state.ejection_duration != kFirstEjection) return;
  if (context_.now - std::exchange(state.ejection_start_time, context_.now) > kLogInterval)
    context_.log("server " + text_of(endpoint.info.id) + " ejected: " + reason);
}

}  // namespace petrelrail::policy

#include "policy/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace petrelrail::policy {
namespace {

// Initial estimate of requests in flight per server, over the whole fleet.
constexpr double kInitialInFlight = 5;
// Multiple of the limit, and attempts beyond that, up to which a request begins that can't wait.
constexpr double kMaxOvercommit = 2;
constexpr double kOvercommitAllowance = 1;
// Lower bound of the concurrency limit; a lower limit would never show that servers recovered.
constexpr double kMinLimit = 0.1;
// An answer slower than this fraction of its latency objective shows that the servers are
// overloaded.
constexpr double kLateObjectiveShare = 0.6;
// Fraction by which the limit falls for each such answer: halved in about 7.
constexpr double kLimitDecrease = 0.1;
// Requests by which the limit rises for each timely answer while the limit is used.
constexpr double kLimitIncrease = 0.15;
// Fraction of the limit from which it counts as used.
constexpr double kUsedShare = 0.8;
// Fraction of the limit up to which best-effort requests are forwarded.
constexpr double kBestEffortShare = 0.5;
// Weight of the outlier score in the exponent of a server's cost.
constexpr double kOutlierCost = 0.1;
// Panic mode: if ejections leave less than this fraction of the considered servers, they are
// ignored.
constexpr double kPanicThreshold = 0.5;
// Weight of the prices of an attempt (cross-zone traffic, handshake) in its cost.
constexpr double kPriceWeight = 20;
// Upper bound of the cost factor of a handshake.
constexpr double kMaxHandshakeCost = 1.5;
// Cost factor of a server that the request was already forwarded to: another one is preferred.
constexpr double kRepeatedEndpointCost = 4;
// Jitter, so that equal servers are not always selected in the same order.
constexpr double kCostJitter = 0.05;
constexpr double kInfinity = std::numeric_limits<double>::infinity();

}  // namespace

void LoadBalancer::on_attempt_ended(const Request& request, const AttemptEnded& event) {
  if (event.outcome != AttemptOutcome::ok && event.outcome != AttemptOutcome::timeout) return;
  const double objective = seconds(request.request_class().latency_objective);
  if (seconds(event.duration) > kLateObjectiveShare * objective) {
    concurrency_limit_ = std::max(kMinLimit, concurrency_limit_ * (1 - kLimitDecrease));
  } else if (event.outcome == AttemptOutcome::ok &&
             endpoints_.in_flight() + 1 >= concurrency_limit_ * kUsedShare) {
    concurrency_limit_ += kLimitIncrease * std::min(1.0, concurrency_limit_ / kInitialInFlight);
  }
}

std::uint32_t LoadBalancer::best_effort_capacity() {
  initialise_limit();
  const double remaining = kBestEffortShare * concurrency_limit_ - endpoints_.in_flight();
  return static_cast<std::uint32_t>(std::max(0.0, remaining));
}

Selection LoadBalancer::select(const Request& request) {
  const bool capacity = has_capacity(request);
  const auto candidates = find_candidates(request);
  Selection best;
  double best_cost = kInfinity;
  for (std::size_t i = 0; i < candidates.considered; ++i) {
    auto& endpoint = *endpoints_.preference_order()[i];
    if (!endpoints_.is_usable(endpoint) || !request.may_go_to(endpoint.info)) continue;
    if (best.kind == Selection::Kind::no_endpoint) best.kind = Selection::Kind::wait;
    if (!capacity) break;
    const auto connections = endpoints_.connection_limits().connections(endpoint.info.id);
    if (!is_selectable(request, endpoint, candidates, connections)) continue;
    const double cost = cost_of(request, endpoint, connections.idle == 0);
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = {Selection::Kind::endpoint, endpoint.info.id};
  }
  return best;
}

LoadBalancer::Candidates LoadBalancer::find_candidates(const Request& request) const {
  Candidates candidates;
  const double target_capacity = endpoints_.subset_size();
  for (const auto* endpoint : endpoints_.preference_order()) {
    ++candidates.considered;
    if (!endpoints_.is_usable(*endpoint)) continue;
    const bool warm = !endpoints_.in_slow_start(*endpoint);
    const double capacity = warm ? 1 : endpoints_.slow_start_factor(*endpoint);
    candidates.usable_capacity += capacity;
    if (endpoints_.is_ejected(*endpoint) || !endpoints_.may_probe_ejected(request, *endpoint))
      continue;
    candidates.any_healthy = candidates.any_healthy || request.may_go_to(endpoint->info);
    candidates.any_warm = candidates.any_warm || warm;
    candidates.healthy_capacity += capacity;
    if (candidates.any_healthy && candidates.healthy_capacity >= target_capacity) break;
  }
  return candidates;
}

bool LoadBalancer::is_selectable(const Request& request, Endpoint& endpoint,
                                 const Candidates& candidates,
                                 const ConnectionCounts& connections) {
  // If all servers look unhealthy, ejections are ignored; if too many do, only unreachable servers
  // are left out.
  const bool panic = candidates.healthy_capacity < kPanicThreshold * candidates.usable_capacity;
  const bool ejection_applies = candidates.any_healthy &&
                                !(panic && !endpoint.outlier.is_unreachable);
  if (ejection_applies &&
      (endpoints_.is_ejected(endpoint) || !endpoints_.may_probe_ejected(request, endpoint)))
    return false;
  if (endpoints_.connection_limits().is_exhausted(endpoint, connections)) return false;
  if (!endpoints_.in_slow_start(endpoint)) return true;
  endpoints_.earn_slow_start_tokens(endpoint, candidates.any_warm, candidates.healthy_capacity,
                                    candidates.considered);
  return endpoint.slow_start.tokens >= 1;
}

// The initial limit is this gateway's share of a few requests per server, plus two standard
// deviations of random arrivals.
void LoadBalancer::initialise_limit() {
  if (concurrency_limit_ > 0 || endpoints_.empty()) return;
  const double share = kInitialInFlight * static_cast<double>(endpoints_.size()) /
                       context_.settings.fleet_size;
  concurrency_limit_ = std::max(kMinLimit, share + 2 * std::sqrt(share));
}

bool LoadBalancer::has_capacity(const Request& request) {
  initialise_limit();
  if (!request.may_wait())
    return endpoints_.in_flight() < kMaxOvercommit * concurrency_limit_ + kOvercommitAllowance;
  return endpoints_.in_flight() + request.admission_jitter < concurrency_limit_;
}

// Expected seconds of work before the answer, times factors for the other costs of an attempt. A
// handshake counts by its price relative to a request's weight, but not at a server in slow start,
// whose tokens should be used.
double LoadBalancer::cost_of(const Request& request, const Endpoint& endpoint,
                             bool needs_handshake) {
  const auto& settings = context_.settings;
  const double score = std::min(endpoints_.outlier_score(endpoint), kEjectionThreshold);
  double cost = endpoints_.slowness(endpoint) * (endpoint.load + request.expected_latency()) *
                std::exp(kOutlierCost * score);
  if (settings.weights_known && endpoint.info.weight > 0) cost /= endpoint.info.weight;
  if (endpoint.info.zone != settings.zone) cost *= 1 + kPriceWeight * settings.cross_zone_price;
  if (needs_handshake && !endpoints_.in_slow_start(endpoint))
    cost *= std::min(kMaxHandshakeCost, 1 + kPriceWeight * settings.handshake_price);
  for (const auto& attempt : request.attempts)
    if (attempt.endpoint == endpoint.info.id) cost *= kRepeatedEndpointCost;
  return cost * (1 + kCostJitter * context_.random());
}

}  // namespace petrelrail::policy

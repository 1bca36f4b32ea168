#include "policy/endpoint_table.hpp"

#include <algorithm>
#include <cmath>

#include "common/hash.hpp"
#include "common/lookup.hpp"
#include "policy/tuning.hpp"

namespace petrelrail::policy {
namespace {

// Time constant with which the slowness of an unused server decays.
constexpr Duration kSlownessMemory = 60s;
// Number of gateways of a fleet that probe a server at once when all put it back.
constexpr double kInitialProbingGateways = 8;
// Minimum number of warm servers among which a gateway spreads its requests.
constexpr double kMinSubset = 6;
// Number of gateways that share a server, enough for their random choices to even out.
constexpr double kGatewaysPerServer = 10;

}  // namespace

// ---- Changes of the list

void EndpointTable::apply_list(const EndpointListUpdate& update) {
  if (update.kind != EndpointListKind::delta)
    for (auto& [id, endpoint] : endpoints_) endpoint.listed = false;
  for (const auto& entry : update.entries) {
    const auto [it, is_new] = endpoints_.try_emplace(entry.id);
    auto& endpoint = it->second;
    const bool restarted = entry.started && (is_new || !endpoint.info.started ||
                                             *entry.started > *endpoint.info.started);
    endpoint.info = entry;
    endpoint.listed = entry.phase != EndpointPhase::gone;
    if (restarted) slow_start_.begin(endpoint, *entry.started);
  }
  std::erase_if(endpoints_, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == 0;
  });
  update_preference_order();
}

void EndpointTable::apply_operator_ejection(const OperatorEjection& event) {
  if (event.ejected) {
    operator_ejected_.insert(event.endpoint);
    return;
  }
  const bool was_ejected = operator_ejected_.erase(event.endpoint) > 0;
  auto* endpoint = was_ejected ? find_or_null(endpoints_, event.endpoint) : nullptr;
  if (!endpoint) return;
  slow_start_.begin(*endpoint, context_.now);
  if (context_.random() * context_.settings.fleet_size < kInitialProbingGateways)
    endpoint->slow_start.tokens = 1;
}

void EndpointTable::on_request_arrived() { arrivals_.add(context_.now, kRateMemory); }

EndpointCounts EndpointTable::counts(Time now) const {
  EndpointCounts counts;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.listed) continue;
    ++counts.listed;
    if (operator_ejected_.contains(id) || is_ejected(endpoint, now)) ++counts.excluded;
  }
  return counts;
}

// Orders all servers: first this gateway's subset, then the spares. Gateways are grouped into
// rounds by index; the gateways of one round divide the whole list evenly, and each round shuffles
// it differently (deterministic subsetting).
void EndpointTable::update_preference_order() {
  preference_order_.clear();
  for (auto& [id, endpoint] : endpoints_) preference_order_.push_back(&endpoint);
  const auto size = preference_order_.size();
  const auto groups = static_cast<std::size_t>(
      std::max(1.0, static_cast<double>(size) / std::max(1.0, subset_size())));
  const std::size_t round = context_.settings.gateway_index / groups;
  const std::size_t position = context_.settings.gateway_index % groups;
  if (groups == 1) return;
  const auto shuffled = [round](const Endpoint* endpoint) {
    return mix_hash(mix_hash(round) ^ static_cast<std::uint64_t>(endpoint->info.id));
  };
  std::ranges::sort(preference_order_, {}, shuffled);
  std::ranges::rotate(preference_order_, preference_order_.begin() +
                                             static_cast<std::ptrdiff_t>(position * size / groups));
}

// ---- Queries of the load balancer

bool EndpointTable::is_usable(const Endpoint& endpoint) const {
  return endpoint.listed && endpoint.info.phase == EndpointPhase::ready &&
         !operator_ejected_.contains(endpoint.info.id);
}

bool EndpointTable::is_ejected(const Endpoint& endpoint, Time now) const {
  return now < endpoint.outlier.ejection_end_time || zones_.is_ejected(endpoint.info.zone, now);
}

bool EndpointTable::may_probe_ejected(const Request& request, const Endpoint& endpoint) const {
  const bool zone_needs_probe = zones_.needs_probe(endpoint.info.zone);
  if (endpoint.outlier.ejection_duration == Duration{} && !zone_needs_probe) return true;
  const bool can_go_elsewhere = request.attempts.size() + 1 < request.classes->max_attempts &&
                                request.request_class().idempotency != Idempotency::non_idempotent;
  return can_go_elsewhere && endpoint.in_flight == 0 &&
         !(zone_needs_probe && zones_.has_probe_in_flight(endpoint.info.zone));
}

void EndpointTable::earn_slow_start_tokens(Endpoint& endpoint, bool any_warm, double capacity,
                                           std::size_t considered) {
  const double attempts_per_second = any_warm
                                         ? responses_.rate(context_.now, kRateMemory) / capacity
                                         : arrivals_.rate(context_.now, kRateMemory) /
                                               static_cast<double>(considered);
  slow_start_.earn_tokens(endpoint, attempts_per_second, slowness(endpoint));
}

// An unused server yields no new latencies, so its slowness decays towards 1.
double EndpointTable::slowness(const Endpoint& endpoint) const {
  const double age = seconds(context_.now - endpoint.slowness_updated);
  return 1 + (endpoint.slowness - 1) * std::exp(-age / seconds(kSlownessMemory));
}

double EndpointTable::subset_size() const {
  const double servers_per_gateway = kGatewaysPerServer *
                                     static_cast<double>(preference_order_.size()) /
                                     context_.settings.fleet_size;
  return std::max(kMinSubset, servers_per_gateway);
}

// ---- Attempts

void EndpointTable::on_forwarded(Endpoint& endpoint, double work) {
  slow_start_.on_forwarded(endpoint);
  zones_.on_forwarded(endpoint.info.zone);
  ++endpoint.in_flight;
  ++in_flight_;
  connection_limits_.on_forwarded(in_flight_);
  endpoint.load += work;
}

void EndpointTable::on_attempt_ended(Endpoint& endpoint, const Request& request,
                                     const Attempt& attempt, const AttemptEnded& event) {
  --endpoint.in_flight;
  --in_flight_;
  endpoint.load = endpoint.in_flight == 0 ? 0 : endpoint.load - attempt.work;
  const auto outcome = event.outcome;
  if (outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::never_sent) return;
  const bool succeeded = outcome == AttemptOutcome::ok;
  if (succeeded || outcome == AttemptOutcome::error || outcome == AttemptOutcome::overloaded)
    on_response(endpoint);
  const bool connect_failed = outcome == AttemptOutcome::connect_failed;
  if (connect_failed) {
    if (connection_limits_.record_failed_connect(endpoint)) return;
    outliers_.record_unreachable(endpoint);
    zones_.on_unreachable(endpoint.info);
  }
  // A time-out is a sign of load, not of a faulty server.
  const bool timed_out = outcome == AttemptOutcome::timeout;
  if (!timed_out && !connect_failed) outliers_.record(endpoint, !succeeded);
  if (succeeded || timed_out) record_latency(endpoint, request, event);
  if (!succeeded) return record_failure(endpoint, connect_failed);
  responses_.add(context_.now, kRateMemory);
  endpoint.outlier.ejection_duration = {};
  if (std::exchange(endpoint.outlier.is_unreachable, false)) endpoint.outlier.score = {};
}

void EndpointTable::on_response(Endpoint& endpoint) {
  endpoint.last_response = context_.now;
  zones_.on_response(endpoint.info.zone);
}

void EndpointTable::record_latency(Endpoint& endpoint, const Request& request,
                                   const AttemptEnded& event) const {
  const bool succeeded = event.outcome == AttemptOutcome::ok;
  const double latency = seconds(event.duration);
  auto& average = request.statistics().average_latency;
  if (succeeded) average += (average == 0 ? 1 : kLatencyGain / 2) * (latency - average);
  if (average <= 0 || (!succeeded && latency <= average)) return;
  const double previous_slowness = slowness(endpoint);
  endpoint.slowness = previous_slowness + kLatencyGain * (latency / average - previous_slowness);
  endpoint.slowness_updated = context_.now;
}

// Only a failed connect ejects a server at once; other failures count through the outlier score.
// Drawback: established connections that break while a server dies do not eject it at once.
void EndpointTable::record_failure(Endpoint& endpoint, bool connect_failed) {
  endpoint.outlier.is_unreachable = endpoint.outlier.is_unreachable || connect_failed;
  if (is_ejected(endpoint)) return;
  if (!connect_failed && outlier_score(endpoint) < kEjectionThreshold) return;
  outliers_.eject(endpoint, connect_failed ? "no connection" : "it fails more than others");
}

// ---- Hand-over

void EndpointTable::export_state(HandoverState& state) const {
  state.recent_responses = responses_.count(context_.now, kRateMemory);
  state.recent_arrivals = arrivals_.count(context_.now, kRateMemory);
  state.operator_ejected.assign(operator_ejected_.begin(), operator_ejected_.end());
  for (const auto& [id, endpoint] : endpoints_)
    if (in_slow_start(endpoint))
      state.slow_starting.emplace_back(id, endpoint.slow_start.start_time);
}

void EndpointTable::restore(const HandoverState& state) {
  responses_ = {state.recent_responses, state.export_time};
  arrivals_ = {state.recent_arrivals, state.export_time};
  for (const auto& [id, since] : state.slow_starting)
    if (auto* endpoint = find_or_null(endpoints_, id)) slow_start_.begin(*endpoint, since);
  operator_ejected_.insert(state.operator_ejected.begin(), state.operator_ejected.end());
}

}  // namespace petrelrail::policy

#include "policy/connection_limits.hpp"

#include <algorithm>

#include "common/time_math.hpp"

namespace petrelrail::policy {
namespace {

using namespace std::chrono_literals;

// Hold time before a server is tried with one connection more than its known limit.
constexpr Duration kInitialLimitHold = 5s;
// Upper bound of the hold time, which doubles with each failed trial.
constexpr Duration kMaxLimitHold = 40s;
// A server that answered within this span is not considered unreachable.
constexpr Duration kRecentResponseSpan = 1s;
// Idle connections are released for this long after a limit was reached.
constexpr Duration kScarcityDuration = 30s;
// Factor by which the peak of attempts decays from one sweep to the next: halved in 3.5 s.
constexpr double kDemandDecay = 0.95;
constexpr double kRounding = 0.5;  // rounds to the nearest whole connection

}  // namespace

ConnectionCounts ConnectionLimits::connections(EndpointId endpoint) const {
  const auto* view = context_.connection_view;
  return view ? view->connections(endpoint) : ConnectionCounts{1, 1};
}

bool ConnectionLimits::is_exhausted(const Endpoint& endpoint,
                                    const ConnectionCounts& counts) const {
  const auto limit = endpoint.connection_limit.max_connections;
  return counts.idle == 0 && limit > 0 && counts.open >= limit;
}

bool ConnectionLimits::record_failed_connect(Endpoint& endpoint) {
  const auto open = context_.connection_view ? connections(endpoint.info.id).open : 0;
  if (open == 0 || context_.now > endpoint.last_response + kRecentResponseSpan) return false;
  auto& state = endpoint.connection_limit;
  if (state.max_connections == 0)
    context_.log("server " + text_of(endpoint.info.id) + " takes no more connections than " +
                 std::to_string(open));
  state.max_connections = open;
  state.reached_time = context_.now;
  scarcity_deadline_ = context_.now + kScarcityDuration;
  state.hold_duration = std::clamp(state.hold_duration * 2, kInitialLimitHold, kMaxLimitHold);
  return true;
}

void ConnectionLimits::on_forwarded(double in_flight) {
  peak_in_flight_ = std::max(peak_in_flight_, in_flight);
}

void ConnectionLimits::release_spare(const std::vector<Endpoint*>& preference_order,
                                     double in_flight) {
  peak_in_flight_ = std::max(in_flight, peak_in_flight_ * kDemandDecay);
  auto spare = static_cast<std::uint32_t>(peak_in_flight_ - in_flight + kRounding);
  for (auto* endpoint : preference_order) {
    auto& state = endpoint->connection_limit;
    if (state.max_connections > 0 && context_.now >= state.reached_time + state.hold_duration) {
      ++state.max_connections;
      state.reached_time = context_.now;
    }
    if (!context_.connection_view || context_.now >= scarcity_deadline_) continue;
    const auto idle = connections(endpoint->info.id).idle;
    const auto keep = std::min(idle, spare);
    if (idle > keep) context_.actions.emplace_back(ReleaseIdleConnections{endpoint->info.id, keep});
    spare -= keep;
  }
}

}  // namespace petrelrail::policy

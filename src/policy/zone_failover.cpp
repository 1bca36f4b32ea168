#include "policy/zone_failover.hpp"

#include <algorithm>

#include "common/lookup.hpp"
#include "policy/ejection.hpp"

namespace petrelrail::policy {
namespace {

// Number of servers of a zone, unreachable in succession, for which the zone is ejected.
constexpr std::size_t kMinUnreachableServers = 2;
// A zone that answered within this span is not cut off.
constexpr Duration kRecentResponseSpan = std::chrono::seconds(1);

}  // namespace

bool ZoneFailover::is_ejected(ZoneIndex zone, Time now) const {
  const auto* state = find_or_null(zones_, zone);
  return state && now < state->ejection_end_time;
}

bool ZoneFailover::needs_probe(ZoneIndex zone) const {
  const auto* state = find_or_null(zones_, zone);
  return state && state->ejection_duration > Duration{};
}

bool ZoneFailover::has_probe_in_flight(ZoneIndex zone) const {
  const auto* state = find_or_null(zones_, zone);
  return state && state->probe_deadline > context_.now;
}

void ZoneFailover::on_forwarded(ZoneIndex zone) {
  auto* state = find_or_null(zones_, zone);
  if (state) state->probe_deadline = context_.now + context_.settings.connect_timeout;
}

void ZoneFailover::on_response(ZoneIndex zone) {
  auto& state = zones_[zone];
  if (state.ejection_duration > Duration{}) context_.log("zone " + text_of(zone) + " is back");
  state = Zone{};
  state.last_response = context_.now;
}

void ZoneFailover::on_unreachable(const EndpointInfo& endpoint) {
  auto& state = zones_[endpoint.zone];
  state.unreachable.insert(endpoint.id);
  const bool others_answer = std::ranges::any_of(zones_, [&](const auto& entry) {
    return entry.first != endpoint.zone &&
           entry.second.last_response + kRecentResponseSpan >= context_.now;
  });
  if (state.unreachable.size() < kMinUnreachableServers || !others_answer) return;
  if (state.ejection_duration == Duration{})
    context_.log("zone " + text_of(endpoint.zone) + " left: it can't be reached");
  state.ejection_duration = next_ejection(state.ejection_duration);
  state.ejection_end_time = context_.now + with_jitter(state.ejection_duration, context_);
}

}  // namespace petrelrail::policy

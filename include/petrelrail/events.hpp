// Events that the host passes to a gateway.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "petrelrail/handover_state.hpp"
#include "petrelrail/settings.hpp"
#include "petrelrail/types.hpp"

namespace petrelrail {

enum class EndpointPhase { ready, draining, gone };

struct EndpointInfo {
  EndpointId id{};
  ZoneIndex zone{};
  std::uint32_t cell = 0;
  EndpointPhase phase = EndpointPhase::ready;
  std::optional<Time> started{};  // latest start; nullopt: long ago
  double weight = 1;
};

// delta: changed entries only; full, cached: all entries; failed: no list was obtained
enum class EndpointListKind { delta, full, cached, failed };

struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::full;
  std::vector<EndpointInfo> entries;
};

struct RequestArrived {
  RequestId request{};
  ClassIndex request_class{};
  PlanIndex plan{};
  CustomerId customer{};
  Duration time_left{};  // until the client gives up on this attempt
  double units = 1;
  std::uint32_t gateways = 1;  // number of gateways that serve this customer
  bool is_retry = false;
  bool best_effort = false;  // yields to all other requests where capacity is short
  // The request's body is still arriving, and is forwarded while it arrives. `time_left` counts
  // from its last byte, which RequestReceived reports.
  bool body_pending = false;
};

// The last byte of a request that was reported with `body_pending` has arrived.
struct RequestReceived {
  RequestId request{};
  Duration time_left{};  // until the client gives up on this attempt
};

enum class AttemptOutcome {
  ok,
  error,
  overloaded,
  timeout,
  connect_failed,
  reset,
  cancelled,
  never_sent
};

struct LoadReport {
  std::optional<double> in_flight, queue, utilisation, latency_ms;
};

struct AttemptEnded {
  RequestId request{};
  std::uint32_t attempt = 0;
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::ok;
  Duration duration{};
  bool request_completed = false;  // the client has its final answer
  double settled_units = 0;        // units actually used; 0: not reported
  std::optional<LoadReport> load{};
  // Part of the request body was forwarded and not kept, so it can't be sent again.
  bool body_consumed = false;
  // Time to establish the connection. 0: an idle one was used, or the time is unknown.
  Duration connect_duration{};
};

// The host can know only until `latest_start` that the client is connected: no attempt may begin
// after that.
struct StartLimited {
  RequestId request{};
  Time latest_start{};
};

struct HealthCheckEnded {
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::ok;
  Duration duration{};
  std::optional<LoadReport> load{};
};

struct TimerDue {
  TimerId timer{};
};

struct ClientDisconnected {
  RequestId request{};
};

// refused: nothing was added; timeout: it is unknown whether the amount was added
enum class CounterOutcome { ok, refused, timeout };

struct CounterResponse {
  CounterKey key{};
  CounterOutcome outcome = CounterOutcome::ok;
  double total = 0;  // valid if ok
  Duration duration{};
};

// The counter answered a request that adds nothing and costs it nothing: it is reachable again
// after an outage.
struct CounterRecovered {};

// Number of live gateways in the fleet, this one included, as far as known. Affects how often this
// gateway calls the counter, never the units it holds.
struct FleetView {
  std::uint32_t live_gateways = 1;
};

// Operators eject a server or put it back. Takes precedence over the list's entry for the server.
struct OperatorEjection {
  EndpointId endpoint{};
  bool ejected = false;
};

// New settings, which must pass validate_change(). Open requests keep the settings they began
// under; class indices of later requests are positions in the new settings.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
};

// Makes a new gateway continue from the state of its predecessor.
struct RestoreState {
  std::shared_ptr<const HandoverState> state;
};

// Only time has passed: actions that are due by then are returned.
struct TimeAdvanced {};

using Event = std::variant<EndpointListUpdate, RequestArrived, AttemptEnded, HealthCheckEnded,
                           TimerDue, ClientDisconnected, CounterResponse, CounterRecovered,
                           TimeAdvanced, FleetView, OperatorEjection, SettingsChanged, RestoreState,
                           RequestReceived, StartLimited>;

}  // namespace petrelrail

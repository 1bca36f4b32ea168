// An entry of the endpoint list, with its learned health and load.
#pragma once

#include <cstdint>
#include <string>

#include "petrelrail/events.hpp"
#include "policy/decaying_counter.hpp"

namespace petrelrail::policy {

// Slow start after a restart of the server.
struct SlowStartState {
  Time start_time = Time::min();
  double tokens = 0;  // attempts that the server may take, as of `last_refill_time`
  Time last_refill_time{};
};

// Health of a server as observed by this gateway, and its ejection.
struct OutlierState {
  DecayingCounter failures, outcomes;  // recent
  DecayingCounter score;               // evidence that the server fails more than others (CUSUM)
  Time ejection_end_time = Time::min();
  Time ejection_start_time{};    // used only to limit log lines
  Duration ejection_duration{};  // of the last ejection; 0: the server has answered since
  bool is_unreachable = false;   // a connect has failed since the last successful answer
};

// Connection limit of a server, learned from a failed connect beyond it.
struct ConnectionLimitState {
  std::uint32_t max_connections = 0;  // 0: no limit is known
  Time reached_time{};
  Duration hold_duration{};
};

struct Endpoint {
  EndpointInfo info;
  bool listed = false;
  std::uint32_t in_flight = 0;
  double load = 0;  // expected seconds of work of this gateway's attempts in flight
  // EWMA of latency divided by the class's average latency, as of `slowness_updated`.
  double slowness = 1;
  Time slowness_updated{};
  Time last_response = Time::min();  // regardless of its outcome
  SlowStartState slow_start;
  OutlierState outlier;
  ConnectionLimitState connection_limit;
};

template <class Id>
std::string text_of(Id id) {
  return std::to_string(static_cast<std::uint32_t>(id));
}

}  // namespace petrelrail::policy

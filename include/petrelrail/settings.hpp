// A gateway's settings: the fleet, customers' plans, request classes and limits.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "petrelrail/types.hpp"

namespace petrelrail {

// Whether a request may run twice: yes; where its idempotency key is known; never.
enum class Idempotency { idempotent, idempotency_key, non_idempotent };
// With an idempotency key: the servers that drop each other's repeats.
enum class DeduplicationScope { all, zone, cell };

struct RequestClass {
  std::string name;
  double priority_weight = 1;
  double late_weight = 0;        // fraction of the weight that a late answer earns
  Duration latency_objective{};  // an answer within this time earns the full weight
  Duration deadline{};           // total time that a client waits
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Duration deduplication_window{};  // how long servers of the scope remember a key
  bool streamed = false;
};

struct Plan {
  std::string name;
  double rate = 0;          // units per second; 0: no rate quota
  double burst = 0;         // upper bound of accumulated units
  double ceiling_rate = 0;  // units per second; 0: no ceiling
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  std::uint32_t max_concurrent = 0;  // concurrent attempts over all gateways; 0: no limit
  double price = 1;
  double over_quota_weight = 0;
  double over_quota_cost = 0;

  bool operator==(const Plan&) const = default;
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Plan> plans;
  std::uint32_t fleet_size = 1;     // number of gateways
  std::uint32_t gateway_index = 0;  // of this gateway, below fleet_size
  ZoneIndex zone{};
  // permissions
  std::uint32_t max_attempts = 1;
  bool hedged_requests = false;  // permission only: none are made
  bool cancel = false;
  bool health_checks = false;  // permission only: none are sent
  bool retry_after = false;
  Duration max_retry_after{};
  Duration connect_timeout{};
  // the counter service
  bool counter = false;
  Duration counter_timeout{};
  double counter_price = 0;
  double max_units = 1;  // of one request
  bool units_settled_after = false;
  // rules
  Duration response_slack{};
  Duration drain_grace{};
  double overload_multiple = 1;
  Duration overload_window{};
  double slow_start_capacity = 1;  // minimum capacity of a started server, relative to a warm one
  Duration slow_start_duration{};
  // prices, in points of the result per unit
  double cross_zone_price = 0;
  double handshake_price = 0;
  double health_check_price = 0;
  bool discovery_needs_subscription = false;
  bool weights_known = false;  // EndpointInfo::weight compares server sizes
};

// Throws std::invalid_argument, naming the field, for invalid settings.
void validate(const Settings& settings);
// Validates settings that replace others in a running gateway. Also throws for a change of what
// must stay the same: plans, counter settings and the fleet's numbers, from which all gateways
// derive windows and ceilings.
void validate_change(const Settings& from, const Settings& to);

}  // namespace petrelrail

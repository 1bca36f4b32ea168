// Reads the settings from JSON, for the wire adapter and for the edge node. Each error is a
// FieldError whose text names the field.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "petrelrail/gateway.hpp"

namespace petrelrail::reading {

using nlohmann::json;

// ---- Values: `key` or `k` names the field in errors ---------------------------------------------

struct FieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline const json* optional_field(const json& o, const char* key) {
  const auto it = o.find(key);
  return it == o.end() || it->is_null() ? nullptr : &*it;
}
inline const json& field(const json& o, const char* key) {
  if (const auto* v = optional_field(o, key)) return *v;
  throw FieldError(std::string("field '") + key + "' is missing");
}
[[noreturn]] inline void fail_field(const char* key, const char* expected) {
  throw FieldError(std::string("field '") + key + "' is not " + expected);
}
inline std::int64_t integer_of(const json& v, const char* key) {
  if (v.is_number_unsigned() && v.get<std::uint64_t>() > INT64_MAX)
    fail_field(key, "a whole number below 2^63");
  if (!v.is_number_integer()) fail_field(key, "a whole number");
  return v.get<std::int64_t>();
}
inline std::uint64_t unsigned_integer_of(const json& v, const char* key) {
  if (!v.is_number_unsigned()) {
    if (!v.is_number_integer() || v.get<std::int64_t>() < 0)
      fail_field(key, "a whole number of 0 or more");
  }
  return v.get<std::uint64_t>();
}
inline std::uint32_t uint32_of(const json& v, const char* key) {
  const auto n = unsigned_integer_of(v, key);
  if (n > UINT32_MAX) fail_field(key, "a number below 2^32");
  return static_cast<std::uint32_t>(n);
}
inline double number_of(const json& v, const char* key) {
  if (!v.is_number()) fail_field(key, "a number");
  return v.get<double>();
}
inline bool boolean_of(const json& v, const char* key) {
  if (!v.is_boolean()) fail_field(key, "true or false");
  return v.get<bool>();
}
inline const std::string& text_of(const json& v, const char* key) {
  if (!v.is_string()) fail_field(key, "a string");
  return v.get_ref<const std::string&>();
}
// Both return their argument, which outlives the call.
// NOLINTBEGIN(bugprone-return-const-ref-from-parameter)
inline const json& list_of(const json& v, const char* key) {
  if (!v.is_array()) fail_field(key, "a list");
  return v;
}
inline const json& object_of(const json& v, const char* key) {
  if (!v.is_object()) fail_field(key, "an object");
  return v;
}
// NOLINTEND(bugprone-return-const-ref-from-parameter)

inline std::int64_t integer(const json& o, const char* k) { return integer_of(field(o, k), k); }
inline std::uint32_t uint32(const json& o, const char* k) { return uint32_of(field(o, k), k); }
inline double number(const json& o, const char* k) { return number_of(field(o, k), k); }
inline bool boolean(const json& o, const char* k) { return boolean_of(field(o, k), k); }
inline const std::string& text(const json& o, const char* k) { return text_of(field(o, k), k); }
inline Duration duration(const json& o, const char* k) { return Duration(integer(o, k)); }
// In nanoseconds, above 0, and small enough that sums with the current time don't overflow.
inline Duration positive_duration(const json& o, const char* k) {
  const auto d = duration(o, k);
  if (d <= Duration{} || d > Duration::max() / 4)
    fail_field(k, "a time above 0 that can be waited for");
  return d;
}
inline Duration non_negative_duration(const json& o, const char* k) {
  const auto d = duration(o, k);
  if (d < Duration{}) fail_field(k, "a time of 0 or more");
  return d;
}
inline double non_negative_number(const json& o, const char* k) {
  const auto n = number(o, k);
  if (n < 0) fail_field(k, "a number of 0 or more");
  return n;
}
inline double positive_number(const json& o, const char* k) {
  const auto n = number(o, k);
  if (n <= 0) fail_field(k, "a number above 0");
  return n;
}
inline std::uint32_t positive_uint32(const json& o, const char* k) {
  const auto n = uint32(o, k);
  if (n == 0) fail_field(k, "a whole number above 0");
  return n;
}
inline double number_or_zero(const json& o, const char* k) {
  const auto* v = optional_field(o, k);
  return v ? number_of(*v, k) : 0.0;
}

inline std::uint64_t hex(const json& o, const char* k) {
  const auto& s = text(o, k);
  if (s.size() != 16) fail_field(k, "16 hex digits");
  std::uint64_t n = 0;
  for (const char c : s) {
    if (c >= '0' && c <= '9') {
      n = n * 16 + static_cast<std::uint64_t>(c - '0');
    } else if (c >= 'a' && c <= 'f') {
      n = n * 16 + static_cast<std::uint64_t>(c - 'a' + 10);
    } else {
      fail_field(k, "16 hex digits in lower case");
    }
  }
  return n;
}

template <class T, std::size_t N>
T enum_value(const json& o, const char* k, const std::array<std::pair<const char*, T>, N>& values) {
  const auto& text_value = text(o, k);
  for (const auto& [name, value] : values)
    if (text_value == name) return value;
  throw FieldError(std::string("field '") + k + "' has the unknown value '" + text_value + "'");
}

// ---- Settings -----------------------------------------------------------------------------------

// Index of each name in the settings.
struct SettingNames {
  std::map<std::string, std::uint32_t> classes, plans, zones;
};
struct NamedSettings {
  Settings settings;
  SettingNames names;
};

// Gives the name the next index. Throws if it is there already, because names identify entries.
inline void add_name(std::map<std::string, std::uint32_t>& index, const std::string& name,
                     const char* key) {
  if (!index.emplace(name, index.size()).second)
    throw FieldError(std::string("field '") + key + "' names '" + name + "' twice");
}
inline std::map<std::string, std::uint32_t> read_names(const json& names, const char* key) {
  std::map<std::string, std::uint32_t> index;
  for (const auto& n : list_of(names, key)) add_name(index, text_of(n, key), key);
  return index;
}
inline const json& non_empty_list(const json& o, const char* key) {
  const auto& list = list_of(field(o, key), key);
  if (list.empty()) fail_field(key, "a list with an entry");
  return list;
}
inline std::uint32_t index_of(const std::map<std::string, std::uint32_t>& names, const json& o,
                              const char* key) {
  const auto it = names.find(text(o, key));
  if (it == names.end())
    throw FieldError(std::string("field '") + key + "' names nothing in the settings");
  return it->second;
}

inline RequestClass read_request_class(const json& j) {
  static constexpr std::array<std::pair<const char*, Idempotency>, 3> idempotencies{
      {{"safe", Idempotency::idempotent},
       {"keyed", Idempotency::idempotency_key},
       {"unsafe", Idempotency::non_idempotent}}};
  static constexpr std::array<std::pair<const char*, DeduplicationScope>, 3> scopes{
      {{"all", DeduplicationScope::all},
       {"zone", DeduplicationScope::zone},
       {"cell", DeduplicationScope::cell}}};
  RequestClass c;
  c.name = text(j, "name");
  // The name is the first segment of a request's path.
  const auto ends_segment = [](char x) {
    return x == '/' || x == '?' || static_cast<unsigned char>(x) <= ' ';
  };
  if (c.name.empty() || std::ranges::any_of(c.name, ends_segment))
    fail_field("name", "a part of a path");
  c.priority_weight = non_negative_number(j, "gain");
  c.late_weight = number(j, "late-worth");
  c.latency_objective = positive_duration(j, "on-time-ns");
  c.deadline = positive_duration(j, "hard-limit-ns");
  c.idempotency = enum_value(j, "idempotency", idempotencies);
  c.deduplication_scope = enum_value(j, "group", scopes);
  // Clamped so that the end of a window, added to the current time, does not overflow.
  c.deduplication_window = std::min(non_negative_duration(j, "memory-span-ns"),
                                    Duration::max() / 4);
  c.streamed = boolean(j, "streamed");
  return c;
}

inline Plan read_plan(const json& j) {
  Plan p;
  p.name = text(j, "name");
  if (p.name.empty()) fail_field("name", "a plan's name");
  p.rate = non_negative_number(j, "units-per-s");
  p.burst = non_negative_number(j, "store-size");
  p.ceiling_rate = non_negative_number(j, "ceiling-rate");
  p.ceiling_burst = non_negative_number(j, "cap-depth");
  p.ceiling_slack = non_negative_number(j, "tolerance");
  if (p.rate > 0 && p.burst <= 0) fail_field("store-size", "above 0 with units-per-s");
  if (p.ceiling_rate > 0 && p.ceiling_burst <= 0)
    fail_field("cap-depth", "above 0 with ceiling-rate");
  p.max_concurrent = uint32(j, "max-out");
  p.price = number(j, "value-factor");
  p.over_quota_weight = number(j, "over-worth");
  p.over_quota_cost = number(j, "overrun-cost");
  return p;
}

inline NamedSettings read_settings(const json& j) {
  const auto& limits = object_of(field(j, "ceilings"), "ceilings");
  const auto& extra = object_of(field(j, "extra"), "extra");
  const auto& safety = object_of(field(j, "safety"), "safety");
  const auto& prices = object_of(field(j, "prices"), "prices");
  NamedSettings named_settings;
  auto& s = named_settings.settings;
  auto& [classes, plans, zones] = named_settings.names;
  zones = read_names(field(j, "zones"), "zones");
  for (const auto& entry : non_empty_list(j, "grades")) {
    s.classes.push_back(read_request_class(object_of(entry, "grades")));
    add_name(classes, s.classes.back().name, "grades");
  }
  for (const auto& entry : non_empty_list(j, "packages")) {
    s.plans.push_back(read_plan(object_of(entry, "packages")));
    add_name(plans, s.plans.back().name, "packages");
  }
  s.fleet_size = positive_uint32(j, "fleet-size");
  s.gateway_index = uint32(j, "index");
  s.zone = ZoneIndex(index_of(zones, j, "az"));
  s.max_attempts = positive_uint32(limits, "max-attempts");
  s.hedged_requests = boolean(limits, "second-copies");
  s.cancel = boolean(limits, "cancel");
  s.health_checks = boolean(limits, "probes");
  s.retry_after = boolean(limits, "retry-after");
  s.max_retry_after = non_negative_duration(limits, "max-retry-after-ns");
  s.connect_timeout = positive_duration(limits, "connect-timeout-ns");
  s.counter = boolean(extra, "counter");
  s.counter_timeout = s.counter ? positive_duration(extra, "count-limit-ns")
                                : duration(extra, "count-limit-ns");
  s.counter_price = number(extra, "counter-price");
  s.max_units = positive_number(extra, "max-units");
  s.units_settled_after = boolean(extra, "trued-up");
  s.response_slack = non_negative_duration(safety, "answer-slack-ns");
  s.drain_grace = non_negative_duration(safety, "drain-grace-ns");
  s.overload_multiple = non_negative_number(safety, "fall-multiple");
  s.overload_window = non_negative_duration(safety, "fall-ns");
  s.slow_start_capacity = positive_number(safety, "start-capacity");
  if (s.slow_start_capacity > 1) fail_field("start-capacity", "a part of 1");
  s.slow_start_duration = non_negative_duration(safety, "warm-within-ns");
  s.cross_zone_price = non_negative_number(prices, "cross-zone");
  s.health_check_price = number(prices, "probe");
  s.handshake_price = number_or_zero(prices, "handshake");
  s.discovery_needs_subscription = text(j, "discovery") == "ask";
  s.weights_known = text(j, "weights") != "off";
  return named_settings;
}

}  // namespace petrelrail::reading

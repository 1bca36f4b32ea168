// Validates settings and changes of settings. Messages use the names of the settings file.
#include <cmath>
#include <initializer_list>
#include <stdexcept>

#include "petrelrail/gateway.hpp"

namespace petrelrail {
namespace {

using namespace std::chrono_literals;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

void require(bool valid, const std::string& field) {
  if (!valid) throw std::invalid_argument("petrelrail settings: " + field);
}

using Numbers = std::initializer_list<std::pair<double, const char*>>;
void require_0_or_more(const std::string& prefix, Numbers numbers) {
  for (const auto& [value, name] : numbers)
    require(std::isfinite(value) && value >= 0, prefix + name);
}

}  // namespace

void validate(const Settings& s) {
  require(!s.classes.empty(), "classes is empty");
  require(!s.plans.empty(), "plans is empty");
  require(s.fleet_size > 0 && s.gateway_index < s.fleet_size, "fleet_size or index");
  require(s.max_attempts > 0, "max_attempts");
  require(s.slow_start_capacity > 0 && s.slow_start_capacity <= 1, "start_capacity");
  require(std::isfinite(s.max_units) && s.max_units > 0, "max_units");
  require(!s.counter || s.counter_timeout > 0ns, "counter_timeout");
  require_0_or_more("", {{s.overload_multiple, "fall_multiple"},
                         {s.cross_zone_price, "cross_zone_price"},
                         {seconds(s.slow_start_duration), "warm_within"},
                         {seconds(s.overload_window), "fall_time"},
                         {seconds(s.drain_grace), "drain_grace"},
                         {seconds(s.response_slack), "answer_slack"},
                         {seconds(s.max_retry_after), "max_retry_after"}});
  for (const auto& c : s.classes) {
    require(c.latency_objective > 0ns && c.deadline > 0ns, "class " + c.name + " aim or deadline");
    require(
        c.idempotency >= Idempotency::idempotent && c.idempotency <= Idempotency::non_idempotent,
        "class " + c.name + " effect");
    require(c.deduplication_scope >= DeduplicationScope::all &&
                c.deduplication_scope <= DeduplicationScope::cell,
            "class " + c.name + " group");
    require_0_or_more("class " + c.name + " ", {{c.priority_weight, "worth"},
                                                {seconds(c.deduplication_window), "memory_span"}});
  }
  for (const auto& p : s.plans) {
    require_0_or_more("plan " + p.name + " ", {{p.rate, "rate"},
                                               {p.burst, "burst"},
                                               {p.ceiling_rate, "ceiling_rate"},
                                               {p.ceiling_burst, "ceiling_burst"}});
    require(p.rate == 0 || p.burst > 0, "plan " + p.name + " burst");
    require(p.ceiling_rate == 0 || p.ceiling_burst > 0, "plan " + p.name + " ceiling_burst");
  }
}

void validate_change(const Settings& from, const Settings& to) {
  validate(to);
  const auto require_unchanged = [](bool equal, const char* field) {
    require(equal, std::string(field) + " can't change while the node runs");
  };
  require_unchanged(from.fleet_size == to.fleet_size && from.gateway_index == to.gateway_index,
                    "fleet_size or index");
  require_unchanged(from.zone == to.zone, "zone");
  require_unchanged(from.counter == to.counter && from.counter_timeout == to.counter_timeout,
                    "counter or counter_timeout");
  require_unchanged(from.units_settled_after == to.units_settled_after, "settled_after");
  require_unchanged(from.plans == to.plans, "plans");
}

}  // namespace petrelrail

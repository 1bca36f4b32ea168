#include "configuration.hpp"

#include <cmath>

#include "common/time_math.hpp"

namespace petrelrail::world {
namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr double kCeilingSlack = 0.1;  // share of the ceiling's burst
constexpr double kMinBurst = 2;  // in units of the largest request; twice as much under a ceiling
constexpr double kDeduplicationWindowS = 5;  // seconds

std::int64_t nanoseconds(double s) { return from_seconds(s).count(); }

}  // namespace

std::vector<Plan> plans_of(const Scenario& s) {
  std::vector<Plan> plans;
  for (const auto& t : s.clients.plans) {
    Plan p;
    p.name = t.name, p.rate = t.rate, p.price = t.price, p.over_quota_weight = t.over_worth,
    p.over_quota_cost = t.over_cost;
    p.burst = std::max(t.rate * t.burst_s, t.ceiling > 0 ? 2 * kMinBurst : kMinBurst);
    if (t.ceiling > 0) {
      p.ceiling_rate = t.ceiling * p.rate, p.ceiling_burst = t.ceiling * p.burst;
      p.ceiling_slack = std::max(kCeilingSlack * p.ceiling_burst, 1.0);
    }
    if (t.open > 0)
      p.max_concurrent = static_cast<std::uint32_t>(
          std::max(2.0, std::ceil(t.open * t.rate * s.servers.work_ms / 1e3)));
    plans.push_back(std::move(p));
  }
  return plans;
}

nlohmann::json settings_of(const Scenario& s, std::uint32_t node, std::uint32_t max_attempts) {
  nlohmann::json f;
  f["az"] = s.fleet.zones[node % s.fleet.zones.size()];
  f["zones"] = s.fleet.zones;
  f["discovery"] = "push", f["family"] = "gate", f["weights"] = "rough";
  f["fleet-size"] = s.fleet.nodes, f["index"] = node;
  f["clients"] = {{"marks-retry", true}};
  f["ceilings"] = {{"cancel", true},
                   {"connect-timeout-ns", nanoseconds(s.servers.connect_timeout_ms / 1e3)},
                   {"cpu-us-per-request", 0.0},
                   {"keepalive-ns", nanoseconds(s.servers.idle_s)},
                   {"max-attempts", max_attempts > 0 ? max_attempts : kMaxAttempts},
                   {"max-open", 20000},
                   {"max-retry-after-ns", nanoseconds(s.clients.most_retry_after_ms / 1e3)},
                   {"peer-messages", true},
                   {"probes", false},
                   {"retry-after", true},
                   {"second-copies", true},
                   {"streams-per-conn", 1}};
  f["extra"] = {{"count-limit-ns", nanoseconds(s.counter.timeout_ms / 1e3)},
                {"counter", true},
                {"counter-price", s.counter.price},
                {"inbox-per-s", s.peers.in_per_s},
                {"max-units", 1},
                {"metering-ns", 0},
                {"trued-up", false}};
  f["grades"] = nlohmann::json::array({{{"gain", 1.0},
                                        {"group", "all"},
                                        {"hard-limit-ns", nanoseconds(s.clients.deadline_ms / 1e3)},
                                        {"idempotency", s.clients.effect},
                                        {"late-worth", 0.0},
                                        {"memory-span-ns", nanoseconds(kDeduplicationWindowS)},
                                        {"name", "price-lookup"},
                                        {"on-time-ns", nanoseconds(s.clients.aim_ms / 1e3)},
                                        {"streamed", false}}});
  f["packages"] = nlohmann::json::array();
  for (const auto& p : plans_of(s))
    f["packages"].push_back({{"name", p.name},
                             {"units-per-s", p.rate},
                             {"store-size", p.burst},
                             {"ceiling-rate", p.ceiling_rate},
                             {"cap-depth", p.ceiling_burst},
                             {"tolerance", p.ceiling_slack},
                             {"max-out", p.max_concurrent},
                             {"value-factor", p.price},
                             {"over-worth", p.over_quota_weight},
                             {"overrun-cost", p.over_quota_cost}});
  f["prices"] = {{"cross-zone", s.prices.cross_zone},
                 {"probe", 0.0},
                 {"peer", s.prices.peer},
                 {"handshake", s.prices.handshake}};
  f["safety"] = {{"answer-slack-ns", 16'000'000},
                 {"drain-grace-ns", nanoseconds(s.servers.drain_grace_s)},
                 {"fall-multiple", s.servers.fall_multiple},
                 {"fall-ns", nanoseconds(s.servers.fall_s)},
                 {"must-ask-in-ns", nanoseconds(10)},
                 {"start-capacity", s.servers.cold_from.min},
                 {"warm-within-ns", nanoseconds(s.servers.cold_s.max)}};
  return f;
}

InvariantConfig invariant_config(const Scenario& s) {
  InvariantConfig t;
  t.lost_after = from_seconds(s.clients.patience_ms / 1e3);
  t.drain_grace = from_seconds(s.servers.drain_grace_s + 0.05);
  t.max_attempts = kMaxAttempts;
  t.idempotency = s.clients.effect == "safe"    ? Idempotency::idempotent
                  : s.clients.effect == "keyed" ? Idempotency::idempotency_key
                                                : Idempotency::non_idempotent;
  t.deduplication_window = from_seconds(kDeduplicationWindowS);
  t.max_datagram_bytes = s.peers.most_bytes;
  t.plans = plans_of(s);
  for (const auto& f : s.faults) t.max_attempts = std::max(t.max_attempts, f.max_attempts);
  return t;
}

}  // namespace petrelrail::world

#include "rules.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "common/time_math.hpp"

namespace petrelrail::world {
namespace {

constexpr double kUnitTolerance = 1e-3;      // units by which sums of rounded totals may differ
constexpr std::size_t kMaxViolations = 200;  // kept; more add no information

}  // namespace

std::string InvariantChecker::text(ClientAttemptId id) {
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(id));
  return hex;
}

void InvariantChecker::add_violation(Time now, const char* rule, std::string description) {
  if (violations_.size() < kMaxViolations)
    violations_.push_back({now, rule, std::move(description)});
}

double InvariantChecker::TokenBucket::level(Time now, double rate, double capacity) const {
  return std::min(capacity, tokens + rate * seconds(now - at));
}

void InvariantChecker::observe(Time now, const Observation& s) {
  std::visit([&](const auto& e) { on(now, e); }, s);
}

bool InvariantChecker::is_within_quota(ClientAttemptId id) const {
  const auto it = open_.find(id);
  return it != open_.end() && it->second.within_quota;
}

// ---- 1 Every request answered -------------------------------------------------------------------

void InvariantChecker::on(Time now, const ClientAttemptSent& s) {
  OpenAttempt o;
  o.sent = s, o.at = now;
  open_.insert_or_assign(s.id, std::move(o));
  expiries_.emplace_back(s.deadline + std::max(config_.lost_after, config_.answer_slack), s.id);
}

void InvariantChecker::on(Time, const ClientAttemptReceived& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end()) return;
  it->second.received = true;
  unanswered_[it->second.sent.node].insert(s.id);
}

void InvariantChecker::on(Time now, const ClientAttemptAnswered& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end()) return;
  auto& o = it->second;
  unanswered_[o.sent.node].erase(s.id);
  if (o.answered)
    return add_violation(now, "one final answer", text(s.id) + " was answered a second time");
  o.answered = o.ended = true;
  if (s.verdict == Verdict::served) {
    if (!s.genuine)
      return add_violation(now, "one final answer",
                           text(s.id) + " was served with a response that no price server sent");
    if (o.attempts.empty())
      return add_violation(now, "one final answer",
                           text(s.id) + " was served and reached no price server");
  }
  if (s.verdict != Verdict::refused) return;
  const bool may_have_run = std::ranges::any_of(o.attempts,
                                                [](const Attempt& a) { return !a.never_ran; });
  if (!may_have_run || config_.idempotency == Idempotency::idempotent) return;
  if (config_.idempotency == Idempotency::non_idempotent ||
      config_.deduplication_scope != DeduplicationScope::all)
    add_violation(now, "no double effects", text(s.id) + " was refused though it may have run");
}

void InvariantChecker::on(Time now, const ClientAttemptBroken& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end() || it->second.ended) return;
  unanswered_[it->second.sent.node].erase(s.id);
  it->second.ended = true;
  // The end of connections of a killed process may be observed only after its end.
  const auto down = down_at_.find(it->second.sent.node);
  if (down != down_at_.end() && it->second.at <= down->second) return;
  // A request that was forwarded had been read.
  if ((!s.first_on_connection || !it->second.attempts.empty()) && now < it->second.sent.deadline)
    add_violation(now, "one final answer",
                  text(s.id) + " lost: its connection was closed without an answer");
}

void InvariantChecker::on(Time, const ClientAttemptUnreachable& s) {
  if (const auto it = open_.find(s.id); it != open_.end()) it->second.ended = true;
}

void InvariantChecker::on(Time now, const ClientAttemptAbandoned& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end()) return;
  auto& o = it->second;
  unanswered_[o.sent.node].erase(s.id);
  if (!o.ended && o.received &&
      now >= o.sent.deadline + std::max(config_.lost_after, config_.answer_slack))
    add_violation(now, "one final answer",
                  text(s.id) + " lost: no answer until " +
                      std::to_string(std::llround(seconds(now - o.sent.deadline) * 1e3)) +
                      " ms past its deadline");
  o.ended = true;
  o.disconnected_at = std::min(o.disconnected_at, now);
}

// The requests of a node that is down end with it; clients retry them. A node that ended without
// being stopped has crashed, which is a violation of its own.
void InvariantChecker::on(Time now, const NodeDown& s) {
  if (s.crashed)
    add_violation(now, "no crash", "node " + std::to_string(s.node) + " exited unexpectedly");
  for (const auto id : std::exchange(unanswered_[s.node], {}))
    if (const auto it = open_.find(id); it != open_.end()) it->second.ended = true;
  std::erase_if(announcements_, [&](const auto& t) { return t.first.first == s.node; });
  down_at_[s.node] = now;
}

void InvariantChecker::check_expired(Time now) {
  // Entries are kept for a while longer because attempts may arrive late.
  const auto keep = std::chrono::seconds(5);
  while (!expiries_.empty() && expiries_.front().first + keep < now) {
    const auto [due, id] = expiries_.front();
    expiries_.pop_front();
    const auto it = open_.find(id);
    if (it == open_.end()) continue;
    if (!it->second.ended && it->second.received)
      add_violation(due, "one final answer", text(id) + " was never answered");
    unanswered_[it->second.sent.node].erase(id);
    open_.erase(it);
  }
}

// ---- 2 No double effects; 3 drains; listed servers ----------------------------------------------

void InvariantChecker::check_copies(Time now, const OpenAttempt& o, const AttemptArrived& s) {
  const auto in_flight = std::ranges::count(o.attempts, true, &Attempt::in_flight);
  if (o.attempts.size() >= config_.max_attempts)
    add_violation(
        now, "attempts",
        text(s.id) + " arrived more than " + std::to_string(config_.max_attempts) + " times");
  if (!config_.second_copies && in_flight > 0)
    add_violation(now, "duplicates", text(s.id) + " arrived while another copy was in flight");
  const auto ran = std::ranges::find(o.attempts, false, &Attempt::never_ran);
  if (config_.idempotency == Idempotency::idempotent || ran == o.attempts.end()) return;
  if (config_.idempotency == Idempotency::non_idempotent)
    return add_violation(now, "no double effects",
                         text(s.id) + " was sent again though it may have run");
  if (now > ran->at + config_.deduplication_window)
    return add_violation(now, "no double effects",
                         text(s.id) + " was sent again after its group's memory");
  const auto &a = locations_[ran->server], &b = locations_[s.server];
  if ((config_.deduplication_scope == DeduplicationScope::zone && a.zone != b.zone) ||
      (config_.deduplication_scope == DeduplicationScope::cell && a.cell != b.cell))
    add_violation(now, "no double effects",
                  text(s.id) + " was sent to another group though it may have run");
}

void InvariantChecker::on(Time now, const AttemptArrived& s) {
  const auto server = std::to_string(static_cast<std::uint32_t>(s.server));
  const auto announced = announcements_.find({s.node, s.server});
  const auto down = down_at_.find(s.node);
  // Data in flight when the process ended may be read shortly after.
  const auto it = open_.find(s.id);
  const bool sent_before_restart = down != down_at_.end() &&
                                   (s.first_byte <= down->second ||
                                    (it != open_.end() && it->second.at <= down->second &&
                                     s.first_byte <= down->second + config_.read_delay));
  if (announced == announcements_.end()) {
    if (!sent_before_restart)
      add_violation(now, "listed servers",
                    "node " + std::to_string(s.node) + " sent to server " + server +
                        ", which was not in its endpoint list");
  } else if (announced->second.phase != EndpointPhase::ready &&
             s.first_byte > announced->second.at + config_.drain_grace) {
    add_violation(
        now, "drains",
        "node " + std::to_string(s.node) + " sent to server " + server + " " +
            std::to_string(std::llround(seconds(s.first_byte - announced->second.at) * 1e3)) +
            " ms after it was notified of the drain");
  }
  if (it == open_.end())
    return add_violation(now, "duplicates",
                         text(s.id) + " reached server " + server + " though no client sent it");
  auto& o = it->second;
  check_copies(now, o, s);
  if (o.disconnected_at != Time::max() &&
      s.first_byte > o.disconnected_at + config_.disconnect_slack)
    add_violation(now, "one final answer", text(s.id) + " was sent on after its client had left");
  if (!o.counted) check_quota(now, o);
  ++attempts_in_flight_[o.sent.customer];
  o.attempts.push_back({s.server, s.attempt, s.first_byte, true, false});
}

void InvariantChecker::on(Time, const AttemptCompleted& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end()) return;
  const auto a = std::ranges::find(it->second.attempts, s.attempt, &Attempt::number);
  if (a == it->second.attempts.end() || !a->in_flight) return;
  a->in_flight = false, a->never_ran = s.never_ran;
  auto& in_flight = attempts_in_flight_[it->second.sent.customer];
  if (in_flight > 0) --in_flight;
}

void InvariantChecker::on(Time now, const ServerAnnounced& s) {
  auto& t = announcements_[{s.node, s.server}];
  // After the first announcement of a drain, later ones of the same server do not extend its grace.
  if (t.at != Time{} && t.phase != EndpointPhase::ready && s.phase != EndpointPhase::ready) return;
  t = {s.phase, now};
}

void InvariantChecker::on(Time, const ServerStarted& s) { locations_[s.server] = {s.zone, s.cell}; }

// ---- 4 Cold starts ------------------------------------------------------------------------------

void InvariantChecker::on(Time now, const ServerOverloadedCold& s) {
  if (s.informed_share < config_.min_informed_share) return;
  add_violation(now, "cold starts",
                "server " + std::to_string(static_cast<std::uint32_t>(s.server)) +
                    " was overloaded while cold, " +
                    std::to_string(std::llround(s.informed_share * 100)) +
                    "% by nodes notified of its start");
}

// ---- 5 Quotas and ceiling, over all nodes together ----------------------------------------------

// Each plan of a customer has three token buckets:
// - `quota` decides which requests are over the quota; these have a cost and are no violation.
// - `ceiling` must not fall below its slack.
// - `windows` bounds what the design of the quota counter can let through. A counter window admits
//   no more than its limit and, while calls are short and there is no ceiling, one request more at
//   each node of the customer's set before the window is leased. A span that touches k + 1 windows
//   lasts at least k - 1 of them. So the bucket holds twice a window's units and is refilled at one
//   window's units for each window. It is refilled when the counter loses its totals.
void InvariantChecker::check_quota(Time now, OpenAttempt& o) {
  o.counted = true;
  const double units = o.sent.units;
  units_forwarded_ += units;
  if (o.sent.plan >= config_.plans.size()) return;
  const auto& p = config_.plans[o.sent.plan];
  auto& c = customer_plans_[{o.sent.customer, o.sent.plan}];
  const double window = p.burst + (p.ceiling_rate > 0 ? 0 : o.sent.spread * units),
               capacity = 2 * window;
  if (!std::exchange(c.initialized, true)) {
    c.quota = {p.burst, now}, c.ceiling = {p.ceiling_burst, now}, c.windows = {capacity, now};
    c.resets = counter_resets_;
  }
  if (p.ceiling_rate > 0) {
    c.ceiling = {c.ceiling.level(now, p.ceiling_rate, p.ceiling_burst) - units, now};
    const double slack = p.ceiling_slack + p.ceiling_rate * seconds(config_.ceiling_slack);
    if (c.ceiling.tokens < -slack - kUnitTolerance) {
      add_violation(now, "ceiling",
                    "customer " +
                        text(ClientAttemptId(static_cast<std::uint64_t>(o.sent.customer))) +
                        " is at " + std::to_string(c.ceiling.tokens) + " units, " +
                        std::to_string(-slack) + " allowed");
      c.ceiling.tokens = 0;  // reports each violation once
    }
  }
  if (p.rate > 0) {
    double level = c.windows.level(now, p.rate * window / p.burst, capacity);
    if (c.resets != counter_resets_) level += 2 * p.burst, c.resets = counter_resets_;
    c.windows = {level - units, now};
    const double slack = std::max(units, p.rate * seconds(config_.ceiling_slack));
    if (c.windows.tokens < -slack - kUnitTolerance) {
      add_violation(now, "quotas",
                    "customer " +
                        text(ClientAttemptId(static_cast<std::uint64_t>(o.sent.customer))) +
                        " was admitted beyond its windows' limit by " +
                        std::to_string(-c.windows.tokens) + " units");
      c.windows.tokens = 0;
    }
  }
  const double level = p.rate > 0 ? c.quota.level(now, p.rate, p.burst) : units;
  o.within_quota = level >= units - kUnitTolerance &&
                   (p.max_concurrent == 0 ||
                    attempts_in_flight_[o.sent.customer] < p.max_concurrent);
  if (o.within_quota)
    c.quota = {level - units, now};
  else
    units_over_quota_ += units;
}

void InvariantChecker::on(Time, const CounterReset&) { ++counter_resets_; }

void InvariantChecker::on(Time now, const Datagram& s) {
  if (s.bytes > config_.max_datagram_bytes)
    add_violation(now, "datagrams",
                  "node " + std::to_string(s.from) + " sent a datagram of " +
                      std::to_string(s.bytes) + " bytes");
}

}  // namespace petrelrail::world

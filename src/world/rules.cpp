#include "rules.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "common/time_math.hpp"

namespace petrelrail::world {
namespace {

constexpr double kSame = 1e-3;          // units by which sums of rounded totals may differ
constexpr std::size_t kMostTold = 200;  // breaches that are kept; more say nothing new

}  // namespace

std::string Rules::text(TryId id) {
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(id));
  return hex;
}

void Rules::breach(Time now, const char* rule, std::string what) {
  if (breaches_.size() < kMostTold) breaches_.push_back({now, rule, std::move(what)});
}

double Rules::Store::level(Time now, double rate, double most) const {
  return std::min(most, held + rate * seconds(now - at));
}

void Rules::saw(Time now, const Seen& s) {
  std::visit([&](const auto& e) { on(now, e); }, s);
}

bool Rules::inside(TryId id) const {
  const auto it = open_.find(id);
  return it != open_.end() && it->second.inside;
}

// ---- 1 Every request answered -------------------------------------------------------------------

void Rules::on(Time now, const TrySent& s) {
  Open o;
  o.sent = s, o.at = now;
  open_.insert_or_assign(s.id, std::move(o));
  due_.emplace_back(s.deadline + std::max(terms_.lost_after, terms_.answer_slack), s.id);
}

void Rules::on(Time, const TryTaken& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end()) return;
  it->second.taken = true;
  held_[it->second.sent.node].insert(s.id);
}

void Rules::on(Time now, const TryAnswered& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end()) return;
  auto& o = it->second;
  held_[o.sent.node].erase(s.id);
  if (o.answered)
    return breach(now, "one final answer", text(s.id) + " was answered a second time");
  o.answered = o.ended = true;
  if (s.verdict == Verdict::served) {
    if (!s.genuine)
      return breach(now, "one final answer",
                    text(s.id) + " was served with what no price server made");
    if (o.attempts.empty())
      return breach(now, "one final answer",
                    text(s.id) + " was served and reached no price server");
  }
  if (s.verdict != Verdict::refused) return;
  const bool may_have_run = std::ranges::any_of(o.attempts,
                                                [](const Sent& a) { return !a.never_ran; });
  if (!may_have_run || terms_.effect == Idempotency::idempotent) return;
  if (terms_.effect == Idempotency::non_idempotent || terms_.group != DeduplicationScope::all)
    breach(now, "no double effects", text(s.id) + " was refused though it may have run");
}

void Rules::on(Time now, const TryBroken& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end() || it->second.ended) return;
  held_[it->second.sent.node].erase(s.id);
  it->second.ended = true;
  // What a process had when it was killed may be seen to end only afterwards.
  const auto down = down_at_.find(it->second.sent.node);
  if (down != down_at_.end() && it->second.at <= down->second) return;
  // One that was sent on had been read.
  if ((!s.first_on_connection || !it->second.attempts.empty()) && now < it->second.sent.deadline)
    breach(now, "one final answer",
           text(s.id) + " lost: its connection was ended without an answer");
}

void Rules::on(Time, const TryUnreachable& s) {
  if (const auto it = open_.find(s.id); it != open_.end()) it->second.ended = true;
}

void Rules::on(Time now, const TryLeft& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end()) return;
  auto& o = it->second;
  held_[o.sent.node].erase(s.id);
  if (!o.ended && o.taken &&
      now >= o.sent.deadline + std::max(terms_.lost_after, terms_.answer_slack))
    breach(now, "one final answer",
           text(s.id) + " lost: no answer until " +
               std::to_string(std::llround(seconds(now - o.sent.deadline) * 1e3)) +
               " ms beyond its time");
  o.ended = true;
  o.left = std::min(o.left, now);
}

// What a dead node had is gone; clients see to it. One that ended by itself has crashed, which is
// told elsewhere.
void Rules::on(Time now, const NodeDown& s) {
  if (s.crashed) breach(now, "no crash", "node " + std::to_string(s.node) + " ended by itself");
  for (const auto id : std::exchange(held_[s.node], {}))
    if (const auto it = open_.find(id); it != open_.end()) it->second.ended = true;
  std::erase_if(told_, [&](const auto& t) { return t.first.first == s.node; });
  down_at_[s.node] = now;
}

void Rules::pass(Time now) {
  // A record is kept a while longer, for attempts that arrive late.
  const auto keep = std::chrono::seconds(5);
  while (!due_.empty() && due_.front().first + keep < now) {
    const auto [due, id] = due_.front();
    due_.pop_front();
    const auto it = open_.find(id);
    if (it == open_.end()) continue;
    if (!it->second.ended && it->second.taken)
      breach(due, "one final answer", text(id) + " never had an answer");
    held_[it->second.sent.node].erase(id);
    open_.erase(it);
  }
}

// ---- 2 No double effects; 3 drains; listed servers ----------------------------------------------

void Rules::check_copies(Time now, const Open& o, const AttemptArrived& s) {
  const auto out = std::ranges::count(o.attempts, true, &Sent::out);
  if (o.attempts.size() >= terms_.max_attempts)
    breach(now, "attempts",
           text(s.id) + " arrived more than " + std::to_string(terms_.max_attempts) + " times");
  if (!terms_.second_copies && out > 0)
    breach(now, "duplicates", text(s.id) + " arrived while another copy was out");
  const auto ran = std::ranges::find(o.attempts, false, &Sent::never_ran);
  if (terms_.effect == Idempotency::idempotent || ran == o.attempts.end()) return;
  if (terms_.effect == Idempotency::non_idempotent)
    return breach(now, "no double effects", text(s.id) + " was sent again though it may have run");
  if (now > ran->at + terms_.memory_span)
    return breach(now, "no double effects",
                  text(s.id) + " was sent again after its group's memory");
  const auto &a = where_[ran->server], &b = where_[s.server];
  if ((terms_.group == DeduplicationScope::zone && a.zone != b.zone) ||
      (terms_.group == DeduplicationScope::cell && a.cell != b.cell))
    breach(now, "no double effects",
           text(s.id) + " was sent to another group though it may have run");
}

void Rules::on(Time now, const AttemptArrived& s) {
  const auto server = std::to_string(static_cast<std::uint32_t>(s.server));
  const auto told = told_.find({s.node, s.server});
  const auto down = down_at_.find(s.node);
  // On its way when the process ended: it may be read a moment later.
  const auto it = open_.find(s.id);
  const bool of_a_former_life = down != down_at_.end() &&
                                (s.first_byte <= down->second ||
                                 (it != open_.end() && it->second.at <= down->second &&
                                  s.first_byte <= down->second + terms_.read_late));
  if (told == told_.end()) {
    if (!of_a_former_life)
      breach(
          now, "listed servers",
          "node " + std::to_string(s.node) + " sent to server " + server + ", never listed there");
  } else if (told->second.phase != EndpointPhase::ready &&
             s.first_byte > told->second.at + terms_.drain_grace) {
    breach(now, "drains",
           "node " + std::to_string(s.node) + " sent to server " + server + " " +
               std::to_string(std::llround(seconds(s.first_byte - told->second.at) * 1e3)) +
               " ms after it was told to leave it");
  }
  if (it == open_.end())
    return breach(now, "duplicates",
                  text(s.id) + " reached server " + server + " though no client sent it");
  auto& o = it->second;
  check_copies(now, o, s);
  if (o.left != Time::max() && s.first_byte > o.left + terms_.left_slack)
    breach(now, "one final answer", text(s.id) + " was sent on after its client had left");
  if (!o.counted) check_quota(now, o);
  ++attempts_out_[o.sent.customer];
  o.attempts.push_back({s.server, s.attempt, s.first_byte, true, false});
}

void Rules::on(Time, const AttemptOver& s) {
  const auto it = open_.find(s.id);
  if (it == open_.end()) return;
  const auto a = std::ranges::find(it->second.attempts, s.attempt, &Sent::attempt);
  if (a == it->second.attempts.end() || !a->out) return;
  a->out = false, a->never_ran = s.never_ran;
  auto& out = attempts_out_[it->second.sent.customer];
  if (out > 0) --out;
}

void Rules::on(Time now, const ServerTold& s) {
  auto& t = told_[{s.node, s.server}];
  // Told once of a drain, later news of the same server don't give it more time.
  if (t.at != Time{} && t.phase != EndpointPhase::ready && s.phase != EndpointPhase::ready) return;
  t = {s.phase, now};
}

void Rules::on(Time, const ServerStarted& s) { where_[s.server] = {s.zone, s.cell}; }

// ---- 4 Cold starts ------------------------------------------------------------------------------

void Rules::on(Time now, const ServerFell& s) {
  if (s.told_share < terms_.told_share) return;
  breach(now, "cold starts",
         "server " + std::to_string(static_cast<std::uint32_t>(s.server)) +
             " was pushed over while cold, " + std::to_string(std::llround(s.told_share * 100)) +
             "% by nodes that were told");
}

// ---- 5 Quotas and ceiling, over all nodes together ----------------------------------------------

// Three stores for each customer. The quota's decides what counts as beyond it: a price. The
// ceiling's must not fall below its slack. And whatever the nodes do, a window of the count lets
// through no more than its limit, and, while calls are short and there is no ceiling, one request
// more at each node of the set before it is leased; a span that touches k + 1 windows lasts k - 1
// at least. So a store of twice that, filled with it once a window, holds them to the design. It is
// filled anew when the counter loses its numbers.
void Rules::check_quota(Time now, Open& o) {
  o.counted = true;
  const double units = o.sent.units;
  units_ += units;
  if (o.sent.plan >= terms_.plans.size()) return;
  const auto& p = terms_.plans[o.sent.plan];
  auto& c = customer_plans_[{o.sent.customer, o.sent.plan}];
  const double window = p.burst + (p.ceiling_rate > 0 ? 0 : o.sent.spread * units),
               most = 2 * window;
  if (!std::exchange(c.begun, true)) {
    c.quota = {p.burst, now}, c.ceiling = {p.ceiling_burst, now}, c.windows = {most, now};
    c.losses = losses_;
  }
  if (p.ceiling_rate > 0) {
    c.ceiling = {c.ceiling.level(now, p.ceiling_rate, p.ceiling_burst) - units, now};
    const double slack = p.ceiling_slack + p.ceiling_rate * seconds(terms_.ceiling_slack);
    if (c.ceiling.held < -slack - kSame) {
      breach(now, "ceiling",
             "customer " + text(TryId(static_cast<std::uint64_t>(o.sent.customer))) +
                 " stands at " + std::to_string(c.ceiling.held) + " units, " +
                 std::to_string(-slack) + " allowed");
      c.ceiling.held = 0;  // once for each time
    }
  }
  if (p.rate > 0) {
    double level = c.windows.level(now, p.rate * window / p.burst, most);
    if (c.losses != losses_) level += 2 * p.burst, c.losses = losses_;
    c.windows = {level - units, now};
    const double slack = std::max(units, p.rate * seconds(terms_.ceiling_slack));
    if (c.windows.held < -slack - kSame) {
      breach(now, "quotas",
             "customer " + text(TryId(static_cast<std::uint64_t>(o.sent.customer))) +
                 " was let through more than its windows could, by " +
                 std::to_string(-c.windows.held) + " units");
      c.windows.held = 0;
    }
  }
  const double level = p.rate > 0 ? c.quota.level(now, p.rate, p.burst) : units;
  o.inside = level >= units - kSame &&
             (p.max_concurrent == 0 || attempts_out_[o.sent.customer] < p.max_concurrent);
  if (o.inside)
    c.quota = {level - units, now};
  else
    beyond_ += units;
}

void Rules::on(Time, const CounterLost&) { ++losses_; }

void Rules::on(Time now, const Datagram& s) {
  if (s.bytes > terms_.most_bytes)
    breach(now, "datagrams",
           "node " + std::to_string(s.from) + " sent one of " + std::to_string(s.bytes) + " bytes");
}

}  // namespace petrelrail::world

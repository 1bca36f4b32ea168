// 4 Attempts: the state of one request, what it may still do and until when.
#pragma once

#include "policy/lease_book.hpp"

namespace petrelrail::policy {

constexpr double kParkShare = 0.3;  // part of the aim that a request may wait for a place; later is too late
constexpr double kSameTime = 0.01;  // part of a try's time by which two that are the same may differ
constexpr double kRetryEarn = 0.1;  // further attempts earned per request: keeps retries under a tenth
constexpr double kRetryMost = 10;   // and how many can be saved up
constexpr double kPlaceSpan = 2;    // expected latencies until a place of a gateway that left is likely free

struct Attempt {
  ServerId server{};
  Time sent{};
  double work = 0;  // its part of Server::load
  bool out = true;
};

enum class Stage { leasing, parked, sent, ended };

struct Request : Ask {
  std::shared_ptr<const Rules> rules;  // that it began under
  ClassIndex cls{};
  Time first_asked{};  // when its client's first try came, as far as that can be told
  Time arrived{}, deadline{};
  Time alarm = Time::max();
  Stage stage = Stage::leasing;
  double lot = 0;  // 0 to 2: what must be free of the bound, by chance and by worth
  bool may_have_run = false;
  bool spent = false;        // nothing is left to send a second time
  Time first_run{};          // sending of the first attempt that may have run
  ServerInfo ran_at;         // where that was
  bool holds_place = false;  // is counted in Lease::open
  std::vector<Attempt> attempts;

  Request(Turn& turn, const Arrival& e, std::shared_ptr<const Rules> under) : rules(std::move(under)) {
    id = e.request, plan = e.plan, customer = e.customer, cls = e.request_class;
    units = std::max(0.0, e.units), yields = e.yields;
    gateways = std::clamp(e.gateways, 1u, turn.set.fleet_size);
    worth = std::clamp(its_class().worth * units / rules->most_worth, 0.0, 1.0);
    lot = turn.random() + 1 - worth;
    arrived = turn.now, deadline = turn.now + e.time_left;
    first_asked = turn.now - asked_before(e);
  }

  const RequestClass& its_class() const { return at(rules->classes, cls); }
  Learned& learned() const { return *at(rules->learned, cls); }
  auto out() const { return std::ranges::count(attempts, true, &Attempt::out); }

  double expected() const {  // seconds until a good answer
    return learned().latency > 0 ? learned().latency : seconds(its_class().aim) / 8;  // before the first one
  }

  Time aim_end() const { return first_asked + its_class().aim; }

  // An answer now would be worth nothing. Guards the units of those whose answer can still be in time.
  bool too_late(Time now) const { return its_class().late_worth == 0 && now >= aim_end(); }

  // The latest moment at which a first send still makes sense: an answer must fit into the aim.
  Time send_by() const {
    const auto aim = std::max(aim_end() - arrived, Duration{});
    return arrived + scaled(std::min(aim, deadline - arrived), kParkShare);
  }

  // By when another attempt has to start to have no second effect, at the servers that know of the first.
  Time repeat_by() const {
    const auto& c = its_class();
    if (!may_have_run || c.effect == Effect::safe) return Time::max();
    return c.effect == Effect::keyed ? first_run + c.memory_span : Time::min();
  }
  bool may_send_again(Time now) const {
    const bool in_time = now < std::min(deadline, repeat_by()) && !too_late(now);
    return in_time && !spent && attempts.size() < rules->max_attempts;
  }

  // Whether its client does no harm when it tries again then, through whatever gateway and server.
  bool harmless(Time then) const {
    const auto& c = its_class();
    return then < repeat_by() && (!may_have_run || c.effect == Effect::safe || c.group == Group::all);
  }

  // Whether an attempt may go there: repeats of a keyed one stay where they are known.
  bool may_go_to(const ServerInfo& s) const {
    if (!may_have_run || its_class().effect != Effect::keyed) return true;
    if (its_class().group == Group::zone) return s.zone == ran_at.zone;
    if (its_class().group == Group::cell) return s.cell == ran_at.cell;
    return true;
  }

  void ended(const Attempt& a, Outcome o, const ServerInfo& server) {
    const bool not_run = o == Outcome::full || o == Outcome::connect_failed || o == Outcome::never_sent;
    if (!not_run && !std::exchange(may_have_run, true)) first_run = a.sent, ran_at = server;
  }

 private:
  // How long ago a client's first try came. A retry is given what is left of the class's deadline, counted
  // from the first try; one that is given a whole try's time tells nothing.
  Duration asked_before(const Arrival& e) const {
    auto& whole = learned().whole_try;
    const auto most = its_class().deadline;
    if (!e.is_retry) return whole = std::max(whole, std::min(e.time_left, most)), Duration{};
    if (std::chrono::abs(e.time_left - whole) < scaled(whole, kSameTime)) return Duration{};
    return std::max(most - e.time_left, Duration{});
  }
};

}  // namespace petrelrail::policy

// 3 Lease book: units held for customers by window, calls to the counter, places under the open cap.
#pragma once

#include <deque>
#include <map>

#include "policy/counter_pace.hpp"

namespace petrelrail::policy {

constexpr double kQuantumRequests = 4;   // "a few requests' units" in one lease
constexpr Duration kAheadSpan = 20s;     // how far ahead units are leased: outlasts most outages of a counter
constexpr std::int64_t kAheadMost = 16;  // windows ahead at most: bounds the table and the calls
constexpr double kAheadPart = 1.25;      // of the customer's pace: some more, as arrivals are uneven
constexpr double kAheadStep = 0.5;       // part of the quantum that must be missing before a call is made
constexpr double kAheadPace = 0.4;       // requests a window here from which a customer counts as steady
constexpr double kLeastGone = 0.25;      // part of a window before which its count says little of the rate
constexpr double kUnitSlop = 1e-6;       // totals come rounded to seven digits
constexpr double kCountSlop = 2e-3;      // or to thousandths: less than that is missing from no count

using Units = Succession::Units;

// What a request asks of its customer's lease, and what it has of it.
struct Ask {
  RequestId id{};
  PlanIndex plan{};
  CustomerId customer{};
  double units = 1;
  std::uint32_t gateways = 1;
  double worth = 0;         // against the dearest request there can be
  bool yields = false;      // to all others, wherever something is short
  bool speaks = false;      // its call also adds what its plan has on credit
  std::int64_t window = 0;  // of the units taken
  bool holds_units = false;
};

struct Lease : Succession::Lease {
  double queued = -1;      // what the call that waits its turn is worth; below 0: none waits
  std::uint32_t open = 0;  // places taken by requests that wait or are out, for plans that cap them
  std::uint32_t out = 0;   // and by those of them that are out
  std::deque<Ask*> waiting;

  Lease() { now.window = std::numeric_limits<std::int64_t>::min(); }  // none yet
  Units& of(std::int64_t window) {
    if (window == now.window) return now;
    const auto it = std::ranges::lower_bound(ahead, window, {}, &Units::window);
    if (it != ahead.end() && it->window == window) return *it;
    return *ahead.insert(it, Units{.window = window});
  }
};

struct Call {
  CustomerId customer{};
  std::int64_t window = 0;
  double quantum = 0;  // units wanted; 0: only hands back
  double amount = 0;   // what was added, owed units taken off
};

// Invariants: units are spent only in the window they were leased in; at most one call out per name; what all
// gateways hold and have spent of one window never passes its limit while the counter keeps count.
class LeaseBook {
 public:
  explicit LeaseBook(Turn& turn)
      : pace(turn.set.counter_timeout, turn.set.fleet_size),
        turn_(turn),
        terms_(turn.set.plans.begin(), turn.set.plans.end()),
        on_credit_(terms_.size()) {}

  CounterPace pace;
  std::map<CustomerId, Lease> leases;
  std::map<CountName, Call> calls;
  bool leaves = false;  // a successor has taken over

  const Terms& terms(PlanIndex p) const { return at(terms_, p); }

  Lease& lease(const Ask& a) {
    auto& l = leases[a.customer];
    l.customer = a.customer, l.plan = a.plan;
    return l;
  }

  // One more is asked for in this window; where there is no counter its part of the limit is there at once.
  void ask(const Ask& a, Lease& l) {
    roll(l);
    l.asked += a.units;
    l.tries = Recent{l.tries, l.tried_at}.count(turn_.now, kUseMemory) + 1, l.tried_at = turn_.now;
    if (!turn_.set.counter && l.now.added == 0) {
      l.now.added = 1, l.now.empty = true;
      l.now.held = std::max(turn_.set.max_units, terms(l.plan).limit / std::max(1u, a.gateways));
    }
    lease_ahead(a, l);
  }

  bool take(Ask& a, Lease& l) const {
    if (l.now.held + kUnitSlop < a.units) return false;
    l.now.held -= a.units;
    a.holds_units = true, a.window = l.now.window;
    return true;
  }

  // Units that a request leaves over, or lacks if below 0, are held again, within their window.
  void put_back(const Ask& a, double units) {
    if (auto* l = find(leases, a.customer); l && l->now.window == a.window) l->now.held += units;
  }

  // Whether the units taken are of the present window. Those of one that has rolled since are gone.
  bool still_holds(Ask& a) {
    auto& l = lease(a);
    roll(l);
    return a.holds_units = l.now.window == a.window;
  }

  // How many of the plan's places are this gateway's: what the others are likely to leave, by the rate at
  // which they lease and the time that an answer takes, but at least an even part. Guards against refusing
  // here while places are free elsewhere; it can hurt for moments after a customer has moved. Where the even
  // part is less than one place, this window's leases decide; while they are not known a request may ask.
  std::uint32_t places(const Ask& a, const Lease& l, double answer_s) const {
    const auto cap = at(turn_.set.plans, a.plan).max_open;
    const auto even = cap / std::max(1u, a.gateways);
    if (l.elsewhere < 0 || !terms(a.plan).metered) return std::max(1u, even);
    if (even == 0 && l.called_at < began(l)) return cap;
    const double since = seconds(l.called_at - began(l)) / std::max(1e-9, seconds(turn_.now - began(l)));
    // Of what was leased a while ago, as if nothing had been since: what is asked now is told the rest.
    const double span = even == 0 ? std::min(answer_s, seconds(turn_.now - began(l))) * since : answer_s;
    const double out = l.elsewhere / std::max(a.units, kUnitSlop) * span;
    const double left = even == 0 ? cap - out : cap - out - std::sqrt(out);  // with room for chance
    return std::max(even, static_cast<std::uint32_t>(std::max(left, 0.0)));
  }

  // What a call for it is worth: under a ceiling nothing passes without one.
  double call_value(const Ask& a) const { return (terms(a.plan).ceiling + a.worth) / 2; }

  // While calls are short, though the counter answers, a request may pass before its units are leased. The
  // next call made for one that might have passed so adds them: it speaks for all of its plan, and counts
  // stay true on average. One for a customer, window and gateway, none under a ceiling, and only if the
  // customer comes here no more often than an even part of its rate, and was not found over its quota lately.
  // Guards what is inside quotas when the fleet has outgrown its counter. It hurts where one over its quota
  // comes once to each of many gateways.
  bool may_pass_on_credit(const Ask& a, const Lease& l) const {
    if (terms(a.plan).ceiling || a.yields || pace.down() || l.now.credit) return false;
    if (turn_.now < l.called_at + kUseMemory) return l.over <= 1;
    return (l.tries - 1) * a.gateways <= at(turn_.set.plans, a.plan).rate * seconds(kUseMemory);
  }
  void pass_on_credit(const Ask& a, Lease& l) {
    l.now.credit = true;
    at(on_credit_, a.plan) += a.units;
  }

  Duration until_roll(const Lease& l) const {
    return std::max(began(l) + terms(l.plan).window - turn_.now, Duration(1ms));
  }
  // While the counter is down nobody knows for how long: as long again as it has been is the best guess.
  Duration back_off() const {
    return std::max(scaled(turn_.set.counter_timeout, kCounterRetry), turn_.now - pace.down_since);
  }

  bool call_out(const Lease& l) const { return calls.contains(name_of(l.customer, l.now.window)); }

  // Makes a call for those that wait, or lets it wait its turn. False: for this window none can help.
  bool lease_more(Lease& l) {
    const auto& t = terms(l.plan);
    // After a loss of counts nobody knows what was leased: windows begun before it stay shut for ceilings.
    if (t.ceiling && began(l) <= lost_at_) return !(l.now.empty = true);
    double wanted = 0, largest = 1, gateways = 1, value = 0;
    bool speaks = false;
    for (const auto* a : l.waiting) {
      value = std::min(1.0, value + call_value(*a));
      speaks = speaks || a->speaks;
      wanted += a->units;
      largest = std::max(largest, a->units);
      gateways = std::max<double>(gateways, a->gateways);
    }
    if (!pace.may_call(value)) {
      pace.waiting.erase({std::exchange(l.queued, value), l.customer});
      return pace.waiting.insert({value, l.customer}).second;
    }
    double few = std::min(kQuantumRequests * largest, t.limit / (2.0 * gateways));
    // While calls are short, fewer of them, each for a window's pace: more than an even part, which for a
    // customer of many gateways, who comes unevenly, would be less than one request.
    const double few_here = std::min(kQuantumRequests * largest, t.limit / kQuantumRequests);
    if (pace.short_of_calls()) few = std::max(few, std::min(l.pace, std::max(t.limit / gateways, few_here)));
    if (leaves) few = 0;
    few = std::floor(few / largest) * largest;  // a part of a request would lie here unspent
    const double quantum = std::min(std::max({few, wanted - l.now.held, largest}), t.limit);
    const double extra = speaks ? std::min(std::exchange(at(on_credit_, l.plan), 0.0), t.limit) : 0;
    call(l, l.now.window, quantum, quantum + extra - std::exchange(l.now.owed, 0));
    return true;
  }

  // The next lease whose call has waited for its turn; null: none may be made yet.
  Lease* next_in_line() {
    while (!pace.waiting.empty() && pace.may_call(pace.waiting.rbegin()->first)) {
      auto* l = find(leases, pace.waiting.rbegin()->second);
      pace.waiting.erase(std::prev(pace.waiting.end()));
      if (!l) continue;
      l->queued = -1;
      roll(*l);
      return l;
    }
    return nullptr;
  }

  // The lease that an answer is for; null: there is none any more.
  Lease* answered(const CountAnswer& e) {
    const auto node = calls.extract(e.name);
    if (!node) return nullptr;
    const Call& done = node.mapped();
    const bool was_down = pace.down();
    pace.learn(turn_.now, e.outcome, e.took);
    if (was_down != pace.down()) turn_.log(was_down ? "counter answers again" : "counter held to be down");
    auto* l = find(leases, done.customer);
    if (!l) return nullptr;
    roll(*l);
    if (l->now.window <= done.window) credit(done, e, *l, l->of(done.window));
    return l;
  }

  // Drops leases of past windows, so that customers seen once do not accumulate.
  void sweep() {
    for (; !places_left_.empty() && places_left_.begin()->first <= turn_.now;
         places_left_.erase(places_left_.begin()))
      if (auto* l = find(leases, places_left_.begin()->second); l && l->open > 0) --l->open;
    std::erase_if(leases, [this](const auto& entry) {
      const auto& l = entry.second;
      const auto w = terms(l.plan).metered ? window_at(l) : l.now.window + 1;
      const bool none_ahead = l.ahead.empty() || l.ahead.back().window < w;
      return w != l.now.window && none_ahead && turn_.now > l.tried_at + kUseMemory && l.waiting.empty() &&
             l.open == 0;
    });
  }

  // Units are held by one of the two alone. Places that its requests hold are likely free by the times given.
  void hand_over(Succession& s, std::map<CustomerId, std::vector<Time>> places) {
    leaves = true;
    s.lost_at = lost_at_, s.call_rate = pace.rate;
    s.quickest_calls.assign(pace.quickest.begin(), pace.quickest.end());
    for (auto& [customer, l] : leases) {
      if (terms(l.plan).metered) roll(l);
      s.leases.push_back(l);
      s.leases.back().places = std::move(places[customer]);
      l.now.held = l.now.owed = 0;
      l.ahead.clear();
    }
  }
  void take_over(const Succession& s) {
    lost_at_ = std::max(lost_at_, s.lost_at);
    pace.rate = std::max(s.call_rate, kCallLeast * pace.fair());
    for (const auto took : s.quickest_calls) pace.learn_quickest(took);
    for (const auto& left : s.leases) {
      if (static_cast<std::size_t>(left.plan) >= terms_.size()) continue;
      auto& l = leases[left.customer];
      static_cast<Succession::Lease&>(l) = left;
      for (const auto free_at : left.places) ++l.open, places_left_.emplace(free_at, left.customer);
    }
  }

 private:
  // Windows are staggered by customer so that rolls do not crowd the counter.
  Duration offset(const Lease& l) const {
    return Duration(static_cast<Duration::rep>(mix(static_cast<std::uint64_t>(l.customer)) %
                                               static_cast<std::uint64_t>(terms(l.plan).window.count())));
  }
  std::int64_t window_at(const Lease& l) const {
    return (turn_.now.time_since_epoch() + offset(l)) / terms(l.plan).window;
  }
  Time began(const Lease& l) const { return Time(l.now.window * terms(l.plan).window - offset(l)); }
  static CountName name_of(CustomerId c, std::int64_t w) {
    return CountName(mix(mix(static_cast<std::uint64_t>(c)) ^ static_cast<std::uint64_t>(w)) >> 1);
  }

  void roll(Lease& l) const {
    const auto w = window_at(l);
    if (w == l.now.window) return;
    l.pace = w == l.now.window + 1 ? (l.pace + l.asked) / 2 : 0;
    l.asked = 0;
    l.now = l.of(w);
    std::erase_if(l.ahead, [w](const Units& u) { return u.window <= w; });
  }

  void call(Lease& l, std::int64_t window, double quantum, double amount) {
    const auto& t = terms(l.plan);
    const auto name = name_of(l.customer, window);
    calls[name] = Call{l.customer, window, quantum, amount};
    pace.saved -= 1;
    const auto life = began(l) + (window - l.now.window + 1) * t.window - turn_.now +
                      turn_.set.counter_timeout;
    turn_.out.push_back(AddToCount{name, amount, std::min(life, kLongestCount)});
  }

  // Leases for windows to come, so that held units carry a customer over an outage of the counter. Only for
  // one that asked here in window after window, no more than that and within the quantum's bound, so that
  // half of every window stays free. It hurts when the customer then comes elsewhere: what is pinned here is
  // missing there. Not under a ceiling: a lost count may not be spent.
  void lease_ahead(const Ask& a, Lease& l) {
    const auto& t = terms(l.plan);
    if (leaves || t.ceiling || !turn_.set.counter || pace.strikes > 0 || l.pace < kAheadPace * a.units ||
        a.units * a.gateways > t.limit || !pace.spare())
      return;
    const double most = std::max(std::floor(t.limit / (2.0 * a.gateways)), a.units);
    const double quantum = std::clamp(std::ceil(l.pace * kAheadPart), a.units, most);
    const auto span = std::min<std::int64_t>(kAheadMost, kAheadSpan / t.window);
    int made = 0;
    for (auto w = l.now.window + 1; w <= l.now.window + span && made < 2; ++w) {
      auto& u = l.of(w);
      const double more = quantum - u.held;
      if (u.empty || more < kAheadStep * quantum || calls.contains(name_of(l.customer, w))) continue;
      ++made;
      call(l, w, more, more - std::exchange(u.owed, 0));
    }
  }

  void credit(const Call& done, const CountAnswer& e, Lease& l, Units& u) {
    const auto& t = terms(l.plan);
    if (e.outcome != CountOutcome::ok) {
      // A timed-out add counts as refused and is taken off at the next call. Under a ceiling it is not: were
      // it never added, taking it off would let the count run past the limit.
      const bool maybe_added = e.outcome == CountOutcome::timeout;
      if (!t.ceiling) u.owed = maybe_added ? done.quantum : done.quantum - done.amount;
      return;
    }
    const double before = u.added;
    const auto answered_before = std::exchange(u.answered_at, turn_.now);
    u.added += done.amount;
    double total = e.total;
    const double slop = kUnitSlop * std::max(1.0, std::abs(e.total)) + kUnitSlop;
    if (total < u.added - slop - kCountSlop) {  // the counter came back without its counts
      // One loss shows in every count that is older: it is not lost anew each time.
      if (answered_before > lost_at_) turn_.log("counter lost its counts"), lost_at_ = turn_.now;
      if (t.ceiling) return void(u.empty = true);
      total += before;  // at least what this gateway had leased is used
      u.added = e.total;
    }
    const double excess = std::clamp(total - t.limit, 0.0, done.quantum);
    if (done.quantum > 0 && done.window == l.now.window) {
      const auto gone = std::max(1 - seconds(until_roll(l)) / seconds(t.window), kLeastGone);
      l.over = total / t.limit / gone;
      const auto since = std::max(turn_.now - began(l), Duration(1ms));
      l.elsewhere = std::max(0.0, total - u.added) / seconds(since);
      l.called_at = turn_.now;
    }
    u.held += done.quantum - excess;
    if (total >= t.limit - slop) u.empty = true;
    // What a spent window did not grant would help nobody; when calls are short nothing is handed back.
    if (excess > slop && excess < done.quantum - slop && !pace.short_of_calls())
      call(l, done.window, 0, -excess);
  }

  Turn& turn_;
  std::vector<Terms> terms_;
  std::vector<double> on_credit_;  // by plan: units passed before they were leased, not yet in any count
  std::multimap<Time, CustomerId> places_left_;  // taken by a predecessor's requests, until likely free
  Time lost_at_ = Time::min();                   // when the counter was last seen to have lost counts
};

}  // namespace petrelrail::policy

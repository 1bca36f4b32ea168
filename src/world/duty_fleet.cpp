#include "duty_fleet.hpp"

#include <algorithm>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

constexpr Time kBegins{Duration(1'700'000'000'123'456'789)};
constexpr Duration kLook = 10ms;    // between two effects of a holder, and two looks of the judge
constexpr Duration kViews = 100ms;  // between two looks at the views
constexpr std::size_t kReceivers = 3;
constexpr std::size_t kMostTold = 20;  // breaches that are told in words

Duration milliseconds(double ms) { return from_seconds(ms / 1e3); }

}  // namespace

DutyFleet::DutyFleet(Options options)
    : options_(std::move(options)),
      dice_(mix_hash(options_.seed)),
      counter_(options_.counter, dice_.stream("counter")),
      network_(options_.peers, options_.nodes, dice_.stream("words")),
      cuts_(options_.nodes),
      lives_(options_.nodes),
      gone_since_(options_.nodes, Time{}),
      left_(options_.nodes),
      addressed_(options_.nodes),
      came_(options_.nodes),
      judges_(options_.duties.size()) {
  options_.terms.nodes = options_.nodes;
  options_.terms.counter_timeout = milliseconds(options_.counter.timeout_ms);
  for (auto& j : judges_) j.receivers.resize(kReceivers);
  if (options_.members) {
    MemberFleet::Options o;
    o.nodes = options_.nodes, o.zones = options_.zones, o.peers = options_.peers,
    o.seed = options_.seed;
    members_ = std::make_unique<MemberFleet>(o);
    members_->cut([this](std::uint32_t from, std::uint32_t to) {
      return cut_of(from).to_peers || cut_of(to).from_peers;
    });
  } else {
    agenda_ = std::make_unique<EventQueue>(
        kBegins + Duration(static_cast<Duration::rep>(mix_hash(options_.seed) % 1'000'000'000)));
  }
  counter_.set_mode(now(), Counter::Mode::serving);
  at(now(), [this] { look(); });
  at(now(), [this] { views(); });
}

void DutyFleet::at(Time when, std::function<void()> what) {
  if (agenda_)
    agenda_->at(when, std::move(what));
  else
    members_->at(when, std::move(what));
}
void DutyFleet::run_for(Duration span) {
  if (agenda_)
    agenda_->run_until(agenda_->now() + span);
  else
    members_->run_for(span);
}
bool DutyFleet::run_until(const std::function<bool()>& holds, Duration most) {
  const Time end = now() + most;
  while (!holds()) {
    if (now() >= end) return false;
    run_for(std::min<Duration>(kLook, end - now()));
  }
  return true;
}

// ---- Processes ----------------------------------------------------------------------------------

DutyFleet::Process* DutyFleet::by_id(std::uint64_t id) const {
  const auto it = std::ranges::lower_bound(processes_, id, {}, [](const auto& p) { return p->id; });
  return it != processes_.end() && (*it)->id == id ? it->get() : nullptr;
}

DutyFleet::Process& DutyFleet::add(std::uint32_t node, bool addressed, Duration skew) {
  auto p = std::make_unique<Process>();
  p->id = ++last_id_, p->node = node, p->skew = skew;
  if (addressed) addressed_[node] = p->id;
  p->ticks.assign(options_.duties.size(), Time::max());
  for (std::size_t d = 0; d < options_.duties.size(); ++d)
    p->duties.emplace_back(options_.terms, options_.duties[d],
                           fleet::MemberId(static_cast<std::uint16_t>(node)),
                           dice_.stream("process", mix_hash(p->id) + d).seed(), options_.broken);
  processes_.push_back(std::move(p));
  return *processes_.back();
}

void DutyFleet::end(Process& p) {
  for (const auto& d : p.duties) {
    gone_.claims += d.stats().claims, gone_.words += d.stats().announcements_sent;
    gone_.terms += d.stats().terms_acquired, gone_.given += d.stats().transfers_sent;
  }
  std::erase_if(processes_, [&](const auto& o) { return o.get() == &p; });
}

void DutyFleet::start(std::uint32_t node) {
  kill(node);
  left_[node] = false, gone_since_[node] = Time::max();
  if (members_) members_->start(node);
  // Half of the clocks are as far off as they may be.
  auto dice = dice_.stream("clock", mix_hash(node) + ++lives_[node]);
  const double part = dice.chance(0.5) ? (dice.chance(0.5) ? 0.5 : -0.5) : dice.between(-0.5, 0.5);
  auto& p = add(node, true, scaled(options_.clocks, part));
  show(p);
  for (std::size_t d = 0; d < p.duties.size(); ++d) {
    p.duties[d].set_candidate(local(p), wanted_);
    after(p, d);
  }
}
void DutyFleet::start_all() {
  for (std::uint32_t n = 0; n < size(); ++n) left_[n] = false, gone_since_[n] = Time::max();
  for (std::uint32_t n = 0; n < size(); ++n) start(n);
}

void DutyFleet::kill(std::uint32_t node) {
  if (auto* p = process_of(node)) {
    end(*p);
    gone_since_[node] = now();
    if (members_) members_->kill(node);
  }
}

void DutyFleet::stall(std::uint32_t node, bool stalled) {
  auto* p = process_of(node);
  if (p == nullptr || std::exchange(p->stalled, stalled) == stalled) return;
  if (members_) members_->stall(node, stalled);
  gone_since_[node] = stalled ? now() : Time::max();
  if (stalled) return;
  const auto id = p->id;
  for (std::size_t d = 0; d < p->duties.size(); ++d) {
    if (p->duties[d].next_tick_time() <= local(*p)) p->duties[d].tick(local(*p));
    after(*p, d);
  }
  for (auto& what : std::exchange(p->waits, {}))
    if (by_id(id) != nullptr) what();
}

void DutyFleet::terminate(std::uint32_t node, Duration grace) {
  auto* p = process_of(node);
  if (p == nullptr) return;
  left_[node] = true;
  if (members_) members_->leave(node);
  in(p->id, [this](Process& process) {
    for (std::size_t d = 0; d < process.duties.size(); ++d) {
      process.duties[d].step_down(local(process));
      after(process, d);
    }
  });
  at(now() + grace, [this, node, id = p->id] {
    if (by_id(id) != nullptr) kill(node);
  });
}

void DutyFleet::upgrade(std::uint32_t node) {
  auto* before = process_of(node);
  if (before == nullptr) return;
  auto& p = add(node, false, before->skew);
  for (std::size_t d = 0; d < p.duties.size(); ++d)
    p.duties[d].take_over(local(p), before->duties[d].hand_over(local(*before)));
  // The predecessor lives on for a while, with nothing; its answers come to nobody.
  addressed_[node] = p.id;
  at(now() + 1s, [this, id = before->id] {
    if (auto* old = by_id(id)) end(*old);
  });
  show(p);
  for (std::size_t d = 0; d < p.duties.size(); ++d) {
    p.duties[d].set_candidate(local(p), wanted_);
    after(p, d);
  }
}

void DutyFleet::twin(std::uint32_t node) {
  auto& p = add(node, false, {});
  show(p);
  for (std::size_t d = 0; d < p.duties.size(); ++d) {
    p.duties[d].set_candidate(local(p), wanted_);
    after(p, d);
  }
}

void DutyFleet::want(bool wanted) {
  wanted_ = wanted;
  for (auto& p : processes_)
    for (std::size_t d = 0; d < p->duties.size(); ++d) {
      p->duties[d].set_candidate(local(*p), wanted);
      after(*p, d);
    }
}

void DutyFleet::cut(std::uint32_t node, Cut c) {
  cuts_[node] = c;
  const bool away = c.to_peers || c.from_peers;
  if (process_of(node) != nullptr) gone_since_[node] = away ? now() : Time::max();
}

void DutyFleet::in(std::uint64_t id, const std::function<void(Process&)>& what) {
  auto* p = by_id(id);
  if (p == nullptr) return;
  if (!p->stalled) return what(*p);
  p->waits.emplace_back([this, id, what] { in(id, what); });
}

// What a process has to say goes out, and its next tick is set.
void DutyFleet::after(Process& p, std::size_t d) {
  auto& duty = p.duties[d];
  for (const auto& c : duty.drain_calls()) {
    const auto waits = options_.busy > 0ns ? scaled(options_.busy, dice_.uniform()) : Duration{};
    at(now() + waits,
       [this, id = p.id, d, c] { in(id, [this, id, d, c](Process&) { write(id, d, c); }); });
  }
  for (const auto& w : duty.drain_announcements()) send(p, d, w);
  const Time due = duty.next_tick_time() == Time::max()
                       ? Time::max()
                       : std::max(duty.next_tick_time() - p.skew, now());
  if (due >= p.ticks[d] && p.ticks[d] > now()) return;
  p.ticks[d] = due;
  if (due == Time::max()) return;
  at(due, [this, id = p.id, d, due] {
    auto* process = by_id(id);
    if (process == nullptr || process->stalled || process->ticks[d] != due) return;
    process->ticks[d] = Time::max();
    process->duties[d].tick(local(*process));
    after(*process, d);
  });
}

void DutyFleet::write(std::uint64_t id, std::size_t d, const fleet::LeaderLease::CounterCall& c) {
  const auto node = by_id(id)->node;
  const auto answer = [this, id, d, number = c.id](CounterOutcome outcome, double total) {
    in(id, [this, d, number, outcome, total](Process& p) {
      p.duties[d].on_counter_reply(local(p), number, outcome, total);
      after(p, d);
    });
  };
  // Told once: by the answer, or by the time-out. One that stalls takes what came first.
  const auto told = std::make_shared<bool>(false);
  at(now() + options_.terms.counter_timeout, [told, answer] {
    if (!std::exchange(*told, true)) answer(CounterOutcome::timeout, 0);
  });
  ++totals_.calls;
  if (cut_of(node).to_counter) return;
  const auto way = [this] { return dice_.seconds_in(options_.network.cross_zone_ms) / 1000; };
  at(now() + way(), [this, node, c, told, answer, way] {
    const auto a = counter_.call(now(), {c.name, c.amount, c.ttl});
    if (a.kind == Counter::Answer::Kind::none || cut_of(node).from_counter) return;
    at(a.at + way(), [told, answer, a] {
      if (std::exchange(*told, true)) return;
      switch (a.kind) {
        case Counter::Answer::Kind::ok: return answer(CounterOutcome::ok, a.total);
        case Counter::Answer::Kind::busy:
        case Counter::Answer::Kind::refused: return answer(CounterOutcome::refused, 0);
        default: return answer(CounterOutcome::timeout, 0);
      }
    });
  });
}

void DutyFleet::send(const Process& p, std::size_t d, const fleet::LeaderLease::Announcement& w) {
  const auto to = static_cast<std::uint32_t>(w.to);
  if (to >= size() || cut_of(p.node).to_peers || cut_of(to).from_peers) return;
  for (const Time when : network_.send(now()))
    at(when, [this, from = p.node, to, d, word = w.entry] {
      auto* receiver = process_of(to);
      if (receiver == nullptr) return;
      auto& came = came_[to];
      while (!came.empty() && came.front() <= now() - 1s) came.pop_front();
      came.push_back(now());
      totals_.most_in = std::max<std::uint64_t>(totals_.most_in, came.size());
      if (!network_.receive(now(), to)) return;
      in(receiver->id, [this, from, d, word](Process& q) {
        q.duties[d].on_announcement(local(q), fleet::MemberId(static_cast<std::uint16_t>(from)),
                                    word);
        after(q, d);
      });
    });
}

// ---- Views --------------------------------------------------------------------------------------

void DutyFleet::views() {
  for (auto& p : processes_)
    if (!p->stalled) show(*p);
  at(now() + kViews, [this] { views(); });
}

// What all see who are not cut off: who is gone for so long that they have learned it. A node sees
// itself in any case.
const fleet::MembershipView& DutyFleet::common() {
  if (common_at_ == now() && common_.members) return common_;
  common_at_ = now();
  std::uint64_t version = 1;
  std::vector<bool> here(size());
  for (std::uint32_t n = 0; n < size(); ++n) {
    here[n] = !left_[n] && (gone_since_[n] > now() || now() - gone_since_[n] <= options_.learns);
    version = mix_hash(version ^ (here[n] ? n + 1 : 0));
  }
  if (version == common_.version) return common_;
  auto seats = std::make_shared<std::vector<fleet::MembershipView::Member>>(size());
  for (std::uint32_t n = 0; n < size(); ++n)
    (*seats)[n].state = {1, here[n] ? fleet::MemberStatus::alive : fleet::MemberStatus::failed, 0};
  common_.version = version, common_.members = std::move(seats);
  return common_;
}

void DutyFleet::show(Process& p) {
  fleet::MembershipView view;
  if (members_) {
    if (!members_->up(p.node) || members_->members(p.node).view_version() + 1 == p.view) return;
    view = *members_->view(p.node);
    view.version = members_->members(p.node).view_version() + 1;
  } else if (cut_of(p.node).from_peers && now() - gone_since_[p.node] > options_.learns) {
    if (p.view == 0) return;
    view.reachability = fleet::Reachability::alone;
    view.members = std::make_shared<std::vector<fleet::MembershipView::Member>>(size());
  } else {
    if (common().version == p.view) return;
    view = common();
  }
  p.view = view.version;
  for (std::size_t d = 0; d < p.duties.size(); ++d) {
    p.duties[d].on_view(local(p), view);
    after(p, d);
  }
}

// ---- The judge ----------------------------------------------------------------------------------

void DutyFleet::look() {
  for (std::size_t d = 0; d < judges_.size(); ++d) judge(d);
  at(now() + kLook, [this] { look(); });
}

void DutyFleet::judge(std::size_t d) {
  const Process* acts = nullptr;
  for (const auto& p : processes_) {
    const auto epoch = p->duties[d].valid_token_at(local(*p));
    if (!epoch) continue;
    // One that stalls may wake at this very moment.
    if (acts != nullptr)
      breach("two act at one time: node " + std::to_string(acts->node) + " and node " +
             std::to_string(p->node) + " under epoch " + std::to_string(*epoch));
    acts = p.get();
    if (p->stalled) continue;
    judges_[d].acted = now();
    ++totals_.effects;
    // It may be stopped between the look at its clock and the effect.
    const auto id = p->id;
    at(now() + scaled(2ms, dice_.uniform()),
       [this, id, d, e = *epoch] { in(id, [this, d, e](Process& q) { effect(q, d, e); }); });
  }
}

void DutyFleet::effect(const Process& p, std::size_t d, fleet::FencingToken epoch) {
  for (std::size_t r = 0; r < kReceivers; ++r) {
    auto late = dice_.seconds_in(options_.peers.delay_ms) / 1000;
    if (dice_.chance(0.01)) late += scaled(3s, dice_.uniform());
    at(now() + late,
       [this, d, r, id = p.id, node = p.node, epoch] { receive(d, r, id, node, epoch); });
  }
}

void DutyFleet::receive(std::size_t d, std::size_t receiver, std::uint64_t id, std::uint32_t node,
                        fleet::FencingToken epoch) {
  auto& r = judges_[d].receivers[receiver];
  if (options_.fenced &&
      !r.fence.passes(epoch, fleet::MemberId(static_cast<std::uint16_t>(node)))) {
    ++totals_.refused;
    return;
  }
  if (epoch < r.newest)
    breach("an older epoch is taken after a newer one: " + std::to_string(epoch));
  if (epoch == r.newest && id != r.holder && node != r.holder_node)
    breach("two holders under epoch " + std::to_string(epoch));
  if (epoch >= r.newest) r.newest = epoch, r.holder = id, r.holder_node = node;
}

void DutyFleet::breach(std::string what) {
  ++breach_count_;
  if (breaches_.size() < kMostTold) breaches_.push_back(std::move(what));
}

// ---- What stands --------------------------------------------------------------------------------

std::optional<std::uint32_t> DutyFleet::acting(std::size_t d) const {
  for (const auto& p : processes_)
    if (!p->stalled && p->duties[d].valid_token_at(local(*p))) return p->node;
  return std::nullopt;
}
std::optional<Time> DutyFleet::acted(std::size_t d) const { return judges_[d].acted; }
const fleet::LeaderLease* DutyFleet::duty(std::uint32_t node, std::size_t d) const {
  const auto* p = process_of(node);
  return p != nullptr ? &p->duties[d] : nullptr;
}

DutyFleet::Totals DutyFleet::totals() const {
  auto t = totals_;
  t.claims += gone_.claims, t.words += gone_.words, t.terms += gone_.terms, t.given += gone_.given;
  for (const auto& p : processes_)
    for (const auto& d : p->duties) {
      t.claims += d.stats().claims, t.words += d.stats().announcements_sent;
      t.terms += d.stats().terms_acquired, t.given += d.stats().transfers_sent;
    }
  return t;
}

}  // namespace petrelrail::world

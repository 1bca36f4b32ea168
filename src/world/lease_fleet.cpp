#include "lease_fleet.hpp"

#include <algorithm>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

constexpr Time kStartTime{Duration(1'700'000'000'123'456'789)};
constexpr Duration kAuditInterval = 10ms;  // between two audits, and two effects of a holder
constexpr Duration kViewInterval = 100ms;  // between two deliveries of views
constexpr std::size_t kReceivers = 3;
constexpr std::size_t
    kMaxListedViolations = 20;  // violations kept as text; others are only counted

Duration milliseconds(double ms) { return from_seconds(ms / 1e3); }

}  // namespace

LeaseFleet::LeaseFleet(Options options)
    : options_(std::move(options)),
      dice_(mix_hash(options_.seed)),
      counter_(options_.counter, dice_.stream("counter")),
      network_(options_.peers, options_.nodes, dice_.stream("words")),
      partitions_(options_.nodes),
      start_counts_(options_.nodes),
      unreachable_since_(options_.nodes, Time{}),
      has_left_(options_.nodes),
      addressed_processes_(options_.nodes),
      arrival_times_(options_.nodes),
      audits_(options_.lease_names.size()) {
  options_.lease_config.nodes = options_.nodes;
  options_.lease_config.counter_timeout = milliseconds(options_.counter.timeout_ms);
  for (auto& a : audits_) a.receivers.resize(kReceivers);
  if (options_.uses_membership) {
    MemberFleet::Options o;
    o.nodes = options_.nodes, o.zones = options_.zones, o.peers = options_.peers,
    o.seed = options_.seed;
    members_ = std::make_unique<MemberFleet>(o);
    members_->set_link_filter([this](std::uint32_t from, std::uint32_t to) {
      return partition_of(from).to_peers || partition_of(to).from_peers;
    });
  } else {
    agenda_ = std::make_unique<EventQueue>(
        kStartTime + Duration(static_cast<Duration::rep>(mix_hash(options_.seed) % 1'000'000'000)));
  }
  counter_.set_mode(now(), Counter::Mode::serving);
  at(now(), [this] { audit_all(); });
  at(now(), [this] { update_views(); });
}

void LeaseFleet::at(Time when, std::function<void()> action) {
  if (agenda_)
    agenda_->at(when, std::move(action));
  else
    members_->at(when, std::move(action));
}
void LeaseFleet::run_for(Duration span) {
  if (agenda_)
    agenda_->run_until(agenda_->now() + span);
  else
    members_->run_for(span);
}
bool LeaseFleet::run_until(const std::function<bool()>& condition, Duration timeout) {
  const Time end = now() + timeout;
  while (!condition()) {
    if (now() >= end) return false;
    run_for(std::min<Duration>(kAuditInterval, end - now()));
  }
  return true;
}

// ---- Processes ----------------------------------------------------------------------------------

LeaseFleet::Process* LeaseFleet::by_id(std::uint64_t id) const {
  const auto it = std::ranges::lower_bound(processes_, id, {}, [](const auto& p) { return p->id; });
  return it != processes_.end() && (*it)->id == id ? it->get() : nullptr;
}

LeaseFleet::Process& LeaseFleet::add(std::uint32_t node, bool addressed, Duration skew) {
  auto p = std::make_unique<Process>();
  p->id = ++last_id_, p->node = node, p->skew = skew;
  if (addressed) addressed_processes_[node] = p->id;
  p->tick_times.assign(options_.lease_names.size(), Time::max());
  for (std::size_t lease_index = 0; lease_index < options_.lease_names.size(); ++lease_index)
    p->leases.emplace_back(options_.lease_config, options_.lease_names[lease_index],
                           fleet::MemberId(static_cast<std::uint16_t>(node)),
                           dice_.stream("process", mix_hash(p->id) + lease_index).seed(),
                           options_.disabled_safeguards);
  processes_.push_back(std::move(p));
  return *processes_.back();
}

void LeaseFleet::end(Process& p) {
  for (const auto& lease : p.leases) {
    ended_totals_.claims += lease.stats().claims,
        ended_totals_.announcements += lease.stats().announcements_sent;
    ended_totals_.terms_acquired += lease.stats().terms_acquired,
        ended_totals_.transfers += lease.stats().transfers_sent;
  }
  std::erase_if(processes_, [&](const auto& o) { return o.get() == &p; });
}

void LeaseFleet::start(std::uint32_t node) {
  kill(node);
  has_left_[node] = false, unreachable_since_[node] = Time::max();
  if (members_) members_->start(node);
  // Half of the clocks have the largest permitted skew.
  auto dice = dice_.stream("clock", mix_hash(node) + ++start_counts_[node]);
  const double skew_share = dice.chance(0.5) ? (dice.chance(0.5) ? 0.5 : -0.5)
                                             : dice.between(-0.5, 0.5);
  auto& p = add(node, true, scaled(options_.max_clock_skew, skew_share));
  deliver_view(p);
  for (std::size_t lease_index = 0; lease_index < p.leases.size(); ++lease_index) {
    p.leases[lease_index].set_candidate(local(p), is_candidate_);
    drain_outputs(p, lease_index);
  }
}
void LeaseFleet::start_all() {
  for (std::uint32_t n = 0; n < size(); ++n)
    has_left_[n] = false, unreachable_since_[n] = Time::max();
  for (std::uint32_t n = 0; n < size(); ++n) start(n);
}

void LeaseFleet::kill(std::uint32_t node) {
  if (auto* p = process_of(node)) {
    end(*p);
    unreachable_since_[node] = now();
    if (members_) members_->kill(node);
  }
}

void LeaseFleet::stall(std::uint32_t node, bool stalled) {
  auto* p = process_of(node);
  if (p == nullptr || std::exchange(p->stalled, stalled) == stalled) return;
  if (members_) members_->stall(node, stalled);
  unreachable_since_[node] = stalled ? now() : Time::max();
  if (stalled) return;
  const auto id = p->id;
  for (std::size_t lease_index = 0; lease_index < p->leases.size(); ++lease_index) {
    if (p->leases[lease_index].next_tick_time() <= local(*p))
      p->leases[lease_index].tick(local(*p));
    drain_outputs(*p, lease_index);
  }
  for (auto& action : std::exchange(p->deferred, {}))
    if (by_id(id) != nullptr) action();
}

void LeaseFleet::terminate(std::uint32_t node, Duration grace) {
  auto* p = process_of(node);
  if (p == nullptr) return;
  has_left_[node] = true;
  if (members_) members_->leave(node);
  run_in(p->id, [this](Process& process) {
    for (std::size_t lease_index = 0; lease_index < process.leases.size(); ++lease_index) {
      process.leases[lease_index].step_down(local(process));
      drain_outputs(process, lease_index);
    }
  });
  at(now() + grace, [this, node, id = p->id] {
    if (by_id(id) != nullptr) kill(node);
  });
}

void LeaseFleet::upgrade(std::uint32_t node) {
  auto* predecessor = process_of(node);
  if (predecessor == nullptr) return;
  auto& p = add(node, false, predecessor->skew);
  for (std::size_t lease_index = 0; lease_index < p.leases.size(); ++lease_index)
    p.leases[lease_index].take_over(
        local(p), predecessor->leases[lease_index].hand_over(local(*predecessor)));
  // The predecessor runs on for 1 s without any lease; replies to it are dropped.
  addressed_processes_[node] = p.id;
  at(now() + 1s, [this, id = predecessor->id] {
    if (auto* old = by_id(id)) end(*old);
  });
  deliver_view(p);
  for (std::size_t lease_index = 0; lease_index < p.leases.size(); ++lease_index) {
    p.leases[lease_index].set_candidate(local(p), is_candidate_);
    drain_outputs(p, lease_index);
  }
}

void LeaseFleet::start_duplicate(std::uint32_t node) {
  auto& p = add(node, false, {});
  deliver_view(p);
  for (std::size_t lease_index = 0; lease_index < p.leases.size(); ++lease_index) {
    p.leases[lease_index].set_candidate(local(p), is_candidate_);
    drain_outputs(p, lease_index);
  }
}

void LeaseFleet::set_candidates(bool candidate) {
  is_candidate_ = candidate;
  for (auto& p : processes_)
    for (std::size_t lease_index = 0; lease_index < p->leases.size(); ++lease_index) {
      p->leases[lease_index].set_candidate(local(*p), candidate);
      drain_outputs(*p, lease_index);
    }
}

void LeaseFleet::set_partition(std::uint32_t node, Partition partition) {
  partitions_[node] = partition;
  const bool is_isolated = partition.to_peers || partition.from_peers;
  if (process_of(node) != nullptr) unreachable_since_[node] = is_isolated ? now() : Time::max();
}

void LeaseFleet::run_in(std::uint64_t id, const std::function<void(Process&)>& action) {
  auto* p = by_id(id);
  if (p == nullptr) return;
  if (!p->stalled) return action(*p);
  p->deferred.emplace_back([this, id, action] { run_in(id, action); });
}

// Sends the pending calls and announcements of a lease and schedules its next tick.
void LeaseFleet::drain_outputs(Process& p, std::size_t lease_index) {
  auto& lease = p.leases[lease_index];
  for (const auto& c : lease.drain_calls()) {
    const auto call_delay = options_.max_call_delay > 0ns
                                ? scaled(options_.max_call_delay, dice_.uniform())
                                : Duration{};
    at(now() + call_delay, [this, id = p.id, lease_index, c] {
      run_in(id, [this, id, lease_index, c](Process&) { send_call(id, lease_index, c); });
    });
  }
  for (const auto& w : lease.drain_announcements()) send_announcement(p, lease_index, w);
  const Time due = lease.next_tick_time() == Time::max()
                       ? Time::max()
                       : std::max(lease.next_tick_time() - p.skew, now());
  if (due >= p.tick_times[lease_index] && p.tick_times[lease_index] > now()) return;
  p.tick_times[lease_index] = due;
  if (due == Time::max()) return;
  at(due, [this, id = p.id, lease_index, due] {
    auto* process = by_id(id);
    if (process == nullptr || process->stalled || process->tick_times[lease_index] != due) return;
    process->tick_times[lease_index] = Time::max();
    process->leases[lease_index].tick(local(*process));
    drain_outputs(*process, lease_index);
  });
}

void LeaseFleet::send_call(std::uint64_t id, std::size_t lease_index,
                           const fleet::LeaderLease::CounterCall& c) {
  const auto node = by_id(id)->node;
  const auto reply = [this, id, lease_index, call_id = c.id](CounterOutcome outcome, double total) {
    run_in(id, [this, lease_index, call_id, outcome, total](Process& p) {
      p.leases[lease_index].on_counter_reply(local(p), call_id, outcome, total);
      drain_outputs(p, lease_index);
    });
  };
  // The lease gets one reply: the answer or the time-out, whichever occurs first. A stalled process
  // gets it after the stall.
  const auto replied = std::make_shared<bool>(false);
  at(now() + options_.lease_config.counter_timeout, [replied, reply] {
    if (!std::exchange(*replied, true)) reply(CounterOutcome::timeout, 0);
  });
  ++totals_.calls;
  if (partition_of(node).to_counter) return;
  const auto network_delay = [this] {
    return dice_.seconds_in(options_.network.cross_zone_ms) / 1000;
  };
  at(now() + network_delay(), [this, node, c, replied, reply, network_delay] {
    const auto answer = counter_.call(now(), {c.name, c.amount, c.ttl});
    if (answer.kind == Counter::Answer::Kind::none || partition_of(node).from_counter) return;
    at(answer.at + network_delay(), [replied, reply, answer] {
      if (std::exchange(*replied, true)) return;
      switch (answer.kind) {
        case Counter::Answer::Kind::ok: return reply(CounterOutcome::ok, answer.total);
        case Counter::Answer::Kind::busy:
        case Counter::Answer::Kind::refused: return reply(CounterOutcome::refused, 0);
        default: return reply(CounterOutcome::timeout, 0);
      }
    });
  });
}

void LeaseFleet::send_announcement(const Process& p, std::size_t lease_index,
                                   const fleet::LeaderLease::Announcement& w) {
  const auto to = static_cast<std::uint32_t>(w.to);
  if (to >= size() || partition_of(p.node).to_peers || partition_of(to).from_peers) return;
  for (const Time when : network_.send(now()))
    at(when, [this, from = p.node, to, lease_index, entry = w.entry] {
      auto* receiver = process_of(to);
      if (receiver == nullptr) return;
      auto& arrivals = arrival_times_[to];
      while (!arrivals.empty() && arrivals.front() <= now() - 1s) arrivals.pop_front();
      arrivals.push_back(now());
      totals_.max_arrivals_per_s = std::max<std::uint64_t>(totals_.max_arrivals_per_s,
                                                           arrivals.size());
      if (!network_.receive(now(), to)) return;
      run_in(receiver->id, [this, from, lease_index, entry](Process& q) {
        q.leases[lease_index].on_announcement(
            local(q), fleet::MemberId(static_cast<std::uint16_t>(from)), entry);
        drain_outputs(q, lease_index);
      });
    });
}

// ---- Views --------------------------------------------------------------------------------------

void LeaseFleet::update_views() {
  for (auto& p : processes_)
    if (!p->stalled) deliver_view(*p);
  at(now() + kViewInterval, [this] { update_views(); });
}

// Returns the view of all nodes that are not partitioned: a node that has been unreachable for
// view_delay counts as failed. Each node regards itself as alive in any case.
const fleet::MembershipView& LeaseFleet::common_view() {
  if (common_view_time_ == now() && common_view_.members) return common_view_;
  common_view_time_ = now();
  std::uint64_t version = 1;
  std::vector<bool> reachable(size());
  for (std::uint32_t n = 0; n < size(); ++n) {
    reachable[n] = !has_left_[n] && (unreachable_since_[n] > now() ||
                                     now() - unreachable_since_[n] <= options_.view_delay);
    version = mix_hash(version ^ (reachable[n] ? n + 1 : 0));
  }
  if (version == common_view_.version) return common_view_;
  auto member_states = std::make_shared<std::vector<fleet::MembershipView::Member>>(size());
  for (std::uint32_t n = 0; n < size(); ++n)
    (*member_states)[n].state = {
        1, reachable[n] ? fleet::MemberStatus::alive : fleet::MemberStatus::failed, 0};
  common_view_.version = version, common_view_.members = std::move(member_states);
  return common_view_;
}

void LeaseFleet::deliver_view(Process& p) {
  fleet::MembershipView view;
  if (members_) {
    if (!members_->is_up(p.node) ||
        members_->membership(p.node).view_version() + 1 == p.view_version)
      return;
    view = *members_->view(p.node);
    view.version = members_->membership(p.node).view_version() + 1;
  } else if (partition_of(p.node).from_peers &&
             now() - unreachable_since_[p.node] > options_.view_delay) {
    if (p.view_version == 0) return;
    view.reachability = fleet::Reachability::alone;
    view.members = std::make_shared<std::vector<fleet::MembershipView::Member>>(size());
  } else {
    if (common_view().version == p.view_version) return;
    view = common_view();
  }
  p.view_version = view.version;
  for (std::size_t lease_index = 0; lease_index < p.leases.size(); ++lease_index) {
    p.leases[lease_index].on_view(local(p), view);
    drain_outputs(p, lease_index);
  }
}

// ---- Invariant checks ---------------------------------------------------------------------------

void LeaseFleet::audit_all() {
  for (std::size_t lease_index = 0; lease_index < audits_.size(); ++lease_index) audit(lease_index);
  at(now() + kAuditInterval, [this] { audit_all(); });
}

void LeaseFleet::audit(std::size_t lease_index) {
  const Process* active = nullptr;
  for (const auto& p : processes_) {
    const auto epoch = p->leases[lease_index].valid_token_at(local(*p));
    if (!epoch) continue;
    // A stalled process counts as well: it may resume at any moment.
    if (active != nullptr)
      add_violation("two nodes active at one time: node " + std::to_string(active->node) +
                    " and node " + std::to_string(p->node) + " under epoch " +
                    std::to_string(*epoch));
    active = p.get();
    if (p->stalled) continue;
    audits_[lease_index].last_active_time = now();
    ++totals_.effects;
    // The process may stall between the check of its clock and the effect.
    const auto id = p->id;
    at(now() + scaled(2ms, dice_.uniform()), [this, id, lease_index, e = *epoch] {
      run_in(id, [this, lease_index, e](Process& q) { emit_effect(q, lease_index, e); });
    });
  }
}

void LeaseFleet::emit_effect(const Process& p, std::size_t lease_index, fleet::FencingToken epoch) {
  for (std::size_t r = 0; r < kReceivers; ++r) {
    auto delay = dice_.seconds_in(options_.peers.delay_ms) / 1000;
    if (dice_.chance(0.01)) delay += scaled(3s, dice_.uniform());
    at(now() + delay, [this, lease_index, r, id = p.id, node = p.node, epoch] {
      receive_effect(lease_index, r, id, node, epoch);
    });
  }
}

void LeaseFleet::receive_effect(std::size_t lease_index, std::size_t receiver, std::uint64_t id,
                                std::uint32_t node, fleet::FencingToken epoch) {
  auto& r = audits_[lease_index].receivers[receiver];
  if (options_.uses_fencing &&
      !r.fence.passes(epoch, fleet::MemberId(static_cast<std::uint16_t>(node)))) {
    ++totals_.rejected_effects;
    return;
  }
  if (epoch < r.newest_epoch)
    add_violation("older epoch accepted after a newer one: " + std::to_string(epoch));
  if (epoch == r.newest_epoch && id != r.holder_process && node != r.holder_node)
    add_violation("two holders under epoch " + std::to_string(epoch));
  if (epoch >= r.newest_epoch) r.newest_epoch = epoch, r.holder_process = id, r.holder_node = node;
}

void LeaseFleet::add_violation(std::string text) {
  ++violation_count_;
  if (violations_.size() < kMaxListedViolations) violations_.push_back(std::move(text));
}

// ---- State and totals ---------------------------------------------------------------------------

std::optional<std::uint32_t> LeaseFleet::active_node(std::size_t lease_index) const {
  for (const auto& p : processes_)
    if (!p->stalled && p->leases[lease_index].valid_token_at(local(*p))) return p->node;
  return std::nullopt;
}
std::optional<Time> LeaseFleet::last_active_time(std::size_t lease_index) const {
  return audits_[lease_index].last_active_time;
}
const fleet::LeaderLease* LeaseFleet::lease(std::uint32_t node, std::size_t lease_index) const {
  const auto* p = process_of(node);
  return p != nullptr ? &p->leases[lease_index] : nullptr;
}

LeaseFleet::Totals LeaseFleet::totals() const {
  auto t = totals_;
  t.claims += ended_totals_.claims, t.announcements += ended_totals_.announcements,
      t.terms_acquired += ended_totals_.terms_acquired, t.transfers += ended_totals_.transfers;
  for (const auto& p : processes_)
    for (const auto& lease : p->leases) {
      t.claims += lease.stats().claims, t.announcements += lease.stats().announcements_sent;
      t.terms_acquired += lease.stats().terms_acquired, t.transfers += lease.stats().transfers_sent;
    }
  return t;
}

}  // namespace petrelrail::world

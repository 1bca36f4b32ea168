#include "simulated_runtime.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"
#include "configuration.hpp"
#include "fleet/membership.hpp"
#include "node/limits.hpp"

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

// At most until a link to the counter comes up again: connect limit and backoff.
constexpr Duration kCounterBack = 450ms;

EndpointListUpdate update_of(EndpointListKind kind, std::span<const Entry> entries) {
  EndpointListUpdate u{kind, {}};
  for (const auto& e : entries)
    u.entries.push_back(
        {EndpointId(e.server), ZoneIndex(e.zone), e.cell, e.phase, e.started, e.size});
  return u;
}

}  // namespace

// One life of a node's program.
class SimulatedRuntime::Process final : public ConnectionView,
                                        public std::enable_shared_from_this<Process> {
 public:
  Process(SimulatedRuntime& model, std::uint32_t node, std::uint64_t seed)
      : model_(model),
        node_(node),
        dice_(seed),
        settings_(reading::read_settings(settings_of(model.scenario_, node)).settings),
        gateway_(settings_, seed, this),
        heard_(model.agenda_.now()) {}

  ConnectionCounts connections(EndpointId server) const override {
    const auto it = pools_.find(static_cast<std::uint32_t>(server));
    if (it == pools_.end()) return {};
    const Time now = model_.agenda_.now();
    const auto& idle = it->second.idle;
    const auto fresh = std::ranges::count_if(idle,
                                             [&](Time since) { return now - since < keep(); });
    return {static_cast<std::uint32_t>(fresh), it->second.open};
  }

  void happened(Event event) {
    if (ended_) return;
    events_.push_back(std::move(event));
    if (std::exchange(telling_, true)) return;
    while (!events_.empty()) {
      const Event next = std::move(events_.front());
      events_.pop_front();
      for (const auto& action : gateway_.handle(model_.agenda_.now(), next))
        std::visit([this](const auto& a) { carry_out(a); }, action);
    }
    telling_ = false;
  }

  void arrived(const ClientAttempt& t) {
    const RequestId id{static_cast<std::uint64_t>(t.id)};
    open_.emplace(id, Open{t.id, {}, false});
    happened(RequestArrived{id, ClassIndex(0), PlanIndex(t.plan), t.customer, t.deadline - t.sent,
                            t.units, t.spread, t.number > 0});
  }

  void client_gone(ClientAttemptId id) {
    const RequestId request{static_cast<std::uint64_t>(id)};
    const auto it = open_.find(request);
    if (it == open_.end() || std::exchange(it->second.answered, true)) return;
    happened(ClientDisconnected{request});
    forget_if_done(request);
  }

  // An answer has reached the node.
  void came(RequestId request, std::uint32_t attempt, ServerAnswer answer) {
    switch (answer) {
      case ServerAnswer::ok: return over(request, attempt, AttemptOutcome::ok, true);
      case ServerAnswer::error: return over(request, attempt, AttemptOutcome::error, true);
      case ServerAnswer::full: return over(request, attempt, AttemptOutcome::overloaded, true);
      case ServerAnswer::spoilt: return over(request, attempt, AttemptOutcome::reset, false);
    }
  }

  // The server's process has ended, or is a new one: all connections to it are reset.
  void reset(std::uint32_t server) {
    if (const auto it = pools_.find(server); it != pools_.end()) it->second = {};
    std::vector<std::pair<RequestId, std::uint32_t>> hit;
    for (const auto& [id, o] : open_)
      for (std::uint32_t i = 0; i < o.attempts.size(); ++i)
        if (!o.attempts[i].over && o.attempts[i].server == server && o.attempts[i].connected)
          hit.emplace_back(id, i);
    for (const auto& [id, i] : hit) {
      auto& a = open_.at(id).attempts[i];
      a.linked = false;
      over(id, i, a.delivered ? AttemptOutcome::reset : AttemptOutcome::connect_failed, false);
    }
  }

  void network_changed() {
    if (model_.world_->counter_would_connect(node_) == Connect::up) {
      if (counter_lost_) {
        counter_lost_ = false;
        counter_up_at_ = model_.agenda_.now() + scaled(kCounterBack, dice_.uniform());
      }
    } else if (model_.world_->counter_would_connect(node_) == Connect::refused) {
      counter_lost_ = true;
    }
  }

  void end() {
    ended_ = true;
    for (auto& [server, pool] : pools_)
      for (std::uint32_t i = 0; i < pool.open; ++i) model_.world_->closed(node_, server);
    for (const auto& [id, o] : open_) {
      for (const auto& a : o.attempts)
        if (!a.over && a.number != AttemptNumber::none) {
          model_.flights_.erase(a.number);
          model_.world_->attempt_left(a.number);
        }
      if (!o.answered)
        model_.agenda_.after(model_.world_->client_way(),
                             [world = model_.world_, id = o.id] { world->broken(id, false); });
      model_.holders_.erase(o.id);
    }
    open_.clear(), pools_.clear();
  }

  // As src/node/peers: the member of this node, with the state of a predecessor if there is one.
  void join(const std::optional<fleet::LocalMember>& predecessor) {
    const auto& s = model_.scenario_;
    if (s.fleet.members == "off" || s.fleet.nodes < 2) return;
    fleet::LocalMember self{fleet::MemberId(static_cast<std::uint16_t>(node_)),
                            static_cast<std::uint8_t>(settings_.zone),
                            static_cast<std::uint16_t>(mix_hash(dice_.seed())), 1};
    fleet::MembershipConfig terms;
    terms.nodes = s.fleet.nodes, terms.inbox_per_s = s.peers.in_per_s;
    members_ = std::make_unique<fleet::Membership>(terms, predecessor.value_or(self), dice_.seed());
    members_->start(model_.agenda_.now());
    act();
  }
  std::optional<fleet::LocalMember> leave_member() {
    if (!members_) return std::nullopt;
    const auto self = members_->self();
    members_.reset();
    return self;
  }
  void peer_said(std::uint32_t from, const std::string& payload) {
    if (!members_ || ended_) return;
    members_->receive(model_.agenda_.now(), fleet::MemberId(static_cast<std::uint16_t>(from)),
                      {reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size()});
    act();
  }
  void leaves() {
    if (!members_) return;
    members_->leave(model_.agenda_.now());
    act();
  }
  const fleet::Membership* members() const { return members_.get(); }

  void retune(std::uint32_t max_attempts) {
    auto next = std::make_shared<Settings>(
        reading::read_settings(settings_of(model_.scenario_, node_, max_attempts)).settings);
    validate_change(settings_, *next);
    happened(SettingsChanged{std::move(next)});
  }

  Gateway& gateway() { return gateway_; }
  bool idle() const { return open_.empty(); }
  bool ended() const { return ended_; }
  std::uint32_t node() const { return node_; }

 private:
  struct Attempt {
    std::uint32_t server = 0;
    Time began{}, begin_by{};
    AttemptNumber number = AttemptNumber::none;
    Duration connect{};
    bool linked = false;     // holds a connection, or one that comes up
    bool connected = false;  // that is up
    bool delivered = false;  // written whole
    bool over = false;
  };
  struct Open {
    ClientAttemptId id{};
    std::vector<Attempt> attempts;
    bool answered = false;
  };
  struct Pool {
    std::deque<Time> idle;  // and since when, the latest last
    std::uint32_t open = 0;
  };

  // The servers' share of the descriptors, as src/node/node reckons it. What clients lend or borrow
  // is not modelled.
  std::size_t most_links() const {
    const auto own = limits::kReservedDescriptors + limits::kCounterConnections;
    const auto all = static_cast<double>(
        std::max<std::uint64_t>(model_.scenario_.fleet.sockets, own + 1) - own);
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(all * (1 - limits::kClientDescriptorShare)));
  }
  std::size_t open_links() const {
    std::size_t open = 0;
    for (const auto& [server, pool] : pools_) open += pool.open;
    return open;
  }
  // Of the connections that idle, the one that has done so for longest goes.
  bool make_room() {
    std::pair<const std::uint32_t, Pool>* at = nullptr;
    for (auto& p : pools_)
      if (!p.second.idle.empty() &&
          (at == nullptr || p.second.idle.front() < at->second.idle.front()))
        at = &p;
    if (at == nullptr) return false;
    at->second.idle.pop_front(), --at->second.open;
    model_.world_->closed(node_, at->first);
    return true;
  }
  // What the member has to say goes out, and it is ticked when it asks to be.
  void act() {
    const Time now = model_.agenda_.now();
    for (auto& d : members_->drain_datagrams())
      model_.world_->datagram(node_, static_cast<std::uint32_t>(d.to), std::move(d.bytes));
    for (const auto& v : members_->drain_status_changes())
      model_.logged_(now, node_,
                     "member " + std::to_string(fleet::index_of(v.member)) + " is " +
                         fleet::name_of(v.status));
    if (members_->next_tick_time() != ticks_at_ && members_->next_tick_time() != Time::max()) {
      ticks_at_ = members_->next_tick_time();
      later(std::max(ticks_at_ - now, Duration{}), [due = ticks_at_](Process& p) {
        if (!p.members_ || p.ticks_at_ != due) return;
        p.ticks_at_ = Time{};
        p.members_->tick(p.model_.agenda_.now());
        p.act();
      });
    }
    if (model_.scenario_.fleet.members != "pace" || members_->view_version() == told_version_)
      return;
    told_version_ = members_->view_version();
    const auto view = members_->view(now);
    happened(FleetView{view->living + view->unknown});
  }
  Duration keep() const {
    return from_seconds(limits::kIdleTimeoutShare * model_.scenario_.servers.idle_s);
  }

  template <class What>
  void later(Duration delay, What what) {
    model_.agenda_.after(delay, [self = shared_from_this(), what]() mutable {
      if (self->ended_) return;
      self->model_.enter(self->node_, [self, what]() mutable {
        if (!self->ended_) what(*self);
      });
    });
  }

  Attempt* attempt(RequestId request, std::uint32_t n) {
    const auto it = open_.find(request);
    if (it == open_.end() || n >= it->second.attempts.size() || it->second.attempts[n].over)
      return nullptr;
    return &it->second.attempts[n];
  }

  void carry_out(const Send& s) {
    const auto it = open_.find(s.request);
    if (it == open_.end()) return;
    const auto server = static_cast<std::uint32_t>(s.endpoint);
    const auto n = static_cast<std::uint32_t>(it->second.attempts.size());
    it->second.attempts.push_back({.server = server,
                                   .began = model_.agenda_.now(),
                                   .begin_by = s.start_deadline,
                                   .linked = true});
    auto& a = it->second.attempts.back();
    later(s.timeout, [request = s.request, n](Process& p) { p.overdue(request, n); });
    auto& pool = pools_[server];
    while (!pool.idle.empty() && model_.agenda_.now() - pool.idle.front() >= keep()) {
      pool.idle.pop_front(), --pool.open;
      model_.world_->closed(node_, server);
    }
    if (!pool.idle.empty()) {
      pool.idle.pop_back();
      a.connected = true;
      return deliver(s.request, n);
    }
    if (open_links() >= most_links() && !make_room()) {
      a.linked = false;
      return later({}, [request = s.request, n](Process& p) {
        p.over(request, n, AttemptOutcome::never_sent, false);
      });
    }
    const auto met = model_.world_->connect(node_, server);
    if (met != Connect::up) {
      a.linked = false;
      const auto fails = met == Connect::refused ? 2 * model_.world_->way(node_, server)
                                                 : settings_.connect_timeout;
      return later(fails, [request = s.request, n](Process& p) {
        p.over(request, n, AttemptOutcome::connect_failed, false);
      });
    }
    ++pool.open;
    a.connected = true;  // for the server it is there
    a.connect = model_.world_->handshake(node_, server);
    later(a.connect, [request = s.request, n](Process& p) { p.deliver(request, n); });
  }

  void deliver(RequestId request, std::uint32_t n) {
    auto* a = attempt(request, n);
    if (a == nullptr) return;
    if (model_.agenda_.now() >= a->begin_by)
      return over(request, n, AttemptOutcome::never_sent, true);
    a->delivered = true;
    const auto way = model_.world_->way(node_, a->server);
    const Time first_byte = model_.agenda_.now();
    model_.agenda_.after(way, [self = shared_from_this(), request, n, first_byte] {
      auto* sent = self->attempt(request, n);
      if (self->ended_ || sent == nullptr) return;
      sent->number = self->model_.world_->attempt(
          self->node_, sent->server, ClientAttemptId(static_cast<std::uint64_t>(request)),
          first_byte);
      if (sent->number != AttemptNumber::none)
        self->model_.flights_[sent->number] = {self, request, n, sent->server};
    });
  }

  void overdue(RequestId request, std::uint32_t n) {
    if (auto* a = attempt(request, n))
      over(request, n, a->delivered ? AttemptOutcome::timeout : AttemptOutcome::connect_failed,
           false);
  }

  void over(RequestId request, std::uint32_t n, AttemptOutcome outcome, bool keep_link) {
    auto* a = attempt(request, n);
    if (a == nullptr) return;
    a->over = true;
    auto& pool = pools_[a->server];
    if (a->linked && keep_link) {
      pool.idle.push_back(model_.agenda_.now());
    } else if (a->linked && pool.open > 0) {
      --pool.open;
      model_.world_->closed(node_, a->server);
    }
    if (a->number != AttemptNumber::none && !keep_link) {
      model_.flights_.erase(a->number);
      model_.world_->attempt_left(a->number);
    }
    auto& o = open_.at(request);
    if (outcome == AttemptOutcome::ok && !o.answered) finish(o, Verdict::served, {});
    AttemptEnded e{
        .request = request, .attempt = n, .endpoint = EndpointId(a->server), .outcome = outcome};
    e.duration = model_.agenda_.now() - a->began;
    e.request_completed = o.answered;
    e.connect_duration = a->connect;
    forget_if_done(request);
    happened(e);
  }

  void forget_if_done(RequestId request) {
    const auto it = open_.find(request);
    if (it == open_.end() || !it->second.answered) return;
    if (std::ranges::any_of(it->second.attempts, [](const Attempt& a) { return !a.over; })) return;
    model_.holders_.erase(it->second.id);
    open_.erase(it);
  }

  void finish(Open& o, Verdict verdict, Duration retry_after) {
    o.answered = true;
    model_.agenda_.after(model_.world_->client_way(),
                         [world = model_.world_, id = o.id, verdict, retry_after] {
                           world->answered(id, verdict, retry_after, true);
                         });
  }

  void finish(RequestId request, Verdict verdict, Duration retry_after) {
    const auto it = open_.find(request);
    if (it == open_.end() || it->second.answered) return;
    finish(it->second, verdict, retry_after);
    forget_if_done(request);
  }

  void carry_out(const Reject& s) { finish(s.request, Verdict::refused, s.retry_after); }
  void carry_out(const Fail& s) { finish(s.request, Verdict::failed, {}); }
  void carry_out(const Cancel& s) { over(s.request, s.attempt, AttemptOutcome::cancelled, false); }

  void carry_out(const AddToCounter& s) {
    const Time now = model_.agenda_.now();
    const auto met = model_.world_->counter_would_connect(node_);
    if (met == Connect::refused || (met == Connect::up && now < counter_up_at_))
      return happened(CounterResponse{s.key, CounterOutcome::refused, 0, {}});
    const bool dead = met == Connect::silent &&
                      now - heard_ > limits::kCounterSilenceTimeouts * settings_.counter_timeout;
    counter_lost_ = counter_lost_ || dead;
    const auto told = std::make_shared<bool>(false);
    later(settings_.counter_timeout, [key = s.key, told, dead](Process& p) {
      if (!std::exchange(*told, true))
        p.happened(CounterResponse{key, dead ? CounterOutcome::refused : CounterOutcome::timeout, 0,
                                   p.settings_.counter_timeout});
    });
    if (dead) return;  // it waits for a connection that does not come up, and is taken back
    const Counter::Call call{std::to_string(static_cast<std::uint64_t>(s.key)), s.amount,
                             s.lifetime};
    model_.world_->call(
        node_, call, [self = shared_from_this(), key = s.key, told, now](const Counter::Answer& a) {
          self->model_.enter(self->node_, [self, key, told, now, a] {
            using Kind = Counter::Answer::Kind;
            self->heard_ = self->model_.agenda_.now();
            if (self->ended_ || std::exchange(*told, true)) return;
            const auto outcome = a.kind == Kind::ok          ? CounterOutcome::ok
                                 : a.kind == Kind::malformed ? CounterOutcome::timeout
                                                             : CounterOutcome::refused;
            self->happened(CounterResponse{key, outcome, a.total, self->heard_ - now});
          });
        });
  }

  void carry_out(const SetTimer& s) {
    later(std::max(s.delay, Duration(1)),
          [timer = s.timer](Process& p) { p.happened(TimerDue{timer}); });
  }
  void carry_out(const CheckHealth& s) {
    later(settings_.connect_timeout, [endpoint = s.endpoint](Process& p) {
      p.happened(HealthCheckEnded{endpoint, AttemptOutcome::timeout, {}, {}});
    });
  }
  void carry_out(const ReleaseIdleConnections& s) {
    const auto server = static_cast<std::uint32_t>(s.endpoint);
    auto& pool = pools_[server];
    while (pool.idle.size() > s.keep) {
      pool.idle.pop_front(), --pool.open;
      model_.world_->closed(node_, server);
    }
  }
  void carry_out(const Subscribe&) {}
  void carry_out(const Log& s) { model_.logged_(model_.agenda_.now(), node_, s.text); }

  SimulatedRuntime& model_;
  std::uint32_t node_;
  RandomStreams dice_;
  Settings settings_;
  Gateway gateway_;
  std::map<RequestId, Open> open_;
  std::map<std::uint32_t, Pool> pools_;
  std::deque<Event> events_;
  std::unique_ptr<fleet::Membership> members_;
  Time ticks_at_{};
  std::uint64_t told_version_ = 0;
  bool telling_ = false, ended_ = false, counter_lost_ = false;
  Time heard_, counter_up_at_{};
};

SimulatedRuntime::SimulatedRuntime(const Scenario& scenario, std::uint64_t seed, EventQueue& agenda,
                                   Logged logged)
    : scenario_(scenario),
      dice_(RandomStreams(mix_hash(seed)).stream("model")),
      agenda_(agenda),
      logged_(std::move(logged)),
      nodes_(scenario.fleet.nodes) {}

SimulatedRuntime::~SimulatedRuntime() = default;

void SimulatedRuntime::enter(std::uint32_t node, std::function<void()> what) {
  auto& n = nodes_[node];
  if (n.stalled)
    n.waiting.push_back(std::move(what));
  else
    what();
}

std::shared_ptr<SimulatedRuntime::Process> SimulatedRuntime::new_process(std::uint32_t node) {
  const auto life = ++nodes_[node].lives;
  return std::make_shared<Process>(*this, node, dice_.stream("node", mix_hash(node) + life).seed());
}

void SimulatedRuntime::start_node(std::uint32_t node) {
  agenda_.after(from_seconds(scenario_.fleet.start_s), [this, node, life = nodes_[node].lives] {
    auto& n = nodes_[node];
    if (n.lives != life) return;
    n.serving = new_process(node);
    std::vector<Entry> known;
    for (const auto& [number, e] : world_->list(node).entries) known.push_back(e);
    n.serving->happened(update_of(EndpointListKind::cached, known));
    n.serving->join({});
    world_->node_ready(node);
  });
}

void SimulatedRuntime::kill_node(std::uint32_t node) {
  auto& n = nodes_[node];
  ++n.lives;
  n.stalled = false, n.waiting.clear();
  for (const auto& p : std::exchange(n.leaving, {})) p->end();
  if (const auto p = std::exchange(n.serving, nullptr)) p->end();
}

// Takes new connections for a while, and ends when all that it has is done.
void SimulatedRuntime::drain(const std::shared_ptr<Process>& process, Time from) {
  if (process->ended()) return;
  auto& n = nodes_[process->node()];
  if (n.stalled || !process->idle() || agenda_.now() < from + limits::kNewConnectionsAfterTerm)
    return agenda_.after(limits::kAcceptRetryDelay,
                         [this, process, from] { drain(process, from); });
  process->end();
  std::erase(n.leaving, process);
  if (n.serving != process) return;
  n.serving = nullptr;
  world_->node_ended(process->node());
}

void SimulatedRuntime::term_node(std::uint32_t node) {
  const auto process = nodes_[node].serving;
  if (!process) return;
  enter(node, [process] { process->leaves(); });
  drain(process, agenda_.now());
}

void SimulatedRuntime::stall_node(std::uint32_t node, bool stalled) {
  auto& n = nodes_[node];
  n.stalled = stalled;
  while (!n.stalled && !n.waiting.empty()) {
    const auto next = std::move(n.waiting.front());
    n.waiting.pop_front();
    next();
  }
}

void SimulatedRuntime::reload_node(std::uint32_t node, const Fault& fault) {
  if (nodes_[node].serving)
    enter(node, [p = nodes_[node].serving, n = fault.max_attempts] { p->retune(n); });
}

void SimulatedRuntime::upgrade_node(std::uint32_t node) {
  if (!nodes_[node].serving) return;
  agenda_.after(from_seconds(scenario_.fleet.start_s), [this, node, old = nodes_[node].serving] {
    auto& n = nodes_[node];
    if (n.serving != old || old->ended()) return;
    auto next = new_process(node);
    std::vector<Entry> known;
    for (const auto& [number, e] : world_->list(node).entries) known.push_back(e);
    next->happened(update_of(EndpointListKind::cached, known));
    next->happened(RestoreState{
        std::make_shared<const HandoverState>(old->gateway().export_state(agenda_.now()))});
    next->join(old->leave_member());
    n.leaving.push_back(old);
    n.serving = next;
    drain(old, agenda_.now());
  });
}

void SimulatedRuntime::submit(const ClientAttempt& t) {
  agenda_.after(world_->client_way(), [this, id = t.id] {
    const auto* sent = world_->find(id);
    if (sent == nullptr) return;
    const auto& process = nodes_[sent->node].serving;
    if (!process) {
      agenda_.after(world_->client_way(), [this, id] { world_->unreachable(id); });
      return;
    }
    world_->taken(id);
    holders_[id] = process;
    enter(sent->node, [process, copy = *sent] { process->arrived(copy); });
  });
}

void SimulatedRuntime::leave(ClientAttemptId id) {
  agenda_.after(world_->client_way(), [this, id] {
    const auto it = holders_.find(id);
    if (it == holders_.end()) return;
    enter(it->second->node(), [process = it->second, id] {
      if (!process->ended()) process->client_gone(id);
    });
  });
}

void SimulatedRuntime::answer(AttemptNumber attempt, ServerAnswer answer) {
  const auto it = flights_.find(attempt);
  if (it == flights_.end()) return;
  const auto f = it->second;
  flights_.erase(it);
  agenda_.after(world_->way(f.process->node(), f.server), [this, f, answer] {
    if (f.process->ended()) return;
    enter(f.process->node(), [f, answer] {
      if (!f.process->ended()) f.process->came(f.request, f.attempt, answer);
    });
  });
}

void SimulatedRuntime::reset_connections(std::uint32_t server) {
  for (auto& n : nodes_) {
    if (n.serving) n.serving->reset(server);
    for (const auto& p : n.leaving) p->reset(server);
  }
}

void SimulatedRuntime::list_changed(std::uint32_t node, std::span<const Entry> changes,
                                    std::int64_t) {
  auto& n = nodes_[node];
  const auto update = update_of(EndpointListKind::delta, changes);
  for (const auto& p : n.leaving) enter(node, [p, update] { p->happened(update); });
  if (n.serving) enter(node, [p = n.serving, update] { p->happened(update); });
}

void SimulatedRuntime::datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) {
  if (const auto p = nodes_[to].serving)
    enter(to, [p, from, text = std::string(payload)] { p->peer_said(from, text); });
}

double SimulatedRuntime::views_agreed() const {
  double up = 0, agree = 0;
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
    if (!world_->node_up(n) || !nodes_[n].serving) continue;
    const auto* members = nodes_[n].serving->members();
    ++up;
    if (members == nullptr) {
      ++agree;
      continue;
    }
    const auto v = members->view(agenda_.now());
    bool same = true;
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
      const auto& s = (*v->members)[i].state;
      same = same && (s.known() && s.status <= fleet::MemberStatus::suspect) == world_->node_up(i);
    }
    agree += same ? 1 : 0;
  }
  return up > 0 ? agree / up : 1;
}

void SimulatedRuntime::network_changed() {
  for (auto& n : nodes_) {
    if (n.serving) n.serving->network_changed();
    for (const auto& p : n.leaving) p->network_changed();
  }
}

}  // namespace petrelrail::world

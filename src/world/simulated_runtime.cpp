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

// Longest time to reconnect to the counter: connect time-out and backoff.
constexpr Duration kMaxCounterReconnect = 450ms;

EndpointListUpdate to_update(EndpointListKind kind, std::span<const Entry> entries) {
  EndpointListUpdate u{kind, {}};
  for (const auto& e : entries)
    u.entries.push_back(
        {EndpointId(e.server), ZoneIndex(e.zone), e.cell, e.phase, e.started, e.size});
  return u;
}

}  // namespace

// One process of a node's program.
class SimulatedRuntime::Process final : public ConnectionView,
                                        public std::enable_shared_from_this<Process> {
 public:
  Process(SimulatedRuntime& runtime, std::uint32_t node, std::uint64_t seed)
      : runtime_(runtime),
        node_(node),
        random_(seed),
        settings_(reading::read_settings(settings_of(runtime.scenario_, node)).settings),
        gateway_(settings_, seed, this),
        last_counter_response_(runtime.queue_.now()) {}

  ConnectionCounts connections(EndpointId server) const override {
    const auto it = pools_.find(static_cast<std::uint32_t>(server));
    if (it == pools_.end()) return {};
    const Time now = runtime_.queue_.now();
    const auto& idle = it->second.idle;
    const auto fresh = std::ranges::count_if(
        idle, [&](Time since) { return now - since < idle_timeout(); });
    return {static_cast<std::uint32_t>(fresh), it->second.open};
  }

  void on_event(Event event) {
    if (ended_) return;
    events_.push_back(std::move(event));
    if (std::exchange(handling_, true)) return;
    while (!events_.empty()) {
      const Event next = std::move(events_.front());
      events_.pop_front();
      for (const auto& action : gateway_.handle(runtime_.queue_.now(), next))
        std::visit([this](const auto& a) { execute(a); }, action);
    }
    handling_ = false;
  }

  void arrived(const ClientAttempt& t) {
    const RequestId id{static_cast<std::uint64_t>(t.id)};
    open_.emplace(id, OpenRequest{t.id, {}, false});
    on_event(RequestArrived{id, ClassIndex(0), PlanIndex(t.plan), t.customer, t.deadline - t.sent,
                            t.units, t.spread, t.number > 0});
  }

  void client_disconnected(ClientAttemptId id) {
    const RequestId request{static_cast<std::uint64_t>(id)};
    const auto it = open_.find(request);
    if (it == open_.end() || std::exchange(it->second.answered, true)) return;
    on_event(ClientDisconnected{request});
    erase_if_done(request);
  }

  // A price server's response has reached the node.
  void on_response(RequestId request, std::uint32_t attempt, ServerAnswer answer) {
    switch (answer) {
      case ServerAnswer::ok: return complete(request, attempt, AttemptOutcome::ok, true);
      case ServerAnswer::error: return complete(request, attempt, AttemptOutcome::error, true);
      case ServerAnswer::full: return complete(request, attempt, AttemptOutcome::overloaded, true);
      case ServerAnswer::truncated: return complete(request, attempt, AttemptOutcome::reset, false);
    }
  }

  // The server's process has ended or was restarted: all connections to it are reset.
  void reset(std::uint32_t server) {
    if (const auto it = pools_.find(server); it != pools_.end()) it->second = {};
    std::vector<std::pair<RequestId, std::uint32_t>> hit;
    for (const auto& [id, o] : open_)
      for (std::uint32_t i = 0; i < o.attempts.size(); ++i)
        if (!o.attempts[i].completed && o.attempts[i].server == server && o.attempts[i].connected)
          hit.emplace_back(id, i);
    for (const auto& [id, i] : hit) {
      auto& a = open_.at(id).attempts[i];
      a.holds_connection = false;
      complete(id, i, a.delivered ? AttemptOutcome::reset : AttemptOutcome::connect_failed, false);
    }
  }

  void network_changed() {
    if (runtime_.simulation_->counter_would_connect(node_) == ConnectResult::up) {
      if (counter_lost_) {
        counter_lost_ = false;
        counter_up_at_ = runtime_.queue_.now() + scaled(kMaxCounterReconnect, random_.uniform());
      }
    } else if (runtime_.simulation_->counter_would_connect(node_) == ConnectResult::refused) {
      counter_lost_ = true;
    }
  }

  void end() {
    ended_ = true;
    for (auto& [server, pool] : pools_)
      for (std::uint32_t i = 0; i < pool.open; ++i) runtime_.simulation_->closed(node_, server);
    for (const auto& [id, o] : open_) {
      for (const auto& a : o.attempts)
        if (!a.completed && a.number != AttemptNumber::none) {
          runtime_.attempts_in_flight_.erase(a.number);
          runtime_.simulation_->attempt_left(a.number);
        }
      if (!o.answered)
        runtime_.queue_.after(
            runtime_.simulation_->client_delay(),
            [simulation = runtime_.simulation_, id = o.id] { simulation->broken(id, false); });
      runtime_.process_by_attempt_.erase(o.id);
    }
    open_.clear(), pools_.clear();
  }

  // Starts membership as src/node/peers does, with the state of a predecessor if there is one.
  void start_membership(const std::optional<fleet::LocalMember>& predecessor) {
    const auto& s = runtime_.scenario_;
    if (s.fleet.members == "off" || s.fleet.nodes < 2) return;
    fleet::LocalMember self{fleet::MemberId(static_cast<std::uint16_t>(node_)),
                            static_cast<std::uint8_t>(settings_.zone),
                            static_cast<std::uint16_t>(mix_hash(random_.seed())), 1};
    fleet::MembershipConfig config;
    config.nodes = s.fleet.nodes, config.inbox_per_s = s.peers.in_per_s;
    membership_ = std::make_unique<fleet::Membership>(config, predecessor.value_or(self),
                                                      random_.seed());
    membership_->start(runtime_.queue_.now());
    drive_membership();
  }
  std::optional<fleet::LocalMember> stop_membership() {
    if (!membership_) return std::nullopt;
    const auto self = membership_->self();
    membership_.reset();
    return self;
  }
  void receive_datagram(std::uint32_t from, const std::string& payload) {
    if (!membership_ || ended_) return;
    membership_->receive(runtime_.queue_.now(), fleet::MemberId(static_cast<std::uint16_t>(from)),
                         {reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size()});
    drive_membership();
  }
  void announce_leave() {
    if (!membership_) return;
    membership_->leave(runtime_.queue_.now());
    drive_membership();
  }
  const fleet::Membership* membership() const { return membership_.get(); }

  void reconfigure(std::uint32_t max_attempts) {
    auto next = std::make_shared<Settings>(
        reading::read_settings(settings_of(runtime_.scenario_, node_, max_attempts)).settings);
    validate_change(settings_, *next);
    on_event(SettingsChanged{std::move(next)});
  }

  Gateway& gateway() { return gateway_; }
  bool idle() const { return open_.empty(); }
  bool ended() const { return ended_; }
  std::uint32_t node() const { return node_; }

 private:
  struct Attempt {
    std::uint32_t server = 0;
    Time started_at{}, delivery_deadline{};
    AttemptNumber number = AttemptNumber::none;
    Duration connect{};
    bool holds_connection = false;  // holds a connection, established or being established
    bool connected = false;         // the connection is established
    bool delivered = false;         // the request was sent whole
    bool completed = false;
  };
  struct OpenRequest {
    ClientAttemptId id{};
    std::vector<Attempt> attempts;
    bool answered = false;
  };
  struct Pool {
    std::deque<Time> idle;  // idle since, oldest first
    std::uint32_t open = 0;
  };

  // The servers' share of the descriptors, computed as in src/node/node. Lending between clients
  // and servers is not simulated.
  std::size_t max_server_connections() const {
    const auto own = limits::kReservedDescriptors + limits::kCounterConnections;
    const auto all = static_cast<double>(
        std::max<std::uint64_t>(runtime_.scenario_.fleet.sockets, own + 1) - own);
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(all * (1 - limits::kClientDescriptorShare)));
  }
  std::size_t open_connections() const {
    std::size_t open = 0;
    for (const auto& [server, pool] : pools_) open += pool.open;
    return open;
  }
  // Closes the connection that has been idle for the longest time; false if none is idle.
  bool close_longest_idle() {
    std::pair<const std::uint32_t, Pool>* at = nullptr;
    for (auto& p : pools_)
      if (!p.second.idle.empty() &&
          (at == nullptr || p.second.idle.front() < at->second.idle.front()))
        at = &p;
    if (at == nullptr) return false;
    at->second.idle.pop_front(), --at->second.open;
    runtime_.simulation_->closed(node_, at->first);
    return true;
  }
  // Sends the member's datagrams and schedules its next tick.
  void drive_membership() {
    const Time now = runtime_.queue_.now();
    for (auto& d : membership_->drain_datagrams())
      runtime_.simulation_->datagram(node_, static_cast<std::uint32_t>(d.to), std::move(d.bytes));
    for (const auto& v : membership_->drain_status_changes())
      runtime_.on_log_(now, node_,
                       "member " + std::to_string(fleet::index_of(v.member)) + " is " +
                           fleet::name_of(v.status));
    if (membership_->next_tick_time() != ticks_at_ &&
        membership_->next_tick_time() != Time::max()) {
      ticks_at_ = membership_->next_tick_time();
      run_after(std::max(ticks_at_ - now, Duration{}), [due = ticks_at_](Process& p) {
        if (!p.membership_ || p.ticks_at_ != due) return;
        p.ticks_at_ = Time{};
        p.membership_->tick(p.runtime_.queue_.now());
        p.drive_membership();
      });
    }
    if (runtime_.scenario_.fleet.members != "pace" ||
        membership_->view_version() == reported_view_version_)
      return;
    reported_view_version_ = membership_->view_version();
    const auto view = membership_->view(now);
    on_event(FleetView{view->living + view->unknown});
  }
  Duration idle_timeout() const {
    return from_seconds(limits::kIdleTimeoutShare * runtime_.scenario_.servers.idle_s);
  }

  template <class Callback>
  void run_after(Duration delay, Callback callback) {
    runtime_.queue_.after(delay, [self = shared_from_this(), callback]() mutable {
      if (self->ended_) return;
      self->runtime_.run_on_node(self->node_, [self, callback]() mutable {
        if (!self->ended_) callback(*self);
      });
    });
  }

  Attempt* attempt(RequestId request, std::uint32_t n) {
    const auto it = open_.find(request);
    if (it == open_.end() || n >= it->second.attempts.size() || it->second.attempts[n].completed)
      return nullptr;
    return &it->second.attempts[n];
  }

  void execute(const Send& s) {
    const auto it = open_.find(s.request);
    if (it == open_.end()) return;
    const auto server = static_cast<std::uint32_t>(s.endpoint);
    const auto n = static_cast<std::uint32_t>(it->second.attempts.size());
    it->second.attempts.push_back({.server = server,
                                   .started_at = runtime_.queue_.now(),
                                   .delivery_deadline = s.start_deadline,
                                   .holds_connection = true});
    auto& a = it->second.attempts.back();
    run_after(s.timeout, [request = s.request, n](Process& p) { p.on_timeout(request, n); });
    auto& pool = pools_[server];
    while (!pool.idle.empty() && runtime_.queue_.now() - pool.idle.front() >= idle_timeout()) {
      pool.idle.pop_front(), --pool.open;
      runtime_.simulation_->closed(node_, server);
    }
    if (!pool.idle.empty()) {
      pool.idle.pop_back();
      a.connected = true;
      return deliver(s.request, n);
    }
    if (open_connections() >= max_server_connections() && !close_longest_idle()) {
      a.holds_connection = false;
      return run_after({}, [request = s.request, n](Process& p) {
        p.complete(request, n, AttemptOutcome::never_sent, false);
      });
    }
    const auto result = runtime_.simulation_->connect(node_, server);
    if (result != ConnectResult::up) {
      a.holds_connection = false;
      const auto failure_delay = result == ConnectResult::refused
                                     ? 2 * runtime_.simulation_->network_delay(node_, server)
                                     : settings_.connect_timeout;
      return run_after(failure_delay, [request = s.request, n](Process& p) {
        p.complete(request, n, AttemptOutcome::connect_failed, false);
      });
    }
    ++pool.open;
    a.connected = true;  // the server has accepted it
    a.connect = runtime_.simulation_->handshake(node_, server);
    run_after(a.connect, [request = s.request, n](Process& p) { p.deliver(request, n); });
  }

  void deliver(RequestId request, std::uint32_t n) {
    auto* a = attempt(request, n);
    if (a == nullptr) return;
    if (runtime_.queue_.now() >= a->delivery_deadline)
      return complete(request, n, AttemptOutcome::never_sent, true);
    a->delivered = true;
    const auto network_delay = runtime_.simulation_->network_delay(node_, a->server);
    const Time first_byte = runtime_.queue_.now();
    runtime_.queue_.after(network_delay, [self = shared_from_this(), request, n, first_byte] {
      auto* sent = self->attempt(request, n);
      if (self->ended_ || sent == nullptr) return;
      sent->number = self->runtime_.simulation_->attempt(
          self->node_, sent->server, ClientAttemptId(static_cast<std::uint64_t>(request)),
          first_byte);
      if (sent->number != AttemptNumber::none)
        self->runtime_.attempts_in_flight_[sent->number] = {self, request, n, sent->server};
    });
  }

  void on_timeout(RequestId request, std::uint32_t n) {
    if (auto* a = attempt(request, n))
      complete(request, n, a->delivered ? AttemptOutcome::timeout : AttemptOutcome::connect_failed,
               false);
  }

  void complete(RequestId request, std::uint32_t n, AttemptOutcome outcome, bool keep_connection) {
    auto* a = attempt(request, n);
    if (a == nullptr) return;
    a->completed = true;
    auto& pool = pools_[a->server];
    if (a->holds_connection && keep_connection) {
      pool.idle.push_back(runtime_.queue_.now());
    } else if (a->holds_connection && pool.open > 0) {
      --pool.open;
      runtime_.simulation_->closed(node_, a->server);
    }
    if (a->number != AttemptNumber::none && !keep_connection) {
      runtime_.attempts_in_flight_.erase(a->number);
      runtime_.simulation_->attempt_left(a->number);
    }
    auto& o = open_.at(request);
    if (outcome == AttemptOutcome::ok && !o.answered) finish(o, Verdict::served, {});
    AttemptEnded e{
        .request = request, .attempt = n, .endpoint = EndpointId(a->server), .outcome = outcome};
    e.duration = runtime_.queue_.now() - a->started_at;
    e.request_completed = o.answered;
    e.connect_duration = a->connect;
    erase_if_done(request);
    on_event(e);
  }

  void erase_if_done(RequestId request) {
    const auto it = open_.find(request);
    if (it == open_.end() || !it->second.answered) return;
    if (std::ranges::any_of(it->second.attempts, [](const Attempt& a) { return !a.completed; }))
      return;
    runtime_.process_by_attempt_.erase(it->second.id);
    open_.erase(it);
  }

  void finish(OpenRequest& o, Verdict verdict, Duration retry_after) {
    o.answered = true;
    runtime_.queue_.after(runtime_.simulation_->client_delay(),
                          [simulation = runtime_.simulation_, id = o.id, verdict, retry_after] {
                            simulation->answered(id, verdict, retry_after, true);
                          });
  }

  void finish(RequestId request, Verdict verdict, Duration retry_after) {
    const auto it = open_.find(request);
    if (it == open_.end() || it->second.answered) return;
    finish(it->second, verdict, retry_after);
    erase_if_done(request);
  }

  void execute(const Reject& s) { finish(s.request, Verdict::refused, s.retry_after); }
  void execute(const Fail& s) { finish(s.request, Verdict::failed, {}); }
  void execute(const Cancel& s) {
    complete(s.request, s.attempt, AttemptOutcome::cancelled, false);
  }

  void execute(const AddToCounter& s) {
    const Time now = runtime_.queue_.now();
    const auto result = runtime_.simulation_->counter_would_connect(node_);
    if (result == ConnectResult::refused || (result == ConnectResult::up && now < counter_up_at_))
      return on_event(CounterResponse{s.key, CounterOutcome::refused, 0, {}});
    const bool unresponsive = result == ConnectResult::silent &&
                              now - last_counter_response_ >
                                  limits::kCounterSilenceTimeouts * settings_.counter_timeout;
    counter_lost_ = counter_lost_ || unresponsive;
    const auto answered_or_timed_out = std::make_shared<bool>(false);
    run_after(settings_.counter_timeout,
              [key = s.key, answered_or_timed_out, unresponsive](Process& p) {
                if (!std::exchange(*answered_or_timed_out, true))
                  p.on_event(CounterResponse{
                      key, unresponsive ? CounterOutcome::refused : CounterOutcome::timeout, 0,
                      p.settings_.counter_timeout});
              });
    if (unresponsive) return;  // queued for a connection that is not established, then refused
    const Counter::Call call{std::to_string(static_cast<std::uint64_t>(s.key)), s.amount,
                             s.lifetime};
    runtime_.simulation_->call(
        node_, call,
        [self = shared_from_this(), key = s.key, answered_or_timed_out,
         now](const Counter::Answer& a) {
          self->runtime_.run_on_node(self->node_, [self, key, answered_or_timed_out, now, a] {
            using Kind = Counter::Answer::Kind;
            self->last_counter_response_ = self->runtime_.queue_.now();
            if (self->ended_ || std::exchange(*answered_or_timed_out, true)) return;
            const auto outcome = a.kind == Kind::ok          ? CounterOutcome::ok
                                 : a.kind == Kind::malformed ? CounterOutcome::timeout
                                                             : CounterOutcome::refused;
            self->on_event(
                CounterResponse{key, outcome, a.total, self->last_counter_response_ - now});
          });
        });
  }

  void execute(const SetTimer& s) {
    run_after(std::max(s.delay, Duration(1)),
              [timer = s.timer](Process& p) { p.on_event(TimerDue{timer}); });
  }
  void execute(const CheckHealth& s) {
    run_after(settings_.connect_timeout, [endpoint = s.endpoint](Process& p) {
      p.on_event(HealthCheckEnded{endpoint, AttemptOutcome::timeout, {}, {}});
    });
  }
  void execute(const ReleaseIdleConnections& s) {
    const auto server = static_cast<std::uint32_t>(s.endpoint);
    auto& pool = pools_[server];
    while (pool.idle.size() > s.keep) {
      pool.idle.pop_front(), --pool.open;
      runtime_.simulation_->closed(node_, server);
    }
  }
  void execute(const Subscribe&) {}
  void execute(const Log& s) { runtime_.on_log_(runtime_.queue_.now(), node_, s.text); }

  SimulatedRuntime& runtime_;
  std::uint32_t node_;
  RandomStreams random_;
  Settings settings_;
  Gateway gateway_;
  std::map<RequestId, OpenRequest> open_;
  std::map<std::uint32_t, Pool> pools_;
  std::deque<Event> events_;
  std::unique_ptr<fleet::Membership> membership_;
  Time ticks_at_{};
  std::uint64_t reported_view_version_ = 0;
  bool handling_ = false, ended_ = false, counter_lost_ = false;
  Time last_counter_response_, counter_up_at_{};
};

SimulatedRuntime::SimulatedRuntime(const Scenario& scenario, std::uint64_t seed, EventQueue& queue,
                                   LogCallback on_log)
    : scenario_(scenario),
      random_(RandomStreams(mix_hash(seed)).stream("model")),
      queue_(queue),
      on_log_(std::move(on_log)),
      nodes_(scenario.fleet.nodes) {}

SimulatedRuntime::~SimulatedRuntime() = default;

void SimulatedRuntime::run_on_node(std::uint32_t node, std::function<void()> callback) {
  auto& n = nodes_[node];
  if (n.stalled)
    n.resumed_callbacks.push_back(std::move(callback));
  else
    callback();
}

std::shared_ptr<SimulatedRuntime::Process> SimulatedRuntime::new_process(std::uint32_t node) {
  const auto incarnation = ++nodes_[node].incarnation;
  return std::make_shared<Process>(*this, node,
                                   random_.stream("node", mix_hash(node) + incarnation).seed());
}

void SimulatedRuntime::start_node(std::uint32_t node) {
  queue_.after(from_seconds(scenario_.fleet.start_s),
               [this, node, incarnation = nodes_[node].incarnation] {
                 auto& n = nodes_[node];
                 if (n.incarnation != incarnation) return;
                 n.serving = new_process(node);
                 std::vector<Entry> known;
                 for (const auto& [number, e] : simulation_->list(node).entries) known.push_back(e);
                 n.serving->on_event(to_update(EndpointListKind::cached, known));
                 n.serving->start_membership({});
                 simulation_->node_ready(node);
               });
}

void SimulatedRuntime::kill_node(std::uint32_t node) {
  auto& n = nodes_[node];
  ++n.incarnation;
  n.stalled = false, n.resumed_callbacks.clear();
  for (const auto& p : std::exchange(n.draining, {})) p->end();
  if (const auto p = std::exchange(n.serving, nullptr)) p->end();
}

// Accepts new connections for a while, and ends the process when its requests are done.
void SimulatedRuntime::drain(const std::shared_ptr<Process>& process, Time from) {
  if (process->ended()) return;
  auto& n = nodes_[process->node()];
  if (n.stalled || !process->idle() || queue_.now() < from + limits::kNewConnectionsAfterTerm)
    return queue_.after(limits::kAcceptRetryDelay, [this, process, from] { drain(process, from); });
  process->end();
  std::erase(n.draining, process);
  if (n.serving != process) return;
  n.serving = nullptr;
  simulation_->node_ended(process->node());
}

void SimulatedRuntime::term_node(std::uint32_t node) {
  const auto process = nodes_[node].serving;
  if (!process) return;
  run_on_node(node, [process] { process->announce_leave(); });
  drain(process, queue_.now());
}

void SimulatedRuntime::stall_node(std::uint32_t node, bool stalled) {
  auto& n = nodes_[node];
  n.stalled = stalled;
  while (!n.stalled && !n.resumed_callbacks.empty()) {
    const auto next = std::move(n.resumed_callbacks.front());
    n.resumed_callbacks.pop_front();
    next();
  }
}

void SimulatedRuntime::reload_node(std::uint32_t node, const Fault& fault) {
  if (nodes_[node].serving)
    run_on_node(node, [p = nodes_[node].serving, n = fault.max_attempts] { p->reconfigure(n); });
}

void SimulatedRuntime::upgrade_node(std::uint32_t node) {
  if (!nodes_[node].serving) return;
  queue_.after(from_seconds(scenario_.fleet.start_s), [this, node, old = nodes_[node].serving] {
    auto& n = nodes_[node];
    if (n.serving != old || old->ended()) return;
    auto next = new_process(node);
    std::vector<Entry> known;
    for (const auto& [number, e] : simulation_->list(node).entries) known.push_back(e);
    next->on_event(to_update(EndpointListKind::cached, known));
    next->on_event(RestoreState{
        std::make_shared<const HandoverState>(old->gateway().export_state(queue_.now()))});
    next->start_membership(old->stop_membership());
    n.draining.push_back(old);
    n.serving = next;
    drain(old, queue_.now());
  });
}

void SimulatedRuntime::submit(const ClientAttempt& t) {
  queue_.after(simulation_->client_delay(), [this, id = t.id] {
    const auto* sent = simulation_->find(id);
    if (sent == nullptr) return;
    const auto& process = nodes_[sent->node].serving;
    if (!process) {
      queue_.after(simulation_->client_delay(), [this, id] { simulation_->unreachable(id); });
      return;
    }
    simulation_->received(id);
    process_by_attempt_[id] = process;
    run_on_node(sent->node, [process, copy = *sent] { process->arrived(copy); });
  });
}

void SimulatedRuntime::disconnect_client(ClientAttemptId id) {
  queue_.after(simulation_->client_delay(), [this, id] {
    const auto it = process_by_attempt_.find(id);
    if (it == process_by_attempt_.end()) return;
    run_on_node(it->second->node(), [process = it->second, id] {
      if (!process->ended()) process->client_disconnected(id);
    });
  });
}

void SimulatedRuntime::answer(AttemptNumber attempt, ServerAnswer answer) {
  const auto it = attempts_in_flight_.find(attempt);
  if (it == attempts_in_flight_.end()) return;
  const auto f = it->second;
  attempts_in_flight_.erase(it);
  queue_.after(simulation_->network_delay(f.process->node(), f.server), [this, f, answer] {
    if (f.process->ended()) return;
    run_on_node(f.process->node(), [f, answer] {
      if (!f.process->ended()) f.process->on_response(f.request, f.attempt, answer);
    });
  });
}

void SimulatedRuntime::reset_connections(std::uint32_t server) {
  for (auto& n : nodes_) {
    if (n.serving) n.serving->reset(server);
    for (const auto& p : n.draining) p->reset(server);
  }
}

void SimulatedRuntime::list_changed(std::uint32_t node, std::span<const Entry> changes,
                                    std::int64_t) {
  auto& n = nodes_[node];
  const auto update = to_update(EndpointListKind::delta, changes);
  for (const auto& p : n.draining) run_on_node(node, [p, update] { p->on_event(update); });
  if (n.serving) run_on_node(node, [p = n.serving, update] { p->on_event(update); });
}

void SimulatedRuntime::datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) {
  if (const auto p = nodes_[to].serving)
    run_on_node(to, [p, from, text = std::string(payload)] { p->receive_datagram(from, text); });
}

double SimulatedRuntime::views_agreed() const {
  double up = 0, agree = 0;
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
    if (!simulation_->node_up(n) || !nodes_[n].serving) continue;
    const auto* membership = nodes_[n].serving->membership();
    ++up;
    if (membership == nullptr) {
      ++agree;
      continue;
    }
    const auto v = membership->view(queue_.now());
    bool same = true;
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
      const auto& s = (*v->members)[i].state;
      same = same &&
             (s.known() && s.status <= fleet::MemberStatus::suspect) == simulation_->node_up(i);
    }
    agree += same ? 1 : 0;
  }
  return up > 0 ? agree / up : 1;
}

void SimulatedRuntime::network_changed() {
  for (auto& n : nodes_) {
    if (n.serving) n.serving->network_changed();
    for (const auto& p : n.draining) p->network_changed();
  }
}

}  // namespace petrelrail::world

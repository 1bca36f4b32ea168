#include "simulation.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "common/hash.hpp"
#include "common/time_math.hpp"
#include "configuration.hpp"

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFrontRemovalDelay = 200ms,
                   kFrontRemovalJitter = 200ms;  // after SIGTERM: PROTOCOL, "Figures"
constexpr Duration kErrorDelay = 1ms;            // until a failing server answers
constexpr Duration kRejectDelay = 200us;         // until a full server rejects a request
constexpr double
    kNearlyFullUse = 0.95;  // share of its rate used by a customer that uses nearly all of it
constexpr double kBackoffJitter = 0.5;  // share of a client's backoff, in either direction

constexpr std::array<std::pair<FaultKind, const char*>, 20> kFaultNames{{
    {FaultKind::kill, "kill"},
    {FaultKind::restart, "restart"},
    {FaultKind::stall, "stall"},
    {FaultKind::reload, "reload"},
    {FaultKind::upgrade, "upgrade"},
    {FaultKind::cut, "cut"},
    {FaultKind::counter_slow, "counter_slow"},
    {FaultKind::counter_silent, "counter_silent"},
    {FaultKind::counter_refusing, "counter_refusing"},
    {FaultKind::counter_empty, "counter_empty"},
    {FaultKind::counter_spoilt, "counter_spoilt"},
    {FaultKind::zone_lost, "zone_lost"},
    {FaultKind::servers_bad, "servers_bad"},
    {FaultKind::servers_slow, "servers_slow"},
    {FaultKind::servers_gone, "servers_gone"},
    {FaultKind::servers_replaced, "servers_replaced"},
    {FaultKind::answers_spoilt, "answers_spoilt"},
    {FaultKind::burst, "burst"},
    {FaultKind::list_late, "list_late"},
    {FaultKind::peers_lossy, "peers_lossy"},
}};
constexpr std::pair<FaultKind, const char*> kWrongZone{FaultKind::list_wrong_zone,
                                                       "list_wrong_zone"};

Party node_party(std::uint32_t n) { return {Party::Kind::node, n}; }
Party server_party(std::uint32_t n) { return {Party::Kind::server, n}; }
constexpr Party kCounter{Party::Kind::counter, 0}, kDiscovery{Party::Kind::discovery, 0},
    kClients{Party::Kind::clients, 0};

std::string short_number(double x) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", x);
  return text;
}

std::string text_of(const Selector& s) {
  static constexpr std::array kinds{"nodes", "servers", "counter", "discovery", "clients"};
  const std::string kind = kinds[static_cast<std::size_t>(s.kind)];
  switch (s.pick) {
    case Selector::Pick::all: return kind;
    case Selector::Pick::range:
      return kind + " " + std::to_string(s.first) + "-" + std::to_string(s.last);
    case Selector::Pick::share: return short_number(100 * s.share) + "% of " + kind;
    case Selector::Pick::zone: return kind + " in " + s.zone;
  }
  return kind;
}

}  // namespace

const char* name_of(FaultKind kind) {
  for (const auto& [k, name] : kFaultNames)
    if (k == kind) return name;
  return kWrongZone.second;
}

std::optional<FaultKind> fault_kind(const std::string& name) {
  for (const auto& [k, n] : kFaultNames)
    if (name == n) return k;
  return name == kWrongZone.second ? std::optional(kWrongZone.first) : std::nullopt;
}

std::string text_of(const Fault& f) {
  std::string text = name_of(f.kind);
  const auto join = [](const std::vector<Selector>& all) {
    std::string t;
    for (const auto& s : all) t += (t.empty() ? "" : ", ") + text_of(s);
    return t;
  };
  if (!f.who.empty()) text += " " + join(f.who);
  if (!f.from.empty())
    text += (f.way == "in" ? " <- " : f.way == "out" ? " -> " : " <-> ") + join(f.from);
  if (!f.zone.empty()) text += " " + f.zone + (f.counter ? " with the counter" : "");
  if (f.kind == FaultKind::burst || f.kind == FaultKind::counter_slow ||
      f.kind == FaultKind::servers_slow)
    text += " x" + short_number(f.factor);
  if (f.empty) text += ", back empty";
  return text;
}

Simulation::Simulation(const Scenario& scenario, std::uint64_t seed, EventQueue& queue,
                       Runtime& runtime, std::function<void(Time, const Observation&)> observer)
    : scenario_(scenario),
      random_(mix_hash(seed)),
      queue_(queue),
      runtime_(runtime),
      observer_(std::move(observer)),
      plans_(plans_of(scenario)),
      network_(scenario.network, random_.stream("network")),
      peer_network_(scenario.peers, scenario.fleet.nodes, random_.stream("peers")),
      counter_(scenario.counter, random_.stream("counter")),
      work_random_(random_.stream("work")),
      clients_random_(random_.stream("clients")),
      discovery_random_(random_.stream("discovery")),
      nodes_(scenario.fleet.nodes),
      effects_(scenario.faults) {
  make_servers();
  make_customers();
}

// ---- Parties ------------------------------------------------------------------------------------

std::uint32_t Simulation::zone_of_node(std::uint32_t node) const {
  return node % static_cast<std::uint32_t>(scenario_.fleet.zones.size());
}

std::uint32_t Simulation::add_server(std::uint32_t zone, std::uint32_t cell) {
  const auto& t = scenario_.servers;
  const auto number = static_cast<std::uint32_t>(servers_.size());
  auto random = random_.stream("server", number);
  const auto slots = static_cast<std::uint32_t>(
      std::max(1.0, std::round(random.in(t.slots_per_core) * t.cores)));
  const auto queue_size = static_cast<std::uint32_t>(
      std::round(random.in(t.queue_per_core) * t.cores));
  const double speed = random.in(t.speed);
  std::array<char, 16> id{};
  std::snprintf(id.data(), id.size(), "s-%08x",
                static_cast<unsigned>(mix_hash(random_.seed() + number) >> 33U) | 1U);
  servers_.push_back({id.data(),
                      zone,
                      cell,
                      PriceServer(t, speed, slots, queue_size),
                      {},
                      0,
                      Time::max(),
                      0,
                      0,
                      {},
                      false});
  auto& s = servers_.back();
  s.listed = {number,      s.id, zone, cell, EndpointPhase::ready, std::round(speed * 10) / 10,
              std::nullopt};
  return number;
}

void Simulation::make_servers() {
  const auto zones = static_cast<std::uint32_t>(scenario_.fleet.zones.size());
  for (std::uint32_t i = 0; i < scenario_.servers.count; ++i) {
    const auto zone = i % zones;
    const auto n = add_server(
        zone, zone + zones * (i / zones / std::max(1U, scenario_.servers.cell_size)));
    servers_[n].model.start(queue_.now(), 1, Duration{});
    observe(ServerStarted{EndpointId(n), zone, servers_[n].cell});
    for (auto& node : nodes_) node.list.entries.emplace(n, servers_[n].listed);
  }
  revision_ = 1;
  for (auto& node : nodes_) node.list.revision = revision_;
}

// Adds customers to each plan until their load within the quotas reaches the plan's share.
void Simulation::make_customers() {
  const auto& t = scenario_.clients;
  double capacity = 0, shares = 0;
  for (const auto& s : servers_) capacity += s.model.full_capacity();
  for (const auto& p : t.plans) shares += p.share;
  const double wanted = t.load * capacity / (scenario_.servers.work_ms / 1e3);
  std::uint64_t number = 0;
  for (std::uint32_t plan = 0; plan < plans_.size(); ++plan) {
    const auto& config = t.plans[plan];
    double inside = 0;
    while (inside < wanted * config.share / shares) {
      Customer c{.random = random_.stream("customer", ++number)};
      c.id = CustomerId(mix_hash(random_.seed() + number) >> 31U);
      c.plan = plan;
      const double kind = c.random.uniform();
      double use = c.random.in(t.calm_use);
      if (kind < t.full) {
        use = kNearlyFullUse;
      } else if (kind < t.full + t.heavy) {
        use = c.random.in(t.heavy_x);
      } else if (kind < t.full + t.heavy + t.spiky) {
        c.spike = std::max(1.0, c.random.in(t.spike_x) / use);
        c.spike_for = c.random.seconds_in(t.spike_s);
        c.spike_every = std::max(c.random.seconds_in(t.spike_every_s), c.spike_for);
        c.spike_phase = scaled(c.spike_every, c.random.uniform());
      }
      c.rate = use * config.rate;
      inside += std::min(use, 1.0) * config.rate;
      const auto nodes = scenario_.fleet.nodes;
      double spread = c.random.in(config.spread) * nodes;
      const auto& p = plans_[plan];
      if (p.ceiling_burst > 0) spread = std::min(spread, p.ceiling_burst / 2);
      c.spread = std::clamp(static_cast<std::uint32_t>(std::round(spread)), std::min(2U, nodes),
                            nodes);
      c.first = static_cast<std::uint32_t>(c.random.below(nodes));
      c.honours_retry_after = c.random.chance(t.honour);
      customers_.push_back(std::move(c));
    }
  }
}

// ---- Nodes --------------------------------------------------------------------------------------

void Simulation::begin(Duration patience) {
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) start_node(n);
  queue_.after(patience, [this] { begin_clients(); });
}

void Simulation::start_node(std::uint32_t node) {
  nodes_[node].state = NodeState::starting;
  ++nodes_[node].incarnation;
  // The initial list is part of the node's configuration: clients may reach the node before it
  // reports that it is ready.
  for (const auto& [number, e] : nodes_[node].list.entries)
    observe(ServerAnnounced{node, EndpointId(number), e.phase, true});
  runtime_.start_node(node);
}

void Simulation::node_ready(std::uint32_t node) {
  auto& n = nodes_[node];
  if (n.state != NodeState::starting) return;
  n.state = NodeState::up, n.in_front = true;
  observe(NodeUp{node});
  if (!clients_began() &&
      std::ranges::all_of(nodes_, [](const Node& x) { return x.state == NodeState::up; }))
    begin_clients();
}

void Simulation::mark_down(std::uint32_t node, bool crashed) {
  auto& n = nodes_[node];
  n.state = NodeState::down;
  observe(NodeDown{node, crashed});
  if (!n.in_front) return;
  queue_.after(clients_random_.seconds_in(scenario_.clients.notice_s),
               [this, node, incarnation = n.incarnation] {
                 if (nodes_[node].incarnation == incarnation) nodes_[node].in_front = false;
               });
}

void Simulation::node_ended(std::uint32_t node) {
  auto& n = nodes_[node];
  if (n.state == NodeState::down) return;
  const bool planned = n.state == NodeState::ending;
  mark_down(node, !planned);
  if (planned && n.restarts) start_node(node);
}

void Simulation::stop_node(std::uint32_t node) {
  auto& n = nodes_[node];
  if (n.state != NodeState::up) return;
  n.state = NodeState::ending, n.restarts = true;
  const auto incarnation = n.incarnation;
  queue_.after(kFrontRemovalDelay + scaled(kFrontRemovalJitter, clients_random_.uniform()),
               [this, node, incarnation] {
                 if (nodes_[node].incarnation == incarnation) nodes_[node].in_front = false;
               });
  queue_.after(from_seconds(scenario_.fleet.term_s), [this, node, incarnation] {
    if (nodes_[node].incarnation != incarnation || nodes_[node].state != NodeState::ending) return;
    runtime_.kill_node(node);
    node_ended(node);
  });
  runtime_.term_node(node);
}

// ---- Clients and their front --------------------------------------------------------------------

void Simulation::begin_clients() {
  if (clients_began()) return;
  began_at_ = queue_.now();
  clients_stop_at_ = began_at_ + from_seconds(scenario_.fleet.seconds);
  counter_.set_mode(began_at_, Counter::Mode::serving);
  for (std::size_t i = 0; i < customers_.size(); ++i) next_arrival(i);
  for (std::size_t i = 0; i < scenario_.faults.size(); ++i) schedule_fault(scenario_.faults[i], i);
}

bool Simulation::is_over() const {
  if (!clients_began() || queue_.now() < clients_stop_at_) return false;
  return std::ranges::all_of(client_attempts_, [](const auto& t) { return t.second.ended; });
}

Time Simulation::ends_at() const {
  return clients_stop_at_ +
         from_seconds((scenario_.clients.deadline_ms + scenario_.clients.patience_ms) / 1e3 + 0.1);
}

double Simulation::rate_now(const Customer& c, Time at) const {
  double rate = c.rate * burst_factor_;
  if (c.spike > 1 && (at - began_at_ + c.spike_phase) % c.spike_every < c.spike_for)
    rate *= c.spike;
  return rate;
}

// Draws arrivals of a varying rate by thinning: at the maximum rate, each kept with a probability
// in proportion to the current rate.
void Simulation::next_arrival(std::size_t customer) {
  auto& c = customers_[customer];
  double max_rate = std::max(c.spike, 1.0) * c.rate;
  double factor = 1;
  for (const auto& f : scenario_.faults)
    if (f.kind == FaultKind::burst) factor = std::max(factor, f.factor);
  max_rate *= factor;
  const Time when = queue_.now() + from_seconds(c.random.exponential(1 / max_rate));
  const double keep = c.random.uniform();
  if (when >= clients_stop_at_) return;
  queue_.at(when, [this, customer, keep, max_rate] {
    if (keep * max_rate < rate_now(customers_[customer], queue_.now()))
      send_client_attempt(customer, nullptr);
    next_arrival(customer);
  });
}

std::optional<std::uint32_t> Simulation::pick_node(Customer& c) {
  const auto nodes = scenario_.fleet.nodes;
  const auto period = (queue_.now() - began_at_) /
                      from_seconds(std::max(scenario_.clients.shift_s, 0.1));
  if (c.shift != period) {
    c.shift = period;
    auto random = random_.stream(
        "weights", mix_hash(static_cast<std::uint64_t>(c.id)) + static_cast<std::uint64_t>(period));
    c.weights.resize(c.spread);
    for (auto& w : c.weights) w = random.lognormal(1, scenario_.clients.skew);
  }
  double all = 0;
  for (std::uint32_t i = 0; i < c.spread; ++i)
    if (takes_requests((c.first + i) % nodes)) all += c.weights[i];
  if (all <= 0) return std::nullopt;
  double at = clients_random_.uniform() * all;
  std::optional<std::uint32_t> last;
  for (std::uint32_t i = 0; i < c.spread; ++i) {
    const auto n = (c.first + i) % nodes;
    if (!takes_requests(n)) continue;
    last = n;
    if ((at -= c.weights[i]) < 0) break;
  }
  return last;
}

// Clients may use connections that a node leaves open after SIGTERM, until it is killed.
bool Simulation::takes_requests(std::uint32_t node) const {
  if (nodes_[node].in_front) return true;
  return scenario_.clients.reuses_draining_connections && nodes_[node].state == NodeState::ending &&
         runtime_.has_idle_connection(node);
}

std::uint32_t Simulation::pick_plan(const Customer& c, ClientAttemptId id) const {
  const double share = scenario_.clients.plan_switch_share;
  if (share <= 0) return c.plan;
  auto random = random_.stream("turn", static_cast<std::uint64_t>(id));
  if (!random.chance(share)) return c.plan;
  return static_cast<std::uint32_t>(random.below(plans_.size()));
}

void Simulation::send_client_attempt(std::size_t customer, const ClientAttempt* before) {
  auto& c = customers_[customer];
  const auto& config = scenario_.clients;
  const Time now = queue_.now();
  ClientAttempt t;
  t.id = ClientAttemptId(mix_hash(random_.seed() ^ mix_hash(++last_client_attempt_)));
  t.customer = c.id, t.customer_index = customer, t.plan = pick_plan(c, t.id), t.first = c.first,
  t.spread = c.spread, t.sent = now;
  if (before != nullptr) {
    t.root = before->root, t.number = before->number + 1, t.first_sent = before->first_sent,
    t.final_deadline = before->final_deadline;
  } else {
    t.root = t.id, t.first_sent = now,
    t.final_deadline = now + from_seconds(config.deadline_ms / 1e3);
  }
  t.deadline = t.number < config.retries ? now + scaled(t.final_deadline - now, config.try_share)
                                         : t.final_deadline;
  const auto node = pick_node(c);
  t.node = node.value_or(c.first);
  client_attempts_.emplace(t.id, OpenClientAttempt{t});
  if (before == nullptr) effects_.record(FaultKind::burst);
  observe(ClientAttemptSent{t.id, t.node, t.customer, t.plan, t.units, t.spread, t.deadline, t.root,
                            t.first_sent});
  queue_.at(t.deadline, [this, id = t.id] { on_deadline(id); });
  if (config.early_disconnect_share > 0) {
    auto random = random_.stream("leave", static_cast<std::uint64_t>(t.id));
    if (random.chance(config.early_disconnect_share))
      queue_.at(now + scaled(t.deadline - now, random.uniform()),
                [this, id = t.id] { disconnect_early(id); });
  }
  if (!node || !network_.passes(kClients, node_party(t.node))) {
    if (!node || network_.resets(kClients, node_party(t.node)))
      queue_.after(2 * client_delay(), [this, id = t.id] { unreachable(id); });
    return;
  }
  runtime_.submit(t);
}

const ClientAttempt* Simulation::find(ClientAttemptId id) const {
  const auto it = client_attempts_.find(id);
  return it == client_attempts_.end() ? nullptr : &it->second.t;
}

const ClientAttempt* Simulation::find_waiting(ClientAttemptId id) const {
  const auto it = client_attempts_.find(id);
  return it == client_attempts_.end() || it->second.ended ? nullptr : &it->second.t;
}

// The client disconnects before its deadline and does not retry.
void Simulation::disconnect_early(ClientAttemptId id) {
  const auto it = client_attempts_.find(id);
  if (it == client_attempts_.end() || it->second.ended) return;
  it->second.ended = true;
  observe(ClientAttemptAbandoned{id, true});
  runtime_.disconnect_client(id);
}

// The deadline of a client attempt has passed: the client may retry, but accepts a late answer for
// `patience_ms` more.
void Simulation::on_deadline(ClientAttemptId id) {
  const auto it = client_attempts_.find(id);
  if (it == client_attempts_.end()) return;
  if (!it->second.ended || it->second.answer_dropped) retry(it->second, {});
  queue_.after(from_seconds(scenario_.clients.patience_ms / 1e3), [this, id] {
    const auto open = client_attempts_.find(id);
    if (open == client_attempts_.end()) return;
    if (!open->second.ended) {
      observe(ClientAttemptAbandoned{id, false});
      runtime_.disconnect_client(id);
    }
    client_attempts_.erase(open);
  });
}

void Simulation::retry(OpenClientAttempt& o, Duration advice) {
  const auto& config = scenario_.clients;
  if (std::exchange(o.retried, true) || o.t.number >= config.retries) return;
  double ms = std::min(config.backoff_ms.min * std::exp2(o.t.number), config.backoff_ms.max);
  ms *= clients_random_.between(1 - kBackoffJitter, 1 + kBackoffJitter);
  if (customers_[o.t.customer_index].honours_retry_after && advice > Duration{})
    ms = std::max(ms, std::min(seconds(advice) * 1e3, config.most_retry_after_ms));
  const Time when = queue_.now() + from_seconds(ms / 1e3);
  if (when >= o.t.final_deadline) return;
  queue_.at(when, [this, before = o.t] { send_client_attempt(before.customer_index, &before); });
}

void Simulation::received(ClientAttemptId id) { observe(ClientAttemptReceived{id}); }

// An answer that a partition drops on its way to the client counts as unreachable: the node is not
// at fault.
void Simulation::answered(ClientAttemptId id, Verdict verdict, Duration retry_after, bool genuine) {
  const auto it = client_attempts_.find(id);
  if (it != client_attempts_.end() && !it->second.ended &&
      !network_.passes(node_party(it->second.t.node), kClients)) {
    it->second.ended = it->second.answer_dropped = true;
    return observe(ClientAttemptUnreachable{id});
  }
  observe(ClientAttemptAnswered{id, verdict, genuine});
  if (it == client_attempts_.end() || std::exchange(it->second.ended, true)) return;
  if (verdict != Verdict::served) retry(it->second, retry_after);
}

void Simulation::broken(ClientAttemptId id, bool first_on_connection) {
  const auto it = client_attempts_.find(id);
  if (it == client_attempts_.end() || std::exchange(it->second.ended, true)) return;
  observe(ClientAttemptBroken{id, first_on_connection});
  retry(it->second, {});
}

void Simulation::unreachable(ClientAttemptId id) {
  const auto it = client_attempts_.find(id);
  if (it == client_attempts_.end() || std::exchange(it->second.ended, true)) return;
  observe(ClientAttemptUnreachable{id});
  retry(it->second, {});
}

// ---- Price servers ------------------------------------------------------------------------------

Duration Simulation::network_delay(std::uint32_t node, std::uint32_t server) {
  return network_.one_way_delay(zone_of_node(node), servers_.at(server).zone);
}

Duration Simulation::handshake(std::uint32_t node, std::uint32_t server) {
  return scaled(2 * network_delay(node, server), scenario_.servers.handshake_trips) +
         from_seconds(scenario_.servers.handshake_ms / 1e3);
}

ConnectResult Simulation::would_connect(std::uint32_t node, std::uint32_t server) const {
  const auto& s = servers_.at(server);
  if (!network_.connected(node_party(node), server_party(server)))
    return network_.resets(node_party(node), server_party(server)) ? ConnectResult::refused
                                                                   : ConnectResult::silent;
  if (s.model.phase() == PriceServer::Phase::unresponsive) return ConnectResult::silent;
  return s.model.is_reachable() && s.connections < s.model.max_connections()
             ? ConnectResult::up
             : ConnectResult::refused;
}

ConnectResult Simulation::connect(std::uint32_t node, std::uint32_t server) {
  auto& s = servers_.at(server);
  const auto result = would_connect(node, server);
  observe(Handshake{node, EndpointId(server), result == ConnectResult::up});
  if (result == ConnectResult::up) s.model.set_connections(++s.connections);
  return result;
}

void Simulation::closed(std::uint32_t, std::uint32_t server) {
  auto& s = servers_.at(server);
  if (s.connections > 0) s.model.set_connections(--s.connections);
}

AttemptNumber Simulation::attempt(std::uint32_t node, std::uint32_t server, ClientAttemptId id,
                                  Time first_byte) {
  auto& s = servers_.at(server);
  const Time now = queue_.now();
  if (!network_.passes(node_party(node), server_party(server)) || !s.model.is_reachable())
    return AttemptNumber::none;
  advance_server(server);
  const auto number = AttemptNumber(++last_attempt_);
  const auto* t = find(id);
  const auto root = static_cast<std::uint64_t>(t != nullptr ? t->root : id);
  const auto& config = scenario_.servers;
  auto random = work_random_.stream("request", root);
  const double work = random.lognormal(config.work_ms / 1e3, config.work_cv) *
                      work_random_.stream("attempt", root + last_attempt_)
                          .lognormal(1, config.attempt_noise);
  observe(AttemptArrived{id, node, EndpointId(server), first_byte, last_attempt_, work,
                         zone_of_node(node) != s.zone});
  attempts_.emplace(number, Attempt{node, server, id, JobId(last_attempt_)});
  if (s.slowed) effects_.record(FaultKind::servers_slow);
  const auto entry = nodes_[node].list.entries.find(server);
  const bool informed = entry != nodes_[node].list.entries.end() &&
                        entry->second.started == s.started;
  if (s.model.record_load(now, work, informed)) {
    observe(ServerOverloadedCold{EndpointId(server), s.model.informed_share()});
    stop_server(server, PriceServer::Phase::crashed);
    publish_entry(server, EndpointPhase::gone,
                  discovery_random_.seconds_in(scenario_.discovery.notice_s));
    return AttemptNumber::none;
  }
  if (auto failing = work_random_.stream("error", last_attempt_);
      failing.chance(std::max(s.errors, config.error_rate))) {
    if (s.errors > 0) effects_.record(FaultKind::servers_bad);
    queue_.after(kErrorDelay, [this, number] { finish(number, ServerAnswer::error); });
  } else if (!s.model.accept(now, JobId(last_attempt_), work,
                             t != nullptr ? t->deadline : Time::max())) {
    queue_.after(kRejectDelay, [this, number] { finish(number, ServerAnswer::full); });
  }
  schedule_wakeup(server);
  return number;
}

// The server keeps processing: it is not notified of the cancellation (the site's `cancel` is
// "none").
void Simulation::attempt_left(AttemptNumber number) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  observe(AttemptCompleted{it->second.id, static_cast<std::uint64_t>(number), false});
  attempts_.erase(it);
}

void Simulation::finish(AttemptNumber number, ServerAnswer answer) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  const auto a = it->second;
  if (answer == ServerAnswer::ok && truncated_share_ > 0 &&
      work_random_.stream("spoilt", static_cast<std::uint64_t>(number)).chance(truncated_share_)) {
    answer = ServerAnswer::truncated;
    effects_.record(FaultKind::answers_spoilt);
  }
  attempts_.erase(it);
  observe(AttemptCompleted{a.id, static_cast<std::uint64_t>(number), answer == ServerAnswer::full});
  if (network_.passes(server_party(a.server), node_party(a.node))) runtime_.answer(number, answer);
}

void Simulation::schedule_wakeup(std::uint32_t server) {
  auto& s = servers_[server];
  const auto next = s.model.next_event_time();
  if (!next || *next >= s.wakes_at) return;
  s.wakes_at = *next;
  queue_.at(*next, [this, server, incarnation = s.incarnation, when = *next] {
    auto& awake = servers_[server];
    if (awake.incarnation != incarnation || awake.wakes_at != when) return;
    advance_server(server);
    schedule_wakeup(server);
  });
}

void Simulation::advance_server(std::uint32_t server) {
  auto& s = servers_[server];
  if (s.wakes_at <= queue_.now()) s.wakes_at = Time::max();
  for (const auto& done : s.model.advance(queue_.now()))
    finish(AttemptNumber(static_cast<std::uint64_t>(done.job)),
           done.served ? ServerAnswer::ok : ServerAnswer::full);
}

void Simulation::start_server(std::uint32_t server, bool cold) {
  auto& s = servers_[server];
  ++s.incarnation;
  s.wakes_at = Time::max(), s.connections = 0, s.errors = 0;
  auto random = random_.stream("start", mix_hash(server) + s.incarnation);
  const double share = cold ? random.in(scenario_.servers.cold_from) : 1;
  s.started = queue_.now();
  s.model.start(s.started, share, cold ? random.seconds_in(scenario_.servers.cold_s) : Duration{});
  s.listed.started = s.started;
  observe(ServerStarted{EndpointId(server), s.zone, s.cell});
  runtime_.reset_connections(server);
  runtime_.network_changed();
}

void Simulation::stop_server(std::uint32_t server, PriceServer::Phase as) {
  auto& s = servers_[server];
  advance_server(server);
  ++s.incarnation;
  s.wakes_at = Time::max();
  s.model.stop(as);
  if (as != PriceServer::Phase::unresponsive) {
    std::vector<AttemptNumber> lost;
    for (const auto& [number, a] : attempts_)
      if (a.server == server) lost.push_back(number);
    std::ranges::sort(lost);
    for (const auto n : lost) attempt_left(n);
    s.connections = 0;
    runtime_.reset_connections(server);
  }
  runtime_.network_changed();
}

// ---- Discovery ----------------------------------------------------------------------------------

// Discovery learns of a server's new phase after `noticed` and sends it to each node's agent with a
// further delay.
void Simulation::publish_entry(std::uint32_t server, EndpointPhase phase, Duration noticed,
                               std::optional<std::uint32_t> wrong_zone) {
  queue_.after(
      noticed, [this, server, phase, incarnation = servers_[server].incarnation, wrong_zone] {
        auto& s = servers_[server];
        if (phase == EndpointPhase::gone && s.incarnation != incarnation && s.model.is_reachable())
          return;  // it was started again
        s.listed.phase = phase, s.listed.zone = wrong_zone.value_or(s.zone);
        const auto revision = ++revision_;
        for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
          const Time when = std::max(
              nodes_[n].last_notified,
              queue_.now() + list_delay_ +
                  scaled(discovery_random_.seconds_in(scenario_.discovery.spread_ms), 1e-3));
          nodes_[n].last_notified = when;
          if (list_delay_ > Duration{}) effects_.record(FaultKind::list_late);
          queue_.at(when, [this, n, e = s.listed, revision] {
            nodes_[n].list.revision = revision;
            notify(n, {e});
          });
          if (list_delay_ > Duration{} || phase != EndpointPhase::ready)
            queue_.after(from_seconds(scenario_.discovery.told_s), [this, n, server, phase] {
              // Superseded by a later change: the server was started again, or is draining.
              const bool listed_ready = servers_[server].listed.phase == EndpointPhase::ready;
              if (listed_ready != (phase == EndpointPhase::ready)) return;
              const auto it = nodes_[n].list.entries.find(server);
              const bool knows = it == nodes_[n].list.entries.end() || it->second.phase == phase;
              if (!knows && nodes_[n].state != NodeState::down)
                observe(ServerAnnounced{n, EndpointId(server), phase, false});
            });
        }
      });
}

bool Simulation::talks_with_discovery(std::uint32_t node) const {
  return network_.connected(node_party(node), kDiscovery);
}

void Simulation::notify(std::uint32_t node, std::vector<Entry> changes) {
  auto& n = nodes_[node];
  if (!talks_with_discovery(node)) {
    n.undelivered.insert(n.undelivered.end(), changes.begin(), changes.end());
    return;
  }
  write_list(node, std::move(changes));
}

void Simulation::write_list(std::uint32_t node, std::vector<Entry> changes) {
  auto& n = nodes_[node];
  for (const auto& e : changes) {
    if (e.phase == EndpointPhase::gone)
      n.list.entries.erase(e.server);
    else
      n.list.entries.insert_or_assign(e.server, e);
    if (n.state != NodeState::down)
      observe(ServerAnnounced{node, EndpointId(e.server), e.phase, false});
  }
  runtime_.list_changed(node, changes, n.list.revision);
}

// ---- Counter and peers --------------------------------------------------------------------------

Duration Simulation::counter_delay(std::uint32_t node) {
  const auto& zones = scenario_.fleet.zones;
  const auto at = std::ranges::find(zones, scenario_.counter.zone) - zones.begin();
  return network_.one_way_delay(zone_of_node(node), static_cast<std::uint32_t>(at));
}

ConnectResult Simulation::counter_would_connect(std::uint32_t node) const {
  if (!network_.connected(node_party(node), kCounter))
    return network_.resets(node_party(node), kCounter) ? ConnectResult::refused
                                                       : ConnectResult::silent;
  if (counter_.mode() == Counter::Mode::silent) return ConnectResult::silent;
  return counter_.mode() == Counter::Mode::refusing ? ConnectResult::refused : ConnectResult::up;
}

void Simulation::call(std::uint32_t node, const Counter::Call& call,
                      std::function<void(const Counter::Answer&)> on_answer) {
  if (!network_.passes(node_party(node), kCounter)) {
    observe(CounterCalled{node, false, {}});
    return;
  }
  queue_.after(counter_delay(node), [this, node, call, on_answer = std::move(on_answer)] {
    const auto answer = counter_.call(queue_.now(), call);
    effects_.record(FaultKind::counter_slow);
    if (answer.kind == Counter::Answer::Kind::none) effects_.record(FaultKind::counter_silent);
    if (answer.kind == Counter::Answer::Kind::refused) effects_.record(FaultKind::counter_refusing);
    if (answer.kind == Counter::Answer::Kind::malformed) effects_.record(FaultKind::counter_spoilt);
    const bool is_answered = answer.kind != Counter::Answer::Kind::none;
    // A late answer counts as none: the caller has stopped waiting.
    const bool in_time = answer.at - queue_.now() <
                         from_seconds(scenario_.counter.timeout_ms / 1e3);
    observe(CounterCalled{node,
                          is_answered && in_time && answer.kind != Counter::Answer::Kind::refused,
                          answer.at - queue_.now()});
    if (!is_answered) return;
    queue_.at(answer.at + counter_delay(node), [this, node, answer, on_answer] {
      if (counter_.mode() == Counter::Mode::silent || !network_.passes(kCounter, node_party(node)))
        return;
      on_answer(answer);
    });
  });
}

void Simulation::datagram(std::uint32_t from, std::uint32_t to, std::string payload) {
  const auto bytes = static_cast<std::uint32_t>(payload.size());
  const bool passes = to < nodes_.size() && !peer_network_.too_long(bytes) &&
                      network_.passes(node_party(from), node_party(to));
  const auto arrivals = passes ? peer_network_.send(queue_.now()) : std::vector<Time>{};
  if (arrivals.empty()) observe(Datagram{from, to, bytes, false});
  for (const Time when : arrivals)
    queue_.at(when, [this, from, to, bytes, payload] {
      const bool received = nodes_[to].state != NodeState::down &&
                            peer_network_.receive(queue_.now(), to);
      observe(Datagram{from, to, bytes, received});
      if (received) runtime_.datagram(from, to, payload);
    });
}

// ---- Faults -------------------------------------------------------------------------------------

std::vector<std::uint32_t> Simulation::select(const Selector& s, std::size_t of,
                                              std::uint64_t number) const {
  std::vector<std::uint32_t> all(of);
  std::iota(all.begin(), all.end(), 0U);
  const auto zone_of = [&](std::uint32_t n) {
    return s.kind == Selector::Kind::nodes ? zone_of_node(n) : servers_[n].zone;
  };
  switch (s.pick) {
    case Selector::Pick::all: break;
    case Selector::Pick::range:
      std::erase_if(all, [&](auto n) { return n < s.first || n > s.last; });
      break;
    case Selector::Pick::zone:
      std::erase_if(all, [&](auto n) { return scenario_.fleet.zones[zone_of(n)] != s.zone; });
      break;
    case Selector::Pick::share: {
      auto random = random_.stream("fault", number);
      random.shuffle(all);
      all.resize(static_cast<std::size_t>(std::round(s.share * static_cast<double>(of))));
      std::ranges::sort(all);
    }
  }
  return all;
}

std::set<Party> Simulation::selected_parties(const std::vector<Selector>& selectors,
                                             std::uint64_t number) const {
  std::set<Party> found;
  for (const auto& s : selectors) switch (s.kind) {
      case Selector::Kind::nodes:
        for (const auto n : select(s, nodes_.size(), number)) found.insert(node_party(n));
        break;
      case Selector::Kind::servers:
        for (const auto n : select(s, servers_.size(), number)) found.insert(server_party(n));
        break;
      case Selector::Kind::counter: found.insert(kCounter); break;
      case Selector::Kind::discovery: found.insert(kDiscovery); break;
      case Selector::Kind::clients: found.insert(kClients); break;
    }
  return found;
}

std::vector<std::uint32_t> Simulation::selected(const Fault& f, Selector::Kind kind,
                                                std::uint64_t number) const {
  std::vector<std::uint32_t> found;
  for (const auto& s : f.who)
    if (s.kind == kind)
      for (const auto n :
           select(s, kind == Selector::Kind::nodes ? nodes_.size() : servers_.size(), number))
        found.push_back(n);
  return found;
}

void Simulation::schedule_fault(const Fault& f, std::uint64_t number) {
  queue_.at(began_at_ + from_seconds(f.at), [this, f, number] { inject_fault(f, number); });
}

void Simulation::replace(const std::vector<std::uint32_t>& servers, Duration over) {
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto wait = scaled(over, static_cast<double>(i) / static_cast<double>(servers.size()));
    queue_.after(wait, [this, server = servers[i]] {
      if (servers_[server].model.phase() != PriceServer::Phase::serving) return;
      const auto& t = scenario_.discovery;
      servers_[server].model.drain();
      publish_entry(server, EndpointPhase::draining, discovery_random_.seconds_in(t.notice_s));
      const auto fresh = add_server(servers_[server].zone, servers_[server].cell);
      runtime_.server_added(fresh);
      start_server(fresh, true);
      publish_entry(fresh, EndpointPhase::ready, discovery_random_.seconds_in(t.add_s));
      queue_.after(from_seconds(scenario_.servers.drain_s), [this, server] {
        stop_server(server, PriceServer::Phase::gone);
        publish_entry(server, EndpointPhase::gone,
                      discovery_random_.seconds_in(scenario_.discovery.notice_s));
      });
    });
  }
}

void Simulation::slow_server(std::uint32_t server, double factor) {
  advance_server(server);
  servers_[server].model.set_slowdown(factor);
  servers_[server].slowed = factor > 1;
  schedule_wakeup(server);
}

void Simulation::inject_fault(const Fault& f, std::uint64_t number) {
  const auto text = text_of(f);
  const auto lasts = from_seconds(f.duration_s);
  std::function<void()> undo;
  const auto nodes = selected(f, Selector::Kind::nodes, number);
  const auto servers = selected(f, Selector::Kind::servers, number);
  const auto spread = [&](std::size_t i) {
    return scaled(lasts, static_cast<double>(i) /
                             static_cast<double>(std::max<std::size_t>(nodes.size(), 1)));
  };
  const auto make_unresponsive = [&](const std::vector<std::uint32_t>& which) {
    for (const auto s : which) {
      if (servers_[s].model.phase() == PriceServer::Phase::serving) effects_.add(number);
      stop_server(s, PriceServer::Phase::unresponsive);
      publish_entry(s, EndpointPhase::gone,
                    discovery_random_.seconds_in(scenario_.discovery.silent_notice_s));
    }
    return [this, which] {
      for (const auto s : which) {
        start_server(s, true);
        publish_entry(s, EndpointPhase::ready,
                      discovery_random_.seconds_in(scenario_.discovery.add_s));
      }
    };
  };
  const auto disable_counter = [&](Counter::Mode mode) {
    counter_.set_mode(queue_.now(), mode);
    runtime_.network_changed();
    return [this, empty = f.empty] {
      if (empty) counter_.reset(queue_.now()), observe(CounterReset{});
      counter_.set_mode(queue_.now(), Counter::Mode::serving);
      runtime_.network_changed();
    };
  };
  observe(FaultStarted{text});
  effects_.begin(number);
  const auto up = static_cast<std::uint64_t>(
      std::ranges::count_if(nodes, [&](auto n) { return nodes_[n].state == NodeState::up; }));
  switch (f.kind) {
    case FaultKind::kill:
      for (const auto n : nodes) {
        if (nodes_[n].state == NodeState::down) continue;
        effects_.add(number);
        runtime_.kill_node(n);
        mark_down(n, false);
      }
      if (f.duration_s > 0)
        undo = [this, nodes] {
          for (const auto n : nodes)
            if (nodes_[n].state == NodeState::down) start_node(n);
        };
      break;
    case FaultKind::restart:
      for (std::size_t i = 0; i < nodes.size(); ++i)
        queue_.after(spread(i), [this, n = nodes[i], number] {
          if (nodes_[n].state == NodeState::up) effects_.add(number);
          stop_node(n);
        });
      break;
    case FaultKind::stall:
      effects_.add(number, up);
      for (const auto n : nodes) runtime_.stall_node(n, true);
      undo = [this, nodes] {
        for (const auto n : nodes) runtime_.stall_node(n, false);
      };
      break;
    case FaultKind::reload:
      effects_.add(number, up);
      for (const auto n : nodes) runtime_.reload_node(n, f);
      break;
    case FaultKind::upgrade:
      for (std::size_t i = 0; i < nodes.size(); ++i)
        queue_.after(spread(i), [this, n = nodes[i], number] {
          if (nodes_[n].state == NodeState::up) effects_.add(number);
          runtime_.upgrade_node(n);
        });
      break;
    case FaultKind::cut: {
      const auto cut = network_.partition({selected_parties(f.who, number),
                                           selected_parties(f.from, number), f.way != "in",
                                           f.way != "out", f.connects == "reset"});
      runtime_.network_changed();
      undo = [this, cut] {
        network_.heal(cut);
        runtime_.network_changed();
        for (std::uint32_t n = 0; n < nodes_.size(); ++n)
          if (!nodes_[n].undelivered.empty() && talks_with_discovery(n))
            write_list(n, std::exchange(nodes_[n].undelivered, {}));
      };
      break;
    }
    case FaultKind::counter_slow:
      counter_.set_slowdown(f.factor);
      undo = [this] { counter_.set_slowdown(1); };
      break;
    case FaultKind::counter_silent: undo = disable_counter(Counter::Mode::silent); break;
    case FaultKind::counter_refusing: undo = disable_counter(Counter::Mode::refusing); break;
    case FaultKind::counter_empty:
      effects_.add(number);
      counter_.reset(queue_.now());
      observe(CounterReset{});
      break;
    case FaultKind::counter_spoilt:
      counter_.set_malformed_share(f.share);
      undo = [this] { counter_.set_malformed_share(0); };
      break;
    case FaultKind::zone_lost: {
      Selector in_zone{Selector::Kind::servers, Selector::Pick::zone, 0, 0, 0, f.zone};
      auto restore_servers = make_unresponsive(select(in_zone, servers_.size(), number));
      std::function<void()> restore_counter;
      if (f.counter) restore_counter = disable_counter(Counter::Mode::silent);
      undo = [restore_servers, restore_counter] {
        restore_servers();
        if (restore_counter) restore_counter();
      };
      break;
    }
    case FaultKind::servers_gone: undo = make_unresponsive(servers); break;
    case FaultKind::servers_bad:
      for (const auto s : servers) servers_[s].errors = f.share;
      undo = [this, servers] {
        for (const auto s : servers) servers_[s].errors = 0;
      };
      break;
    case FaultKind::servers_slow:
      for (const auto s : servers) slow_server(s, f.factor);
      undo = [this, servers] {
        for (const auto s : servers) slow_server(s, 1);
      };
      break;
    case FaultKind::servers_replaced:
      effects_.add(number, servers.size());
      replace(servers, lasts);
      break;
    case FaultKind::answers_spoilt:
      truncated_share_ = f.share;
      undo = [this] { truncated_share_ = 0; };
      break;
    case FaultKind::burst:
      burst_factor_ = f.factor;
      undo = [this] { burst_factor_ = 1; };
      break;
    case FaultKind::list_late:
      list_delay_ = from_seconds(f.delay);
      undo = [this] { list_delay_ = {}; };
      break;
    case FaultKind::list_wrong_zone: {
      const auto zones = static_cast<std::uint32_t>(scenario_.fleet.zones.size());
      effects_.add(number, servers.size());
      for (const auto s : servers)
        publish_entry(s, EndpointPhase::ready, {}, (servers_[s].zone + 1) % zones);
      undo = [this, servers] {
        for (const auto s : servers)
          if (servers_[s].model.phase() == PriceServer::Phase::serving)
            publish_entry(s, EndpointPhase::ready, {});
      };
      break;
    }
    case FaultKind::peers_lossy:
      peer_network_.set_extra_loss(f.share);
      undo = [this] { peer_network_.set_extra_loss(0); };
      break;
  }
  if (f.duration_s <= 0) return effects_.end(number);
  queue_.after(lasts, [this, undo, text, number] {
    if (undo) undo();
    effects_.end(number);
    observe(FaultEnded{text});
  });
}

}  // namespace petrelrail::world

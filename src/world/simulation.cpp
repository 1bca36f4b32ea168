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

constexpr Duration kFrontStops = 200ms,
                   kFrontStopsMore = 200ms;  // after SIGTERM: PROTOCOL, "Figures"
constexpr Duration kQuickError = 1ms;        // in which a bad server fails
constexpr Duration kTurnAway = 200us;        // and in which one turns away
constexpr double kFullUse = 0.95;            // of its rate, by a customer that uses nearly all
constexpr double kBackoffSpread = 0.5;       // of a client's backoff, either way

constexpr std::array<std::pair<FaultKind, const char*>, 20> kFaults{{
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
  for (const auto& [k, name] : kFaults)
    if (k == kind) return name;
  return kWrongZone.second;
}

std::optional<FaultKind> fault_kind(const std::string& name) {
  for (const auto& [k, n] : kFaults)
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

Simulation::Simulation(const Scenario& scenario, std::uint64_t seed, EventQueue& agenda,
                       Runtime& carrier, std::function<void(Time, const Observation&)> watcher)
    : scenario_(scenario),
      dice_(mix_hash(seed)),
      agenda_(agenda),
      carrier_(carrier),
      watcher_(std::move(watcher)),
      plans_(plans_of(scenario)),
      network_(scenario.network, dice_.stream("network")),
      peer_network_(scenario.peers, scenario.fleet.nodes, dice_.stream("peers")),
      counter_(scenario.counter, dice_.stream("counter")),
      works_(dice_.stream("work")),
      clients_(dice_.stream("clients")),
      discovery_dice_(dice_.stream("discovery")),
      nodes_(scenario.fleet.nodes),
      effects_(scenario.faults) {
  make_servers();
  make_customers();
}

// ---- The parties --------------------------------------------------------------------------------

std::uint32_t Simulation::zone_of_node(std::uint32_t node) const {
  return node % static_cast<std::uint32_t>(scenario_.fleet.zones.size());
}

std::uint32_t Simulation::add_server(std::uint32_t zone, std::uint32_t cell) {
  const auto& t = scenario_.servers;
  const auto number = static_cast<std::uint32_t>(servers_.size());
  auto dice = dice_.stream("server", number);
  const auto slots = static_cast<std::uint32_t>(
      std::max(1.0, std::round(dice.in(t.slots_per_core) * t.cores)));
  const auto queue = static_cast<std::uint32_t>(std::round(dice.in(t.queue_per_core) * t.cores));
  const double speed = dice.in(t.speed);
  std::array<char, 16> id{};
  std::snprintf(id.data(), id.size(), "s-%08x",
                static_cast<unsigned>(mix_hash(dice_.seed() + number) >> 33U) | 1U);
  servers_.push_back({id.data(),
                      zone,
                      cell,
                      PriceServer(t, speed, slots, queue),
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
    servers_[n].model.start(agenda_.now(), 1, Duration{});
    see(ServerStarted{EndpointId(n), zone, servers_[n].cell});
    for (auto& node : nodes_) node.list.entries.emplace(n, servers_[n].listed);
  }
  revision_ = 1;
  for (auto& node : nodes_) node.list.revision = revision_;
}

// Customers of each plan until what they ask inside their quotas is the plan's share of the load.
void Simulation::make_customers() {
  const auto& t = scenario_.clients;
  double capacity = 0, shares = 0;
  for (const auto& s : servers_) capacity += s.model.full_capacity();
  for (const auto& p : t.plans) shares += p.share;
  const double wanted = t.load * capacity / (scenario_.servers.work_ms / 1e3);
  std::uint64_t number = 0;
  for (std::uint32_t plan = 0; plan < plans_.size(); ++plan) {
    const auto& terms = t.plans[plan];
    double inside = 0;
    while (inside < wanted * terms.share / shares) {
      Customer c{.dice = dice_.stream("customer", ++number)};
      c.id = CustomerId(mix_hash(dice_.seed() + number) >> 31U);
      c.plan = plan;
      const double kind = c.dice.uniform();
      double use = c.dice.in(t.calm_use);
      if (kind < t.full) {
        use = kFullUse;
      } else if (kind < t.full + t.heavy) {
        use = c.dice.in(t.heavy_x);
      } else if (kind < t.full + t.heavy + t.spiky) {
        c.spike = std::max(1.0, c.dice.in(t.spike_x) / use);
        c.spike_for = c.dice.seconds_in(t.spike_s);
        c.spike_every = std::max(c.dice.seconds_in(t.spike_every_s), c.spike_for);
        c.spike_phase = scaled(c.spike_every, c.dice.uniform());
      }
      c.rate = use * terms.rate;
      inside += std::min(use, 1.0) * terms.rate;
      const auto nodes = scenario_.fleet.nodes;
      double spread = c.dice.in(terms.spread) * nodes;
      const auto& p = plans_[plan];
      if (p.ceiling_burst > 0) spread = std::min(spread, p.ceiling_burst / 2);
      c.spread = std::clamp(static_cast<std::uint32_t>(std::round(spread)), std::min(2U, nodes),
                            nodes);
      c.first = static_cast<std::uint32_t>(c.dice.below(nodes));
      c.honours = c.dice.chance(t.honour);
      customers_.push_back(std::move(c));
    }
  }
}

// ---- Nodes --------------------------------------------------------------------------------------

void Simulation::begin(Duration patience) {
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) start(n);
  agenda_.after(patience, [this] { begin_clients(); });
}

void Simulation::start(std::uint32_t node) {
  nodes_[node].life = Life::starting;
  ++nodes_[node].lives;
  // The list that it starts with is told with its configuration: clients may reach it before it
  // says that it is ready.
  for (const auto& [number, e] : nodes_[node].list.entries)
    see(ServerAnnounced{node, EndpointId(number), e.phase, true});
  carrier_.start_node(node);
}

void Simulation::node_ready(std::uint32_t node) {
  auto& n = nodes_[node];
  if (n.life != Life::starting) return;
  n.life = Life::up, n.front_sees = true;
  see(NodeUp{node});
  if (!clients_began() &&
      std::ranges::all_of(nodes_, [](const Node& x) { return x.life == Life::up; }))
    begin_clients();
}

void Simulation::down(std::uint32_t node, bool crashed) {
  auto& n = nodes_[node];
  n.life = Life::down;
  see(NodeDown{node, crashed});
  if (!n.front_sees) return;
  agenda_.after(clients_.seconds_in(scenario_.clients.notice_s), [this, node, life = n.lives] {
    if (nodes_[node].lives == life) nodes_[node].front_sees = false;
  });
}

void Simulation::node_ended(std::uint32_t node) {
  auto& n = nodes_[node];
  if (n.life == Life::down) return;
  const bool planned = n.life == Life::ending;
  down(node, !planned);
  if (planned && n.comes_back) start(node);
}

void Simulation::planned_end(std::uint32_t node) {
  auto& n = nodes_[node];
  if (n.life != Life::up) return;
  n.life = Life::ending, n.comes_back = true;
  const auto life = n.lives;
  agenda_.after(kFrontStops + scaled(kFrontStopsMore, clients_.uniform()), [this, node, life] {
    if (nodes_[node].lives == life) nodes_[node].front_sees = false;
  });
  agenda_.after(from_seconds(scenario_.fleet.term_s), [this, node, life] {
    if (nodes_[node].lives != life || nodes_[node].life != Life::ending) return;
    carrier_.kill_node(node);
    node_ended(node);
  });
  carrier_.term_node(node);
}

// ---- Clients and their front --------------------------------------------------------------------

void Simulation::begin_clients() {
  if (clients_began()) return;
  began_at_ = agenda_.now();
  quiet_from_ = began_at_ + from_seconds(scenario_.fleet.seconds);
  counter_.set_mode(began_at_, Counter::Mode::serving);
  for (std::size_t i = 0; i < customers_.size(); ++i) next_arrival(i);
  for (std::size_t i = 0; i < scenario_.faults.size(); ++i) schedule(scenario_.faults[i], i);
}

bool Simulation::over() const {
  if (!clients_began() || agenda_.now() < quiet_from_) return false;
  return std::ranges::all_of(tries_, [](const auto& t) { return t.second.ended; });
}

Time Simulation::ends_at() const {
  return quiet_from_ +
         from_seconds((scenario_.clients.deadline_ms + scenario_.clients.patience_ms) / 1e3 + 0.1);
}

double Simulation::rate_now(const Customer& c, Time at) const {
  double rate = c.rate * burst_;
  if (c.spike > 1 && (at - began_at_ + c.spike_phase) % c.spike_every < c.spike_for)
    rate *= c.spike;
  return rate;
}

// Arrivals of a rate that changes, by thinning: drawn at the highest it can have, and kept in
// proportion.
void Simulation::next_arrival(std::size_t customer) {
  auto& c = customers_[customer];
  double most = std::max(c.spike, 1.0) * c.rate;
  double factor = 1;
  for (const auto& f : scenario_.faults)
    if (f.kind == FaultKind::burst) factor = std::max(factor, f.factor);
  most *= factor;
  const Time when = agenda_.now() + from_seconds(c.dice.exponential(1 / most));
  const double keep = c.dice.uniform();
  if (when >= quiet_from_) return;
  agenda_.at(when, [this, customer, keep, most] {
    if (keep * most < rate_now(customers_[customer], agenda_.now())) ask(customer, nullptr);
    next_arrival(customer);
  });
}

std::optional<std::uint32_t> Simulation::pick_node(Customer& c) {
  const auto nodes = scenario_.fleet.nodes;
  const auto period = (agenda_.now() - began_at_) /
                      from_seconds(std::max(scenario_.clients.shift_s, 0.1));
  if (c.shift != period) {
    c.shift = period;
    auto dice = dice_.stream(
        "weights", mix_hash(static_cast<std::uint64_t>(c.id)) + static_cast<std::uint64_t>(period));
    c.weights.resize(c.spread);
    for (auto& w : c.weights) w = dice.lognormal(1, scenario_.clients.skew);
  }
  double all = 0;
  for (std::uint32_t i = 0; i < c.spread; ++i)
    if (takes_requests((c.first + i) % nodes)) all += c.weights[i];
  if (all <= 0) return std::nullopt;
  double at = clients_.uniform() * all;
  std::optional<std::uint32_t> last;
  for (std::uint32_t i = 0; i < c.spread; ++i) {
    const auto n = (c.first + i) % nodes;
    if (!takes_requests(n)) continue;
    last = n;
    if ((at -= c.weights[i]) < 0) break;
  }
  return last;
}

// Clients may send on what a node leaves open after SIGTERM, until it is killed.
bool Simulation::takes_requests(std::uint32_t node) const {
  if (nodes_[node].front_sees) return true;
  return scenario_.clients.reuses_draining_connections && nodes_[node].life == Life::ending &&
         carrier_.has_idle_connection(node);
}

std::uint32_t Simulation::pick_plan(const Customer& c, ClientAttemptId id) const {
  const double share = scenario_.clients.plan_switch_share;
  if (share <= 0) return c.plan;
  auto dice = dice_.stream("turn", static_cast<std::uint64_t>(id));
  if (!dice.chance(share)) return c.plan;
  return static_cast<std::uint32_t>(dice.below(plans_.size()));
}

void Simulation::ask(std::size_t customer, const ClientAttempt* before) {
  auto& c = customers_[customer];
  const auto& terms = scenario_.clients;
  const Time now = agenda_.now();
  ClientAttempt t;
  t.id = ClientAttemptId(mix_hash(dice_.seed() ^ mix_hash(++last_try_)));
  t.customer = c.id, t.asker = customer, t.plan = pick_plan(c, t.id), t.first = c.first,
  t.spread = c.spread, t.sent = now;
  if (before != nullptr) {
    t.root = before->root, t.number = before->number + 1, t.asked = before->asked,
    t.last = before->last;
  } else {
    t.root = t.id, t.asked = now, t.last = now + from_seconds(terms.deadline_ms / 1e3);
  }
  t.deadline = t.number < terms.retries ? now + scaled(t.last - now, terms.try_share) : t.last;
  const auto node = pick_node(c);
  t.node = node.value_or(c.first);
  tries_.emplace(t.id, OpenTry{t});
  if (before == nullptr) effects_.record(FaultKind::burst);
  see(ClientAttemptSent{t.id, t.node, t.customer, t.plan, t.units, t.spread, t.deadline, t.root,
                        t.asked});
  agenda_.at(t.deadline, [this, id = t.id] { time_up(id); });
  if (terms.early_disconnect_share > 0) {
    auto dice = dice_.stream("leave", static_cast<std::uint64_t>(t.id));
    if (dice.chance(terms.early_disconnect_share))
      agenda_.at(now + scaled(t.deadline - now, dice.uniform()), [this, id = t.id] { leave(id); });
  }
  if (!node || !network_.passes(kClients, node_party(t.node))) {
    if (!node || network_.resets(kClients, node_party(t.node)))
      agenda_.after(2 * client_way(), [this, id = t.id] { unreachable(id); });
    return;
  }
  carrier_.submit(t);
}

const ClientAttempt* Simulation::find(ClientAttemptId id) const {
  const auto it = tries_.find(id);
  return it == tries_.end() ? nullptr : &it->second.t;
}

const ClientAttempt* Simulation::find_waiting(ClientAttemptId id) const {
  const auto it = tries_.find(id);
  return it == tries_.end() || it->second.ended ? nullptr : &it->second.t;
}

// The client closes its connection before its time is over, and asks no more.
void Simulation::leave(ClientAttemptId id) {
  const auto it = tries_.find(id);
  if (it == tries_.end() || it->second.ended) return;
  it->second.ended = true;
  see(ClientAttemptAbandoned{id, true});
  carrier_.leave(id);
}

// The client's wait for this try is over: it may try again, but looks on for an answer for its
// patience.
void Simulation::time_up(ClientAttemptId id) {
  const auto it = tries_.find(id);
  if (it == tries_.end()) return;
  if (!it->second.ended || it->second.swallowed) retry(it->second, {});
  agenda_.after(from_seconds(scenario_.clients.patience_ms / 1e3), [this, id] {
    const auto open = tries_.find(id);
    if (open == tries_.end()) return;
    if (!open->second.ended) {
      see(ClientAttemptAbandoned{id, false});
      carrier_.leave(id);
    }
    tries_.erase(open);
  });
}

void Simulation::retry(OpenTry& o, Duration advice) {
  const auto& terms = scenario_.clients;
  if (std::exchange(o.retried, true) || o.t.number >= terms.retries) return;
  double ms = std::min(terms.backoff_ms.min * std::exp2(o.t.number), terms.backoff_ms.max);
  ms *= clients_.between(1 - kBackoffSpread, 1 + kBackoffSpread);
  if (customers_[o.t.asker].honours && advice > Duration{})
    ms = std::max(ms, std::min(seconds(advice) * 1e3, terms.most_retry_after_ms));
  const Time when = agenda_.now() + from_seconds(ms / 1e3);
  if (when >= o.t.last) return;
  agenda_.at(when, [this, before = o.t] { ask(before.asker, &before); });
}

void Simulation::taken(ClientAttemptId id) { see(ClientAttemptReceived{id}); }

// One that is cut off from the client on its way says nothing, and is no fault of the node's.
void Simulation::answered(ClientAttemptId id, Verdict verdict, Duration retry_after, bool genuine) {
  const auto it = tries_.find(id);
  if (it != tries_.end() && !it->second.ended &&
      !network_.passes(node_party(it->second.t.node), kClients)) {
    it->second.ended = it->second.swallowed = true;
    return see(ClientAttemptUnreachable{id});
  }
  see(ClientAttemptAnswered{id, verdict, genuine});
  if (it == tries_.end() || std::exchange(it->second.ended, true)) return;
  if (verdict != Verdict::served) retry(it->second, retry_after);
}

void Simulation::broken(ClientAttemptId id, bool first_on_connection) {
  const auto it = tries_.find(id);
  if (it == tries_.end() || std::exchange(it->second.ended, true)) return;
  see(ClientAttemptBroken{id, first_on_connection});
  retry(it->second, {});
}

void Simulation::unreachable(ClientAttemptId id) {
  const auto it = tries_.find(id);
  if (it == tries_.end() || std::exchange(it->second.ended, true)) return;
  see(ClientAttemptUnreachable{id});
  retry(it->second, {});
}

// ---- Price servers ------------------------------------------------------------------------------

Duration Simulation::way(std::uint32_t node, std::uint32_t server) {
  return network_.one_way_delay(zone_of_node(node), servers_.at(server).zone);
}

Duration Simulation::handshake(std::uint32_t node, std::uint32_t server) {
  return scaled(2 * way(node, server), scenario_.servers.handshake_trips) +
         from_seconds(scenario_.servers.handshake_ms / 1e3);
}

Connect Simulation::would_connect(std::uint32_t node, std::uint32_t server) const {
  const auto& s = servers_.at(server);
  if (!network_.connected(node_party(node), server_party(server)))
    return network_.resets(node_party(node), server_party(server)) ? Connect::refused
                                                                   : Connect::silent;
  if (s.model.phase() == PriceServer::Phase::unresponsive) return Connect::silent;
  return s.model.is_reachable() && s.connections < s.model.max_connections() ? Connect::up
                                                                             : Connect::refused;
}

Connect Simulation::connect(std::uint32_t node, std::uint32_t server) {
  auto& s = servers_.at(server);
  const auto met = would_connect(node, server);
  see(Handshake{node, EndpointId(server), met == Connect::up});
  if (met == Connect::up) s.model.set_connections(++s.connections);
  return met;
}

void Simulation::closed(std::uint32_t, std::uint32_t server) {
  auto& s = servers_.at(server);
  if (s.connections > 0) s.model.set_connections(--s.connections);
}

AttemptNumber Simulation::attempt(std::uint32_t node, std::uint32_t server, ClientAttemptId id,
                                  Time first_byte) {
  auto& s = servers_.at(server);
  const Time now = agenda_.now();
  if (!network_.passes(node_party(node), server_party(server)) || !s.model.is_reachable())
    return AttemptNumber::none;
  run_server(server);
  const auto number = AttemptNumber(++last_attempt_);
  const auto* t = find(id);
  const auto root = static_cast<std::uint64_t>(t != nullptr ? t->root : id);
  const auto& terms = scenario_.servers;
  auto dice = works_.stream("request", root);
  const double work = dice.lognormal(terms.work_ms / 1e3, terms.work_cv) *
                      works_.stream("attempt", root + last_attempt_)
                          .lognormal(1, terms.attempt_noise);
  see(AttemptArrived{id, node, EndpointId(server), first_byte, last_attempt_, work,
                     zone_of_node(node) != s.zone});
  attempts_.emplace(number, Attempt{node, server, id, JobId(last_attempt_)});
  if (s.slowed) effects_.record(FaultKind::servers_slow);
  const auto entry = nodes_[node].list.entries.find(server);
  const bool told = entry != nodes_[node].list.entries.end() && entry->second.started == s.started;
  if (s.model.record_load(now, work, told)) {
    see(ServerOverloadedCold{EndpointId(server), s.model.informed_share()});
    lose_server(server, PriceServer::Phase::crashed);
    list(server, EndpointPhase::gone, discovery_dice_.seconds_in(scenario_.discovery.notice_s));
    return AttemptNumber::none;
  }
  if (auto failing = works_.stream("error", last_attempt_);
      failing.chance(std::max(s.errors, terms.error_rate))) {
    if (s.errors > 0) effects_.record(FaultKind::servers_bad);
    agenda_.after(kQuickError, [this, number] { finish(number, ServerAnswer::error); });
  } else if (!s.model.accept(now, JobId(last_attempt_), work,
                             t != nullptr ? t->deadline : Time::max())) {
    agenda_.after(kTurnAway, [this, number] { finish(number, ServerAnswer::full); });
  }
  wake(server);
  return number;
}

// The server works on: it does not see that nobody waits any more (`cancel` of the site is "none").
void Simulation::attempt_left(AttemptNumber number) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  see(AttemptCompleted{it->second.id, static_cast<std::uint64_t>(number), false});
  attempts_.erase(it);
}

void Simulation::finish(AttemptNumber number, ServerAnswer answer) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  const auto a = it->second;
  if (answer == ServerAnswer::ok && spoilt_ > 0 &&
      works_.stream("spoilt", static_cast<std::uint64_t>(number)).chance(spoilt_)) {
    answer = ServerAnswer::spoilt;
    effects_.record(FaultKind::answers_spoilt);
  }
  attempts_.erase(it);
  see(AttemptCompleted{a.id, static_cast<std::uint64_t>(number), answer == ServerAnswer::full});
  if (network_.passes(server_party(a.server), node_party(a.node))) carrier_.answer(number, answer);
}

void Simulation::wake(std::uint32_t server) {
  auto& s = servers_[server];
  const auto next = s.model.next_event_time();
  if (!next || *next >= s.wakes_at) return;
  s.wakes_at = *next;
  agenda_.at(*next, [this, server, life = s.life, when = *next] {
    auto& awake = servers_[server];
    if (awake.life != life || awake.wakes_at != when) return;
    run_server(server);
    wake(server);
  });
}

void Simulation::run_server(std::uint32_t server) {
  auto& s = servers_[server];
  if (s.wakes_at <= agenda_.now()) s.wakes_at = Time::max();
  for (const auto& done : s.model.advance(agenda_.now()))
    finish(AttemptNumber(static_cast<std::uint64_t>(done.job)),
           done.served ? ServerAnswer::ok : ServerAnswer::full);
}

void Simulation::start_server(std::uint32_t server, bool cold) {
  auto& s = servers_[server];
  ++s.life;
  s.wakes_at = Time::max(), s.connections = 0, s.errors = 0;
  auto dice = dice_.stream("start", mix_hash(server) + s.life);
  const double share = cold ? dice.in(scenario_.servers.cold_from) : 1;
  s.started = agenda_.now();
  s.model.start(s.started, share, cold ? dice.seconds_in(scenario_.servers.cold_s) : Duration{});
  s.listed.started = s.started;
  see(ServerStarted{EndpointId(server), s.zone, s.cell});
  carrier_.reset_connections(server);
  carrier_.network_changed();
}

void Simulation::lose_server(std::uint32_t server, PriceServer::Phase as) {
  auto& s = servers_[server];
  run_server(server);
  ++s.life;
  s.wakes_at = Time::max();
  s.model.stop(as);
  if (as != PriceServer::Phase::unresponsive) {
    std::vector<AttemptNumber> lost;
    for (const auto& [number, a] : attempts_)
      if (a.server == server) lost.push_back(number);
    std::ranges::sort(lost);
    for (const auto n : lost) attempt_left(n);
    s.connections = 0;
    carrier_.reset_connections(server);
  }
  carrier_.network_changed();
}

// ---- Discovery ----------------------------------------------------------------------------------

// What has become of a server is known to discovery after `noticed`, and written to each node's
// agent a while later.
void Simulation::list(std::uint32_t server, EndpointPhase phase, Duration noticed,
                      std::optional<std::uint32_t> wrong_zone) {
  agenda_.after(noticed, [this, server, phase, life = servers_[server].life, wrong_zone] {
    auto& s = servers_[server];
    if (phase == EndpointPhase::gone && s.life != life && s.model.is_reachable())
      return;  // it is back
    s.listed.phase = phase, s.listed.zone = wrong_zone.value_or(s.zone);
    const auto revision = ++revision_;
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
      const Time when = std::max(
          nodes_[n].told_at,
          agenda_.now() + list_late_ +
              scaled(discovery_dice_.seconds_in(scenario_.discovery.spread_ms), 1e-3));
      nodes_[n].told_at = when;
      if (list_late_ > Duration{}) effects_.record(FaultKind::list_late);
      agenda_.at(when, [this, n, e = s.listed, revision] {
        nodes_[n].list.revision = revision;
        tell(n, {e});
      });
      if (list_late_ > Duration{} || phase != EndpointPhase::ready)
        agenda_.after(from_seconds(scenario_.discovery.told_s), [this, n, server, phase] {
          // Later news have taken its place: the server came back, or drains by now.
          const bool listed_ready = servers_[server].listed.phase == EndpointPhase::ready;
          if (listed_ready != (phase == EndpointPhase::ready)) return;
          const auto it = nodes_[n].list.entries.find(server);
          const bool knows = it == nodes_[n].list.entries.end() || it->second.phase == phase;
          if (!knows && nodes_[n].life != Life::down)
            see(ServerAnnounced{n, EndpointId(server), phase, false});
        });
    }
  });
}

bool Simulation::talks_with_discovery(std::uint32_t node) const {
  return network_.connected(node_party(node), kDiscovery);
}

void Simulation::tell(std::uint32_t node, std::vector<Entry> changes) {
  auto& n = nodes_[node];
  if (!talks_with_discovery(node)) {
    n.held_back.insert(n.held_back.end(), changes.begin(), changes.end());
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
    if (n.life != Life::down) see(ServerAnnounced{node, EndpointId(e.server), e.phase, false});
  }
  carrier_.list_changed(node, changes, n.list.revision);
}

// ---- Counter and peers --------------------------------------------------------------------------

Duration Simulation::counter_way(std::uint32_t node) {
  const auto& zones = scenario_.fleet.zones;
  const auto at = std::ranges::find(zones, scenario_.counter.zone) - zones.begin();
  return network_.one_way_delay(zone_of_node(node), static_cast<std::uint32_t>(at));
}

Connect Simulation::counter_would_connect(std::uint32_t node) const {
  if (!network_.connected(node_party(node), kCounter))
    return network_.resets(node_party(node), kCounter) ? Connect::refused : Connect::silent;
  if (counter_.mode() == Counter::Mode::silent) return Connect::silent;
  return counter_.mode() == Counter::Mode::refusing ? Connect::refused : Connect::up;
}

void Simulation::call(std::uint32_t node, const Counter::Call& call,
                      std::function<void(const Counter::Answer&)> told) {
  if (!network_.passes(node_party(node), kCounter)) {
    see(CounterCalled{node, false, {}});
    return;
  }
  agenda_.after(counter_way(node), [this, node, call, told = std::move(told)] {
    const auto answer = counter_.call(agenda_.now(), call);
    effects_.record(FaultKind::counter_slow);
    if (answer.kind == Counter::Answer::Kind::none) effects_.record(FaultKind::counter_silent);
    if (answer.kind == Counter::Answer::Kind::refused) effects_.record(FaultKind::counter_refusing);
    if (answer.kind == Counter::Answer::Kind::malformed) effects_.record(FaultKind::counter_spoilt);
    const bool comes = answer.kind != Counter::Answer::Kind::none;
    // One that is late counts as mute: its caller no longer waits.
    const bool in_time = answer.at - agenda_.now() <
                         from_seconds(scenario_.counter.timeout_ms / 1e3);
    see(CounterCalled{node, comes && in_time && answer.kind != Counter::Answer::Kind::refused,
                      answer.at - agenda_.now()});
    if (!comes) return;
    agenda_.at(answer.at + counter_way(node), [this, node, answer, told] {
      if (counter_.mode() == Counter::Mode::silent || !network_.passes(kCounter, node_party(node)))
        return;
      told(answer);
    });
  });
}

void Simulation::datagram(std::uint32_t from, std::uint32_t to, std::string payload) {
  const auto bytes = static_cast<std::uint32_t>(payload.size());
  const bool passes = to < nodes_.size() && !peer_network_.too_long(bytes) &&
                      network_.passes(node_party(from), node_party(to));
  const auto arrivals = passes ? peer_network_.send(agenda_.now()) : std::vector<Time>{};
  if (arrivals.empty()) see(Datagram{from, to, bytes, false});
  for (const Time when : arrivals)
    agenda_.at(when, [this, from, to, bytes, payload] {
      const bool taken = nodes_[to].life != Life::down && peer_network_.receive(agenda_.now(), to);
      see(Datagram{from, to, bytes, taken});
      if (taken) carrier_.datagram(from, to, payload);
    });
}

// ---- What goes wrong ----------------------------------------------------------------------------

std::vector<std::uint32_t> Simulation::pick(const Selector& s, std::size_t of,
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
      auto dice = dice_.stream("fault", number);
      dice.shuffle(all);
      all.resize(static_cast<std::size_t>(std::round(s.share * static_cast<double>(of))));
      std::ranges::sort(all);
    }
  }
  return all;
}

std::set<Party> Simulation::parties(const std::vector<Selector>& selectors,
                                    std::uint64_t number) const {
  std::set<Party> found;
  for (const auto& s : selectors) switch (s.kind) {
      case Selector::Kind::nodes:
        for (const auto n : pick(s, nodes_.size(), number)) found.insert(node_party(n));
        break;
      case Selector::Kind::servers:
        for (const auto n : pick(s, servers_.size(), number)) found.insert(server_party(n));
        break;
      case Selector::Kind::counter: found.insert(kCounter); break;
      case Selector::Kind::discovery: found.insert(kDiscovery); break;
      case Selector::Kind::clients: found.insert(kClients); break;
    }
  return found;
}

std::vector<std::uint32_t> Simulation::chosen(const Fault& f, Selector::Kind kind,
                                              std::uint64_t number) const {
  std::vector<std::uint32_t> found;
  for (const auto& s : f.who)
    if (s.kind == kind)
      for (const auto n :
           pick(s, kind == Selector::Kind::nodes ? nodes_.size() : servers_.size(), number))
        found.push_back(n);
  return found;
}

void Simulation::schedule(const Fault& f, std::uint64_t number) {
  agenda_.at(began_at_ + from_seconds(f.at), [this, f, number] { strike(f, number); });
}

void Simulation::replace(const std::vector<std::uint32_t>& servers, Duration over) {
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto wait = scaled(over, static_cast<double>(i) / static_cast<double>(servers.size()));
    agenda_.after(wait, [this, server = servers[i]] {
      if (servers_[server].model.phase() != PriceServer::Phase::serving) return;
      const auto& t = scenario_.discovery;
      servers_[server].model.drain();
      list(server, EndpointPhase::draining, discovery_dice_.seconds_in(t.notice_s));
      const auto fresh = add_server(servers_[server].zone, servers_[server].cell);
      carrier_.server_added(fresh);
      start_server(fresh, true);
      list(fresh, EndpointPhase::ready, discovery_dice_.seconds_in(t.add_s));
      agenda_.after(from_seconds(scenario_.servers.drain_s), [this, server] {
        lose_server(server, PriceServer::Phase::gone);
        list(server, EndpointPhase::gone, discovery_dice_.seconds_in(scenario_.discovery.notice_s));
      });
    });
  }
}

void Simulation::slow_server(std::uint32_t server, double factor) {
  run_server(server);
  servers_[server].model.set_slowdown(factor);
  servers_[server].slowed = factor > 1;
  wake(server);
}

void Simulation::strike(const Fault& f, std::uint64_t number) {
  const auto text = text_of(f);
  const auto lasts = from_seconds(f.duration_s);
  std::function<void()> undo;
  const auto nodes = chosen(f, Selector::Kind::nodes, number);
  const auto servers = chosen(f, Selector::Kind::servers, number);
  const auto spread = [&](std::size_t i) {
    return scaled(lasts, static_cast<double>(i) /
                             static_cast<double>(std::max<std::size_t>(nodes.size(), 1)));
  };
  const auto vanish = [&](const std::vector<std::uint32_t>& which) {
    for (const auto s : which) {
      if (servers_[s].model.phase() == PriceServer::Phase::serving) effects_.add(number);
      lose_server(s, PriceServer::Phase::unresponsive);
      list(s, EndpointPhase::gone, discovery_dice_.seconds_in(scenario_.discovery.silent_notice_s));
    }
    return [this, which] {
      for (const auto s : which) {
        start_server(s, true);
        list(s, EndpointPhase::ready, discovery_dice_.seconds_in(scenario_.discovery.add_s));
      }
    };
  };
  const auto silence = [&](Counter::Mode mode) {
    counter_.set_mode(agenda_.now(), mode);
    carrier_.network_changed();
    return [this, empty = f.empty] {
      if (empty) counter_.reset(agenda_.now()), see(CounterReset{});
      counter_.set_mode(agenda_.now(), Counter::Mode::serving);
      carrier_.network_changed();
    };
  };
  see(FaultStarted{text});
  effects_.begin(number);
  const auto up = static_cast<std::uint64_t>(
      std::ranges::count_if(nodes, [&](auto n) { return nodes_[n].life == Life::up; }));
  switch (f.kind) {
    case FaultKind::kill:
      for (const auto n : nodes) {
        if (nodes_[n].life == Life::down) continue;
        effects_.add(number);
        carrier_.kill_node(n);
        down(n, false);
      }
      if (f.duration_s > 0)
        undo = [this, nodes] {
          for (const auto n : nodes)
            if (nodes_[n].life == Life::down) start(n);
        };
      break;
    case FaultKind::restart:
      for (std::size_t i = 0; i < nodes.size(); ++i)
        agenda_.after(spread(i), [this, n = nodes[i], number] {
          if (nodes_[n].life == Life::up) effects_.add(number);
          planned_end(n);
        });
      break;
    case FaultKind::stall:
      effects_.add(number, up);
      for (const auto n : nodes) carrier_.stall_node(n, true);
      undo = [this, nodes] {
        for (const auto n : nodes) carrier_.stall_node(n, false);
      };
      break;
    case FaultKind::reload:
      effects_.add(number, up);
      for (const auto n : nodes) carrier_.reload_node(n, f);
      break;
    case FaultKind::upgrade:
      for (std::size_t i = 0; i < nodes.size(); ++i)
        agenda_.after(spread(i), [this, n = nodes[i], number] {
          if (nodes_[n].life == Life::up) effects_.add(number);
          carrier_.upgrade_node(n);
        });
      break;
    case FaultKind::cut: {
      const auto cut = network_.partition({parties(f.who, number), parties(f.from, number),
                                           f.way != "in", f.way != "out", f.connects == "reset"});
      carrier_.network_changed();
      undo = [this, cut] {
        network_.heal(cut);
        carrier_.network_changed();
        for (std::uint32_t n = 0; n < nodes_.size(); ++n)
          if (!nodes_[n].held_back.empty() && talks_with_discovery(n))
            write_list(n, std::exchange(nodes_[n].held_back, {}));
      };
      break;
    }
    case FaultKind::counter_slow:
      counter_.set_slowdown(f.factor);
      undo = [this] { counter_.set_slowdown(1); };
      break;
    case FaultKind::counter_silent: undo = silence(Counter::Mode::silent); break;
    case FaultKind::counter_refusing: undo = silence(Counter::Mode::refusing); break;
    case FaultKind::counter_empty:
      effects_.add(number);
      counter_.reset(agenda_.now());
      see(CounterReset{});
      break;
    case FaultKind::counter_spoilt:
      counter_.set_malformed_share(f.share);
      undo = [this] { counter_.set_malformed_share(0); };
      break;
    case FaultKind::zone_lost: {
      Selector in_zone{Selector::Kind::servers, Selector::Pick::zone, 0, 0, 0, f.zone};
      auto back = vanish(pick(in_zone, servers_.size(), number));
      std::function<void()> counter_back;
      if (f.counter) counter_back = silence(Counter::Mode::silent);
      undo = [back, counter_back] {
        back();
        if (counter_back) counter_back();
      };
      break;
    }
    case FaultKind::servers_gone: undo = vanish(servers); break;
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
      spoilt_ = f.share;
      undo = [this] { spoilt_ = 0; };
      break;
    case FaultKind::burst:
      burst_ = f.factor;
      undo = [this] { burst_ = 1; };
      break;
    case FaultKind::list_late:
      list_late_ = from_seconds(f.delay);
      undo = [this] { list_late_ = {}; };
      break;
    case FaultKind::list_wrong_zone: {
      const auto zones = static_cast<std::uint32_t>(scenario_.fleet.zones.size());
      effects_.add(number, servers.size());
      for (const auto s : servers)
        list(s, EndpointPhase::ready, {}, (servers_[s].zone + 1) % zones);
      undo = [this, servers] {
        for (const auto s : servers)
          if (servers_[s].model.phase() == PriceServer::Phase::serving)
            list(s, EndpointPhase::ready, {});
      };
      break;
    }
    case FaultKind::peers_lossy:
      peer_network_.set_extra_loss(f.share);
      undo = [this] { peer_network_.set_extra_loss(0); };
      break;
  }
  if (f.duration_s <= 0) return effects_.end(number);
  agenda_.after(lasts, [this, undo, text, number] {
    if (undo) undo();
    effects_.end(number);
    see(FaultEnded{text});
  });
}

}  // namespace petrelrail::world

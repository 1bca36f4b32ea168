#include "node.hpp"

#include <algorithm>

#include "facts.hpp"

namespace petrelrail {
namespace {

// What is kept for the node's own is the most it can need, and is kept whole while a part of the limit is left beside
// it: of a smaller limit the node does with less, as it seldom needs that.
std::size_t for_peers(const NodeConfig& c) {
  const auto own = facts::kOwnDescriptors + facts::kCounterLinks + (c.peers ? 1 : 0);
  const auto least = std::max<std::size_t>(
      1, static_cast<std::size_t>(facts::kPeersLeast * static_cast<double>(c.descriptors)));
  return std::max(c.descriptors - std::min(own, c.descriptors), least);
}
std::size_t for_clients(const NodeConfig& c) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(facts::kClientShare * static_cast<double>(for_peers(c))));
}
std::size_t for_servers(const NodeConfig& c) { return for_peers(c) - for_clients(c); }

}  // namespace

Node::Node(asio::io_context& io, NodeConfig config)
    : io_(io),
      config_(std::move(config)),
      timers_(io, clock_),
      upstream_(io, timers_, config_.named.settings.connect_timeout, config_.keep_alive, for_servers(config_),
                *this),
      gateway_(config_.named.settings, config_.seed, &upstream_),
      discovery_(
          io, timers_, config_.discovery, config_.discovery_host, config_.named.names.zones,
          [this](ListKind kind, const auto& entries) { list_changed(kind, entries); },
          config_.named.settings.drain_grace),
      clients_(io, timers_, std::make_shared<const Settings>(config_.named.settings), for_clients(config_),
               *this),
      control_(io, timers_, *this),
      handover_(io, timers_, config_.handover, *this) {
  for (const auto& c : config_.named.settings.classes) metrics_.replies(c.name);
  if (config_.counter && config_.named.settings.counter) counter_ = new_counter();
  if (config_.peers)
    peers_ = std::make_unique<Peers>(io_, timers_, *config_.peers, config_.seed,
                                     static_cast<Peers::Owner&>(*this));
  if (config_.together) {
    settings_ = std::make_shared<const Settings>(config_.named.settings);
    together_ = std::make_unique<Together>(timers_, *config_.together, config_.seed,
                                           static_cast<Together::Host&>(*this));
  }
}

std::unique_ptr<Counter> Node::new_counter() {
  return std::make_unique<Counter>(
      io_, timers_, *config_.counter, config_.named.settings.counter_timeout,
      [this](const CountAnswer& a) { happened(a); }, [this] { happened(CounterHeard{}); }, config_.seed);
}

void Node::start(std::function<void()> replaced) {
  replaced_ = std::move(replaced);
  discovery_.start(config_.known);
  listen_for_operators();
  if (handover_.seek()) return;
  try {
    serve();
  } catch (const boost::system::system_error& x) {
    if (!is_system_shortage(x.code())) throw;
    log::warning("node", "no socket to listen with: tried again", {{"why", x.code().message()}});
    timers_.after(facts::kAcceptPause, [this] { serve_in_any_case(); });
  }
}

// A machine that is short of sockets for a moment is no reason to end.
void Node::listen_for_operators() {
  if (!config_.control) return;
  try {
    control_.listen(*config_.control);
  } catch (const boost::system::system_error& x) {
    if (!is_system_shortage(x.code())) throw;
    timers_.after(facts::kAcceptPause, [this] { listen_for_operators(); });
  }
}

// ---- From one process to the next -----------------------------------------------------------------------------

void Node::serve() {
  if (inherited_) {
    clients_.adopt(inherited_.release());
  } else {
    clients_.listen(config_.listen);
  }
  serves_ = true;
  handover_.offer();
  join(nullptr);
}

// Without its own address among the nodes a process serves all the same; it only knows of nobody.
void Node::join(const nlohmann::json* predecessor) {
  if (!peers_ || peers_->started()) return;
  const auto part = [&](const char* name) {
    const auto* j = predecessor != nullptr && predecessor->contains(name) ? &predecessor->at(name) : nullptr;
    return j;
  };
  try {
    const auto* member = part("member");
    peers_->start(member != nullptr ? std::optional(self_of(*member, peers_->self())) : std::nullopt);
    if (together_) together_->start(part("together"));
  } catch (const boost::system::system_error& x) {
    log::warning("members", "field 'peer_listen': " + x.code().message());
  }
}

// With what was handed over, if anything; a predecessor that hands nothing over may hold the address yet.
void Node::serve_in_any_case() {
  try {
    serve();
  } catch (const std::exception& x) {
    log::warning("node", std::string("field 'listen': ") + x.what());
    timers_.after(facts::kLongestBackoff, [this] { serve_in_any_case(); });
  }
}

void Node::listener_came(Descriptor socket) {
  inherited_ = std::move(socket);
  ask_when_ready();
}

// One that was told to end takes nothing over: what the predecessor holds would end with it.
void Node::ask_when_ready() {
  if (serves_ || drained_) return;
  if (ready()) return handover_.ask_state();
  timers_.after(facts::kAcceptPause, [this] { ask_when_ready(); });
}

nlohmann::json Node::leave_state() {
  const auto s = gateway_.hand_over(timers_.now());
  auto state = to_json(s);
  state["left_out"] = nlohmann::json::array();
  for (const auto id : s.left_out) state["left_out"].push_back(discovery_.name_of(id));
  state["cold"] = nlohmann::json::array();
  for (const auto& [id, since] : s.cold)
    state["cold"].push_back({discovery_.name_of(id), since.time_since_epoch().count()});
  succeeded_ = true;
  clients_.retire();
  upstream_.keep(false);
  if (peers_) {
    state["member"] = to_json(peers_->self());
    if (together_) state["together"] = together_->leave();
    peers_->stop();
  }
  state["sessions"] = clients_.size(), state["connections"] = upstream_.size();
  log::info("handover", "a successor takes over");
  return state;
}

void Node::state_came(const nlohmann::json& state) {
  if (serves_) return;
  auto s = std::make_shared<Succession>(succession_of(state));
  for (const auto& e : state.at("cold"))
    s->cold.emplace_back(discovery_.number_of(e.at(0)), Time(Duration(e.at(1).get<Duration::rep>())));
  for (const auto& name : state.at("left_out")) {
    const auto id = discovery_.number_of(name);
    s->left_out.push_back(id);
    upstream_.bar(id, true);
  }
  happened(TakeOver{std::move(s)});
  limit_descriptors(state.at("sessions"), state.at("connections"));
  join(&state);
  log::info("handover", "taken over from a predecessor");
  serve();
}

// Two that serve would be two nodes of one name.
void Node::replaced() {
  if (serves_ || !replaced_) return;
  log::warning("handover", "another process follows: this one ends");
  replaced_();
}

// Two processes of a node count as one until the other has gone.
void Node::limit_descriptors(std::size_t taken_by_clients, std::size_t taken_by_servers) {
  const auto less = [](std::size_t all, std::size_t taken) {
    return std::max(all / 2, all - std::min(all, taken));
  };
  clients_.limit(less(for_clients(config_), taken_by_clients));
  upstream_.limit(less(for_servers(config_), taken_by_servers));
}

// Each side has its share for sure. Clients may have what the servers leave of theirs, but for a part that keeps a
// crowd from costing every request a handshake; connections that idle give way to them. It is had back when the
// servers need it, from clients that hold nothing that was taken.
bool Node::could_lend() const {
  const auto keep = static_cast<std::size_t>(facts::kServersKeep * static_cast<double>(upstream_.share()));
  const auto all = clients_.share() + upstream_.share();
  const auto busy = upstream_.size() - upstream_.figures().idle;
  return clients_.size() + std::max(keep, busy) < all;
}

bool Node::lend() {
  if (!could_lend()) return false;
  return clients_.size() + upstream_.size() < clients_.share() + upstream_.share() || upstream_.make_room();
}

bool Node::descriptor_free() const {
  return clients_.size() + upstream_.size() < clients_.share() + upstream_.share();
}

bool Node::reclaim_descriptor() { return clients_.size() > clients_.share() && clients_.make_room(); }

void Node::told_by_peer(const nlohmann::json& message) {
  if (const auto it = message.find("leave_out"); it != message.end()) return void(set_out(*it, true));
  if (const auto it = message.find("put_back"); it != message.end()) return void(set_out(*it, false));
  throw std::runtime_error("a message that is not known");
}

// Before this process serves: it starts as one that found nobody. After: the other one has ended. If that one
// had taken over, and this process was not told to end, the clients are its own again.
void Node::peer_lost() {
  limit_descriptors(0, 0);
  if (!serves_) {
    log::warning("handover", "the predecessor hands nothing over");
    return serve_in_any_case();
  }
  if (!std::exchange(succeeded_, false) || drained_) return;
  log::warning("handover", "the successor has ended: clients are served here again");
  upstream_.keep(true);
  gateway_.resume();
  clients_.resume();
  handover_.offer();
  join(nullptr);
}

void Node::reconfigure(const NodeConfig& config) {
  validate_change(config_.named.settings, config.named.settings);
  for (const auto& c : config_.named.settings.classes) {
    std::erase_if(leaving_, [&](const auto& l) { return l.cls.name == c.name && l.cls.effect == c.effect; });
    leaving_.push_back({c, timers_.now() + facts::kClassesTurn + c.deadline});
  }
  config_.named.settings = config.named.settings;
  config_.keep_alive = config.keep_alive;
  tune();
  if (config.discovery != config_.discovery) {
    config_.discovery = config.discovery;
    discovery_.move(config.discovery, config.discovery_host);
  }
  if (!counter_ || !config.counter || config.counter == config_.counter) return;
  config_.counter = config.counter;
  left_.push_back(std::exchange(counter_, new_counter()));
  // Calls that are out at the old address are still answered there; after their time-out none is left.
  timers_.after(config_.named.settings.counter_timeout, [this] { left_.pop_front(); });
}

// The settings of the file, and what was dropped that clients may still use, a class or the effect of one that stays:
// requests of these come until clients have turned to the new ones, and their further tries for a class's deadline
// after that.
void Node::tune() {
  auto settings = std::make_shared<Settings>(config_.named.settings);
  auto& classes = settings->classes;
  const Time now = timers_.now();
  std::erase_if(leaving_, [&](const auto& l) {
    return l.until <= now || std::ranges::any_of(classes, [&](const RequestClass& c) {
             return c.name == l.cls.name && c.effect == l.cls.effect;
           });
  });
  Time next = Time::max();
  for (const auto& l : leaving_) classes.push_back(l.cls), next = std::min(next, l.until);
  for (const auto& c : classes) metrics_.replies(c.name);
  upstream_.tune(settings->connect_timeout, config_.keep_alive);
  discovery_.tune(settings->drain_grace);
  clients_.tune(settings);
  if (together_) settings_ = settings;
  happened(Retune{std::move(settings)});
  timers_.cancel(turn_);
  if (next == Time::max()) return;
  turn_ = timers_.at(next, [this] {
    turn_.reset();
    tune();
  });
}

void Node::drain(std::function<void()> done) {
  drained_ = std::move(done);
  // A class that was dropped may have had a longer deadline: whoever ends this process does not wait for that.
  Duration longest{};
  for (const auto& c : config_.named.settings.classes) longest = std::max(longest, c.deadline);
  clients_.drain(longest);
  if (together_ && !succeeded_) {
    together_->resign();
    drains_until_ = timers_.now() + facts::kGivingOn;
  }
  if (peers_ && !succeeded_) peers_->leave();
  timers_.at(clients_.last_word(), [this] { give_up(); });
  wait_until_drained();
}

// What SIGKILL finds unanswered is lost, however long its client would wait: it has its final answer now, and an
// attempt that is still out is waited for no more. An answer that is on its way goes on.
void Node::give_up() {
  gave_up_ = true;
  std::vector<RequestId> unanswered;
  for (const auto& [id, o] : open_)
    if (o.asker && !o.life.passes_on()) unanswered.push_back(id);
  for (const auto id : unanswered) {
    finish(id, &Metrics::Replies::error,
           {http::status::gateway_timeout, "this process ends\n", "text/plain", {}});
    happened(ClientGone{id});
  }
}

void Node::wait_until_drained() {
  const bool given_on = !together_ || succeeded_ || together_->resigned() || timers_.now() >= drains_until_;
  const bool answered = open_.empty() || (gave_up_ && concurrent_ == 0);
  if (answered && clients_.drained() && given_on) return drained_();
  timers_.after(facts::kAcceptPause, [this] { wait_until_drained(); });
}

// Once ready, always ready: a counter that has moved is tried while requests come in.
bool Node::ready() {
  was_ready_ = was_ready_ || (knows_servers_ && (!counter_ || counter_->tried()));
  return was_ready_;
}

// ---- What happens -----------------------------------------------------------------------------------------

// Told one by one, in order: what an action brings about at once waits until the actions before it are done.
void Node::happened(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(telling_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    try {
      for (const auto& action : gateway_.handle(timers_.now(), next))
        std::visit([this](const auto& a) { carry_out(a); }, action);
    } catch (const std::exception& x) {
      log::warning("node", "an event failed", {{"why", x.what()}});
    }
  }
  telling_ = false;
}

std::uint64_t Node::arrived(ClientRequest request, std::shared_ptr<ClientSession> session) {
  return take(std::move(request), std::move(session));
}

std::uint64_t Node::take(ClientRequest request, std::shared_ptr<Asker> asker) {
  const RequestId id{++requests_};
  request.arrival.request = id;
  const Arrival arrival = request.arrival;
  auto& counts = metrics_.replies(request.cls().name);
  if (log::follows_requests())
    log::request("node", "taken", {{"request", request.id}, {"class", request.cls().name}});
  const auto& cls = request.cls();
  const policy::RequestTerms terms{cls.effect, cls.memory_span, request.deadline,
                                   request.settings->max_attempts};
  open_.emplace(id, Open{std::move(asker), std::make_shared<const ClientRequest>(std::move(request)), &counts,
                         policy::RequestLife(terms)});
  ++concurrent_;
  watch_overdue();
  happened(arrival);
  return static_cast<std::uint64_t>(id);
}

void Node::client_gone(std::uint64_t request) {
  const RequestId id{request};
  const auto it = open_.find(id);
  if (it == open_.end() || !it->second.asker) return;
  it->second.asker.reset();
  it->second.life.client_left();
  --concurrent_;
  ++it->second.replies->error;
  happened(ClientGone{id});
  // What is left of a long answer is for nobody.
  const auto& life = it->second.life;
  if (life.passes_on() && life.out() > 0) return upstream_.cancel(id, life.attempts() - 1);
  forget_if_done(id);
}

// A client is looked at when the bytes are about to be written: its request may have waited for units, a place or a
// connection, and the loop may not have come round to its close.
bool Node::still_wanted(RequestId request) {
  const auto it = open_.find(request);
  if (it == open_.end() || !it->second.asker || !it->second.life.may_write(timers_.now())) return false;
  if (it->second.asker->waits()) return true;
  client_gone(static_cast<std::uint64_t>(request));
  return false;
}

void Node::attempt_ended(const Errand& errand, Outcome outcome, Answer answer) {
  AttemptEnded e;
  e.request = errand.request;
  e.attempt = errand.attempt;
  e.server = errand.server;
  e.outcome = outcome;
  const bool streamed = errand.answered != Time{};
  e.connect = errand.connect;
  e.took = (streamed ? errand.answered : timers_.now()) - errand.began;
  if (streamed && outcome != Outcome::ok && errand.whole)
    breached(policy::Breach::whole_answer_cut, errand.message->id);
  if (streamed)
    end_stream(errand.request, outcome == Outcome::ok);
  else if (outcome == Outcome::ok)
    finish(errand.request, &Metrics::Replies::success, answer);
  const auto it = open_.find(errand.request);
  const auto& upload = errand.message->upload;
  e.spent = upload && upload->begun();
  e.finished = it == open_.end() || !it->second.asker;
  if (it != open_.end()) it->second.life.attempt_ended(outcome);
  forget_if_done(errand.request);
  happened(e);
}

bool Node::stream_began(const Errand& errand, const AnswerHead& head) {
  const auto it = open_.find(errand.request);
  if (it == open_.end() || !it->second.asker) return false;
  if (const auto breach = it->second.life.may_answer())
    return breached(*breach, it->second.message->id), false;
  it->second.life.passes_on_from_now();
  it->second.asker->begin(head);
  happened(StreamStarted{errand.request, errand.attempt});
  return true;
}

void Node::stream_piece(const Errand& errand, std::string_view piece, std::function<void()> taken) {
  const auto it = open_.find(errand.request);
  if (it != open_.end() && it->second.asker) it->second.asker->pass_on(piece, std::move(taken));
}

void Node::end_stream(RequestId request, bool whole) {
  const auto it = open_.find(request);
  if (it == open_.end()) return;
  const auto asker = std::exchange(it->second.asker, nullptr);
  if (!asker) return;
  it->second.life.answered();
  --concurrent_;
  ++(whole ? it->second.replies->success : it->second.replies->error);
  if (log::follows_requests())
    log::request("node", whole ? "answered in pieces" : "answer cut off",
                 {{"request", it->second.message->id}});
  if (whole)
    asker->end();
  else
    asker->cut_off();
}

void Node::attempt_written(const Errand&) { metrics_.dispatched(); }

void Node::probe_ended(const Errand& errand, Outcome outcome) {
  happened(ProbeEnded{errand.server, outcome, timers_.now() - errand.began, std::nullopt});
}

void Node::list_changed(ListKind kind, const std::vector<Discovery::Entry>& entries) {
  ListUpdate update{kind, {}};
  for (const auto& e : entries) update.entries.push_back(e.info);
  if (kind != ListKind::changes) upstream_.retain(update.entries);
  for (const auto& e : entries)
    upstream_.update(e.info.id, e.address, e.info.phase == Phase::ready, e.info.started);
  // Those that drain or are gone take no requests: with them alone nobody could be served.
  knows_servers_ = knows_servers_ || std::ranges::any_of(entries, [](const Discovery::Entry& e) {
                     return e.info.phase == Phase::ready;
                   });
  happened(std::move(update));
}

// ---- What operators ask ---------------------------------------------------------------------------------------

std::string Node::figures() {
  const auto servers = gateway_.servers(timers_.now());
  return metrics_.text({concurrent_, servers.listed, servers.avoided, clients_.size(),
                        clients_.accept_failures(), upstream_.figures(), log::figures(), timers_.now(),
                        peers_ && peers_->started() ? peers_.get() : nullptr,
                        together_ && together_->shared().started() ? together_.get() : nullptr,
                        discovery_.figures(), clients_.refusals(), control_.refusals(),
                        clients_.session_ends(), upstream_.attempt_ends()});
}

std::optional<std::string> Node::members() {
  if (!peers_ || !peers_->started()) return std::nullopt;
  return peers_->described().dump() + "\n";
}

// The number of the living may slow or quicken this node's calls. It says nothing of anybody's units.
void Node::view_changed(const fleet::View& view) {
  // One that was never heard of may be there: it has its part until it is known to have failed or left.
  if (config_.peers->paces) happened(FleetView{view.living + view.unknown});
  if (together_) together_->view(view);
}

void Node::other_came(fleet::MemberId from, const fleet::Message& message) {
  if (together_) together_->came(from, message);
}

bool Node::asked(const Control::Ask& ask, Control::Answered answered) {
  return together_ && together_->asked(ask, answered);
}

// ---- What nodes do together ---------------------------------------------------------------------------------

void Node::tell(fleet::MemberId to, fleet::Body body, std::uint32_t echo) {
  peers_->send(to, std::move(body), echo);
}

void Node::add(const std::string& name, double amount, Duration life,
               std::function<void(CountOutcome, double total)> told) {
  if (!counter_) return told(CountOutcome::refused, {});
  counter_->call(name, amount, life, std::move(told));
}

bool Node::quotas_wait() const { return gateway_.sizes().waiting_calls > 0; }

void Node::ask(ClientRequest request, std::shared_ptr<Asker> asker) {
  take(std::move(request), std::move(asker));
}

std::uint32_t Node::room_for_lines() { return gateway_.room(timers_.now()); }

// ---- What operators decide ------------------------------------------------------------------------------------

bool Node::leave_out(const std::string& server, bool out) {
  if (!set_out(server, out)) return false;
  handover_.tell({{out ? "leave_out" : "put_back", server}});
  return true;
}

bool Node::set_out(const std::string& server, bool out) {
  const auto id = discovery_.known_as(server);
  if (!id) return false;
  log::info("node", "server " + server + (out ? " is left out by hand" : " may serve again"));
  upstream_.bar(*id, out);
  happened(LeaveOut{*id, out});
  return true;
}

// ---- What the module decides --------------------------------------------------------------------------------

void Node::carry_out(const Send& s) {
  const auto it = open_.find(s.request);
  if (it == open_.end()) return;
  auto& o = it->second;
  const Time now = timers_.now();
  const auto attempt = o.life.attempts();
  const auto breach = o.life.may_send(now);
  o.life.sent(now);
  if (breach) {
    breached(*breach, o.message->id);
    AttemptEnded e;
    e.request = s.request, e.attempt = attempt, e.server = s.server, e.outcome = Outcome::never_sent;
    e.finished = !o.asker;
    o.life.attempt_ended(e.outcome);
    forget_if_done(s.request);
    return happened(e);
  }
  if (attempt > 0) metrics_.retried();
  if (log::follows_requests())
    log::request("node", attempt > 0 ? "sent again" : "sent",
                 {{"request", o.message->id}, {"attempt", std::to_string(attempt)}});
  upstream_.send({s.request, attempt, s.server, now, now + s.timeout, o.message, {}, {}, s.begin_by});
}

void Node::carry_out(const Refuse& s) {
  const auto it = open_.find(s.request);
  if (it == open_.end()) return;
  metrics_.refused(s.cause);
  if (log::follows_requests())
    log::request("node", "refused",
                 {{"request", it->second.message->id}, {"cause", std::string(name_of(s.cause))}});
  const auto advice = it->second.message->settings->retry_after ? s.retry_after : Duration{};
  finish(s.request, &Metrics::Replies::overload,
         {http::status::too_many_requests, "refused\n", "text/plain", advice});
}

void Node::carry_out(const Fail& s) {
  finish(s.request, &Metrics::Replies::error, {http::status::bad_gateway, "failed\n", "text/plain", {}});
}

void Node::carry_out(const Cancel& s) { upstream_.cancel(s.request, s.attempt); }

void Node::carry_out(const AddToCount& s) {
  if (!counter_) return happened(CountAnswer{s.name, CountOutcome::refused, 0, {}});
  counter_->add(s.name, s.amount, s.lifetime);
}

void Node::carry_out(const SetTimer& s) {
  timers_.after(s.delay, [this, timer = s.timer] { happened(TimerDue{timer}); });
}

void Node::carry_out(const Probe& s) { upstream_.probe(s.server); }

void Node::carry_out(const Release& s) { upstream_.release(s.server, s.keep); }

void Node::carry_out(const Log& s) { log::info("module", s.text); }

// The final answer, once: after it the session is no longer in the table.
void Node::finish(RequestId request, std::uint64_t Metrics::Replies::*count, const Answer& answer) {
  const auto it = open_.find(request);
  if (it == open_.end()) return;
  // One whose client has left may still be refused by a decision that had been made: nobody is told.
  if (const auto asker = it->second.asker) {
    if (const auto breach = it->second.life.may_answer()) return breached(*breach, it->second.message->id);
    it->second.asker.reset();
    it->second.life.answered();
    --concurrent_;
    ++(it->second.replies->*count);
    if (log::follows_requests())
      log::request("node", "answered",
                   {{"request", it->second.message->id},
                    {"status", std::to_string(static_cast<unsigned>(answer.status))}});
    asker->answer(answer);
  }
  forget_if_done(request);
}

// What was about to be done would have broken a promise to a client. It is left undone, counted and told.
void Node::breached(policy::Breach breach, const std::string& request_id) {
  metrics_.breached(breach);
  const auto name = policy::kBreachNames.at(static_cast<std::size_t>(breach));
  log::write(log::Level::error, "rules", "a step was turned down",
             {{"breach", std::string(name)}, {"request", request_id}});
}

// Whatever kept its answer back, a request that is overdue has one: it is lost half a second after its time.
void Node::watch_overdue() {
  if (overdue_ || open_.empty()) return;
  overdue_ = timers_.after(facts::kOverdueLook, [this] {
    overdue_.reset();
    answer_overdue();
    watch_overdue();
  });
}

void Node::answer_overdue() {
  const Time now = timers_.now();
  std::vector<RequestId> overdue;
  for (const auto& [id, o] : open_)
    if (o.asker && !o.message->upload && o.life.overdue(now, facts::kOverdue)) overdue.push_back(id);
  for (const auto id : overdue) {
    breached(policy::Breach::answer_overdue, open_.at(id).message->id);
    finish(id, &Metrics::Replies::error,
           {http::status::gateway_timeout, "no answer in time\n", "text/plain", {}});
    happened(ClientGone{id});
  }
}

void Node::forget_if_done(RequestId request) {
  const auto it = open_.find(request);
  if (it != open_.end() && !it->second.asker && it->second.life.out() == 0) open_.erase(it);
}

}  // namespace petrelrail

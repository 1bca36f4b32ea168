#include "node.hpp"

#include <algorithm>

#include "facts.hpp"

namespace petrelrail {
namespace {

// What is kept for the node's own is the most it can need, and is kept whole while a part of the
// limit is left beside it: of a smaller limit the node does with less, as it seldom needs that.
std::size_t for_peers(const NodeConfig& c) {
  const auto own = facts::kOwnDescriptors + facts::kCounterLinks + (c.gossip ? 1 : 0);
  const auto least = std::max<std::size_t>(
      1, static_cast<std::size_t>(facts::kMinPeersShare * static_cast<double>(c.descriptors)));
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
      upstream_(io, timers_, config_.settings.settings.connect_timeout, config_.keep_alive,
                for_servers(config_), *this),
      gateway_(config_.settings.settings, config_.seed, &upstream_),
      discovery_(
          io, timers_, config_.discovery, config_.discovery_host, config_.settings.names.zones,
          [this](EndpointListKind kind, const auto& entries) { list_changed(kind, entries); },
          config_.settings.settings.drain_grace),
      http_server_(io, timers_, std::make_shared<const Settings>(config_.settings.settings),
                   for_clients(config_), *this),
      admin_server_(io, timers_, *this),
      hot_restart_(io, timers_, config_.handover_path, *this) {
  for (const auto& c : config_.settings.settings.classes) metrics_.response_counts(c.name);
  if (config_.counter && config_.settings.settings.counter) counter_ = new_counter();
  if (config_.gossip)
    gossip_ = std::make_unique<GossipTransport>(io_, timers_, *config_.gossip, config_.seed,
                                                static_cast<GossipTransport::Callbacks&>(*this));
  if (config_.coordination) {
    settings_ = std::make_shared<const Settings>(config_.settings.settings);
    coordination_ = std::make_unique<Coordination>(timers_, *config_.coordination, config_.seed,
                                                   static_cast<Coordination::Callbacks&>(*this));
  }
}

std::unique_ptr<CounterClient> Node::new_counter() {
  return std::make_unique<CounterClient>(
      io_, timers_, *config_.counter, config_.settings.settings.counter_timeout,
      [this](const CounterResponse& a) { handle_event(a); },
      [this] { handle_event(CounterRecovered{}); }, config_.seed);
}

void Node::start(std::function<void()> replaced) {
  on_replaced_ = std::move(replaced);
  discovery_.start(config_.known_endpoints);
  start_admin_server();
  if (hot_restart_.connect_to_predecessor()) return;
  try {
    serve();
  } catch (const boost::system::system_error& x) {
    if (!is_system_shortage(x.code())) throw;
    log::warning("node", "no socket to listen with: tried again", {{"why", x.code().message()}});
    timers_.after(facts::kAcceptPause, [this] { serve_with_retry(); });
  }
}

// A machine that is short of sockets for a moment is no reason to end.
void Node::start_admin_server() {
  if (!config_.control) return;
  try {
    admin_server_.listen(*config_.control);
  } catch (const boost::system::system_error& x) {
    if (!is_system_shortage(x.code())) throw;
    timers_.after(facts::kAcceptPause, [this] { start_admin_server(); });
  }
}

// ---- From one process to the next ---------------------------------------------------------------

void Node::serve() {
  if (inherited_) {
    http_server_.adopt(inherited_.release());
  } else {
    http_server_.listen(config_.listen);
  }
  serving_ = true;
  hot_restart_.wait_for_successor();
  join_cluster(nullptr);
}

// Without its own address among the nodes a process serves all the same; it only knows of nobody.
void Node::join_cluster(const nlohmann::json* predecessor) {
  if (!gossip_ || gossip_->started()) return;
  const auto part = [&](const char* name) {
    const auto* j = predecessor != nullptr && predecessor->contains(name) ? &predecessor->at(name)
                                                                          : nullptr;
    return j;
  };
  try {
    const auto* member = part("member");
    gossip_->start(member != nullptr ? std::optional(self_of(*member, gossip_->self()))
                                     : std::nullopt);
    if (coordination_) coordination_->start(part("together"));
  } catch (const boost::system::system_error& x) {
    log::warning("members", "field 'peer_listen': " + x.code().message());
  }
}

// With what was handed over, if anything; a predecessor that hands nothing over may hold the
// address yet.
void Node::serve_with_retry() {
  try {
    serve();
  } catch (const std::exception& x) {
    log::warning("node", std::string("field 'listen': ") + x.what());
    timers_.after(facts::kLongestBackoff, [this] { serve_with_retry(); });
  }
}

void Node::on_listener_received(Descriptor socket) {
  inherited_ = std::move(socket);
  request_state_when_ready();
}

// One that was told to end takes nothing over: what the predecessor holds would end with it.
void Node::request_state_when_ready() {
  if (serving_ || on_drained_) return;
  if (is_ready()) return hot_restart_.request_state();
  timers_.after(facts::kAcceptPause, [this] { request_state_when_ready(); });
}

nlohmann::json Node::export_state() {
  const auto s = gateway_.export_state(timers_.now());
  auto state = to_json(s);
  state["left_out"] = nlohmann::json::array();
  for (const auto id : s.operator_ejected) state["left_out"].push_back(discovery_.name_of(id));
  state["cold"] = nlohmann::json::array();
  for (const auto& [id, since] : s.slow_starting)
    state["cold"].push_back({discovery_.name_of(id), since.time_since_epoch().count()});
  handed_over_ = true;
  http_server_.stop_accepting();
  upstream_.set_keep_idle(false);
  if (gossip_) {
    state["member"] = to_json(gossip_->self());
    if (coordination_) state["together"] = coordination_->export_state();
    gossip_->stop();
  }
  state["sessions"] = http_server_.size(), state["connections"] = upstream_.size();
  log::info("handover", "a successor takes over");
  return state;
}

void Node::on_state_received(const nlohmann::json& state) {
  if (serving_) return;
  auto s = std::make_shared<HandoverState>(handover_state_from_json(state));
  for (const auto& e : state.at("cold"))
    s->slow_starting.emplace_back(discovery_.id_of(e.at(0)),
                                  Time(Duration(e.at(1).get<Duration::rep>())));
  for (const auto& name : state.at("left_out")) {
    const auto id = discovery_.id_of(name);
    s->operator_ejected.push_back(id);
    upstream_.set_ejected(id, true);
  }
  handle_event(RestoreState{std::move(s)});
  limit_descriptors(state.at("sessions"), state.at("connections"));
  join_cluster(&state);
  log::info("handover", "taken over from a predecessor");
  serve();
}

// Two that serve would be two nodes of one name.
void Node::on_replaced() {
  if (serving_ || !on_replaced_) return;
  log::warning("handover", "another process follows: this one ends");
  on_replaced_();
}

// Two processes of a node count as one until the other has gone.
void Node::limit_descriptors(std::size_t taken_by_clients, std::size_t taken_by_servers) {
  const auto less = [](std::size_t all, std::size_t taken) {
    return std::max(all / 2, all - std::min(all, taken));
  };
  http_server_.set_max_sessions(less(for_clients(config_), taken_by_clients));
  upstream_.set_max_connections(less(for_servers(config_), taken_by_servers));
}

// Each side has its share for sure. Clients may have what the servers leave of theirs, but for a
// part that keeps a crowd from costing every request a handshake; connections that idle give way to
// them. It is had back when the servers need it, from clients that hold nothing that was taken.
bool Node::can_lend_descriptor() const {
  const auto keep = static_cast<std::size_t>(facts::kServersKeep *
                                             static_cast<double>(upstream_.max_connections()));
  const auto all = http_server_.max_sessions() + upstream_.max_connections();
  const auto busy = upstream_.size() - upstream_.stats().idle;
  return http_server_.size() + std::max(keep, busy) < all;
}

bool Node::lend_descriptor() {
  if (!can_lend_descriptor()) return false;
  return http_server_.size() + upstream_.size() <
             http_server_.max_sessions() + upstream_.max_connections() ||
         upstream_.evict_idle();
}

bool Node::has_free_descriptor() const {
  return http_server_.size() + upstream_.size() <
         http_server_.max_sessions() + upstream_.max_connections();
}

bool Node::reclaim_descriptor() {
  return http_server_.size() > http_server_.max_sessions() && http_server_.evict_idle();
}

void Node::on_peer_message(const nlohmann::json& message) {
  if (const auto it = message.find("leave_out"); it != message.end())
    return void(eject_endpoint(*it, true));
  if (const auto it = message.find("put_back"); it != message.end())
    return void(eject_endpoint(*it, false));
  throw std::runtime_error("a message that is not known");
}

// Before this process serves: it starts as one that found nobody. After: the other one has ended.
// If that one had taken over, and this process was not told to end, the clients are its own again.
void Node::on_peer_lost() {
  limit_descriptors(0, 0);
  if (!serving_) {
    log::warning("handover", "the predecessor hands nothing over");
    return serve_with_retry();
  }
  if (!std::exchange(handed_over_, false) || on_drained_) return;
  log::warning("handover", "the successor has ended: clients are served here again");
  upstream_.set_keep_idle(true);
  gateway_.resume();
  http_server_.resume();
  hot_restart_.wait_for_successor();
  join_cluster(nullptr);
}

void Node::reconfigure(const NodeConfig& config) {
  validate_change(config_.settings.settings, config.settings.settings);
  for (const auto& c : config_.settings.settings.classes) {
    std::erase_if(retired_classes_, [&](const auto& l) {
      return l.request_class.name == c.name && l.request_class.idempotency == c.idempotency;
    });
    retired_classes_.push_back({c, timers_.now() + facts::kClassesTurn + c.deadline});
  }
  config_.settings.settings = config.settings.settings;
  config_.keep_alive = config.keep_alive;
  apply_settings();
  if (config.discovery != config_.discovery) {
    config_.discovery = config.discovery;
    discovery_.set_agent(config.discovery, config.discovery_host);
  }
  if (!counter_ || !config.counter || config.counter == config_.counter) return;
  config_.counter = config.counter;
  draining_counters_.push_back(std::exchange(counter_, new_counter()));
  // Calls that are out at the old address are still answered there; after their time-out none is
  // left.
  timers_.after(config_.settings.settings.counter_timeout,
                [this] { draining_counters_.pop_front(); });
}

// The settings of the file, and what was dropped that clients may still use, a class or the effect
// of one that stays: requests of these come until clients have turned to the new ones, and their
// further tries for a class's deadline after that.
void Node::apply_settings() {
  auto settings = std::make_shared<Settings>(config_.settings.settings);
  auto& classes = settings->classes;
  const Time now = timers_.now();
  std::erase_if(retired_classes_, [&](const auto& l) {
    return l.until <= now || std::ranges::any_of(classes, [&](const RequestClass& c) {
             return c.name == l.request_class.name && c.idempotency == l.request_class.idempotency;
           });
  });
  Time next = Time::max();
  for (const auto& l : retired_classes_)
    classes.push_back(l.request_class), next = std::min(next, l.until);
  for (const auto& c : classes) metrics_.response_counts(c.name);
  upstream_.set_timeouts(settings->connect_timeout, config_.keep_alive);
  discovery_.set_drain_grace(settings->drain_grace);
  http_server_.set_settings(settings);
  if (coordination_) settings_ = settings;
  handle_event(SettingsChanged{std::move(settings)});
  timers_.cancel(retired_class_timer_);
  if (next == Time::max()) return;
  retired_class_timer_ = timers_.at(next, [this] {
    retired_class_timer_.reset();
    apply_settings();
  });
}

void Node::drain(std::function<void()> done) {
  on_drained_ = std::move(done);
  // A class that was dropped may have had a longer deadline: whoever ends this process does not
  // wait for that.
  Duration longest{};
  for (const auto& c : config_.settings.settings.classes) longest = std::max(longest, c.deadline);
  http_server_.drain(longest);
  if (coordination_ && !handed_over_) {
    coordination_->step_down();
    step_down_deadline_ = timers_.now() + facts::kGivingOn;
  }
  if (gossip_ && !handed_over_) gossip_->leave();
  timers_.at(http_server_.drain_deadline(), [this] { abandon_unanswered(); });
  wait_until_drained();
}

// What SIGKILL finds unanswered is lost, however long its client would wait: it has its final
// answer now, and an attempt that is still out is waited for no more. An answer that is on its way
// goes on.
void Node::abandon_unanswered() {
  abandoned_unanswered_ = true;
  std::vector<RequestId> unanswered;
  for (const auto& [id, o] : open_requests_)
    if (o.response_sink && !o.state.streams_response()) unanswered.push_back(id);
  for (const auto id : unanswered) {
    respond(id, &Metrics::ResponseCounts::error,
            {http::status::gateway_timeout, "this process ends\n", "text/plain", {}});
    handle_event(ClientDisconnected{id});
  }
}

void Node::wait_until_drained() {
  const bool given_on = !coordination_ || handed_over_ || coordination_->has_stepped_down() ||
                        timers_.now() >= step_down_deadline_;
  const bool answered = open_requests_.empty() || (abandoned_unanswered_ && concurrent_ == 0);
  if (answered && http_server_.drained() && given_on) return on_drained_();
  timers_.after(facts::kAcceptPause, [this] { wait_until_drained(); });
}

// Once ready, always ready: a counter that has moved is tried while requests come in.
bool Node::is_ready() {
  was_ready_ = was_ready_ || (knows_servers_ && (!counter_ || counter_->has_tried_all()));
  return was_ready_;
}

// ---- What happens -------------------------------------------------------------------------------

// Told one by one, in order: what an action brings about at once waits until the actions before it
// are done.
void Node::handle_event(Event event) {
  pending_events_.push_back(std::move(event));
  if (std::exchange(handling_events_, true)) return;
  while (!pending_events_.empty()) {
    const Event next = std::move(pending_events_.front());
    pending_events_.pop_front();
    try {
      for (const auto& action : gateway_.handle(timers_.now(), next))
        std::visit([this](const auto& a) { execute(a); }, action);
    } catch (const std::exception& x) {
      log::warning("node", "an event failed", {{"why", x.what()}});
    }
  }
  handling_events_ = false;
}

std::uint64_t Node::on_request(ClientRequest request, std::shared_ptr<HttpSession> session) {
  return accept_request(std::move(request), std::move(session));
}

std::uint64_t Node::accept_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) {
  const RequestId id{++last_request_number_};
  request.arrival.request = id;
  const RequestArrived arrival = request.arrival;
  auto& counts = metrics_.response_counts(request.request_class().name);
  if (log::follows_requests())
    log::request("node", "taken",
                 {{"request", request.request_id}, {"class", request.request_class().name}});
  const auto& cls = request.request_class();
  const policy::RequestPolicy terms{cls.idempotency, cls.deduplication_window, request.deadline,
                                    request.settings->max_attempts};
  open_requests_.emplace(
      id, OpenRequest{std::move(sink), std::make_shared<const ClientRequest>(std::move(request)),
                      &counts, policy::RequestState(terms)});
  ++concurrent_;
  watch_overdue();
  handle_event(arrival);
  return static_cast<std::uint64_t>(id);
}

void Node::on_client_disconnected(std::uint64_t request) {
  const RequestId id{request};
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end() || !it->second.response_sink) return;
  it->second.response_sink.reset();
  it->second.state.on_client_disconnected();
  --concurrent_;
  ++it->second.response_counts->error;
  handle_event(ClientDisconnected{id});
  // What is left of a long answer is for nobody.
  const auto& life = it->second.state;
  if (life.streams_response() && life.outstanding_attempts() > 0)
    return upstream_.cancel(id, life.attempts() - 1);
  forget_if_done(id);
}

// A client is looked at when the bytes are about to be written: its request may have waited for
// units, a place or a connection, and the loop may not have come round to its close.
bool Node::is_still_wanted(RequestId request) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end() || !it->second.response_sink ||
      !it->second.state.may_write(timers_.now()))
    return false;
  if (it->second.response_sink->client_is_connected()) return true;
  on_client_disconnected(static_cast<std::uint64_t>(request));
  return false;
}

void Node::on_attempt_ended(const UpstreamExchange& exchange, AttemptOutcome outcome,
                            Response answer) {
  AttemptEnded e;
  e.request = exchange.request;
  e.attempt = exchange.attempt;
  e.endpoint = exchange.endpoint;
  e.outcome = outcome;
  const bool streamed = exchange.response_started != Time{};
  e.connect_duration = exchange.connect_duration;
  e.duration = (streamed ? exchange.response_started : timers_.now()) - exchange.started;
  if (streamed && outcome != AttemptOutcome::ok && exchange.response_complete)
    on_invariant_violation(policy::InvariantViolation::complete_response_aborted,
                           exchange.request_message->request_id);
  if (streamed)
    end_stream(exchange.request, outcome == AttemptOutcome::ok);
  else if (outcome == AttemptOutcome::ok)
    respond(exchange.request, &Metrics::ResponseCounts::success, answer);
  const auto it = open_requests_.find(exchange.request);
  const auto& upload = exchange.request_message->body_stream;
  e.body_consumed = upload && upload->consumed();
  e.request_completed = it == open_requests_.end() || !it->second.response_sink;
  if (it != open_requests_.end()) it->second.state.on_attempt_ended(outcome);
  forget_if_done(exchange.request);
  handle_event(e);
}

bool Node::on_stream_started(const UpstreamExchange& exchange, const ResponseHead& head) {
  const auto it = open_requests_.find(exchange.request);
  if (it == open_requests_.end() || !it->second.response_sink) return false;
  if (const auto breach = it->second.state.may_respond())
    return on_invariant_violation(*breach, it->second.request_message->request_id), false;
  it->second.state.on_stream_started();
  it->second.response_sink->begin_stream(head);
  handle_event(TimeAdvanced{});
  return true;
}

void Node::on_stream_chunk(const UpstreamExchange& exchange, std::string_view piece,
                           std::function<void()> taken) {
  const auto it = open_requests_.find(exchange.request);
  if (it != open_requests_.end() && it->second.response_sink)
    it->second.response_sink->write_chunk(piece, std::move(taken));
}

void Node::end_stream(RequestId request, bool whole) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end()) return;
  const auto sink = std::exchange(it->second.response_sink, nullptr);
  if (!sink) return;
  it->second.state.on_responded();
  --concurrent_;
  ++(whole ? it->second.response_counts->success : it->second.response_counts->error);
  if (log::follows_requests())
    log::request("node", whole ? "answered in pieces" : "answer cut off",
                 {{"request", it->second.request_message->request_id}});
  if (whole)
    sink->end_stream();
  else
    sink->abort();
}

void Node::on_attempt_written(const UpstreamExchange&) { metrics_.on_forwarded(); }

void Node::on_health_check_ended(const UpstreamExchange& exchange, AttemptOutcome outcome) {
  handle_event(
      HealthCheckEnded{exchange.endpoint, outcome, timers_.now() - exchange.started, std::nullopt});
}

void Node::list_changed(EndpointListKind kind, const std::vector<Discovery::Entry>& entries) {
  EndpointListUpdate update{kind, {}};
  for (const auto& e : entries) update.entries.push_back(e.info);
  if (kind != EndpointListKind::delta) upstream_.retain_endpoints(update.entries);
  for (const auto& e : entries)
    upstream_.update_endpoint(e.info.id, e.address, e.info.phase == EndpointPhase::ready,
                              e.info.started);
  // Those that drain or are gone take no requests: with them alone nobody could be served.
  knows_servers_ = knows_servers_ || std::ranges::any_of(entries, [](const Discovery::Entry& e) {
                     return e.info.phase == EndpointPhase::ready;
                   });
  handle_event(std::move(update));
}

// ---- What operators ask -------------------------------------------------------------------------

std::string Node::metrics_text() {
  const auto servers = gateway_.endpoint_counts(timers_.now());
  return metrics_.text(
      {concurrent_, servers.listed, servers.avoided, http_server_.size(),
       http_server_.accept_failures(), upstream_.stats(), log::stats(), timers_.now(),
       gossip_ && gossip_->started() ? gossip_.get() : nullptr,
       coordination_ && coordination_->cluster_state().started() ? coordination_.get() : nullptr,
       discovery_.stats(), http_server_.rejected_requests(), admin_server_.rejected_requests(),
       http_server_.session_ends(), upstream_.attempt_ends()});
}

std::optional<std::string> Node::members_json() {
  if (!gossip_ || !gossip_->started()) return std::nullopt;
  return gossip_->to_json().dump() + "\n";
}

// The number of the living may slow or quicken this node's calls. It says nothing of anybody's
// units.
void Node::on_view_changed(const fleet::MembershipView& view) {
  // One that was never heard of may be there: it has its part until it is known to have failed or
  // left.
  if (config_.gossip->paces) handle_event(FleetView{view.living + view.unknown});
  if (coordination_) coordination_->on_view_changed(view);
}

void Node::on_message(fleet::MemberId from, const fleet::Message& message) {
  if (coordination_) coordination_->on_message(from, message);
}

bool Node::on_admin_request(const AdminServer::AdminRequest& ask,
                            AdminServer::AdminCallback answered) {
  return coordination_ && coordination_->on_admin_request(ask, answered);
}

// ---- What nodes do together ---------------------------------------------------------------------

void Node::send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) {
  gossip_->send(to, std::move(body), echo);
}

void Node::add_to_counter(const std::string& name, double amount, Duration life,
                          std::function<void(CounterOutcome, double total)> told) {
  if (!counter_) return told(CounterOutcome::refused, {});
  counter_->call(name, amount, life, std::move(told));
}

bool Node::quota_calls_waiting() const { return gateway_.sizes().waiting_calls > 0; }

void Node::send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) {
  accept_request(std::move(request), std::move(sink));
}

std::uint32_t Node::best_effort_capacity() { return gateway_.best_effort_capacity(timers_.now()); }

// ---- What operators decide ----------------------------------------------------------------------

bool Node::set_operator_ejection(const std::string& server, bool out) {
  if (!eject_endpoint(server, out)) return false;
  hot_restart_.send_message({{out ? "leave_out" : "put_back", server}});
  return true;
}

bool Node::eject_endpoint(const std::string& server, bool out) {
  const auto id = discovery_.find_id(server);
  if (!id) return false;
  log::info("node", "server " + server + (out ? " is left out by hand" : " may serve again"));
  upstream_.set_ejected(*id, out);
  handle_event(OperatorEjection{*id, out});
  return true;
}

// ---- What the module decides --------------------------------------------------------------------

void Node::execute(const Send& s) {
  const auto it = open_requests_.find(s.request);
  if (it == open_requests_.end()) return;
  auto& o = it->second;
  const Time now = timers_.now();
  const auto attempt = o.state.attempts();
  const auto breach = o.state.may_forward(now);
  o.state.on_forwarded(now);
  if (breach) {
    on_invariant_violation(*breach, o.request_message->request_id);
    AttemptEnded e;
    e.request = s.request, e.attempt = attempt, e.endpoint = s.endpoint,
    e.outcome = AttemptOutcome::never_sent;
    e.request_completed = !o.response_sink;
    o.state.on_attempt_ended(e.outcome);
    forget_if_done(s.request);
    return handle_event(e);
  }
  if (attempt > 0) metrics_.on_retried();
  if (log::follows_requests())
    log::request(
        "node", attempt > 0 ? "sent again" : "sent",
        {{"request", o.request_message->request_id}, {"attempt", std::to_string(attempt)}});
  upstream_.send({s.request,
                  attempt,
                  s.endpoint,
                  now,
                  now + s.timeout,
                  o.request_message,
                  {},
                  {},
                  s.start_deadline});
}

void Node::execute(const Reject& s) {
  const auto it = open_requests_.find(s.request);
  if (it == open_requests_.end()) return;
  metrics_.on_rejected(s.reason);
  if (log::follows_requests())
    log::request("node", "refused",
                 {{"request", it->second.request_message->request_id},
                  {"cause", std::string(name_of(s.reason))}});
  const auto advice = it->second.request_message->settings->retry_after ? s.retry_after
                                                                        : Duration{};
  respond(s.request, &Metrics::ResponseCounts::overload,
          {http::status::too_many_requests, "refused\n", "text/plain", advice});
}

void Node::execute(const Fail& s) {
  respond(s.request, &Metrics::ResponseCounts::error,
          {http::status::bad_gateway, "failed\n", "text/plain", {}});
}

void Node::execute(const Cancel& s) { upstream_.cancel(s.request, s.attempt); }

void Node::execute(const AddToCounter& s) {
  if (!counter_) return handle_event(CounterResponse{s.key, CounterOutcome::refused, 0, {}});
  counter_->add(s.key, s.amount, s.lifetime);
}

void Node::execute(const SetTimer& s) {
  timers_.after(s.delay, [this, timer = s.timer] { handle_event(TimerDue{timer}); });
}

void Node::execute(const CheckHealth& s) { upstream_.check_health(s.endpoint); }

void Node::execute(const ReleaseIdleConnections& s) { upstream_.release_idle(s.endpoint, s.keep); }

void Node::execute(const Log& s) { log::info("module", s.text); }

// The final answer, once: after it the session is no longer in the table.
void Node::respond(RequestId request, std::uint64_t Metrics::ResponseCounts::*count,
                   const Response& answer) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end()) return;
  // One whose client has left may still be refused by a decision that had been made: nobody is
  // told.
  if (const auto sink = it->second.response_sink) {
    if (const auto breach = it->second.state.may_respond())
      return on_invariant_violation(*breach, it->second.request_message->request_id);
    it->second.response_sink.reset();
    it->second.state.on_responded();
    --concurrent_;
    ++(it->second.response_counts->*count);
    if (log::follows_requests())
      log::request("node", "answered",
                   {{"request", it->second.request_message->request_id},
                    {"status", std::to_string(static_cast<unsigned>(answer.status))}});
    sink->send(answer);
  }
  forget_if_done(request);
}

// What was about to be done would have broken a promise to a client. It is left undone, counted and
// told.
void Node::on_invariant_violation(policy::InvariantViolation breach,
                                  const std::string& request_id) {
  metrics_.on_invariant_violation(breach);
  const auto name = policy::kInvariantViolationNames.at(static_cast<std::size_t>(breach));
  log::write(log::Level::error, "rules", "a step was turned down",
             {{"breach", std::string(name)}, {"request", request_id}});
}

// Whatever kept its answer back, a request that is overdue has one: it is lost half a second after
// its time.
void Node::watch_overdue() {
  if (overdue_timer_ || open_requests_.empty()) return;
  overdue_timer_ = timers_.after(facts::kOverdueLook, [this] {
    overdue_timer_.reset();
    answer_overdue();
    watch_overdue();
  });
}

void Node::answer_overdue() {
  const Time now = timers_.now();
  std::vector<RequestId> overdue;
  for (const auto& [id, o] : open_requests_)
    if (o.response_sink && !o.request_message->body_stream && o.state.overdue(now, facts::kOverdue))
      overdue.push_back(id);
  for (const auto id : overdue) {
    on_invariant_violation(policy::InvariantViolation::response_overdue,
                           open_requests_.at(id).request_message->request_id);
    respond(id, &Metrics::ResponseCounts::error,
            {http::status::gateway_timeout, "no answer in time\n", "text/plain", {}});
    handle_event(ClientDisconnected{id});
  }
}

void Node::forget_if_done(RequestId request) {
  const auto it = open_requests_.find(request);
  if (it != open_requests_.end() && !it->second.response_sink &&
      it->second.state.outstanding_attempts() == 0)
    open_requests_.erase(it);
}

}  // namespace petrelrail

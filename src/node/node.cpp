#include "node.hpp"

#include <algorithm>

#include "limits.hpp"
#include "request_reader.hpp"

namespace petrelrail {
namespace {

// Descriptors for clients and price servers together. The reserve for the node's own descriptors is
// the maximum it can need. Under a small limit the reserve shrinks so that kMinPeerDescriptorShare
// remains, because the node seldom needs all of it.
std::size_t peer_descriptors(const NodeConfig& c) {
  const auto reserved = limits::kReservedDescriptors + limits::kCounterConnections +
                        (c.gossip ? 1 : 0);
  const auto minimum = std::max<std::size_t>(
      1, static_cast<std::size_t>(limits::kMinPeerDescriptorShare *
                                  static_cast<double>(c.descriptors)));
  return std::max(c.descriptors - std::min(reserved, c.descriptors), minimum);
}
std::size_t client_descriptors(const NodeConfig& c) {
  return std::max<std::size_t>(1,
                               static_cast<std::size_t>(limits::kClientDescriptorShare *
                                                        static_cast<double>(peer_descriptors(c))));
}
std::size_t server_descriptors(const NodeConfig& c) {
  return peer_descriptors(c) - client_descriptors(c);
}

}  // namespace

Node::Node(asio::io_context& io, NodeConfig config)
    : io_(io),
      config_(std::move(config)),
      timers_(io, clock_),
      overload_(std::make_shared<policy::OverloadManager>()),
      table_memory_(overload_),
      upstream_(io, timers_, config_.settings.settings.connect_timeout, config_.keep_alive,
                server_descriptors(config_), *this, overload_),
      gateway_(config_.settings.settings, config_.seed, &upstream_),
      discovery_(
          io, timers_, config_.discovery, config_.discovery_host, config_.settings.names.zones,
          [this](EndpointListKind kind, const auto& entries) { on_list_changed(kind, entries); },
          config_.settings.settings.drain_grace),
      http_server_(io, timers_, std::make_shared<const Settings>(config_.settings.settings),
                   client_descriptors(config_), overload_, *this),
      admin_server_(io, timers_, *this),
      hot_restart_(io, timers_, config_.handover_path, *this) {
  limit_memory();
  for (const auto& c : config_.settings.settings.classes) metrics_.response_counts(c.name);
  if (config_.counter && config_.settings.settings.counter) counter_ = make_counter_client();
  if (config_.gossip)
    gossip_ = std::make_unique<GossipTransport>(io_, timers_, *config_.gossip, config_.seed,
                                                static_cast<GossipTransport::Callbacks&>(*this));
  if (config_.coordination) {
    settings_ = std::make_shared<const Settings>(config_.settings.settings);
    coordination_ = std::make_unique<Coordination>(timers_, *config_.coordination, config_.seed,
                                                   static_cast<Coordination::Callbacks&>(*this));
  }
}

std::unique_ptr<CounterClient> Node::make_counter_client() {
  return std::make_unique<CounterClient>(
      io_, timers_, *config_.counter, config_.settings.settings.counter_timeout,
      [this](const CounterResponse& response) { handle_event(response); },
      [this] { handle_event(CounterRecovered{}); }, config_.seed);
}

void Node::limit_memory() {
  overload_->set_memory_limit(config_.memory_limit);
  gateway_.set_max_customers(overload_->max_customers(Gateway::max_bytes_per_customer()));
  history_.set_max_bytes(overload_->max_history_bytes(limits::kMaxHistoryBytes));
  discovery_.limit_memory(overload_->max_list_bytes(limits::kMaxJsonLineBytes),
                          policy::MemoryAccount(overload_));
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
    log::warning("node", "can't open the listener; retrying", {{"why", x.code().message()}});
    timers_.after(limits::kAcceptRetryDelay, [this] { serve_with_retry(); });
  }
}

// Retries when the machine is temporarily short of sockets, rather than ending the process.
void Node::start_admin_server() {
  if (!config_.control) return;
  try {
    admin_server_.listen(*config_.control);
  } catch (const boost::system::system_error& x) {
    if (!is_system_shortage(x.code())) throw;
    timers_.after(limits::kAcceptRetryDelay, [this] { start_admin_server(); });
  }
}

// ---- Hand-over to and from another process ------------------------------------------------------

void Node::serve() {
  if (inherited_listener_) {
    http_server_.adopt(inherited_listener_.release());
  } else {
    http_server_.listen(config_.listen);
  }
  serving_ = true;
  hot_restart_.wait_for_successor();
  join_cluster(nullptr);
}

// A process that can't bind its peer address serves clients nevertheless, without membership.
void Node::join_cluster(const nlohmann::json* predecessor) {
  if (!gossip_ || gossip_->started()) return;
  const auto section = [&](const char* name) {
    const auto* j = predecessor != nullptr && predecessor->contains(name) ? &predecessor->at(name)
                                                                          : nullptr;
    return j;
  };
  try {
    const auto* member = section("member");
    gossip_->start(member != nullptr ? std::optional(self_from_json(*member, gossip_->self()))
                                     : std::nullopt);
    if (coordination_) coordination_->start(section("together"));
  } catch (const boost::system::system_error& x) {
    log::warning("members", "field 'peer_listen': " + x.code().message());
  }
}

// Retries, because a predecessor that hands nothing over may still hold the listening address.
void Node::serve_with_retry() {
  try {
    serve();
  } catch (const std::exception& x) {
    log::warning("node", std::string("field 'listen': ") + x.what());
    timers_.after(limits::kMaxBackoff, [this] { serve_with_retry(); });
  }
}

void Node::on_listener_received(Descriptor socket) {
  inherited_listener_ = std::move(socket);
  request_state_when_ready();
}

// A process that received SIGTERM takes nothing over: the predecessor's state would be lost with
// it.
void Node::request_state_when_ready() {
  if (serving_ || on_drained_) return;
  if (is_ready()) return hot_restart_.request_state();
  timers_.after(limits::kAcceptRetryDelay, [this] { request_state_when_ready(); });
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
  if (auto unanswered = unanswered_requests(); !unanswered.empty())
    state["unanswered"] = std::move(unanswered);
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
  if (state.contains("unanswered")) restore_unanswered(state.at("unanswered"));
  limit_descriptors(state.at("sessions"), state.at("connections"));
  join_cluster(&state);
  log::info("handover", "taken over from a predecessor");
  serve();
}

// Ends this process: two serving processes would be two nodes under one name.
void Node::on_replaced() {
  if (serving_ || !on_replaced_) return;
  log::warning("handover", "another process follows: this one ends");
  on_replaced_();
}

// During a hand-over both processes share the node's descriptors: this one leaves the other one's
// share free, but keeps at least half.
void Node::limit_descriptors(std::size_t used_by_clients, std::size_t used_by_servers) {
  const auto remaining = [](std::size_t all, std::size_t used) {
    return std::max(all / 2, all - std::min(all, used));
  };
  http_server_.set_max_sessions(remaining(client_descriptors(config_), used_by_clients));
  upstream_.set_max_connections(remaining(server_descriptors(config_), used_by_servers));
}

// Clients and price servers are each guaranteed their share. Clients may also use what the price
// servers leave of theirs, and idle server connections are closed for them, except for a floor that
// keeps many clients from costing every request a handshake. The price servers reclaim it from
// sessions without an accepted request.
bool Node::can_lend_descriptor() const {
  const auto floor = static_cast<std::size_t>(limits::kServerDescriptorFloorShare *
                                              static_cast<double>(upstream_.max_connections()));
  const auto all = http_server_.max_sessions() + upstream_.max_connections();
  const auto busy = upstream_.size() - upstream_.stats().idle;
  return http_server_.size() + std::max(floor, busy) < all;
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
  throw std::runtime_error("unknown hand-over message");
}

// Before this process serves, it starts as if there were no predecessor. Afterwards the successor
// has ended: if it had taken over, and this process is not draining, this process serves again.
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
    std::erase_if(retired_classes_, [&](const auto& retired) {
      return retired.request_class.name == c.name &&
             retired.request_class.idempotency == c.idempotency;
    });
    retired_classes_.push_back({c, timers_.now() + limits::kClassSwitchDelay + c.deadline});
  }
  config_.settings.settings = config.settings.settings;
  config_.keep_alive = config.keep_alive;
  config_.memory_limit = config.memory_limit;
  limit_memory();
  apply_settings();
  if (config.discovery != config_.discovery) {
    config_.discovery = config.discovery;
    discovery_.set_agent(config.discovery, config.discovery_host);
  }
  if (!counter_ || !config.counter || config.counter == config_.counter) return;
  config_.counter = config.counter;
  draining_counters_.push_back(std::exchange(counter_, make_counter_client()));
  // Calls in flight to the old address end there, at the latest by their time-out.
  timers_.after(config_.settings.settings.counter_timeout,
                [this] { draining_counters_.pop_front(); });
}

// Applies the settings of the file together with the retired classes: requests of a class that was
// removed, or whose idempotency changed, arrive until clients have switched to the new ones, and
// their retries for the class's deadline after that.
void Node::apply_settings() {
  auto settings = std::make_shared<Settings>(config_.settings.settings);
  auto& classes = settings->classes;
  const Time now = timers_.now();
  std::erase_if(retired_classes_, [&](const auto& retired) {
    return retired.retain_deadline <= now ||
           std::ranges::any_of(classes, [&](const RequestClass& c) {
             return c.name == retired.request_class.name &&
                    c.idempotency == retired.request_class.idempotency;
           });
  });
  Time next = Time::max();
  for (const auto& retired : retired_classes_)
    classes.push_back(retired.request_class), next = std::min(next, retired.retain_deadline);
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
  // Retired classes with longer deadlines don't count: SIGKILL does not wait for them.
  Duration longest_deadline{};
  for (const auto& c : config_.settings.settings.classes)
    longest_deadline = std::max(longest_deadline, c.deadline);
  http_server_.drain(longest_deadline);
  if (coordination_ && !handed_over_) {
    coordination_->step_down();
    step_down_deadline_ = timers_.now() + limits::kStepDownTimeout;
  }
  if (gossip_ && !handed_over_) gossip_->leave();
  timers_.at(http_server_.drain_deadline(), [this] { fail_open_requests(); });
  wait_until_drained();
}

// A request without a response at SIGKILL would be lost, so each one gets a final response now,
// whatever its deadline, and attempts in flight are not waited for. Streams continue.
void Node::fail_open_requests() {
  failed_open_requests_ = true;
  std::vector<RequestId> unanswered;
  for (const auto& [id, open] : open_requests_)
    if (open.response_sink && !open.state.streams_response()) unanswered.push_back(id);
  for (const auto id : unanswered) {
    respond(id, &Metrics::ResponseCounts::error,
            {http::status::gateway_timeout, "this process ends\n", "text/plain", {}});
    handle_event(ClientDisconnected{id});
  }
}

void Node::wait_until_drained() {
  const bool stepped_down = !coordination_ || handed_over_ || coordination_->has_stepped_down() ||
                            timers_.now() >= step_down_deadline_;
  const bool answered = open_requests_.empty() ||
                        (failed_open_requests_ && unanswered_requests_ == 0);
  if (answered && http_server_.drained() && stepped_down) return on_drained_();
  timers_.after(limits::kAcceptRetryDelay, [this] { wait_until_drained(); });
}

// Stays true once it was true: after a move of the counter its new address is tried while requests
// are served.
bool Node::is_ready() {
  was_ready_ = was_ready_ || (has_ready_servers_ && (!counter_ || counter_->has_tried_all()));
  return was_ready_;
}

// ---- Events -------------------------------------------------------------------------------------

// Passes events to the gateway one at a time: an event that an action causes is queued until the
// actions before it are done.
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
      log::warning("node", "event handling failed", {{"why", x.what()}});
    }
  }
  handling_events_ = false;
  table_memory_.set(policy::MemoryKind::customers,
                    gateway_.sizes().customers * Gateway::max_bytes_per_customer());
  table_memory_.set(policy::MemoryKind::requests, history_.bytes());
}

std::uint64_t Node::on_request(ClientRequest request, std::shared_ptr<HttpSession> session) {
  refuse_repeat(request);
  return accept_request(std::move(request), std::move(session));
}

// An open request of this id whose client has left.
std::optional<RequestId> Node::find_abandoned(const std::string& request_id) {
  for (const auto& [id, open] : open_requests_) {
    if (open.request_message->request_id != request_id) continue;
    if (!open.response_sink ||
        open.response_sink->client_presence() == policy::ClientPresence::disconnected)
      return id;
  }
  return std::nullopt;
}

// Throws RequestError if the request may have run already under the id that it comes with, as a
// client that has left may come again.
void Node::refuse_repeat(const ClientRequest& request) {
  const auto refuse = [&](const char* reason) {
    metrics_.on_repeat_refused();
    log::warning("node", "a request that came again was refused",
                 {{"request", request.request_id}, {"reason", reason}});
    throw RequestError(http::status::conflict, "a request with this id may have run");
  };
  const auto abandoned = find_abandoned(request.request_id);
  if (abandoned && !release_abandoned(*abandoned, request)) refuse("in_flight");
  if (!history_.may_forward(timers_.now(), request.request_id)) refuse("may_have_run");
}

// Ends a request whose client has left, so that the one that came again under its id is not
// forwarded beside it. Returns false if it may run, and must not run twice.
bool Node::release_abandoned(RequestId abandoned, const ClientRequest& request) {
  on_client_disconnected(static_cast<std::uint64_t>(abandoned));
  const auto it = open_requests_.find(abandoned);
  if (it == open_requests_.end()) return true;
  if (policy::RequestHistory::is_relevant(request.request_class())) return false;
  if (request.settings->cancel) upstream_.cancel(abandoned, it->second.state.attempts() - 1);
  return true;
}

policy::RequestHistory::Entry Node::history_entry(const OpenRequest& open) const {
  const auto& message = *open.request_message;
  return policy::RequestHistory::make_entry(timers_.now(), message.request_id,
                                            message.request_class(),
                                            open.state.first_forwarded_time());
}

nlohmann::json Node::unanswered_requests() const {
  auto all = nlohmann::json::array();
  const auto add = [&](const policy::RequestHistory::Entry& entry) {
    // Clients choose the bytes of an id, which need not be text.
    const std::vector<std::uint8_t> id(entry.id.begin(), entry.id.end());
    all.push_back({id, static_cast<int>(entry.idempotency), static_cast<int>(entry.scope),
                   entry.deduplication_deadline.time_since_epoch().count(),
                   entry.forget_time.time_since_epoch().count()});
  };
  for (const auto& entry : history_.entries()) add(entry);
  // Requests that are open here are answered here, but their clients may turn to the successor.
  for (const auto& [id, open] : open_requests_)
    if (policy::RequestHistory::is_relevant(open.request_message->request_class()))
      add(history_entry(open));
  return all;
}

void Node::restore_unanswered(const nlohmann::json& unanswered) {
  for (const auto& entry : unanswered) {
    const auto id = entry.at(0).get<std::vector<std::uint8_t>>();
    history_.remember({std::string(id.begin(), id.end()),
                       static_cast<Idempotency>(entry.at(1).get<int>()),
                       static_cast<DeduplicationScope>(entry.at(2).get<int>()),
                       Time(Duration(entry.at(3).get<Duration::rep>())),
                       Time(Duration(entry.at(4).get<Duration::rep>()))});
  }
}

std::uint64_t Node::accept_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) {
  const RequestId id{++last_request_number_};
  request.arrival.request = id;
  request.arrival.time_left = request.deadline.time_left(timers_.now());
  const RequestArrived arrival = request.arrival;
  auto& counts = metrics_.response_counts(request.request_class().name);
  if (log::is_request_logging_enabled())
    log::request("node", "taken",
                 {{"request", request.request_id}, {"class", request.request_class().name}});
  const auto& cls = request.request_class();
  const policy::RequestPolicy request_policy{cls.idempotency, cls.deduplication_window,
                                             request.deadline, request.settings->max_attempts};
  open_requests_.emplace(
      id, OpenRequest{std::move(sink), std::make_shared<ClientRequest>(std::move(request)), &counts,
                      policy::RequestState(request_policy)});
  ++unanswered_requests_;
  schedule_overdue_check();
  handle_event(arrival);
  return static_cast<std::uint64_t>(id);
}

// The time of a request whose body is forwarded while it arrives counts from when the last byte may
// have been written.
void Node::on_request_received(std::uint64_t request, Time not_written_until) {
  const RequestId id{request};
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end()) return;
  auto& deadline = it->second.request_message->deadline;
  if (!deadline.on_last_byte(not_written_until)) return;
  it->second.state.on_received(not_written_until);
  handle_event(RequestReceived{id, deadline.time_left(timers_.now())});
}

void Node::on_start_limited(std::uint64_t request, Time latest_start) {
  handle_event(StartLimited{RequestId{request}, latest_start});
}

void Node::on_client_disconnected(std::uint64_t request) {
  const RequestId id{request};
  const auto it = open_requests_.find(id);
  if (it == open_requests_.end() || !it->second.response_sink) return;
  it->second.response_sink.reset();
  it->second.client_has_left = true;
  it->second.state.on_client_disconnected();
  --unanswered_requests_;
  ++it->second.response_counts->error;
  handle_event(ClientDisconnected{id});
  // The rest of a streamed response has no reader.
  const auto& state = it->second.state;
  if (state.streams_response() && state.outstanding_attempts() > 0)
    return upstream_.cancel(id, state.attempts() - 1);
  erase_if_finished(id);
}

// Checks the client's socket just before the request is written: the request may have waited for
// units, a slot or a connection, and the event loop may not have seen the close yet. A request
// whose client may have left unseen is refused, as no further attempt may begin for it.
bool Node::is_still_wanted(RequestId request) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end() || !it->second.response_sink ||
      !it->second.state.may_write(timers_.now()))
    return false;
  switch (it->second.response_sink->client_presence()) {
    case policy::ClientPresence::connected: return true;
    case policy::ClientPresence::unknown:
      handle_event(StartLimited{request, timers_.now()});
      return false;
    case policy::ClientPresence::disconnected: break;
  }
  on_client_disconnected(static_cast<std::uint64_t>(request));
  return false;
}

void Node::on_attempt_ended(const UpstreamExchange& exchange, AttemptOutcome outcome,
                            Response response) {
  AttemptEnded event;
  event.request = exchange.request;
  event.attempt = exchange.attempt;
  event.endpoint = exchange.endpoint;
  event.outcome = outcome;
  const bool streamed = exchange.response_started != Time{};
  event.connect_duration = exchange.connect_duration;
  event.duration = (streamed ? exchange.response_started : timers_.now()) - exchange.started;
  if (streamed && outcome != AttemptOutcome::ok && exchange.response_complete)
    on_invariant_violation(policy::InvariantViolation::complete_response_aborted,
                           exchange.request_message->request_id);
  if (streamed)
    end_stream(exchange.request, outcome == AttemptOutcome::ok);
  else if (outcome == AttemptOutcome::ok)
    respond(exchange.request, &Metrics::ResponseCounts::success, response);
  const auto it = open_requests_.find(exchange.request);
  const auto& body = exchange.request_message->body_stream;
  event.body_consumed = body && body->consumed();
  event.request_completed = it == open_requests_.end() || !it->second.response_sink;
  if (it != open_requests_.end()) it->second.state.on_attempt_ended(outcome);
  erase_if_finished(exchange.request);
  handle_event(event);
}

bool Node::on_stream_started(const UpstreamExchange& exchange, const ResponseHead& head) {
  const auto it = open_requests_.find(exchange.request);
  if (it == open_requests_.end() || !it->second.response_sink) return false;
  if (const auto violation = it->second.state.check_respond())
    return on_invariant_violation(*violation, it->second.request_message->request_id), false;
  it->second.state.on_stream_started();
  it->second.response_sink->begin_stream(head);
  handle_event(TimeAdvanced{});
  return true;
}

void Node::on_stream_chunk(const UpstreamExchange& exchange, std::string_view chunk,
                           std::function<void()> on_written) {
  const auto it = open_requests_.find(exchange.request);
  if (it != open_requests_.end() && it->second.response_sink)
    it->second.response_sink->write_chunk(chunk, std::move(on_written));
}

void Node::end_stream(RequestId request, bool complete) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end()) return;
  const auto sink = std::exchange(it->second.response_sink, nullptr);
  if (!sink) return;
  it->second.state.on_responded();
  --unanswered_requests_;
  ++(complete ? it->second.response_counts->success : it->second.response_counts->error);
  if (log::is_request_logging_enabled())
    log::request("node", complete ? "answered in pieces" : "answer cut off",
                 {{"request", it->second.request_message->request_id}});
  if (complete)
    sink->end_stream();
  else
    sink->abort();
}

void Node::on_attempt_written(const UpstreamExchange& exchange) {
  metrics_.on_forwarded();
  const auto it = open_requests_.find(exchange.request);
  if (it != open_requests_.end()) it->second.was_written = true;
}

void Node::on_health_check_ended(const UpstreamExchange& exchange, AttemptOutcome outcome) {
  handle_event(
      HealthCheckEnded{exchange.endpoint, outcome, timers_.now() - exchange.started, std::nullopt});
}

void Node::on_list_changed(EndpointListKind kind, const std::vector<Discovery::Entry>& entries) {
  EndpointListUpdate update{kind, {}};
  for (const auto& e : entries) update.entries.push_back(e.info);
  if (kind != EndpointListKind::delta) upstream_.retain_endpoints(update.entries);
  for (const auto& e : entries)
    upstream_.update_endpoint(e.info.id, e.address, e.info.phase == EndpointPhase::ready,
                              e.info.started);
  // Draining or removed servers take no requests and don't make the node ready.
  has_ready_servers_ = has_ready_servers_ ||
                       std::ranges::any_of(entries, [](const Discovery::Entry& e) {
                         return e.info.phase == EndpointPhase::ready;
                       });
  handle_event(std::move(update));
}

// ---- Admin requests -----------------------------------------------------------------------------

std::string Node::metrics_text() {
  const auto servers = gateway_.endpoint_counts(timers_.now());
  return metrics_.text(
      {unanswered_requests_, servers.listed, servers.excluded, http_server_.size(),
       http_server_.accept_failures(), upstream_.stats(), log::stats(), timers_.now(),
       gossip_ && gossip_->started() ? gossip_.get() : nullptr,
       coordination_ && coordination_->cluster_state().started() ? coordination_.get() : nullptr,
       discovery_.stats(), http_server_.rejected_requests(), admin_server_.rejected_requests(),
       http_server_.session_ends(), upstream_.attempt_ends(), *overload_, gateway_.sizes()});
}

std::optional<std::string> Node::members_json() {
  if (!gossip_ || !gossip_->started()) return std::nullopt;
  return gossip_->to_json().dump() + "\n";
}

// The number of live members may change the rate of this node's counter calls. It changes no
// customer's units.
void Node::on_view_changed(const fleet::MembershipView& view) {
  // A member that was never heard from may be alive: it counts until it has failed or left.
  if (config_.gossip->paces_counter) handle_event(FleetView{view.living + view.unknown});
  if (coordination_) coordination_->on_view_changed(view);
}

void Node::on_message(fleet::MemberId from, const fleet::Message& message) {
  if (coordination_) coordination_->on_message(from, message);
}

bool Node::on_admin_request(const AdminServer::AdminRequest& request,
                            AdminServer::AdminCallback callback) {
  return coordination_ && coordination_->on_admin_request(request, callback);
}

// ---- Coordination with other edge nodes ---------------------------------------------------------

void Node::send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) {
  gossip_->send(to, std::move(body), echo);
}

void Node::add_to_counter(const std::string& name, double amount, Duration lifetime,
                          std::function<void(CounterOutcome, double total)> callback) {
  if (!counter_) return callback(CounterOutcome::refused, {});
  counter_->call(name, amount, lifetime, std::move(callback));
}

bool Node::quota_calls_waiting() const { return gateway_.sizes().queued_counter_calls > 0; }

void Node::send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) {
  accept_request(std::move(request), std::move(sink));
}

std::uint32_t Node::best_effort_capacity() { return gateway_.best_effort_capacity(timers_.now()); }

// ---- Ejection by operators ----------------------------------------------------------------------

bool Node::set_operator_ejection(const std::string& server, bool ejected) {
  if (!eject_endpoint(server, ejected)) return false;
  hot_restart_.send_message({{ejected ? "leave_out" : "put_back", server}});
  return true;
}

bool Node::eject_endpoint(const std::string& server, bool ejected) {
  const auto id = discovery_.find_id(server);
  if (!id) return false;
  log::info("node", "server " + server +
                        (ejected ? " ejected by an operator" : " readmitted by an operator"));
  upstream_.set_ejected(*id, ejected);
  handle_event(OperatorEjection{*id, ejected});
  return true;
}

// ---- Actions of the decision module -------------------------------------------------------------

void Node::execute(const Send& action) {
  const auto it = open_requests_.find(action.request);
  if (it == open_requests_.end()) return;
  auto& open = it->second;
  const Time now = timers_.now();
  const auto attempt = open.state.attempts();
  const auto violation = open.state.check_forward(now);
  open.state.on_forwarded(now);
  if (violation) {
    on_invariant_violation(*violation, open.request_message->request_id);
    AttemptEnded event;
    event.request = action.request, event.attempt = attempt, event.endpoint = action.endpoint,
    event.outcome = AttemptOutcome::never_sent;
    event.request_completed = !open.response_sink;
    open.state.on_attempt_ended(event.outcome);
    erase_if_finished(action.request);
    return handle_event(event);
  }
  if (attempt > 0) metrics_.on_retried();
  if (log::is_request_logging_enabled())
    log::request(
        "node", attempt > 0 ? "sent again" : "sent",
        {{"request", open.request_message->request_id}, {"attempt", std::to_string(attempt)}});
  const auto& deadline = open.request_message->deadline;
  upstream_.send({action.request,
                  attempt,
                  action.endpoint,
                  now,
                  deadline.is_running() ? now + action.timeout : deadline.time(),
                  open.request_message,
                  {},
                  {},
                  action.start_deadline});
}

void Node::execute(const Reject& action) {
  const auto it = open_requests_.find(action.request);
  if (it == open_requests_.end()) return;
  metrics_.on_rejected(action.reason);
  if (log::is_request_logging_enabled())
    log::request("node", "refused",
                 {{"request", it->second.request_message->request_id},
                  {"cause", std::string(name_of(action.reason))}});
  const auto retry_after = it->second.request_message->settings->retry_after ? action.retry_after
                                                                             : Duration{};
  respond(action.request, &Metrics::ResponseCounts::overload,
          {http::status::too_many_requests, "refused\n", "text/plain", retry_after});
}

void Node::execute(const Fail& action) {
  respond(action.request, &Metrics::ResponseCounts::error,
          {http::status::bad_gateway, "failed\n", "text/plain", {}});
}

void Node::execute(const Cancel& action) { upstream_.cancel(action.request, action.attempt); }

void Node::execute(const AddToCounter& action) {
  if (!counter_) return handle_event(CounterResponse{action.key, CounterOutcome::refused, 0, {}});
  counter_->add(action.key, action.amount, action.lifetime);
}

void Node::execute(const SetTimer& action) {
  timers_.after(action.delay, [this, timer = action.timer] { handle_event(TimerDue{timer}); });
}

void Node::execute(const CheckHealth& action) { upstream_.check_health(action.endpoint); }

void Node::execute(const ReleaseIdleConnections& action) {
  upstream_.release_idle(action.endpoint, action.keep);
}

void Node::execute(const Log& action) { log::info("module", action.text); }

// Sends the final response, at most once per request: it clears the request's response sink.
void Node::respond(RequestId request, std::uint64_t Metrics::ResponseCounts::*count,
                   const Response& response) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end()) return;
  // The client may have disconnected before a decision that was already made arrives here.
  if (const auto sink = it->second.response_sink) {
    if (const auto violation = it->second.state.check_respond())
      return on_invariant_violation(*violation, it->second.request_message->request_id);
    it->second.response_sink.reset();
    it->second.state.on_responded();
    --unanswered_requests_;
    ++(it->second.response_counts->*count);
    if (log::is_request_logging_enabled())
      log::request("node", "answered",
                   {{"request", it->second.request_message->request_id},
                    {"status", std::to_string(static_cast<unsigned>(response.status))}});
    sink->send(response);
  }
  erase_if_finished(request);
}

// Counts and logs a step that would have broken a guarantee to a client; the caller omits the step.
void Node::on_invariant_violation(policy::InvariantViolation violation,
                                  const std::string& request_id) {
  metrics_.on_invariant_violation(violation);
  const auto name = policy::kInvariantViolationNames.at(static_cast<std::size_t>(violation));
  log::write(log::Level::error, "rules", "a step was turned down",
             {{"breach", std::string(name)}, {"request", request_id}});
}

// Gives overdue requests a final response, whatever delayed it: a response counts as lost half a
// second after the deadline.
void Node::schedule_overdue_check() {
  if (overdue_timer_ || open_requests_.empty()) return;
  overdue_timer_ = timers_.after(limits::kOverdueCheckInterval, [this] {
    overdue_timer_.reset();
    respond_to_overdue();
    schedule_overdue_check();
  });
}

void Node::respond_to_overdue() {
  const Time now = timers_.now();
  std::vector<RequestId> overdue;
  for (const auto& [id, open] : open_requests_)
    if (open.response_sink && open.state.is_overdue(now, limits::kOverdueTolerance))
      overdue.push_back(id);
  for (const auto id : overdue) {
    on_invariant_violation(policy::InvariantViolation::response_overdue,
                           open_requests_.at(id).request_message->request_id);
    respond(id, &Metrics::ResponseCounts::error,
            {http::status::gateway_timeout, "no answer in time\n", "text/plain", {}});
    handle_event(ClientDisconnected{id});
  }
}

void Node::erase_if_finished(RequestId request) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end() || it->second.response_sink ||
      it->second.state.outstanding_attempts() > 0)
    return;
  const auto& open = it->second;
  // A server starts on a request once its last byte has arrived.
  if (open.client_has_left && open.was_written && open.state.may_have_run() &&
      policy::RequestHistory::is_relevant(open.request_message->request_class()))
    history_.remember(history_entry(open));
  open_requests_.erase(it);
}

}  // namespace petrelrail

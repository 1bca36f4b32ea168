#include "http_server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <vector>

#include "limits.hpp"
#include "request_reader.hpp"

namespace petrelrail {

HttpServer::HttpServer(asio::io_context& io, Timers& timers,
                       std::shared_ptr<const Settings> settings, std::size_t max_sessions,
                       std::shared_ptr<policy::OverloadManager> overload, Callbacks& owner)
    : io_(io),
      timers_(timers),
      settings_(std::move(settings)),
      max_sessions_(max_sessions),
      overload_(std::move(overload)),
      callbacks_(owner),
      acceptor_(io.get_executor()) {}

void HttpServer::listen(const Tcp::endpoint& at) {
  if (acceptor_.is_open()) acceptor_.close();
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  // A new process can then listen although its predecessor hands nothing over.
  acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  start_listening();
}

void HttpServer::adopt(int listening_socket) {
  acceptor_.assign(Tcp::v4(), listening_socket);
  start_listening();
}

void HttpServer::start_listening() {
  acceptor_.non_blocking(true);
  // Reports a client that disconnected before it was accepted. Without this option the library
  // waits for the next connection to arrive although others may already be queued.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
  timers_.after(limits::kSessionSweepInterval, [this] { sweep(); });
}

void HttpServer::stop_accepting() {
  accepting_stopped_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);  // not closed: the successor shares the socket and its queue
}

void HttpServer::resume() {
  accepting_stopped_ = false;
  accept();
}

void HttpServer::accept() {
  if (accepting_stopped_) return;
  if (sessions_.size() < max_sessions_) {
    accept_pending_ = true;
    acceptor_.async_accept([this](const error_code& failed, Socket socket) {
      if (failed != asio::error::operation_aborted) on_accepted(failed, std::move(socket));
    });
    return;
  }
  accept_pending_ = callbacks_.can_lend_descriptor() || eviction_candidate();
  if (!accept_pending_) return;  // resume_accepting() continues
  // Above its share the server waits for a connection before it frees a descriptor: a session that
  // was evictable when the wait began may have received a request meanwhile.
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const error_code& failed) {
    if (failed == asio::error::operation_aborted || accepting_stopped_) return;
    accept_pending_ = sessions_.size() < max_sessions_ || callbacks_.lend_descriptor() ||
                      evict_idle();
    if (!accept_pending_) return;
    error_code accept_error;
    Socket socket(io_.get_executor());
    acceptor_.accept(socket, accept_error);
    if (accept_error == asio::error::would_block) return accept();  // the client has disconnected
    on_accepted(accept_error, std::move(socket));
  });
}

void HttpServer::on_accepted(const error_code& failed, Socket socket) {
  if (failed) {
    ++accept_failures_;
    if (is_transient_accept_failure(failed)) return accept();
    // Most likely no descriptor is free: evicts a session and accepts again after a delay.
    if (!is_system_shortage(failed)) evict_idle();
    timers_.after(limits::kAcceptRetryDelay, [this] { accept(); });
    return;
  }
  last_accept_time_ = timers_.now();
  const auto session = std::make_shared<HttpSession>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
  accept();
}

// The session that has been idle longest; if none is idle, the one whose partial request has
// received nothing for longest, so that clients that keep sending are kept. A session with a
// complete request is never a candidate.
std::shared_ptr<HttpSession> HttpServer::eviction_candidate() const {
  std::shared_ptr<HttpSession> candidate;
  const auto evicted_before = [](const auto& a, const auto& b) {
    return std::pair(!a->is_idle(), a->last_received_time()) <
           std::pair(!b->is_idle(), b->last_received_time());
  };
  for (const auto& s : sessions_)
    if (s->is_evictable() && (!candidate || evicted_before(s, candidate))) candidate = s;
  return candidate;
}

bool HttpServer::evict_idle() {
  const auto session = eviction_candidate();
  if (session) session->evict(SessionEndReason::descriptor_needed);
  return session != nullptr;
}

void HttpServer::remove_session(const std::shared_ptr<HttpSession>& session) {
  sessions_.erase(session);
  resume_accepting();
}

void HttpServer::resume_accepting() {
  if (!accept_pending_) accept();
}

void HttpServer::charge_request(ClientRequest& request) {
  const auto body_bytes = request.body.capacity();
  const auto bytes = request.bytes() + body_bytes;
  // Room is made first: a complete request goes before those whose clients have stopped.
  if (!overload_->may_accept(bytes)) shed_incomplete_requests();
  if (!overload_->may_accept(bytes)) {
    on_shed(policy::SheddingReason::complete_request, request.request_id, bytes);
    throw RequestError(http::status::service_unavailable, "the node is short of memory");
  }
  request.memory.emplace(overload_);
  request.memory->set(policy::MemoryKind::requests, bytes - body_bytes);
  request.memory->set(policy::MemoryKind::bodies, body_bytes);
}

void HttpServer::shed_incomplete_requests() {
  while (overload_->stage() >= policy::OverloadStage::shed && shed_victims()) {}
}

bool HttpServer::shed_victims() {
  log_stage();
  std::vector<std::shared_ptr<HttpSession>> sessions;
  std::vector<policy::IncompleteRequest> requests;
  for (const auto& session : sessions_) {
    if (!session->has_incomplete_request()) continue;
    requests.push_back(session->incomplete_request(sessions.size()));
    sessions.push_back(session);
  }
  const auto reason = overload_->stage() == policy::OverloadStage::close
                          ? policy::SheddingReason::never_complete
                          : policy::SheddingReason::incomplete_request;
  const auto victims = overload_->choose_victims(std::move(requests));
  for (const auto victim : victims) sessions[victim]->shed(reason);
  return !victims.empty();
}

void HttpServer::on_shed(policy::SheddingReason reason, const std::string& request_id,
                         std::size_t bytes) {
  overload_->count(reason);
  const auto name = policy::kSheddingReasonNames.at(static_cast<std::size_t>(reason));
  const std::initializer_list<log::Value> values{
      {"request", request_id}, {"reason", std::string(name)}, {"bytes", std::to_string(bytes)}};
  if (std::exchange(logs_next_shedding_, false))
    log::warning("overload", "a request was shed, the first in this stage", values);
  else
    log::request("overload", "a request was shed", values);
}

void HttpServer::log_stage() {
  const auto report = stage_log_.update(timers_.now(), overload_->stage());
  if (!report) return;
  logs_next_shedding_ = true;
  const auto name = policy::kOverloadStageNames.at(static_cast<std::size_t>(report->state));
  log::warning("overload", "the stage has changed",
               {{"stage", std::string(name)},
                {"held", std::to_string(overload_->total())},
                {"budget", std::to_string(overload_->budget())},
                {"changes_not_logged", std::to_string(report->unreported)}});
}

void HttpServer::sweep() {
  const Time now = timers_.now();
  log_stage();
  shed_incomplete_requests();
  const std::vector<std::shared_ptr<HttpSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& s : all) {
    s->sweep(now);
    const auto idle_timeout = accepting_stopped_ ? limits::kHandedOverIdleTimeout
                                                 : limits::kNewConnectionsAfterTerm;
    if ((draining_ || accepting_stopped_) && s->has_no_unread_input() &&
        now - s->last_progress_time() > idle_timeout)
      s->close_lingering(SessionEndReason::process_ends);
  }
  timers_.after(limits::kSessionSweepInterval, [this] { sweep(); });
}

void HttpServer::drain(Duration longest_deadline) {
  draining_ = true;
  last_accept_time_ = drain_started_time_ = timers_.now();
  drain_deadline_ = drain_started_time_ + std::min(longest_deadline, limits::kMaxDeadlineAtTerm) +
                    limits::kKillDelayAfterTerm - limits::kFinalResponseMargin;
  if (accepting_stopped_) return;  // the sessions end with their next responses
  const std::vector<std::shared_ptr<HttpSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& s : all)
    // A new session has a request on its way.
    if (s->has_no_unread_input() && !s->awaits_first_request())
      s->close_lingering(SessionEndReason::process_ends);
}

// Limits the deadline of a request that arrives late during a drain to the process's own: clients
// send on open connections up to SIGKILL, and a request without a response by then is lost.
void HttpServer::shorten_deadline(ClientRequest& request) const {
  const Time now = timers_.now();
  if (!draining_ || now - drain_started_time_ <= limits::kNewConnectionsAfterTerm) return;
  request.deadline.limit(drain_deadline_);
}

// Clients that have their responses but do not close don't delay the exit beyond the deadline.
bool HttpServer::drained() const {
  const Time now = timers_.now();
  if (!draining_ || now - last_accept_time_ <= limits::kNewConnectionsAfterTerm) return false;
  return sessions_.empty() ||
         (now >= drain_deadline_ &&
          std::ranges::all_of(sessions_, [](const auto& s) { return s->is_lingering(); }));
}

}  // namespace petrelrail

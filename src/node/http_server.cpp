#include "http_server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <vector>

#include "limits.hpp"
#include "request_reader.hpp"

namespace petrelrail {

HttpServer::HttpServer(asio::io_context& io, Timers& timers,
                       std::shared_ptr<const Settings> settings, std::size_t max_sessions,
                       Callbacks& owner)
    : io_(io),
      timers_(timers),
      settings_(std::move(settings)),
      max_sessions_(max_sessions),
      callbacks_(owner),
      acceptor_(io.get_executor()) {}

void HttpServer::listen(const Tcp::endpoint& at) {
  if (acceptor_.is_open()) acceptor_.close();
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  // So that a new version can start even where its predecessor hands nothing over.
  acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  start_listening();
}

void HttpServer::adopt(int listening) {
  acceptor_.assign(Tcp::v4(), listening);
  start_listening();
}

void HttpServer::start_listening() {
  acceptor_.non_blocking(true);
  // A client that has gone before it was accepted is told of: the library would wait for the next
  // one to come, though others may stand in the queue already.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
  timers_.after(limits::kSessionSweepInterval, [this] { sweep(); });
}

void HttpServer::stop_accepting() {
  accepting_stopped_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);  // the socket stays open: the queue is shared
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
  if (!accept_pending_) return;  // goes on when a session ends, or holds nothing that was taken
  // Beyond the share a client is only taken once it is there and room is made: whoever could be let
  // go before may have asked for something meanwhile.
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const error_code& failed) {
    if (failed == asio::error::operation_aborted || accepting_stopped_) return;
    accept_pending_ = sessions_.size() < max_sessions_ || callbacks_.lend_descriptor() ||
                      evict_idle();
    if (!accept_pending_) return;
    error_code none;
    Socket socket(io_.get_executor());
    acceptor_.accept(socket, none);
    if (none == asio::error::would_block) return accept();  // it has gone
    on_accepted(none, std::move(socket));
  });
}

void HttpServer::on_accepted(const error_code& failed, Socket socket) {
  if (failed) {
    ++accept_failures_;
    if (is_transient_accept_failure(failed)) return accept();
    // For want of a descriptor, most likely, one that idles is given up; the next try comes after a
    // moment.
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

// Gives up the session that has idled longest; if none idles, the one of whose request nothing has
// come for longest: of a crowd that stops half way those who go on writing are kept. A request that
// has come whole is never given up.
std::shared_ptr<HttpSession> HttpServer::eviction_candidate() const {
  std::shared_ptr<HttpSession> oldest;
  const auto before = [](const auto& a, const auto& b) {
    return std::pair(!a->is_idle(), a->last_received_time()) <
           std::pair(!b->is_idle(), b->last_received_time());
  };
  for (const auto& s : sessions_)
    if (s->is_evictable() && (!oldest || before(s, oldest))) oldest = s;
  return oldest;
}

bool HttpServer::evict_idle() {
  const auto session = eviction_candidate();
  if (session) session->evict(SessionEndReason::descriptor_needed);
  return session != nullptr;
}

void HttpServer::forget(const std::shared_ptr<HttpSession>& session) {
  sessions_.erase(session);
  resume_accepting();
}

void HttpServer::resume_accepting() {
  if (!accept_pending_) accept();
}

void HttpServer::sweep() {
  const Time now = timers_.now();
  const std::vector<std::shared_ptr<HttpSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& s : all) {
    s->sweep(now);
    const auto idle = accepting_stopped_ ? limits::kHandedOverIdleTimeout
                                         : limits::kNewConnectionsAfterTerm;
    if ((draining_ || accepting_stopped_) && s->has_no_unread_input() &&
        now - s->state_since() > idle)
      s->close_lingering(SessionEndReason::process_ends);
  }
  timers_.after(limits::kSessionSweepInterval, [this] { sweep(); });
}

void HttpServer::drain(Duration longest_deadline) {
  draining_ = true;
  last_accept_time_ = drain_started_ = timers_.now();
  drain_deadline_ = drain_started_ + std::min(longest_deadline, limits::kMaxDeadlineAtTerm) +
                    limits::kKillDelayAfterTerm - limits::kFinalResponseMargin;
  if (accepting_stopped_) return;  // they are told with their next answers
  const std::vector<std::shared_ptr<HttpSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& s : all)
    if (s->has_no_unread_input() && !s->awaits_first_request())
      s->close_lingering(
          SessionEndReason::process_ends);  // those that are new have a request on its way
}

// Clients send up to SIGKILL on whatever stays open, and what SIGKILL finds unanswered of that is
// lost: a request that comes late has no more time than this process.
void HttpServer::shorten_deadline(ClientRequest& request) const {
  const Time now = timers_.now();
  if (!draining_ || now - drain_started_ <= limits::kNewConnectionsAfterTerm) return;
  if (request.deadline <= drain_deadline_) return;
  if (drain_deadline_ <= now)
    throw RequestError(http::status::service_unavailable, "this process ends");
  request.deadline = drain_deadline_;
  request.arrival.time_left = drain_deadline_ - now;
}

// Clients that have their answers and do not close don't hold the process up to SIGKILL.
bool HttpServer::drained() const {
  const Time now = timers_.now();
  if (!draining_ || now - last_accept_time_ <= limits::kNewConnectionsAfterTerm) return false;
  return sessions_.empty() ||
         (now >= drain_deadline_ &&
          std::ranges::all_of(sessions_, [](const auto& s) { return s->is_lingering(); }));
}

}  // namespace petrelrail

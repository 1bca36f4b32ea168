#include "upstream.hpp"

#include <algorithm>

#include "limits.hpp"

namespace petrelrail {

Upstream::Upstream(asio::io_context& io, Timers& timers, Duration connect_timeout,
                   Duration keep_alive, std::size_t max_connections, Callbacks& callbacks,
                   std::shared_ptr<policy::OverloadManager> overload)
    : io_(io),
      timers_(timers),
      connect_timeout_(connect_timeout),
      keep_alive_(keep_alive),
      max_connections_(max_connections),
      callbacks_(callbacks),
      overload_(std::move(overload)) {
  sweep_timer_ = timers_.after(limits::kPoolSweepInterval, [this] { sweep(); });
}

Upstream::~Upstream() { timers_.cancel(sweep_timer_); }

void Upstream::set_timeouts(Duration connect_timeout, Duration keep_alive) {
  connect_timeout_ = connect_timeout;
  keep_alive_ = keep_alive;
}

void Upstream::update_endpoint(EndpointId server, const Tcp::endpoint& address,
                               bool accepts_requests, std::optional<Time> start_time) {
  auto& t = endpoints_.try_emplace(server, server, stats_).first->second;
  t.pool.set_address(address, start_time);
  t.accepts_requests = accepts_requests;
  if (!accepts_requests) t.pool.release_idle(0);
}

void Upstream::retain_endpoints(const std::vector<EndpointInfo>& listed) {
  for (auto& [id, t] : endpoints_) {
    if (std::ranges::find(listed, id, &EndpointInfo::id) != listed.end()) continue;
    t.accepts_requests = false;
    t.pool.release_idle(0);
  }
}

void Upstream::set_ejected(EndpointId server, bool ejected) {
  if (!ejected) return void(ejected_.erase(server));
  ejected_.insert(server);
  release_idle(server, 0);
}

ConnectionCounts Upstream::connections(EndpointId server) const {
  const auto it = endpoints_.find(server);
  if (it == endpoints_.end()) return {};
  const auto& p = it->second.pool;
  return {static_cast<std::uint32_t>(p.idle()), static_cast<std::uint32_t>(p.idle() + p.busy())};
}

void Upstream::release_idle(EndpointId server, std::size_t keep) {
  if (const auto it = endpoints_.find(server); it != endpoints_.end())
    it->second.pool.release_idle(keep);
}

void Upstream::send(UpstreamExchange exchange) { start_exchange(std::move(exchange)); }

void Upstream::check_health(EndpointId server) {
  const Time now = timers_.now();
  start_exchange({{}, 0, server, now, now + connect_timeout_, nullptr, {}, {}});
}

void Upstream::start_exchange(UpstreamExchange exchange) {
  const auto it = endpoints_.find(exchange.endpoint);
  if (it == endpoints_.end() || !can_start(exchange))
    return report_end(exchange, AttemptOutcome::never_sent, AttemptEndReason::not_started, {});
  auto& p = it->second.pool;
  if (const auto c = p.acquire(timers_.now(), idle_limit()))
    return c->start_exchange(std::move(exchange));
  if (!reserve_connection())
    return report_end(exchange, AttemptOutcome::never_sent, AttemptEndReason::local_failure, {});
  const auto c = std::make_shared<UpstreamConnection>(*this, p, io_);
  p.on_connecting(c);
  c->open(p.address(), std::move(exchange));
}

// Makes room for a new connection. At the limit of connections or descriptors an idle connection to
// any endpoint is closed first; if none is idle, a client connection beyond the clients' share of
// descriptors.
bool Upstream::reserve_connection() {
  const bool below_limit = stats_.open < max_connections_;
  return (below_limit && callbacks_.has_free_descriptor()) || evict_idle() ||
         (below_limit && callbacks_.reclaim_descriptor());
}

bool Upstream::accepts_requests(const EndpointState& endpoint) const {
  return endpoint.accepts_requests && !ejected_.contains(endpoint.pool.endpoint());
}

bool Upstream::can_start(const UpstreamExchange& e) {
  const auto it = endpoints_.find(e.endpoint);
  if (it == endpoints_.end() || !accepts_requests(it->second)) return false;
  if (timers_.now() >= std::min(e.deadline, e.start_deadline)) return false;
  if (!e.request_message) return true;
  return timers_.now() < e.request_message->earliest_deadline() &&
         callbacks_.is_still_wanted(e.request);
}

void Upstream::report_end(const UpstreamExchange& exchange, AttemptOutcome outcome,
                          AttemptEndReason reason, Response answer) {
  if (!exchange.request_message) return callbacks_.on_health_check_ended(exchange, outcome);
  attempt_ends_.add(reason);
  const bool broken = exchange.response_started != Time{} && outcome != AttemptOutcome::ok &&
                      outcome != AttemptOutcome::cancelled;
  if (broken || log::is_request_logging_enabled()) log_end(exchange, outcome, reason, broken);
  callbacks_.on_attempt_ended(exchange, outcome, std::move(answer));
}

// A response that breaks after a part of it has reached the client can't be retried, so it is
// always logged; other ends are logged only with request logging.
void Upstream::log_end(const UpstreamExchange& exchange, AttemptOutcome outcome,
                       AttemptEndReason reason, bool broken) {
  const auto server = std::to_string(static_cast<std::uint64_t>(exchange.endpoint));
  const std::initializer_list<log::Value> values{{"request", exchange.request_message->request_id},
                                                 {"attempt", std::to_string(exchange.attempt)},
                                                 {"server", server},
                                                 {"outcome", std::string(name_of(outcome))},
                                                 {"reason", std::string(name_of(reason))}};
  if (broken) return log::warning("upstream", "an answer broke while it was passed on", values);
  log::request("upstream", "attempt ended", values);
}

void Upstream::cancel(RequestId request, std::uint32_t attempt) {
  for (auto& [id, t] : endpoints_) {
    for (const auto& c : t.pool.in_use()) {
      const auto& e = c->exchange();
      if (!e || !e->request_message || e->request != request || e->attempt != attempt) continue;
      const auto connection = c;  // NOLINT(performance-unnecessary-copy-initialization): keeps it
                                  // after removal
      return connection->close(AttemptOutcome::cancelled, AttemptEndReason::cancelled);
    }
  }
}

void Upstream::return_idle(const ConnectionPool::Connection& c, ConnectionPool& pool) {
  pool.return_idle(c);
  if (!keep_idle_ || !accepts_requests(endpoints_.at(pool.endpoint()))) pool.release_idle(0);
}

void Upstream::set_keep_idle(bool keep_idle) {
  keep_idle_ = keep_idle;
  if (keep_idle) return;
  for (auto& [id, t] : endpoints_) t.pool.release_idle(0);
}

bool Upstream::evict_idle() {
  ConnectionPool* longest_idle = nullptr;
  for (auto& [id, t] : endpoints_)
    if (t.pool.idle() > 0 && (!longest_idle || t.pool.idle_since() < longest_idle->idle_since()))
      longest_idle = &t.pool;
  return longest_idle && longest_idle->release_idle(longest_idle->idle() - 1) > 0;
}

// A price server may close a connection that has been idle for the configured keep-alive time, and
// what is written to it from then on is lost: the pool closes it well before.
Duration Upstream::idle_limit() const {
  return Duration(static_cast<Duration::rep>(limits::kIdleTimeoutShare *
                                             static_cast<double>(keep_alive_.count())));
}

void Upstream::sweep() {
  const Time now = timers_.now();
  for (auto& [id, t] : endpoints_) {
    t.pool.close_expired(now, idle_limit());
    for (const auto& c : t.pool.in_use()) c->release_spare_while_paused();
  }
  std::erase_if(endpoints_,
                [](const auto& e) { return !e.second.accepts_requests && e.second.pool.empty(); });
  sweep_timer_ = timers_.after(limits::kPoolSweepInterval, [this] { sweep(); });
}

}  // namespace petrelrail

#include "upstream.hpp"

#include <algorithm>

#include "limits.hpp"

namespace petrelrail {

Upstream::Upstream(asio::io_context& io, Timers& timers, Duration connect_timeout,
                   Duration keep_alive, std::size_t max_connections, Callbacks& owner)
    : io_(io),
      timers_(timers),
      connect_timeout_(connect_timeout),
      keep_alive_(keep_alive),
      max_connections_(max_connections),
      callbacks_(owner) {
  sweep_timer_ = timers_.after(limits::kPoolSweepInterval, [this] { sweep(); });
}

Upstream::~Upstream() { timers_.cancel(sweep_timer_); }

void Upstream::set_timeouts(Duration connect_timeout, Duration keep_alive) {
  connect_timeout_ = connect_timeout;
  keep_alive_ = keep_alive;
}

void Upstream::update_endpoint(EndpointId server, const Tcp::endpoint& address, bool takes_work,
                               std::optional<Time> started) {
  auto& t = targets_.try_emplace(server, server, stats_).first->second;
  t.pool.set_address(address, started);
  t.accepts_requests = takes_work;
  if (!takes_work) t.pool.release_idle(0);
}

void Upstream::retain_endpoints(const std::vector<EndpointInfo>& listed) {
  for (auto& [id, t] : targets_) {
    if (std::ranges::find(listed, id, &EndpointInfo::id) != listed.end()) continue;
    t.accepts_requests = false;
    t.pool.release_idle(0);
  }
}

void Upstream::set_ejected(EndpointId server, bool out) {
  if (!out) return void(ejected_.erase(server));
  ejected_.insert(server);
  release_idle(server, 0);
}

ConnectionCounts Upstream::connections(EndpointId server) const {
  const auto it = targets_.find(server);
  if (it == targets_.end()) return {};
  const auto& p = it->second.pool;
  return {static_cast<std::uint32_t>(p.idle()), static_cast<std::uint32_t>(p.idle() + p.busy())};
}

void Upstream::release_idle(EndpointId server, std::size_t keep) {
  if (const auto it = targets_.find(server); it != targets_.end())
    it->second.pool.release_idle(keep);
}

void Upstream::send(UpstreamExchange exchange) { start_exchange(std::move(exchange)); }

void Upstream::check_health(EndpointId server) {
  const Time now = timers_.now();
  start_exchange({{}, 0, server, now, now + connect_timeout_, nullptr, {}, {}});
}

void Upstream::start_exchange(UpstreamExchange exchange) {
  const auto it = targets_.find(exchange.endpoint);
  if (it == targets_.end() || !may_start(exchange))
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

// Where there is none, what idles elsewhere goes first, and then what the clients have beyond their
// share.
bool Upstream::reserve_connection() {
  const bool within = stats_.open < max_connections_;
  return (within && callbacks_.has_free_descriptor()) || evict_idle() ||
         (within && callbacks_.reclaim_descriptor());
}

bool Upstream::accepts_requests(const Target& target) const {
  return target.accepts_requests && !ejected_.contains(target.pool.endpoint());
}

bool Upstream::may_start(const UpstreamExchange& e) {
  const auto it = targets_.find(e.endpoint);
  if (it == targets_.end() || !accepts_requests(it->second)) return false;
  if (timers_.now() >= std::min(e.deadline, e.start_deadline)) return false;
  return !e.request_message || callbacks_.is_still_wanted(e.request);
}

void Upstream::report_end(const UpstreamExchange& exchange, AttemptOutcome outcome,
                          AttemptEndReason why, Response answer) {
  if (!exchange.request_message) return callbacks_.on_health_check_ended(exchange, outcome);
  attempt_ends_.add(why);
  const bool broke = exchange.response_started != Time{} && outcome != AttemptOutcome::ok &&
                     outcome != AttemptOutcome::cancelled;
  if (broke || log::follows_requests()) log_end(exchange, outcome, why, broke);
  callbacks_.on_attempt_ended(exchange, outcome, std::move(answer));
}

// An answer that breaks after its client has a part of it can't be made good: that is always told.
void Upstream::log_end(const UpstreamExchange& exchange, AttemptOutcome outcome,
                       AttemptEndReason why, bool broke) {
  const auto server = std::to_string(static_cast<std::uint64_t>(exchange.endpoint));
  const std::initializer_list<log::Value> values{{"request", exchange.request_message->request_id},
                                                 {"attempt", std::to_string(exchange.attempt)},
                                                 {"server", server},
                                                 {"outcome", std::string(name_of(outcome))},
                                                 {"reason", std::string(name_of(why))}};
  if (broke) return log::warning("upstream", "an answer broke while it was passed on", values);
  log::request("upstream", "attempt ended", values);
}

void Upstream::cancel(RequestId request, std::uint32_t attempt) {
  for (auto& [id, t] : targets_) {
    for (const auto& c : t.pool.in_use()) {
      const auto& e = c->exchange();
      if (!e || !e->request_message || e->request != request || e->attempt != attempt) continue;
      const auto
          found = c;  // NOLINT(performance-unnecessary-copy-initialization): outlives the list
      return found->close(AttemptOutcome::cancelled, AttemptEndReason::cancelled);
    }
  }
}

void Upstream::return_idle(const ConnectionPool::Connection& c, ConnectionPool& pool) {
  pool.return_idle(c);
  if (!keep_idle_ || !accepts_requests(targets_.at(pool.endpoint()))) pool.release_idle(0);
}

void Upstream::set_keep_idle(bool kept) {
  keep_idle_ = kept;
  if (kept) return;
  for (auto& [id, t] : targets_) t.pool.release_idle(0);
}

bool Upstream::evict_idle() {
  ConnectionPool* at = nullptr;
  for (auto& [id, t] : targets_)
    if (t.pool.idle() > 0 && (!at || t.pool.idle_since() < at->idle_since())) at = &t.pool;
  return at && at->release_idle(at->idle() - 1) > 0;
}

// A server may close a connection that has idled for the time in the settings, and what is written
// to it from then on is lost: the pool lets it go well before.
Duration Upstream::idle_limit() const {
  return Duration(static_cast<Duration::rep>(limits::kIdleTimeoutShare *
                                             static_cast<double>(keep_alive_.count())));
}

void Upstream::sweep() {
  const Time now = timers_.now();
  for (auto& [id, t] : targets_) t.pool.close_expired(now, idle_limit());
  std::erase_if(targets_,
                [](const auto& e) { return !e.second.accepts_requests && e.second.pool.empty(); });
  sweep_timer_ = timers_.after(limits::kPoolSweepInterval, [this] { sweep(); });
}

}  // namespace petrelrail

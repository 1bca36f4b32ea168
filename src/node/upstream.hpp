// Sends attempts and health checks to the price servers over one connection pool per endpoint.
// Called by Node on the thread of the io_context. It chooses neither endpoints nor retries: Gateway
// does.
#pragma once

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "connection_pool.hpp"
#include "net.hpp"
#include "policy/overload_manager.hpp"
#include "upstream_connection.hpp"

namespace petrelrail {

class Upstream : public ConnectionView {
 public:
  struct Callbacks {
    // Whether the client of this request is still connected and without a final answer.
    virtual bool is_still_wanted(RequestId request) = 0;
    // Called exactly once for each attempt.
    virtual void on_attempt_ended(const UpstreamExchange& exchange, AttemptOutcome outcome,
                                  Response answer) = 0;
    // Called when a response starts to be streamed; the request is not retried after that. Returns
    // false if no client waits for the response.
    virtual bool on_stream_started(const UpstreamExchange& exchange, const ResponseHead& head) = 0;
    // Called with each part of a streamed body. `on_written` resumes reading from the price server;
    // it is empty for the last part.
    virtual void on_stream_chunk(const UpstreamExchange& exchange, std::string_view chunk,
                                 std::function<void()> on_written) = 0;
    // Called when the last byte of the request has been written.
    virtual void on_attempt_written(const UpstreamExchange& exchange) = 0;
    virtual void on_health_check_ended(const UpstreamExchange& exchange,
                                       AttemptOutcome outcome) = 0;
    // File descriptors are shared with client connections: whether one is free, and whether a
    // client connection was closed to free one.
    virtual bool has_free_descriptor() const { return true; }
    virtual bool reclaim_descriptor() { return false; }

   protected:
    ~Callbacks() = default;
  };

  Upstream(asio::io_context& io, Timers& timers, Duration connect_timeout, Duration keep_alive,
           std::size_t max_connections, Callbacks& callbacks,
           std::shared_ptr<policy::OverloadManager> overload =
               std::make_shared<policy::OverloadManager>());
  // Closes every connection without calling back.
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  void set_timeouts(Duration connect_timeout, Duration keep_alive);
  // Applies discovery's entry for an endpoint. An endpoint that accepts no new requests loses its
  // idle connections.
  void update_endpoint(EndpointId server, const Tcp::endpoint& address, bool accepts_requests,
                       std::optional<Time> start_time = std::nullopt);
  // Applies a complete list: endpoints that are not in it accept no new requests.
  void retain_endpoints(const std::vector<EndpointInfo>& listed);

  // Ejects an endpoint on an operator's command, or readmits it. The ejection is kept by id,
  // whatever discovery reports, and no new attempt is written while it lasts.
  void set_ejected(EndpointId server, bool ejected);

  void send(UpstreamExchange exchange);
  void check_health(EndpointId server);
  void cancel(RequestId request, std::uint32_t attempt);
  // Open connections, including those being established.
  std::size_t size() const { return stats_.open; }
  std::size_t max_connections() const { return max_connections_; }
  const PoolStats& stats() const { return stats_; }
  const AttemptEnds& attempt_ends() const { return attempt_ends_; }
  ConnectionCounts connections(EndpointId server) const override;
  void set_max_connections(std::size_t max_connections) { max_connections_ = max_connections; }
  // Whether connections are kept for further attempts after an exchange.
  void set_keep_idle(bool keep_idle);
  // Closes idle connections to an endpoint until at most `keep` are left.
  void release_idle(EndpointId server, std::size_t keep);
  // Closes the connection that has been idle longest over all endpoints. Returns false if none is
  // idle.
  bool evict_idle();

 private:
  friend class UpstreamConnection;
  struct EndpointState {
    EndpointState(EndpointId server, PoolStats& stats) : pool(server, stats) {}
    ConnectionPool pool;
    bool accepts_requests = false;
  };

  void start_exchange(UpstreamExchange exchange);
  void report_end(const UpstreamExchange& exchange, AttemptOutcome outcome, AttemptEndReason reason,
                  Response answer);
  static void log_end(const UpstreamExchange& exchange, AttemptOutcome outcome,
                      AttemptEndReason reason, bool broken);
  bool accepts_requests(const EndpointState& endpoint) const;
  bool can_start(const UpstreamExchange& exchange);
  // Puts a connection whose exchange has ended back into its pool.
  void return_idle(const ConnectionPool::Connection& c, ConnectionPool& pool);
  bool reserve_connection();
  Duration idle_limit() const;
  void sweep();

  asio::io_context& io_;
  Timers& timers_;
  Duration connect_timeout_, keep_alive_;
  std::size_t max_connections_;
  bool keep_idle_ = true;
  Callbacks& callbacks_;
  std::shared_ptr<policy::OverloadManager> overload_;
  PoolStats stats_;
  AttemptEnds attempt_ends_;
  std::unordered_map<EndpointId, EndpointState> endpoints_;
  std::unordered_set<EndpointId> ejected_;
  Timers::Handle sweep_timer_;
};

}  // namespace petrelrail

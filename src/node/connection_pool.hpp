// Keeps the connections to one price server: which are idle, which are busy, and which may be used
// again. Used by Upstream on the thread of the io_context. It neither runs exchanges
// (UpstreamConnection does) nor decides how many connections there may be (Gateway does).
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "net.hpp"

namespace petrelrail {

class UpstreamConnection;

// Shared by the pools of all price servers: the number of open connections, which is limited, and
// the values for /metrics.
struct PoolStats {
  std::size_t open = 0, idle = 0, connecting = 0;
  std::uint64_t handshakes = 0;       // connects started
  std::uint64_t reuses = 0;           // attempts started on an idle connection
  std::uint64_t stale_drops = 0;      // idle connections closed as dead, expired or of a former
                                      // incarnation, or as their server is silent
  std::uint64_t released = 0;         // idle connections closed to free capacity or descriptors
  std::uint64_t failed_connects = 0;  // refused, timed out, or broken before the first byte
};

class ConnectionPool {
 public:
  using Connection = std::shared_ptr<UpstreamConnection>;
  // Counts the incarnations of the server: each new address or later start time begins another. A
  // connection belongs to the incarnation that it was opened in.
  using ServerIncarnation = std::uint64_t;

  ConnectionPool(EndpointId server, PoolStats& stats) : endpoint_(server), stats_(stats) {}
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  EndpointId endpoint() const { return endpoint_; }
  const Tcp::endpoint& address() const { return address_; }
  std::size_t idle() const { return idle_.size(); }
  std::size_t busy() const { return busy_.size(); }
  bool empty() const { return idle_.empty() && busy_.empty(); }
  ServerIncarnation incarnation() const { return incarnation_; }
  // Since when the longest idle connection has been idle; Time::max() if none is idle.
  Time idle_since() const;

  // Applies discovery's address and start time. If the address changes or the start time advances,
  // connections of the former incarnation are closed: idle ones at once, busy ones after their
  // response.
  void set_address(const Tcp::endpoint& address, std::optional<Time> start_time);
  // Returns a usable idle connection and marks it busy, or null. Prefers the most recently used
  // connection that has been idle for a short minimum time, so that a second response to its former
  // request is noticed before reuse; if none has, takes the longest idle one, but none at all for
  // some time after unsolicited data. Connections that have been idle for `limit`, were closed by
  // the server or received unsolicited data are closed on the way.
  Connection acquire(Time now, Duration limit);
  // Called when a connect to this server starts.
  void on_connecting(const Connection& c);
  // Called when a connection is established.
  void on_connected();
  // Puts a busy connection back among the idle ones.
  void return_idle(const Connection& c);
  // Removes a connection that was closed. `connecting`: it was not established yet.
  void remove(const Connection& c, bool connecting);
  // Closes the longest idle connections until at most `keep` are idle. Returns how many it closed.
  std::size_t release_idle(std::size_t keep);
  // Called when the server has sent unsolicited data on a connection that has been idle since
  // `since`. For some time its connections must then be idle for a minimum time before reuse.
  void on_unsolicited_data(Time now, Time since);
  void close_all_idle();
  void close_idle(const Connection& c);
  void on_connect_failed() { ++stats_.failed_connects; }
  // Closes connections that have been idle for `limit`.
  void close_expired(Time now, Duration limit);
  // Called when data arrives from the server on any connection.
  void on_data_received() { ++receive_count_; }
  std::uint64_t receive_count() const { return receive_count_; }
  const std::vector<Connection>& in_use() const { return busy_; }

 private:
  Connection remove_idle_at(std::size_t index);
  void close_idle_at(std::size_t index);

  EndpointId endpoint_;
  PoolStats& stats_;
  Tcp::endpoint address_;
  std::optional<Time> start_time_;
  ServerIncarnation incarnation_ = 0;
  std::uint64_t receive_count_ = 0;
  Duration min_idle_time_{};  // before reuse, until the deadline below
  Time min_idle_time_deadline_{};
  std::vector<Connection> idle_;  // ordered by the time of their last use, the latest last
  std::vector<Connection> busy_;
};

}  // namespace petrelrail

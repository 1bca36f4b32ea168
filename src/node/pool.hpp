// The connections to one price server: which idle, which are busy, which may be used again. What travels on them is
// the attempts' business (`upstream`); how many there may be and to whom is the module's.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "net.hpp"

namespace petrelrail {

class ServerConnection;

// What the pools of all servers share: the room for connections, and the figures that operators fetch.
struct PoolFigures {
  std::size_t open = 0, idle = 0, connecting = 0;
  std::uint64_t handshakes = 0;       // connects begun
  std::uint64_t reuses = 0;           // attempts begun on a connection that idled
  std::uint64_t stale_drops = 0;      // idle ones that were dead, silent, too old or of a former life
  std::uint64_t released = 0;         // idle ones let go for others, or for want of descriptors
  std::uint64_t failed_connects = 0;  // refused, never came up, or broken before the first byte
};

class Pool {
 public:
  using Connection = std::shared_ptr<ServerConnection>;
  // A life of the server: at one address, from one start. A connection belongs to the life it was opened in.
  using Life = std::uint64_t;

  Pool(ServerId server, PoolFigures& figures) : server_(server), figures_(figures) {}
  ~Pool();
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  ServerId server() const { return server_; }
  const Tcp::endpoint& address() const { return address_; }
  std::size_t idle() const { return idle_.size(); }
  std::size_t busy() const { return busy_.size(); }
  bool empty() const { return idle_.empty() && busy_.empty(); }
  Life life() const { return life_; }
  // When the one that has idled longest began to, or the end of time.
  Time idle_since() const;

  // What discovery says. At another address or after another start, connections of before are of no use: those
  // that idle go at once, busy ones with their answer.
  void settle(const Tcp::endpoint& address, std::optional<Time> started);
  // A sound connection that idles, or none: of those that have rested the one used last, else the one that has rested
  // longest, so that a second answer to the request before finds no other one out. What has idled for `limit`, was
  // closed by the other end or shows bytes that nobody asked for is dropped on the way.
  Connection take(Time now, Duration limit);
  void opened(const Connection& c);                   // a connect to this server begins
  void came_up();                                     // one of them is up
  void rest(const Connection& c);                     // it has become idle
  void forget(const Connection& c, bool connecting);  // it has ended
  // Idle ones beyond `keep` go, the one that has idled longest first. As many as were let go.
  std::size_t release(std::size_t keep);
  // The server has sent what nobody asked for, on a connection that idled since. For some time its connections must
  // have rested before they are used again.
  void out_of_turn(Time now, Time since);
  void drop_stale();                     // all that idle
  void drop_stale(const Connection& c);  // one of them
  void failed_connect() { ++figures_.failed_connects; }
  void expire(Time now, Duration limit);  // those that have idled for so long
  void heard() { ++heard_; }              // something came from the server, on whatever connection
  std::uint64_t times_heard() const { return heard_; }
  const std::vector<Connection>& in_use() const { return busy_; }

 private:
  Connection pull(std::size_t at);
  void drop(std::size_t at);

  ServerId server_;
  PoolFigures& figures_;
  Tcp::endpoint address_;
  std::optional<Time> started_;
  Life life_ = 0;
  std::uint64_t heard_ = 0;
  Duration rest_{};
  Time rests_until_{};
  std::vector<Connection> idle_;  // the one used last at the back
  std::vector<Connection> busy_;
};

}  // namespace petrelrail

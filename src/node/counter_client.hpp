// Client of the quota counter: pipelines calls over a few TCP connections. Used by Node on the
// thread of the io_context. Calls for one key always use the same connection and are answered in
// their order; every call ends in exactly one response. It does not retry calls.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net.hpp"

namespace petrelrail {

class CounterClient {
 public:
  using ResponseCallback = std::function<void(const CounterResponse&)>;
  // Called when a connection receives a response again after time-outs or a lost connection.
  using RecoveredCallback = std::function<void()>;
  // `total`: the key's value after the addition; meaningful only with CounterOutcome::ok.
  using CallCallback = std::function<void(CounterOutcome, double total)>;

  // Connects at once. `timeout`: for a response, see Connection::call_timeout(). `seed`: of the
  // random reconnect delays.
  CounterClient(asio::io_context& io, Timers& timers, const Tcp::endpoint& address,
                Duration timeout, const ResponseCallback& on_response,
                const RecoveredCallback& on_recovered, std::uint64_t seed = 0);
  ~CounterClient();

  // Adds to a quota's key, which the counter keeps for `lifetime`.
  void add(CounterKey key, double amount, Duration lifetime);
  // Adds to a key that is not a quota's: 1 to 64 bytes without spaces. `on_response` is called
  // once, possibly before this returns.
  void call(const std::string& key, double amount, Duration lifetime, CallCallback on_response);
  // Whether each connection has been established or has failed at least once.
  bool has_tried_all() const;

 private:
  class Connection;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace petrelrail

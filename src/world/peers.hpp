// Simulated datagram network between edge nodes: delay, loss, duplication, reordering, and a limit
// on the datagrams a node receives each second (PROTOCOL, "Between edge nodes"; BENCH, "What
// gateways can learn of each other"). Network handles partitions.
#pragma once

#include <deque>
#include <vector>

#include "scenario.hpp"

namespace petrelrail::world {

class PeerNetwork {
 public:
  PeerNetwork(const PeerConfig& config, std::uint32_t nodes, RandomStreams random)
      : config_(config), random_(std::move(random)), received_(nodes) {}

  // Sets a loss probability in addition to the configured one.
  void set_extra_loss(double share) { extra_loss_ = share; }
  bool too_long(std::size_t bytes) const { return bytes > config_.most_bytes; }

  // Returns the arrival times of a datagram sent now: none, one or two.
  std::vector<Time> send(Time now) {
    std::vector<Time> arrivals;
    if (random_.chance(1 - (1 - config_.loss) * (1 - extra_loss_))) return arrivals;
    do {
      auto delay = from_seconds(random_.in(config_.delay_ms) / 1e3);
      if (random_.chance(config_.reorder))
        delay += from_seconds(random_.uniform() * 4 * config_.delay_ms.max / 1e3);
      arrivals.push_back(now + delay);
    } while (arrivals.size() < 2 && random_.chance(config_.duplicate));
    return arrivals;
  }
  // Returns whether a node receives a datagram that arrives now. The datagram is dropped when the
  // node has received `in_per_s` datagrams within the preceding second.
  bool receive(Time now, std::uint32_t node) {
    auto& received = received_.at(node);
    while (!received.empty() && received.front() <= now - std::chrono::seconds(1))
      received.pop_front();
    if (static_cast<double>(received.size()) >= config_.in_per_s) return false;
    received.push_back(now);
    return true;
  }

 private:
  PeerConfig config_;
  RandomStreams random_;
  double extra_loss_ = 0;
  std::vector<std::deque<Time>> received_;
};

}  // namespace petrelrail::world

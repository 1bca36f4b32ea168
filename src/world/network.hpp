// Simulated network: latency within and between zones, and partitions between any two sets of
// parties, in one or both directions (PROTOCOL, "The network"). A partition drops data silently;
// open connections stay open.
#pragma once

#include <cstdint>
#include <list>
#include <set>
#include <utility>
#include <vector>

#include "scenario.hpp"

namespace petrelrail::world {

struct Party {
  enum class Kind : std::uint8_t { node, server, counter, discovery, clients } kind{};
  std::uint32_t number = 0;  // index among the parties of its kind
  auto operator<=>(const Party&) const = default;
};

class Network {
 public:
  struct Partition {
    std::set<Party> a, b;
    bool out = true, in = true;  // drops data from a to b, from b to a
    bool resets = false;         // resets new connections instead of leaving them unanswered
  };
  using Handle = std::list<Partition>::iterator;

  Network(const NetworkConfig& config, RandomStreams random)
      : config_(config), random_(std::move(random)) {}

  Handle partition(Partition p) { return partitions_.insert(partitions_.end(), std::move(p)); }
  void heal(Handle h) { partitions_.erase(h); }

  // Whether data reaches `to` from `from`.
  bool passes(Party from, Party to) const {
    for (const auto& c : partitions_)
      if ((c.out && c.a.contains(from) && c.b.contains(to)) ||
          (c.in && c.b.contains(from) && c.a.contains(to)))
        return false;
    return true;
  }
  bool connected(Party a, Party b) const { return passes(a, b) && passes(b, a); }
  // Whether a new connection is reset where a partition separates the two parties.
  bool resets(Party a, Party b) const {
    for (const auto& c : partitions_)
      if (c.resets &&
          ((c.a.contains(a) && c.b.contains(b)) || (c.a.contains(b) && c.b.contains(a))))
        return true;
    return false;
  }
  // One-way latency between two zones, drawn anew for each call.
  Duration one_way_delay(std::uint32_t zone, std::uint32_t other) {
    return from_seconds(random_.in(zone == other ? config_.same_zone_ms : config_.cross_zone_ms) /
                        1e3);
  }
  Duration client_delay() { return from_seconds(random_.in(config_.client_ms) / 1e3); }

 private:
  NetworkConfig config_;
  RandomStreams random_;
  std::list<Partition> partitions_;
};

}  // namespace petrelrail::world

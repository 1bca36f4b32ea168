// Simulates a fleet that runs the replicated store: the src/fleet ReplicatedStore of every node and
// the peer network between them on one simulated clock. Injects partitions, stalls, crashes and
// starts without data; each node's clock has its own skew within the bound. In place of the
// membership protocol, views follow the true state after a delay. Single-threaded; the same seed
// gives the same run.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "event_queue.hpp"
#include "fleet/replicated_store.hpp"
#include "peers.hpp"
#include "random_streams.hpp"

namespace petrelrail::world {

class RecordFleet {
 public:
  struct Options {
    std::uint32_t nodes = 300, zones = 3;
    PeerConfig peers{};
    fleet::ReplicatedStoreConfig config{};  // the constructor sets `nodes`
    Duration view_delay = std::chrono::milliseconds(2500);
    std::uint64_t seed = 1;
  };
  // Whether a datagram between two nodes is dropped, besides random loss.
  using LinkFilter = std::function<bool(std::uint32_t from, std::uint32_t to)>;

  explicit RecordFleet(Options options);

  std::uint32_t size() const { return options_.nodes; }
  std::uint32_t zone(std::uint32_t node) const { return node % options_.zones; }
  Time now() const { return agenda_.now(); }
  Time local_time(std::uint32_t node) const { return now() + nodes_[node].clock_offset; }

  // Starts a process without data; kills the node's present process first.
  void start(std::uint32_t node) { start_with(node, {}); }
  // Starts a process with the hand-over state of a predecessor.
  void start_with(std::uint32_t node, const fleet::ReplicatedStore::Snapshot& state);
  void start_all();
  void kill(std::uint32_t node);
  void stall(std::uint32_t node, bool stalled);
  bool is_up(std::uint32_t node) const { return nodes_[node].store != nullptr; }
  void set_link_filter(LinkFilter drops);  // an empty function drops none

  fleet::ReplicatedStore& store(std::uint32_t node) { return *nodes_[node].store; }
  const fleet::ReplicatedStore& store(std::uint32_t node) const { return *nodes_[node].store; }
  // Writes a record at this node at its local time, under the epoch of the present term. The record
  // expires after `ttl`.
  fleet::ReplicatedStore::PutResult put(std::uint32_t node, fleet::RecordKey key, std::string value,
                                        Duration ttl = std::chrono::hours(1));
  fleet::ReplicatedStore::PutResult erase(std::uint32_t node, fleet::RecordKey key);
  void write_watermark(std::uint32_t node, std::uint8_t space);
  std::uint64_t epoch() const;
  // Delivers a message as a datagram from a node's address.
  void inject(std::uint32_t from, std::uint32_t to, const fleet::Message& message);

  struct Outcome {
    std::uint32_t node = 0;
    std::uint64_t ticket = 0;
    bool is_replicated = false;
    Time time{};
  };
  const std::vector<Outcome>& outcomes() const { return outcomes_; }
  // Returns nullptr while the write is in flight.
  const Outcome* outcome(std::uint32_t node, std::uint64_t ticket) const;

  void run_for(Duration span) { agenda_.run_until(now() + span); }
  // Runs until `condition` holds, which is evaluated every `step`; returns false if it does not
  // within `timeout`.
  bool run_until(const std::function<bool()>& condition, Duration timeout,
                 Duration step = std::chrono::milliseconds(50));
  // Whether all running nodes hold the same live records of a space.
  bool stores_agree(std::uint8_t space) const;
  std::uint32_t holder_count(fleet::RecordKey key) const;  // running nodes that hold the record

  // Returns the most datagrams that arrived at one node within any one second.

  std::uint64_t max_arrivals_per_s() const;
  std::uint64_t datagrams_sent() const;
  void reset_traffic();

 private:
  struct Node {
    std::unique_ptr<fleet::ReplicatedStore> store;
    Duration clock_offset{};
    std::uint64_t generation = 0, max_arrivals_per_s = 0,
                  datagrams_sent = 0;  // generation: rises with each start and kill
    bool stalled = false;
    Time tick_time = Time::max();
    std::deque<Time> recent_arrivals;
    std::deque<std::pair<std::uint32_t, std::string>> inbox;  // during a stall
  };
  void on_arrival(std::uint32_t from, std::uint32_t to, const std::string& bytes);
  void deliver(std::uint32_t from, std::uint32_t to, const std::string& bytes);
  void drain_outputs(std::uint32_t node);
  void tick(std::uint32_t node);
  void schedule_views();  // delivers them after view_delay
  void deliver_views();

  Options options_;
  RandomStreams dice_;
  EventQueue agenda_;
  PeerNetwork network_;
  std::vector<Node> nodes_;
  LinkFilter drops_;
  Time view_time_{};
  std::vector<Outcome> outcomes_;
};

}  // namespace petrelrail::world

// A fleet that keeps records, on one simulated clock: the real src/fleet/records of every node,
// between them the peer network of the world with cuts, stalls, deaths and starts from nothing, and
// in place of members a view that follows what is so after a delay. Each node's clock is off by its
// own part of the bound. The same seed gives the same course.
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
    fleet::ReplicatedStoreConfig terms{};  // `nodes` follows from the above
    Duration view_delay = std::chrono::milliseconds(2500);
    std::uint64_t seed = 1;
  };
  // Which datagrams between two nodes are lost besides by chance.
  using Lost = std::function<bool(std::uint32_t from, std::uint32_t to)>;

  explicit RecordFleet(Options options);

  std::uint32_t size() const { return options_.nodes; }
  std::uint32_t zone(std::uint32_t node) const { return node % options_.zones; }
  Time now() const { return agenda_.now(); }
  Time clock(std::uint32_t node) const {
    return now() + nodes_[node].offset;
  }  // as the node reads it

  // From nothing; one that is up is started anew, as if it had been killed at that moment.
  void start(std::uint32_t node) { start_with(node, {}); }
  // With what a predecessor held.
  void start_with(std::uint32_t node, const fleet::ReplicatedStore::Snapshot& state);
  void start_all();
  void kill(std::uint32_t node);
  void stall(std::uint32_t node, bool stalled);
  bool up(std::uint32_t node) const { return nodes_[node].records != nullptr; }
  void cut(Lost lost);  // none: healed

  fleet::ReplicatedStore& records(std::uint32_t node) { return *nodes_[node].records; }
  const fleet::ReplicatedStore& records(std::uint32_t node) const { return *nodes_[node].records; }
  // Of a write that this node makes now, with the node's clock; its epoch is the term's that runs,
  // ends so long ahead.
  fleet::ReplicatedStore::PutResult put(std::uint32_t node, fleet::RecordKey key, std::string value,
                                        Duration life = std::chrono::hours(1));
  fleet::ReplicatedStore::PutResult erase(std::uint32_t node, fleet::RecordKey key);
  void mark(std::uint32_t node, std::uint8_t space);
  std::uint64_t epoch() const;
  // A message as if it came from a node's address.
  void inject(std::uint32_t from, std::uint32_t to, const fleet::Message& message);

  struct Outcome {
    std::uint32_t node = 0;
    std::uint64_t ticket = 0;
    bool safe = false;
    Time at{};
  };
  const std::vector<Outcome>& outcomes() const { return outcomes_; }
  // None: there is none yet.
  const Outcome* outcome(std::uint32_t node, std::uint64_t ticket) const;

  void run_for(Duration span) { agenda_.run_until(now() + span); }
  // Runs until it holds, looked at every `step`; false: it did not within `most`.
  bool run_until(const std::function<bool()>& holds, Duration most,
                 Duration step = std::chrono::milliseconds(50));
  // Whether all nodes that are up show the same live records of a space.
  bool agreed(std::uint8_t space) const;
  std::uint32_t holders(fleet::RecordKey key) const;  // nodes that are up and show it

  std::uint64_t most_in() const;  // datagrams that came to a node in any one second, the worst one
  std::uint64_t sent() const;
  void reset_traffic();

 private:
  struct Node {
    std::unique_ptr<fleet::ReplicatedStore> records;
    Duration offset{};
    std::uint64_t lives = 0, most_in = 0, sent = 0;
    bool stalled = false;
    Time ticks_at = Time::max();
    std::deque<Time> came;
    std::deque<std::pair<std::uint32_t, std::string>> inbox;  // of one that is stalled
  };
  void arrive(std::uint32_t from, std::uint32_t to, const std::string& bytes);
  void take(std::uint32_t from, std::uint32_t to, const std::string& bytes);
  void after(std::uint32_t node);
  void tick(std::uint32_t node);
  void views_change();  // in a while
  void show_views();

  Options options_;
  RandomStreams dice_;
  EventQueue agenda_;
  PeerNetwork network_;
  std::vector<Node> nodes_;
  Lost lost_;
  Time views_at_{};
  std::vector<Outcome> outcomes_;
};

}  // namespace petrelrail::world

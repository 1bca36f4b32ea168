// A fleet of nodes with jobs on one simulated clock: the real src/fleet/jobs of every node, and
// between them simple stand-ins for what they need: one holder a shard by a lease, records kept by
// five of the shard's order and spread to all, price servers, clients that hand in and fetch. The
// world judges every line that is sent. The same seed gives the same course.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "event_queue.hpp"
#include "fleet/job_scheduler.hpp"
#include "random_streams.hpp"

namespace petrelrail::world {

class JobFleet {
 public:
  struct Options {
    std::uint32_t nodes = 12, zones = 3;
    std::uint64_t seed = 1;
    double loss = 0.05;      // of each datagram
    double lease_s = 3;      // of a shard, renewed each third of it
    double replaced_s = 10;  // that a node is silent until it may be replaced as a keeper
    double line_s = 0.08;    // a line takes, on average
    double refused = 0.05, failed = 0.01,
           reset = 0.02;         // of lines; half of those that are reset have run
    std::optional<double> pace;  // lines a second of a job
    fleet::JobConfig terms{};
  };
  // What must never happen, counted, and a few words on the first ones.
  struct Breaches {
    std::uint64_t both_out = 0;  // a line out from two nodes at once
    std::uint64_t
        older_epoch = 0;  // a line sent under an older epoch than one before it in its shard
    std::uint64_t after_fetch = 0;   // run again though the answer was fetched
    std::uint64_t unsafe_twice = 0;  // run again though it may have run and is not safe to repeat
    std::uint64_t no_client = 0;     // a line that no client handed in
    std::uint64_t after_delete = 0;  // run after the client was told that the job is deleted
    std::uint64_t
        lost = 0;  // accepted and then unknown, though no more than records bear were lost
    std::vector<std::string> words;
    std::uint64_t sum() const {
      return both_out + older_epoch + after_fetch + unsafe_twice + no_client + after_delete + lost;
    }
  };
  struct Counts {
    std::uint64_t lines_sent = 0, fetched = 0, rerun = 0, handed_in = 0, done = 0, takeovers = 0,
                  writes = 0;
    std::uint64_t
        unknown = 0,
        dropped = 0;  // lines told as unknown or lost; jobs lost as all nodes were restarted
  };

  explicit JobFleet(Options options);
  ~JobFleet();
  JobFleet(const JobFleet&) = delete;
  JobFleet& operator=(const JobFleet&) = delete;

  Time now() const { return agenda_.now(); }
  void run_for(double seconds);
  void at(double in_s, std::function<void()> what) {
    agenda_.after(from_seconds(in_s), std::move(what));
  }
  std::uint32_t size() const { return options_.nodes; }

  // A client hands a job in, at two nodes at once if asked, and fetches its answers until all are
  // in its hands. Its number.
  std::uint32_t begin_job(fleet::JobSpec spec, bool twice = false);
  // A new one of so many lines; a range or keys, of a class safe to repeat or not, as drawn.
  std::uint32_t begin_job(std::uint32_t lines, bool twice = false);
  void delete_job(std::uint32_t job);
  bool accepted(std::uint32_t job) const;
  bool over(
      std::uint32_t job) const;  // all answers are in the client's hands, or it is deleted or lost
  std::uint32_t open_jobs() const;
  fleet::JobId id_of(std::uint32_t job) const;
  // The answers that the client holds, by line; without a body: what it was told instead.
  std::vector<std::optional<std::string>> answers(std::uint32_t job) const;
  std::optional<std::uint32_t> holder_of(std::uint32_t job) const;
  std::optional<std::uint32_t> any_holder();  // of a job that is not over, as drawn

  void kill(std::uint32_t node);
  void start(std::uint32_t node);    // from nothing
  void leave(std::uint32_t node);    // SIGTERM: gives its shards on
  void upgrade(std::uint32_t node);  // a successor with the records, without the answers
  void stall(std::uint32_t node, bool stalled);
  void restart_all();  // all records are lost
  void cut_counter(std::uint32_t node, bool cut);
  // Datagrams between the two kinds of nodes are lost, both ways or only into the group.
  void cut_peers(std::set<std::uint32_t> group, bool one_way = false);
  void cut_off(std::uint32_t node, bool cut);  // from counter, peers, servers and clients
  void heal();                                 // all cuts
  bool up(std::uint32_t node) const;
  std::uint32_t zone(std::uint32_t node) const { return node % options_.zones; }

  // Seconds from a fault of the holder until a line of the job was sent again, for each job that it
  // ran.
  void watch_recovery(std::uint32_t node);
  const std::vector<double>& recoveries() const { return recoveries_; }
  std::uint32_t not_recovered() const { return static_cast<std::uint32_t>(watched_.size()); }

  const Breaches& breaches() const { return breaches_; }
  const Counts& counts() const { return counts_; }

 private:
  struct Node;
  struct Client;
  struct Shard {
    std::optional<std::uint32_t> holder;
    std::optional<std::pair<std::uint32_t, std::uint64_t>> last;  // holder and its life
    std::uint64_t epoch = 0, since = 0, sent_under = 0;
    Time until{}, claimed_at{};
    bool claiming = false;
    std::vector<std::uint32_t> order;
  };
  struct Run {
    std::uint32_t node = 0;
    Time over{};
    bool ran = false;
  };

  Duration way() { return from_seconds(dice_.between(0.001, 0.008)); }
  bool reach(std::uint32_t from, std::uint32_t to) const;
  bool seen_alive(std::uint32_t node) const;
  std::vector<std::uint32_t> keepers(std::uint32_t shard) const;
  std::vector<std::uint32_t> hears(std::uint32_t node, std::uint32_t shard) const;
  void keep(std::uint32_t node, int tries);
  void deliver(std::uint32_t node, std::uint64_t life, std::function<void()> what);
  bool merge(std::uint32_t node, const fleet::Record& r);
  void put(std::uint32_t node, std::uint64_t token, fleet::Record r);
  void spread(const fleet::Record& r, std::vector<std::uint32_t> from);
  void repair(std::uint32_t node, int times);
  void duties();
  void take(std::uint32_t shard, std::uint32_t node);
  void tick(std::uint32_t node);
  void send(std::uint32_t node, const fleet::JobTask& line);
  void judge(std::uint32_t node, const fleet::JobTask& line, Client& c);
  void breach(std::uint64_t& count, std::string words);
  void step(std::uint32_t client);
  void call(std::uint32_t client, std::uint32_t node);
  std::optional<std::uint32_t> some_node();
  void replied(std::uint32_t client, std::uint32_t node, std::uint64_t number,
               const fleet::JobReply& reply);
  void gone(std::uint32_t node);

  Options options_;
  RandomStreams dice_;
  EventQueue agenda_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::array<Shard, fleet::kShards> shards_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<fleet::JobId, std::uint32_t> by_id_;
  std::set<std::uint32_t> cut_group_;
  bool one_way_ = false;
  std::map<std::uint32_t, Time> watched_;
  std::vector<double> recoveries_;
  Breaches breaches_;
  Counts counts_;
  std::uint64_t last_call_ = 0;
};

}  // namespace petrelrail::world

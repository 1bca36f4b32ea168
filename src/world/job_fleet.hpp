// Simulates a fleet that runs jobs: the src/fleet JobScheduler of every node on one simulated
// clock, with simple models of what it depends on: a lease per shard, records that are replicated
// to five nodes of the shard's order and then propagated to all, price servers, and clients that
// submit jobs and fetch answers. Checks the invariants at every task that is sent. Single-threaded;
// the same seed gives the same run.
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
    double loss = 0.05;               // probability for each datagram
    double lease_s = 3;               // of a shard, renewed after a third of it
    double replacement_delay_s = 10;  // until an unreachable node may be replaced as a replica
    double mean_task_s = 0.08;
    double rejected_share = 0.05, failed_share = 0.01,
           reset_share = 0.02;  // of tasks; half of those that are reset have been executed
    std::optional<double> tasks_per_second;  // of a job
    fleet::JobConfig config{};
  };
  // Violations of invariants by kind, with a text for each of the first ones.
  struct Violations {
    std::uint64_t concurrent_runs = 0;  // a task in flight from two nodes at once
    std::uint64_t
        older_epoch = 0;  // a task sent under an older epoch than an earlier one of its shard
    std::uint64_t rerun_after_fetch = 0;  // run again although the answer was fetched
    std::uint64_t
        unsafe_reruns = 0;  // run again although it is not idempotent and may have been executed
    std::uint64_t unknown_tasks = 0;  // a task that no client submitted
    std::uint64_t
        run_after_delete = 0;     // run after the client got the reply that the job is deleted
    std::uint64_t lost_jobs = 0;  // accepted and then unknown, although no more nodes failed than
                                  // the replication tolerates
    std::vector<std::string> texts;
    std::uint64_t total() const {
      return concurrent_runs + older_epoch + rerun_after_fetch + unsafe_reruns + unknown_tasks +
             run_after_delete + lost_jobs;
    }
  };
  struct Counts {
    std::uint64_t tasks_sent = 0, answers_fetched = 0, reruns = 0, jobs_submitted = 0,
                  jobs_finished = 0, takeovers = 0, writes = 0;
    std::uint64_t unknown_outcomes = 0,  // tasks reported as unknown or lost
        jobs_dropped = 0;                // because all nodes were restarted at once
  };

  explicit JobFleet(Options options);
  ~JobFleet();
  JobFleet(const JobFleet&) = delete;
  JobFleet& operator=(const JobFleet&) = delete;

  Time now() const { return agenda_.now(); }
  void run_for(double seconds);
  void after(double delay_s, std::function<void()> action) {
    agenda_.after(from_seconds(delay_s), std::move(action));
  }
  std::uint32_t size() const { return options_.nodes; }

  // Starts a client that submits a job, with `twice` at two nodes at once, and fetches answers
  // until it has all of them. Returns the index of the job.
  std::uint32_t submit_job(fleet::JobSpec spec, bool twice = false);
  // Submits a job of `tasks` tasks (at most 400 if it has keys) with random properties: a range or
  // keys, of an idempotent class or not.
  std::uint32_t submit_job(std::uint32_t tasks, bool twice = false);
  void delete_job(std::uint32_t job);
  bool is_accepted(std::uint32_t job) const;
  // Whether the client has all answers, or the job is deleted or lost.
  bool is_finished(std::uint32_t job) const;
  std::uint32_t open_job_count() const;
  fleet::JobId id_of(std::uint32_t job) const;
  // Returns the answers that the client has, by task; nullopt for a task without a body.
  std::vector<std::optional<std::string>> answers(std::uint32_t job) const;
  std::optional<std::uint32_t> holder_of(std::uint32_t job) const;
  std::optional<std::uint32_t> random_holder();  // of an unfinished job

  void kill(std::uint32_t node);
  void start(std::uint32_t node);    // without records
  void leave(std::uint32_t node);    // SIGTERM: transfers its leases
  void upgrade(std::uint32_t node);  // the successor gets the records, but not the answers
  void stall(std::uint32_t node, bool stalled);
  void restart_all();  // all records are lost
  void set_counter_partition(std::uint32_t node, bool is_cut_off);
  // Drops datagrams between the group and all other nodes, in both directions or only those into
  // the group.
  void partition_peers(std::set<std::uint32_t> group, bool one_way = false);
  void set_isolated(std::uint32_t node, bool is_isolated);  // from counter, peers, servers, clients
  void heal();                                              // ends all partitions and isolations
  bool is_up(std::uint32_t node) const;
  std::uint32_t zone(std::uint32_t node) const { return node % options_.zones; }

  // Called at a fault of the holder: records for each job that it runs the seconds until a task of
  // the job is sent again.
  void measure_recovery(std::uint32_t node);
  const std::vector<double>& recoveries() const { return recoveries_; }
  std::uint32_t unrecovered_count() const {
    return static_cast<std::uint32_t>(recovery_starts_.size());
  }

  const Violations& violations() const { return violations_; }
  const Counts& counts() const { return counts_; }

 private:
  struct Node;
  struct Client;
  struct Shard {
    std::optional<std::uint32_t> holder;
    std::optional<std::pair<std::uint32_t, std::uint64_t>>
        previous_holder;                                            // node and its generation
    std::uint64_t epoch = 0, first_epoch = 0, last_sent_epoch = 0;  // first_epoch: of the holder
    Time lease_end{}, claim_time{};
    bool has_claim = false;
    std::vector<std::uint32_t> node_order;
  };
  struct Run {
    std::uint32_t node = 0;
    Time end_time{};
    bool is_executed = false;
  };

  Duration network_delay() { return from_seconds(dice_.between(0.001, 0.008)); }
  bool reaches(std::uint32_t from, std::uint32_t to) const;
  bool counts_as_alive(std::uint32_t node) const;
  std::vector<std::uint32_t> replicas(std::uint32_t shard) const;
  std::vector<std::uint32_t> reachable_replicas(std::uint32_t node, std::uint32_t shard) const;
  void rejoin_replicas(std::uint32_t node, int attempts);
  void deliver(std::uint32_t node, std::uint64_t generation, std::function<void()> action);
  bool merge(std::uint32_t node, const fleet::Record& r);
  void write_record(std::uint32_t node, std::uint64_t token, fleet::Record r);
  void propagate(const fleet::Record& r, std::vector<std::uint32_t> sources);
  void pull_records(std::uint32_t node, int rounds);
  void update_leases();
  void acquire_lease(std::uint32_t shard, std::uint32_t node);
  void tick(std::uint32_t node);
  void run_task(std::uint32_t node, const fleet::JobTask& task);
  void check_task(std::uint32_t node, const fleet::JobTask& task, Client& c);
  void add_violation(std::uint64_t& count, std::string text);
  void step_client(std::uint32_t client);
  void call_node(std::uint32_t client, std::uint32_t node);
  std::optional<std::uint32_t> random_node();
  void on_reply(std::uint32_t client, std::uint32_t node, std::uint64_t call_id,
                const fleet::JobReply& reply);
  void mark_unreachable(std::uint32_t node);

  Options options_;
  RandomStreams dice_;
  EventQueue agenda_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::array<Shard, fleet::kShards> shards_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<fleet::JobId, std::uint32_t> by_id_;
  std::set<std::uint32_t> partition_group_;
  bool is_one_way_ = false;
  std::map<std::uint32_t, Time> recovery_starts_;  // of jobs whose holder failed, by job
  std::vector<double> recoveries_;
  Violations violations_;
  Counts counts_;
  std::uint64_t last_call_id_ = 0;
};

}  // namespace petrelrail::world

// The participants of JobFleet: a node as the host of its job scheduler, and a client with one job.
// Included by the sources of JobFleet only.
#pragma once

#include <algorithm>

#include "job_fleet.hpp"

namespace petrelrail::world {

inline constexpr double kTickS = 0.05, kLeaseCheckS = 0.1;
inline constexpr std::size_t kReplicas = 5,
                             kRequiredAcks = 3;  // any two majorities of five intersect
inline constexpr int kWriteTransmissions = 4;
inline constexpr double kResendS = 0.15;
inline constexpr double kLeaseMarginS = 0.2;  // at the end of a lease, not used by its holder
inline constexpr std::uint32_t kMaxTasksInFlight = 64;  // of a node
inline constexpr double kCallTimeoutS = 7;              // of a client
inline constexpr std::uint32_t kStartUnixS = 1'800'000'000;
inline constexpr unsigned kClientBits = 20;  // low bits of a call ID that hold the client's index

struct JobFleet::Node final : fleet::JobHost {
  Node(JobFleet& f, std::uint32_t n) : fleet(f), index(n) {}

  void start() {
    records.clear();
    shard_records = {}, is_replica = {};
    jobs = std::make_unique<fleet::JobScheduler>(fleet.options_.config, *this);
    ++generation;
    open_calls = 0;
  }
  void stop() {
    jobs.reset();
    deferred.clear();
    is_ready = false, stalled = false;
  }

  std::optional<fleet::ShardLease> lease(fleet::ShardId shard) override {
    const auto& s = fleet.shards_[static_cast<std::size_t>(shard)];
    if (s.holder != index || fleet.now() >= s.lease_end - from_seconds(kLeaseMarginS) ||
        acquired_generation(shard) != generation)
      return {};
    return fleet::ShardLease{s.epoch, s.first_epoch};
  }
  std::optional<fleet::MemberId> holder(fleet::ShardId shard) override {
    const auto& s = fleet.shards_[static_cast<std::size_t>(shard)];
    if (!s.holder || *s.holder == index || is_isolated) return {};
    return fleet::MemberId(static_cast<std::uint16_t>(*s.holder));
  }
  // Pulls the records of the shard from its reachable replicas. Returns true once so many have
  // replied that at least one of them has each write that the previous holder completed.
  bool has_all_records(fleet::ShardId shard) override {
    const auto s = static_cast<std::size_t>(shard);
    auto& current = shard_records[s];
    if (current.is_complete || current.is_pulling) return current.is_complete;
    current.is_pulling = true;
    const auto pulling_generation = generation;
    fleet.agenda_.after(
        from_seconds(fleet.dice_.between(0.02, 0.06)), [this, s, pulling_generation] {
          if (generation != pulling_generation || !jobs) return;
          auto& pulled = shard_records[s];
          pulled.is_pulling = false;
          const auto shard_index = static_cast<std::uint32_t>(s);
          const auto reachable = fleet.reachable_replicas(index, shard_index);
          const auto replica_count = fleet.replicas(shard_index).size();
          if (reachable.size() < replica_count - std::min(kRequiredAcks, replica_count) + 1) return;
          for (const auto k : reachable)
            if (k != index)
              for (const auto& [key, r] : fleet.nodes_[k]->records) fleet.merge(index, r);
          pulled.is_complete = true;
        });
    return false;
  }
  void put(std::uint64_t token, const fleet::RecordKey& key, std::uint64_t epoch,
           std::uint32_t end_unix_s, std::optional<std::string> value) override {
    fleet.write_record(index, token,
                       {key, {epoch, 0, {}}, end_unix_s, !value, value.value_or(std::string{})});
  }
  std::optional<fleet::Record> find(const fleet::RecordKey& key) override {
    const auto it = records.find(key);
    return it == records.end() ? std::nullopt : std::optional(it->second);
  }
  void for_each_record(const std::function<void(const fleet::Record&)>& visit) override {
    for (const auto& [key, r] : records) visit(r);
  }
  void send(const fleet::JobTask& task) override { fleet.run_task(index, task); }
  std::uint32_t free_slots() override {
    return kMaxTasksInFlight - std::min(kMaxTasksInFlight, jobs->tasks_in_flight());
  }
  std::optional<double> tasks_per_second(fleet::JobId) override {
    return fleet.options_.tasks_per_second;
  }
  std::optional<Idempotency> idempotency(const std::string& request_class) override {
    if (request_class == "lookup") return Idempotency::idempotent;
    if (request_class == "order") return Idempotency::non_idempotent;
    return {};
  }
  bool has_plan(const std::string& plan) override { return plan == "team"; }
  Duration attempt_timeout(const std::string&) override { return std::chrono::seconds(1); }
  std::uint32_t unix_time(Time now) override {
    return kStartUnixS + static_cast<std::uint32_t>(petrelrail::seconds(now.time_since_epoch()));
  }
  void reply(fleet::CallId call, const fleet::JobReply& reply) override {
    if (open_calls > 0) --open_calls;
    const auto call_id = static_cast<std::uint64_t>(call);
    const auto client = static_cast<std::uint32_t>(call_id & ((1U << kClientBits) - 1));
    if (is_isolated) return;
    fleet.agenda_.after(fleet.network_delay(), [this, client, call_id, reply] {
      fleet.on_reply(client, index, call_id, reply);
    });
  }

  std::uint64_t acquired_generation(fleet::ShardId shard) const {
    return shard_records[static_cast<std::size_t>(shard)].generation;
  }

  struct ShardRecords {  // state of a shard's records at this node since it acquired the lease
    bool is_pulling = false, is_complete = false;
    std::uint64_t generation = 0;  // of this node when it acquired the lease
  };
  JobFleet& fleet;
  std::uint32_t index;
  std::unique_ptr<fleet::JobScheduler> jobs;
  std::map<fleet::RecordKey, fleet::Record> records;
  std::array<ShardRecords, fleet::kShards> shard_records{};
  std::array<bool, fleet::kShards>
      is_replica{};  // counts as a replica: has all writes that it acknowledged
  std::vector<std::function<void()>> deferred;  // events that arrived during a stall
  std::uint64_t generation = 0;
  std::uint32_t sequence = 0, open_calls = 0;
  bool stalled = false, is_isolated = false, no_counter = false, is_ready = false;
  std::optional<Time> unreachable_since;
};

struct JobFleet::Client {
  fleet::JobSpec spec;
  fleet::JobId id{};
  bool accepted = false, finished = false, deleting = false, deleted = false, conflict = false;
  std::uint32_t next_task = 0;
  std::vector<std::optional<std::string>> answers;
  std::vector<bool> has_outcome;  // by task: the client has its answer or its final state
  std::vector<std::vector<Run>> runs;
  std::optional<std::uint32_t> node;  // to call
  std::uint64_t open_call_id = 0;     // 0: none
  Time call_time{};
  bool is_non_idempotent() const { return spec.request_class == "order"; }
};

}  // namespace petrelrail::world

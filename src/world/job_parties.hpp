// The parties of JobFleet: a node as its jobs' host, and a client with one job.
#pragma once

#include <algorithm>

#include "job_fleet.hpp"

namespace petrelrail::world {

inline constexpr double kTickS = 0.05, kDutyS = 0.1;
inline constexpr std::size_t kKeepers = 5, kAcks = 3;  // any three meet any three of five
inline constexpr int kSends = 4;
inline constexpr double kResendS = 0.15;
inline constexpr double kMarginS = 0.2;     // of a lease, that its holder leaves unused
inline constexpr std::uint32_t kRoom = 64;  // lines out of a node
inline constexpr double kCallS = 7;         // that a client waits
inline constexpr std::uint32_t kUnix = 1'800'000'000;
inline constexpr unsigned kClientBits = 20;  // of a call's number

struct JobFleet::Node final : fleet::JobHost {
  Node(JobFleet& f, std::uint32_t n) : fleet(f), index(n) {}

  void begin() {
    records.clear();
    whole = {}, keeps = {};
    jobs = std::make_unique<fleet::JobScheduler>(fleet.options_.terms, *this);
    ++life;
    calls = 0;
  }
  void end() {
    jobs.reset();
    inbox.clear();
    ready = false, stalled = false;
  }

  std::optional<fleet::ShardLease> lease(fleet::ShardId shard) override {
    const auto& s = fleet.shards_[static_cast<std::size_t>(shard)];
    if (s.holder != index || fleet.now() >= s.until - from_seconds(kMarginS) ||
        holds_life(shard) != life)
      return {};
    return fleet::ShardLease{s.epoch, s.since};
  }
  std::optional<fleet::MemberId> holder(fleet::ShardId shard) override {
    const auto& s = fleet.shards_[static_cast<std::size_t>(shard)];
    if (!s.holder || *s.holder == index || off) return {};
    return fleet::MemberId(static_cast<std::uint16_t>(*s.holder));
  }
  // Three of the five that the last holder's writes went to have answered.
  bool has_all_records(fleet::ShardId shard) override {
    const auto s = static_cast<std::size_t>(shard);
    auto& w = whole[s];
    if (w.pulled || w.asked) return w.pulled;
    w.asked = true;
    const auto of = life;
    fleet.agenda_.after(from_seconds(fleet.dice_.between(0.02, 0.06)), [this, s, of] {
      if (life != of || !jobs) return;
      auto& mine = whole[s];
      mine.asked = false;
      const auto shard_index = static_cast<std::uint32_t>(s);
      const auto heard = fleet.hears(index, shard_index);
      const auto five = fleet.keepers(shard_index).size();
      if (heard.size() < five - std::min(kAcks, five) + 1) return;
      for (const auto k : heard)
        if (k != index)
          for (const auto& [key, r] : fleet.nodes_[k]->records) fleet.merge(index, r);
      mine.pulled = true;
    });
    return false;
  }
  void put(std::uint64_t token, const fleet::RecordKey& key, std::uint64_t epoch,
           std::uint32_t ends, std::optional<std::string> value) override {
    fleet.put(index, token, {key, {epoch, 0, {}}, ends, !value, value.value_or(std::string{})});
  }
  std::optional<fleet::Record> find(const fleet::RecordKey& key) override {
    const auto it = records.find(key);
    return it == records.end() ? std::nullopt : std::optional(it->second);
  }
  void for_each_record(const std::function<void(const fleet::Record&)>& see) override {
    for (const auto& [key, r] : records) see(r);
  }
  void send(const fleet::JobTask& line) override { fleet.send(index, line); }
  std::uint32_t free_slots() override { return kRoom - std::min(kRoom, jobs->tasks_in_flight()); }
  std::optional<double> tasks_per_second(fleet::JobId) override { return fleet.options_.pace; }
  std::optional<Idempotency> idempotency(const std::string& c) override {
    if (c == "lookup") return Idempotency::idempotent;
    if (c == "order") return Idempotency::non_idempotent;
    return {};
  }
  bool has_plan(const std::string& plan) override { return plan == "team"; }
  Duration attempt_timeout(const std::string&) override { return std::chrono::seconds(1); }
  std::uint32_t unix_time(Time now) override {
    return kUnix + static_cast<std::uint32_t>(petrelrail::seconds(now.time_since_epoch()));
  }
  void reply(fleet::CallId call, const fleet::JobReply& reply) override {
    if (calls > 0) --calls;
    const auto number = static_cast<std::uint64_t>(call);
    const auto client = static_cast<std::uint32_t>(number & ((1U << kClientBits) - 1));
    if (off) return;  // it doesn't get through
    fleet.agenda_.after(fleet.way(), [this, client, number, reply] {
      fleet.replied(client, index, number, reply);
    });
  }

  std::uint64_t holds_life(fleet::ShardId shard) const {
    return whole[static_cast<std::size_t>(shard)].life;
  }

  struct Whole {  // of a shard's records, since it was taken
    bool asked = false, pulled = false;
    std::uint64_t life = 0;  // of this node that took it
  };
  JobFleet& fleet;
  std::uint32_t index;
  std::unique_ptr<fleet::JobScheduler> jobs;
  std::map<fleet::RecordKey, fleet::Record> records;
  std::array<Whole, fleet::kShards> whole{};
  std::array<bool, fleet::kShards> keeps{};  // counts as a keeper: has all that it acknowledged
  std::vector<std::function<void()>> inbox;  // while it is stalled
  std::uint64_t life = 0;
  std::uint32_t sequence = 0, calls = 0;
  bool stalled = false, off = false, no_counter = false, ready = false;
  std::optional<Time> gone;  // since when nobody hears of it
};

struct JobFleet::Client {
  fleet::JobSpec spec;
  fleet::JobId id{};
  bool accepted = false, over = false, deleting = false, deleted = false, conflict = false;
  std::uint32_t next = 0;
  std::vector<std::optional<std::string>> answers;
  std::vector<bool> has;  // lines whose answer, or what it was told instead, is in its hands
  std::vector<std::vector<Run>> runs;
  std::optional<std::uint32_t> at;  // the node to call
  std::uint64_t number = 0;         // of the call that is open; 0: none
  Time called{};
  bool unsafe() const { return spec.request_class == "order"; }
};

}  // namespace petrelrail::world

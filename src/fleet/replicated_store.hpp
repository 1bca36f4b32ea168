// A replicated store of small records: writes are gossiped at fixed intervals, replicas are
// repaired by anti-entropy pulls of digests, and a write counts as replicated once enough nodes
// hold it (docs/records.md). Does no I/O, reads no clock and starts no thread: the caller passes in
// the time, membership views and messages, and drains messages, outcomes and changes. Deterministic
// for the same seed, configuration, times and messages.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "membership.hpp"
#include "record_table.hpp"

namespace petrelrail::fleet {

// The store's intervals and limits follow from it.
struct ReplicatedStoreConfig {
  std::uint32_t nodes = 1;  // edge nodes in the fleet
  // Gossip intervals per second. In each a node receives one gossip datagram and sends one ack.
  double gossip_per_s = 5;
  double pull_per_s = 10;  // datagrams that a node requests from others, at most
  // Copies that a replicated write requires, the writer's included; all nodes if there are fewer.
  std::uint32_t required_copies = 4;
  std::uint8_t spaces = 1;  // 0 to spaces - 1 are in use; at most kMaxSpaces
  std::size_t max_records = 4096, max_bytes = 1U << 20U;     // per space, bytes as encoded
  Duration max_clock_skew = std::chrono::milliseconds(100);  // between any two nodes
  Duration max_lifetime = std::chrono::hours(24 * 401);      // of a record from now on
  // An epoch is term number * epochs_per_term + transfers in the term (docs/duties.md).
  Duration term = std::chrono::seconds(2);
  std::uint32_t epochs_per_term = 16;
  bool sealed = false;  // datagrams carry a tag, which leaves fewer bytes for records

  Duration gossip_interval() const;
  // Expected time until a write has reached all living nodes, without a partition.
  Duration propagation_time() const;
  // A write that is not replicated within this time fails.
  Duration replication_timeout() const;
  // The highest epoch under which any node can write by now, given the clock skew.
  std::uint64_t max_epoch(Time now) const;
  // Upper bound on the datagrams of all record kinds that a node receives per second.
  double expected_intake_per_s() const;
};
inline constexpr std::uint8_t kMaxSpaces = 64;

// Throws std::invalid_argument with the reason.
void validate(const ReplicatedStoreConfig& config);

class ReplicatedStore {
 public:
  struct PutResult {
    enum class Kind : std::uint8_t {
      accepted,
      too_large,  // the value has more than kMaxRecordValueBytes
      full,       // the space's limit of records or bytes, or the limit of pending writes
      fenced,     // a later epoch has written the key
      expired,    // the expiry is past, or there is nothing to erase
      too_far,    // the expiry exceeds max_lifetime, or no node can have this epoch yet
      no_space    // no space of this number
    };
    Kind kind = Kind::accepted;
    std::uint64_t ticket = 0;  // from 1 on if accepted
  };
  // Replicated: `required_copies` living nodes hold the write, in two zones if there are two, and
  // this node reaches a majority. Otherwise replication_timeout() has passed or a later epoch has
  // written the key; the writer must report a failure, and may erase the key.
  struct Outcome {
    std::uint64_t ticket = 0;
    bool is_replicated = false;
    bool operator==(const Outcome&) const = default;
  };
  struct Outgoing {
    MemberId to{};
    Body body;
    std::uint32_t echo = 0;
  };
  struct Stats {
    std::uint64_t records = 0, bytes = 0;  // held, tombstones and watermarks included
    std::uint64_t puts = 0, rejected = 0, replicated = 0, unreplicated = 0;
    std::uint64_t merged = 0, removed = 0;
    std::uint64_t expired = 0, too_far = 0, full = 0, no_space = 0, epoch_ahead = 0,
                  malformed = 0;                                         // received and dropped
    std::uint64_t updates = 0, acks = 0, pulls = 0, pull_responses = 0;  // sent
    std::uint64_t stalls = 0;
  };
  struct Changes {
    std::vector<RecordKey> keys;
    bool rescan = false;  // more keys changed than are kept: any record may have changed
  };
  // Handed to a successor process of the same node (an upgrade).
  struct Snapshot {
    std::vector<Record> records;
    struct SpaceFreshness {
      std::uint8_t space = 0;
      Time time{};
    };
    std::vector<SpaceFreshness> fresh_as_of;  // the time up to which a space is known completely
    struct WriterState {
      std::uint8_t space = 0;
      std::uint64_t epoch = 0;
      std::uint32_t sequence = 0;
    };
    std::vector<WriterState> written;  // by this node
    bool caught_up = false;
  };

  // Throws what validate() throws, and std::invalid_argument for an id or zone out of range.
  ReplicatedStore(ReplicatedStoreConfig config, MemberId self, std::uint8_t zone,
                  std::uint64_t seed);

  void start(Time now);
  void on_view_changed(Time now, const MembershipView& view);

  // Writes as the holder of a leader lease under this epoch (from 1 on). `expiry_unix_s` is Unix
  // time in seconds; the expiry of a key never moves to an earlier time. Only one process writes
  // under an epoch.
  PutResult put(Time now, RecordKey key, std::uint64_t epoch, std::uint32_t expiry_unix_s,
                std::string value);
  // The tombstone stays until the record's expiry, or `expiry_unix_s` if that is later (where other
  // versions may expire later).
  PutResult erase(Time now, RecordKey key, std::uint64_t epoch, std::uint32_t expiry_unix_s = 0);
  std::vector<Outcome> drain_outcomes() { return std::exchange(outcomes_, {}); }

  // Null if there is none, or it is deleted or expired as of the latest time that was passed in.
  // Valid until the next call.
  const Record* find(RecordKey key) const;
  // Also returns tombstones and expired records that have not been removed yet.
  const Record* find_stored(RecordKey key) const { return table_.find(key); }
  // Visits all records of a space that find() returns, ordered by number.
  void for_each(std::uint8_t space, const std::function<void(const Record&)>& visit) const;
  Changes drain_changes() { return std::exchange(changes_, {}); }

  // Writes a watermark: this node holds all that was written to the space until now. Called about
  // once a second by the lease holder of a space that has a single writer.
  void write_watermark(Time now, std::uint8_t space, std::uint64_t epoch);
  // Everything that the space's writer held this long ago is or was held here. None: unknown.
  std::optional<Duration> staleness(Time now, std::uint8_t space) const;
  // Whether enough other nodes have sent all that they hold since this node started, stalled or
  // lost the majority.
  bool caught_up(Time) const { return caught_up_; }

  // Handles a message from the address of this member; accepts any content.
  void receive(Time now, MemberId from, const Message& message);
  std::vector<Outgoing> drain_outgoing() { return std::exchange(outgoing_, {}); }
  // Called at next_tick_time() or as soon after it as possible.
  void tick(Time now);
  Time next_tick_time() const { return next_tick_time_; }
  // Limits the datagrams that it may request until the next such call, in addition to pull_per_s.
  // Never called: no such limit.
  void limit_pulls(std::uint32_t datagrams) { pull_allowance_ = datagrams; }

  Snapshot snapshot() const;
  // Called before start(). Expired records and those that exceed the limits are left out, and
  // counted.
  void restore(Time now, const Snapshot& snapshot);
  const Stats& stats() const;
  const ReplicatedStoreConfig& config() const { return config_; }

 private:
  struct PendingGossip {
    RecordKey key;
    std::uint32_t transmissions = 0;
  };
  struct PendingWrite {  // not yet replicated
    std::uint64_t ticket = 0;
    RecordKey key;
    RecordVersion version;
    Time deadline{};
    std::vector<MemberId> holders;  // other nodes
  };
  struct SentUpdate {  // a recent one that requested an ack
    std::uint32_t echo = 0;
    MemberId to{};
  };
  struct Pull {  // the latest
    MemberId to{};
    std::uint32_t echo = 0, max_datagrams = 0;
    std::set<RecordKey> first_keys;             // of the parts of the response received so far
    std::optional<std::uint64_t> part_count{};  // of the response, as its end message says
    bool open = false, changed_records = false, dropped_records = false, by_caught_up = false;
  };
  struct Watermark {
    Time time{};
    RecordVersion version;
    std::uint64_t digest = 0;
  };
  struct Space {
    std::uint64_t epoch = 0;  // of this node's latest write
    std::uint32_t sequence = 0;
    std::optional<Time> fresh_as_of{};
    std::deque<Watermark> watermarks;  // not reached yet
    bool changed = false;              // since the latest check of the watermarks
  };
  enum class Stream : std::uint8_t { gossip, pull };
  // A shuffled order of distances between member ids, the same at all nodes.
  struct ShuffledOrder {
    std::uint64_t epoch = ~0ULL;
    std::vector<std::uint16_t> distances;
  };

  std::uint64_t next_random();
  MemberId partner(Stream s, std::uint64_t interval, std::uint64_t offset = 0);
  bool is_living(MemberId m) const;
  void advance(Time now);
  PutResult reject(PutResult::Kind kind);
  PutResult write(Time now, Record r);
  // Merges a received record and concludes pending writes that it supersedes. None: malformed.
  std::optional<RecordTable::MergeResult> merge(const Record& r);
  void on_changed(const RecordKey& key, bool propagate);

  // Replication of writes.
  bool benefits_from(const PendingWrite& p, MemberId m) const;
  bool is_replicated(const PendingWrite& p) const;
  void conclude_writes(Time now);
  void conclude(const PendingWrite& p, bool replicated);
  void on_held(MemberId by, const RecordKey& key, const RecordVersion& version);

  // Gossip.
  void enqueue_gossip(const RecordKey& key);
  void send_gossip(std::uint64_t interval);
  std::size_t body_bytes() const;
  std::uint32_t max_transmissions() const;
  void send(MemberId to, Body body, std::uint32_t echo);

  // Anti-entropy.
  void send_pull(Time now, std::uint64_t interval);
  void answer_pull(Time now, MemberId from, std::uint32_t echo, const DigestRequest& request);
  void on_update(MemberId from, std::uint32_t echo, const RecordUpdate& update);
  void on_ack(MemberId from, std::uint32_t echo, const RecordAck& ack);
  void process_pull_response();
  unsigned wanted_level() const;
  void reset_catch_up();

  // Staleness.
  void on_watermark(const Record& r);
  void check_watermarks();

  ReplicatedStoreConfig config_;
  MemberId self_;
  std::uint8_t zone_;
  std::uint64_t random_state_;
  RecordTable table_;
  std::array<ShuffledOrder, 2> orders_;
  std::shared_ptr<const std::vector<MembershipView::Member>> members_;
  Reachability reachability_ = Reachability::alone;
  std::uint32_t living_others_ = 0, living_zones_ = 1;
  std::vector<PendingGossip> gossip_queue_;
  std::vector<PendingWrite> pending_writes_;
  std::deque<SentUpdate> sent_updates_;
  std::vector<Outcome> outcomes_;
  Changes changes_;
  std::vector<Space> spaces_;
  std::vector<Outgoing> outgoing_;
  Pull pull_;
  std::deque<std::pair<MemberId, std::uint32_t>>
      answered_pulls_;  // so that a duplicated request is not answered twice
  double pull_tokens_ = 0, answer_tokens_ = 0;
  std::optional<std::uint32_t> pull_allowance_;
  // Pulls compare one of 2^level_ sections of the records at a time; level_hint_ is the level that
  // another node's end message gives.
  unsigned level_ = 0, level_hint_ = 0;
  std::uint32_t section_ = 0, caught_up_run_ = 0, quiet_run_ = 0, fruitless_doublings_ = 0;
  bool caught_up_ = false, started_ = false, pull_soon_ = true;
  Time now_{}, next_tick_time_ = Time::max(), next_interval_time_{}, pull_refill_time_{},
               answer_refill_time_{}, last_pull_time_{};
  std::uint64_t last_ticket_ = 0;
  mutable Stats stats_;
};

}  // namespace petrelrail::fleet

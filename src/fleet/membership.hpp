// SWIM membership with Lifeguard's extensions (Das et al. 2002; Dadgar et al. 2017) and the changes
// that docs/members.md describes. Does no I/O, reads no clock and starts no thread: the caller
// passes in the time and received datagrams, and drains outgoing datagrams and status changes.
// Deterministic for the same seed, configuration, times and datagrams. Grants no quota units.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "datagram.hpp"
#include "petrelrail/types.hpp"

namespace petrelrail::fleet {

// Read from the settings; the protocol's intervals and limits follow from it.
struct MembershipConfig {
  std::uint32_t nodes = 1;       // edge nodes in the fleet, from 2 to max_nodes()
  double inbox_per_s = 60;       // datagrams per second a node accepts, setting `inbox-per-s`
  std::optional<SealKey> key{};  // authenticates datagrams; without it they are not verified
  bool plain_swim = false;       // SWIM of 2002 at the same intervals, as a baseline for
                                 // measurements only; never enabled in production

  Duration probe_interval() const;       // within one, every member is probed once
  Duration fast_probe_interval() const;  // the same in fast mode, while many members fail
  Duration gossip_interval() const;      // between two rounds of gossip
  Duration suspicion_timeout() const;    // least time a suspect has to refute the suspicion
  // Suspicion confirmations from different members that a failure requires, while enough members
  // are alive to give them.
  std::uint32_t required_confirmations() const;
  std::uint32_t max_transmissions() const;  // of one update by one node
  // Upper bound on the time from a change to its appearance in a view: probe, suspicion and gossip.
  Duration detection_bound() const;
  // Datagrams of all kinds per second that a node receives in the worst case, when most of the
  // fleet was killed.
  double expected_intake_per_s() const;
  static std::uint32_t max_nodes();
};

// Throws std::invalid_argument with the reason.
void validate(const MembershipConfig& config);

// This node as a member.
struct LocalMember {
  MemberId id{};
  std::uint8_t zone = 0;
  std::uint16_t instance_id = 0;  // random per process; a successor keeps its predecessor's
  std::uint32_t incarnation = 1;  // 1 in a new process; a successor keeps its predecessor's
};

// The part of the fleet that this node reaches.
enum class Reachability : std::uint8_t { majority, minority, alone };
const char* name_of(Reachability r);
const char* name_of(MemberStatus s);

// An immutable snapshot of the membership table.
struct MembershipView {
  struct Member {
    MemberState state;  // incarnation 0: nothing is known of the member
    std::uint8_t zone = 0;
    bool stable = true;  // false: has recently failed and returned several times, and does not
                         // count as living yet
    Time since{};        // of the present state
  };
  struct Zone {
    std::uint32_t known = 0, living = 0;
    Time last_heard{};  // of the latest datagram from any member of the zone; Time{}: none yet
  };
  std::uint64_t version = 0;  // rises with every change
  Time since{};               // of this version
  Time last_heard{};          // of the latest datagram from any member
  Duration detection_bound{};
  Reachability reachability = Reachability::majority;
  std::uint32_t living = 1;  // stable members that are alive or suspect, this node included
  std::uint32_t suspects = 0, failed = 0, left = 0, unknown = 0;
  std::shared_ptr<const std::vector<Member>> members;  // by MemberId
  std::vector<Zone> zones;
  // The view shows every change older than this that the node could have learned of.
  Duration staleness(Time now) const { return now - last_heard + detection_bound; }
};

// A change of a member's status, concluded by this node or announced by the member itself.
struct StatusChange {
  Time time{};
  MemberId member{};
  MemberStatus status{};
  std::uint32_t incarnation = 0;
  bool returned = false;  // the member had failed or left before
};

class Membership {
 public:
  struct Datagram {
    MemberId to{};
    std::string bytes;
  };
  // Why a received datagram or claim was dropped. The first seven mirror DecodeError.
  enum class DropReason : std::uint8_t {
    too_short,
    too_long,
    version,
    kind,
    malformed,
    tag,
    sender,  // the source address and the sender in the header differ, or are not a member's
    ahead,   // an incarnation too far ahead without enough members that claim it
    crowd    // the limit of concurrent indirect probes for other members is reached
  };
  static constexpr std::size_t kDropReasons = 9;
  static const char* name_of(DropReason d);
  struct Stats {
    std::uint64_t rounds = 0, probes = 0, probes_failed = 0, relayed = 0, syncs = 0;
    std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0;
    std::array<std::uint64_t, kDropReasons> drops{};
    std::uint64_t refutations = 0, suspicions = 0, failures = 0, returns = 0, stalls = 0,
                  conflicts = 0;
    // Lifeguard's local health score. 0: healthy. The local health multiplier of probe timeouts is
    // 1 + local_health.
    std::uint32_t local_health = 0;
  };

  // Throws what validate() throws, and std::invalid_argument for an id or zone out of range.
  Membership(MembershipConfig config, LocalMember self, std::uint64_t seed);

  void start(Time now);
  // Announces that this node leaves. It keeps gossiping while tick() is called, but probes no
  // members.
  void leave(Time now);
  // Handles a datagram from the address of member `from`; accepts arbitrary bytes. Returns the
  // message if its kind belongs to another module (kFirstNonMembershipKind and above); such a
  // message still counts as a sign of life of its sender.
  std::optional<Message> receive(Time now, MemberId from, std::span<const std::uint8_t> bytes);
  // Encodes another module's body with this node's header and tag, and counts it as sent.
  Datagram seal(MemberId to, Body body, std::uint32_t echo);
  // Counts a datagram from an address that belongs to no member.
  void count_unknown_sender() { ++stats_.drops[static_cast<std::size_t>(DropReason::sender)]; }
  // Called at next_tick_time() or as soon after it as possible. A late call is taken as a local
  // stall.
  void tick(Time now);
  Time next_tick_time() const { return next_tick_time_; }

  std::vector<Datagram> drain_datagrams() { return std::exchange(outbox_, {}); }
  std::vector<StatusChange> drain_status_changes() { return std::exchange(status_changes_, {}); }

  std::shared_ptr<const MembershipView> view(Time now) const;
  // Rises with every change of the view except a change of its reachability.
  std::uint64_t view_version() const { return version_; }
  Reachability reachability(Time now) const;
  const Stats& stats() const { return stats_; }
  // The state with which a successor process of the same member starts.
  LocalMember self() const { return self_; }
  const MembershipConfig& config() const { return config_; }
  // Whether another process uses this node's id: its claims have contradicted this node's more
  // than once of late.
  bool has_id_conflict(Time now) const { return now < conflict_deadline_; }

 private:
  struct Member {
    MemberState state;
    std::uint8_t zone = 0;
    std::vector<MemberId> confirmations;    // members that suspect it
    std::vector<MemberId> failure_reports;  // of these, members that have declared it failed
    Time suspected_since{}, since{}, stable_since{}, last_heard{};
    double recent_returns = 0;  // decays exponentially
    Time last_return{};
    std::vector<std::pair<MemberId, MemberState>> unconfirmed_gossip;  // latest claim by source
  };
  struct Probe {
    MemberId target{};
    std::uint32_t echo = 0;
    Time start_time{}, next_attempt_time{}, deadline{};
    std::uint32_t attempts = 0, indirect_probes = 0, nacks = 0;
    // A single ping to a member that is unknown or failed. Silence has no consequence.
    bool is_liveness_check = false;
  };
  struct IndirectProbe {  // carried out for another member
    MemberId requester{}, target{};
    std::uint32_t requester_echo = 0, own_echo = 0;
    Time deadline{};
  };
  struct PendingUpdate {
    MemberEntry entry;
    std::uint32_t transmissions = 0;
  };
  // A shuffled order of distances between member ids, the same at all nodes for a stream and epoch.
  struct ShuffledOrder {
    std::uint64_t epoch = ~0ULL;
    std::vector<std::uint16_t> distances;
  };
  enum class Stream : std::uint8_t { probes, fast_probes, gossip };

  Member& at(MemberId m) { return members_[index_of(m)]; }
  const Member& at(MemberId m) const { return members_[index_of(m)]; }
  bool is_suspected_here(const Member& m) const {
    return std::ranges::find(m.confirmations, self_.id) != m.confirmations.end();
  }
  bool is_living(const Member& m) const {
    return m.state.known() && m.state.status <= MemberStatus::suspect;
  }
  MemberId member_at(std::size_t distance) const {
    return MemberId(static_cast<std::uint16_t>((index_of(self_.id) + distance) % config_.nodes));
  }
  std::size_t distance(Stream s, std::uint64_t round);
  std::uint64_t random_below(std::uint64_t bound);

  // Probing.
  Duration current_probe_interval() const {
    return fast_ ? config_.fast_probe_interval() : config_.probe_interval();
  }
  Duration round_offset() const;
  Time next_round_after(Time now) const;
  void begin_round(Time now);
  void probe(Time now, MemberId target, bool is_liveness_check);
  // Removes and returns the probe of `target` with this echo; none if there is none, or if
  // `indirect` and no indirect probe was requested for it.
  std::optional<Probe> pop_probe(MemberId target, std::uint32_t echo, bool indirect);
  void retry_probe(Time now, Probe& p);
  void request_indirect_probes(Time now, Probe& p);
  void finish_probe(Time now, const Probe& p, bool answered);
  Duration probe_timeout() const;
  Duration retry_interval() const;
  std::uint32_t max_attempts(const Probe& p) const;
  void update_fast_mode(Time now);
  void handle_local_stall(Time now, Duration late);

  // Merging of claims about members.
  void apply_header(Time now, MemberId from, const Header& h);
  // `propagate`: whether an accepted claim is gossiped on.
  void apply(Time now, const MemberEntry& e, MemberId source, bool propagate);
  void apply_plain_swim(Time now, const MemberEntry& e);
  void refute(Time now, const MemberEntry& e, MemberId source);
  void learn_instance_id(MemberId id, std::uint16_t instance_id);
  // Whether a claim with a higher incarnation may be accepted: the incarnation is at most a small
  // step ahead, or enough members claim one.
  bool is_credible(Member& m, MemberId source, const MemberState& s);
  // Keeps the latest claim of each source and returns the number of claims that agree.
  template <class Agrees>
  static std::ptrdiff_t add_claim(Member& m, MemberId source, const MemberState& s, Agrees agrees) {
    std::erase_if(m.unconfirmed_gossip, [&](const auto& h) { return h.first == source; });
    m.unconfirmed_gossip.emplace_back(source, s);
    return std::ranges::count_if(m.unconfirmed_gossip,
                                 [&](const auto& h) { return agrees(h.second); });
  }
  void set_state(Time now, MemberId id, MemberState s, std::uint8_t zone, bool propagate,
                 std::uint32_t transmissions = 0);
  void add_confirmation(Time now, MemberId id, MemberId source, bool propagate,
                        bool is_failure_report = false);
  bool has_enough_confirmations(const Member& m, std::uint32_t needed) const;
  Duration suspicion_timeout_of(const Member& m) const;
  void suspect(Time now, MemberId id);
  void declare_failures(Time now);
  std::uint32_t needed_confirmations(Time now) const;
  std::uint32_t count_alive() const;
  void set_incarnation(Time now, std::uint32_t incarnation);

  // Gossip and anti-entropy sync.
  void enqueue_update(Time now, const MemberEntry& e, std::uint32_t transmissions = 0);
  MemberEntry entry_of(MemberId id) const;
  std::vector<MemberEntry> updates_for(MemberId to, bool only_about_recipient);
  void send_gossip(Time now);
  void request_sync(Time now, MemberId with);
  void answer_sync(Time now, MemberId to, const SyncRequest& request);
  std::uint64_t hash_of(MemberId id) const;
  void update_bucket_hash(MemberId id, std::uint64_t previous);
  std::uint16_t bucket_digest(std::size_t bucket) const;
  std::uint32_t digest() const;
  void send(MemberId to, Body body, std::uint32_t echo);
  void count_drop(DropReason d) { ++stats_.drops[static_cast<std::size_t>(d)]; }
  void schedule_tick(Time now);

  MembershipConfig config_;
  LocalMember self_;
  std::uint64_t random_state_;
  std::vector<Member> members_;
  std::vector<MemberId> suspects_;
  std::vector<Probe> probes_;
  std::vector<IndirectProbe> indirect_probes_;
  std::vector<PendingUpdate> updates_;
  std::array<ShuffledOrder, 3> orders_;
  std::vector<std::uint64_t> bucket_hashes_;  // exclusive or of the hashes of a bucket's members
  std::vector<Datagram> outbox_;
  std::vector<StatusChange> status_changes_;
  Stats stats_;
  std::deque<std::pair<MemberId, bool>> probe_results_;  // latest finished probes; true: answered
  std::deque<Time> churn_times_;                         // of recent failures and returns
  std::vector<Time> zone_last_heard_;
  std::uint32_t last_echo_;
  double rtt_s_ = 0, rtt_var_s_ = 0;  // 0: no sample yet
  double loss_rate_ = 0;              // of first pings and their acks
  bool last_sync_useful_ = false;     // the latest sync response changed the table
  bool started_ = false, leaving_ = false, fast_ = false;
  Time next_tick_time_ = Time::max(), next_round_time_{}, next_gossip_time_ = Time::max(),
       last_gossip_time_{}, last_heard_{}, last_sync_time_{}, last_change_time_{};
  std::uint32_t instance_conflicts_ = 0;
  Time conflict_deadline_{};
  std::uint64_t version_ = 0;
};

}  // namespace petrelrail::fleet

// A leader lease: at most one edge node of the tier acts under it at any time (docs/duties.md).
// Time is divided into terms by the clock that all nodes share, and a node wins a term at the
// counter before the term begins. A state machine without I/O, clock or threads: the caller passes
// in time, counter replies and announcements, and sends what drain_calls() and
// drain_announcements() return. Deterministic for equal seeds and inputs; copies are independent.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "datagram.hpp"
#include "membership.hpp"
#include "petrelrail/events.hpp"

namespace petrelrail::fleet {

// The epoch that every effect of the holder carries: term number * kEpochsPerTerm + the number of
// transfers of the term. It never decreases. 0: none.
using FencingToken = std::uint64_t;
inline constexpr FencingToken kEpochsPerTerm = 16;
inline std::uint64_t term_of(FencingToken e) { return e / kEpochsPerTerm; }

// All durations of the protocol derive from these values, which are the same at all nodes.
struct LeaderLeaseConfig {
  std::uint32_t nodes = 1;  // in the tier
  Duration failover_time = std::chrono::seconds(
      3);  // approximate time without a holder after a failure; a term is 2/3 of it
  Duration max_clock_skew = std::chrono::milliseconds(50);  // between the clocks of any two nodes
  Duration counter_timeout = std::chrono::milliseconds(50);

  Duration term_duration() const { return failover_time * 2 / 3; }
  std::uint64_t term_at(Time t) const {
    return static_cast<std::uint64_t>(t.time_since_epoch() / term_duration());
  }
  Time term_start(std::uint64_t term_number) const {
    return Time(term_duration() * static_cast<Duration::rep>(term_number));
  }
  // Claims count from the opening time to the deadline, both in the term before the claimed one.
  Time claim_opening_time(std::uint64_t claimed) const {
    return term_start(claimed) - term_duration() * 3 / 4;
  }
  Time claim_deadline(std::uint64_t claimed) const {
    return term_start(claimed) - term_duration() / 10;
  }
  Time confirmation_time(std::uint64_t claimed) const {
    return claim_deadline(claimed) + 2 * max_clock_skew;
  }
};
// Throws std::invalid_argument that names the invalid value.
void validate(const LeaderLeaseConfig& config);

// The hash that identifies a lease on the wire.
std::uint32_t lease_hash(const std::string& name);

// Safeguards to leave out, so that the state explorer and tests can show that each is needed. A
// node never sets any.
struct LeaseViolation {
  bool no_skew_margin = false;     // the holder acts from the first to the last moment of a term
  bool late_claims = false;        // a claim counts even if its reply comes after the deadline
  bool no_confirmation = false;    // a claim that is won needs no confirmation
  bool timeout_won = false;        // a claim without a reply counts as won
  bool stale_transfers = false;    // accepts a term that a former process with the same member ID
                                   // may have accepted and transferred
  bool ambiguous_amounts = false;  // adds its member ID + 1; a sum may equal another node's amount
};

class LeaderLease {
 public:
  struct CounterCall {  // an add at the counter; on_counter_reply() gets at most one reply to it
    std::uint64_t id = 0;
    std::string name;
    double amount = 0;  // 0: queries the total
    Duration ttl{};     // of the name
  };
  struct Announcement {
    MemberId to{};
    LeaseEntry entry;
  };
  struct Holder {
    MemberId node{};
    FencingToken epoch = 0;
    Time term_end{};
    bool operator==(const Holder&) const = default;
  };
  // A term that this node holds, or held and then transferred (`is_held` is false).
  struct LeaseTerm {
    FencingToken epoch = 0;
    bool is_held = false;
    bool operator==(const LeaseTerm&) const = default;
  };
  struct Claim {
    enum class Phase : std::uint8_t { claiming, won, confirming };
    std::uint64_t term = 0;
    Phase phase = Phase::claiming;
    double amount = 0;             // that this phase adds under its counter name
    bool outcome_unknown = false;  // the counter may hold the amount: query before adding again
    bool operator==(const Claim&) const = default;
  };
  // Hand-over state for the successor process of the same node.
  struct State {
    Time start_time{};
    std::vector<LeaseTerm> own_terms;
    std::optional<Claim> claim;
    std::vector<Holder> known_holders;
  };
  struct Stats {
    std::uint64_t claims = 0, claims_won = 0,
                  claims_lost = 0;  // terms claimed by this node, by outcome
    std::uint64_t calls = 0, queries = 0, refused = 0, timeouts = 0;
    std::uint64_t terms_acquired = 0;  // confirmed or accepted by transfer
    std::uint64_t transfers_sent = 0, transfers_accepted = 0;
    std::uint64_t announcements_sent = 0, announcements_received = 0,
                  announcements_ignored = 0;  // of another lease or sender, or of a distant term
  };

  // `name`: 1 to 64 bytes. Throws std::invalid_argument for an invalid name, for a member ID that
  // is not below `config.nodes`, and for what validate() rejects. Processes that share a member ID
  // need different seeds.
  LeaderLease(LeaderLeaseConfig config, std::string name, MemberId self, std::uint64_t seed,
              LeaseViolation violations = {});

  // Sets whether this node has work to do under the lease. A node that is no candidate claims
  // nothing and releases what it holds.
  void set_candidate(Time now, bool candidate);
  void on_view(Time now, const MembershipView& view);
  // Returns the fencing token under which this node may act at `now`; nullopt if it may not act.
  // Must be called before each effect.
  std::optional<FencingToken> valid_token_at(Time now) const;

  // Call at next_tick_time(), or as soon after it as possible.
  void tick(Time now);
  Time next_tick_time() const { return next_tick_time_; }

  // Returns the calls to send, in this order and after quota calls. A late call costs at most one
  // term.
  std::vector<CounterCall> drain_calls() { return std::exchange(outgoing_calls_, {}); }
  // refused: nothing was added; timeout: the outcome is unknown, also for a reply without a
  // number. Only the first reply to a call may be passed in.
  void on_counter_reply(Time now, std::uint64_t call_id, CounterOutcome outcome, double total);

  std::vector<Announcement> drain_announcements() { return std::exchange(announcements_, {}); }
  void on_announcement(Time now, MemberId from, const LeaseEntry& entry);

  // Called when this node leaves the tier: transfers the terms that it holds at once, and a term
  // that it is about to win as soon as that is confirmed. The caller keeps ticking until the
  // process ends. Without a successor the node acts until its terms end.
  void step_down(Time now);
  // Whether all transfers have been acknowledged and no claim is pending.
  bool has_stepped_down() const { return is_stepping_down_ && transfers_.empty() && !claim_; }

  // For an upgrade: the predecessor holds nothing afterwards, and claims nothing until
  // set_candidate(true).
  State hand_over(Time now);
  // Call before the first tick. Counts calls of the predecessor without a reply as unknown.
  void take_over(Time now, const State& state);

  // Returns the holder of the present term as far as this node knows; nullopt if it knows none.
  // The result gives no right to act.
  std::optional<Holder> holder_at(Time now) const;
  // Returns the node that claims the lease first if it is a candidate; nullopt before the first
  // view.
  std::optional<MemberId> preferred_claimant() const {
    return claim_order_.empty() ? std::nullopt : std::optional(claim_order_.front());
  }
  const std::string& name() const { return name_; }
  std::uint32_t hash() const { return hash_; }
  const LeaderLeaseConfig& config() const { return config_; }
  const Stats& stats() const { return stats_; }
  // Hash of all state that decides further behaviour, to compare states.
  std::uint64_t fingerprint() const;

 private:
  struct Transfer {
    MemberId successor{};
    FencingToken epoch = 0;
    Time retry_time{};
    bool operator==(const Transfer&) const = default;
  };

  void ensure_started(Time now);
  void advance(Time now);
  void schedule_tick(Time now);
  void prune_expired(Time now);
  std::optional<Time> claim_time(Time now) const;
  Time claim_deadline(std::uint64_t claimed) const;
  void start_call();
  void apply_total(Time now, double total);
  void acquire(Time now, FencingToken epoch);
  void record_holder(const Holder& holder);
  void announce(FencingToken epoch, bool include_secondary);
  void start_transfers(Time now);
  bool accept_transfer(Time now, FencingToken epoch);
  bool is_primary() const { return rank_ < kPrimaryClaimants; }
  bool holds(std::uint64_t term) const {
    return own_term(term) != nullptr && own_term(term)->is_held;
  }
  const LeaseTerm* own_term(std::uint64_t term) const;
  const Holder* known_holder(std::uint64_t term) const;
  std::uint64_t random_below(std::uint64_t bound);
  double claim_jitter(std::uint64_t term) const;  // 0 to 1
  double random_amount();
  Duration retry_delay();
  Duration boundary_margin() const {
    return violations_.no_skew_margin ? Duration{} : config_.max_clock_skew;
  }

  // Nodes at the head of the claim order that claim by rank and receive every announcement; all
  // others are secondary.
  static constexpr std::size_t kPrimaryClaimants = 6;

  LeaderLeaseConfig config_;
  std::string name_;
  MemberId self_;
  std::uint64_t seed_;
  LeaseViolation violations_;
  std::uint32_t hash_;
  bool is_candidate_ = false, is_stepping_down_ = false, has_majority_ = true;
  Time start_time_{};       // of this process, or of the first predecessor that handed over
  Time listening_since_{};  // since when this node has missed no announcement by stalling
  Time primary_since_{};
  std::vector<MemberId> claim_order_;  // alive and settled members of the last view
  std::vector<MemberId>
      successors_;  // other members of claim_order_, alive for long enough to accept a transfer
  std::size_t rank_ = SIZE_MAX;        // in claim_order_
  std::vector<LeaseTerm> own_terms_;   // at most one each for the previous, present and next term
  std::vector<Holder> known_holders_;  // likewise
  std::uint64_t last_known_term_ = 0;  // latest term with a known holder
  std::uint64_t last_claimed_term_ = 0;
  std::optional<Claim> claim_;
  std::uint64_t pending_call_ = 0;  // 0: none
  Time next_call_time_{};           // of the claim
  std::uint32_t retries_ = 0;       // in the claim's phase
  std::uint32_t lost_claims_ = 0;   // since a holder was last announced; at most kMaxLostClaims
  bool last_call_unanswered_ = false;
  Time reannounce_time_ = Time::max();  // of a claim that is won
  std::vector<Transfer> transfers_;
  std::uint64_t last_call_id_ = 0, random_draws_ = 0;
  Time next_tick_time_ = Time::max();
  std::vector<CounterCall> outgoing_calls_;
  std::vector<Announcement> announcements_;
  Stats stats_;
};

// Kept by a receiver of effects for each lease. Refuses an epoch that is older than the newest seen
// one, and within an epoch any holder other than the first.
class FencingCheck {
 public:
  bool passes(FencingToken epoch, MemberId holder) {
    if (epoch == 0 || epoch < newest_epoch_ || (epoch == newest_epoch_ && holder != holder_))
      return false;
    newest_epoch_ = epoch, holder_ = holder;
    return true;
  }
  FencingToken newest_epoch() const { return newest_epoch_; }

 private:
  FencingToken newest_epoch_ = 0;
  MemberId holder_{};
};

}  // namespace petrelrail::fleet

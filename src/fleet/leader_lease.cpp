#include "leader_lease.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxNameBytes = 64;
constexpr Duration kMaxCounterTtl = 60s;  // for which the counter keeps a name
// All amounts lie in [kMinAmount, kMinAmount + kAmountSpan), so that no sum of two or more equals
// one of them, and the counter's seven digits represent each exactly.
constexpr std::uint64_t kMinAmount = 4'500'000, kAmountSpan = 4'500'000;

// The times of claims, as fractions of the term before the claimed one. The holder renews in the
// middle: followers can see by three quarters that it has not, and it has time for several calls.
constexpr double kRenewalStart = 0.4, kRenewalSpan = 0.2;
// Followers of a known holder. Each waits one step longer than the follower before it; a call and
// an announcement take less than the step.
constexpr double kFollowerStart = 0.75, kClaimStep = 0.05;
constexpr std::size_t kMaxFollowers = 3;  // that can get a reply before the claim deadline
// Without a known holder, one may still exist behind a network partition. These claims come after
// its renewal; otherwise two nodes that can't reach each other would take every other term from
// each other.
constexpr double kVacantStart = 0.62;
// The holder announces its claim a second time before followers claim, because datagrams get lost.
constexpr double kReannounceStart = 0.68;
// A node without a majority claims last, after all nodes that have one.
constexpr double kMinorityStart = 0.86;
constexpr double kMaxClaimJitter = 0.02;  // separates nodes that see themselves at the same rank
constexpr std::uint32_t
    kMaxLostClaims = 4;  // doublings of the terms between claims against an unreachable holder
constexpr std::uint32_t kMaxBackoffDoublings = 3;  // of the delay between two calls
// Secondary nodes receive one announcement in kSecondaryAnnounceTerms. They claim only after this
// many terms without one, that is when no primary node is a candidate, and then a few per term.
constexpr std::uint64_t kSecondarySilentTerms = 40;

std::uint64_t hash_of(const std::string& text) {  // FNV-1a, then mixed
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix_hash(h);
}
bool is_same_amount(double a, double b) { return std::abs(a - b) < 0.5; }
template <class... Values>
std::uint64_t combine_hash(std::uint64_t h, Values... values) {
  ((h = mix_hash(h ^ static_cast<std::uint64_t>(values))), ...);
  return h;
}
std::int64_t nanoseconds(Time t) { return t.time_since_epoch().count(); }

}  // namespace

void validate(const LeaderLeaseConfig& c) {
  const auto require = [](bool condition, const char* message) {
    if (!condition) throw std::invalid_argument(std::string("duty: ") + message);
  };
  require(c.nodes >= 1 && c.nodes <= 65536, "nodes must be from 1 to 65536");
  require(c.max_clock_skew >= 0ns, "clocks: the bound must not be negative");
  require(c.counter_timeout > 0ns, "counter_timeout must be above 0");
  // The counter must keep the names of a claim and of its confirmation until the claimed term
  // ends.
  require(c.failover_time > 0ns && 2 * c.failover_time <= kMaxCounterTtl,
          "life must be above 0 and at most 30 s");
  // Leaves time for the holder's second call before the claim deadline, and for the confirmation
  // before the next claim.
  require(2 * c.max_clock_skew + 2 * c.counter_timeout <= c.term_duration() / 4,
          "life is too short: two times clocks and counter_timeout together must fit into a sixth "
          "of it");
}

std::uint32_t lease_hash(const std::string& name) {
  return static_cast<std::uint32_t>(hash_of(name) >> 32U);
}

LeaderLease::LeaderLease(LeaderLeaseConfig config, std::string name, MemberId self,
                         std::uint64_t seed, LeaseViolation violations)
    : config_(config),
      name_(std::move(name)),
      self_(self),
      seed_(seed),
      violations_(violations),
      hash_(lease_hash(name_)) {
  validate(config_);
  if (name_.empty() || name_.size() > kMaxNameBytes)
    throw std::invalid_argument("duty: the name must have 1 to 64 bytes");
  if (index_of(self_) >= config_.nodes)
    throw std::invalid_argument("duty: member ID " + std::to_string(index_of(self_)) +
                                " is out of range for " + std::to_string(config_.nodes) + " nodes");
}

std::uint64_t LeaderLease::random_below(std::uint64_t bound) {
  return mix_hash(seed_ + mix_hash(++random_draws_)) % bound;
}
double LeaderLease::claim_jitter(std::uint64_t term) const {
  return static_cast<double>(mix_hash(seed_ ^ mix_hash(term)) >> 11U) * 0x1p-53;
}
// Amounts of different nodes always differ. Two processes with the same member ID have different
// seeds and so draw different amounts.
double LeaderLease::random_amount() {
  if (violations_.ambiguous_amounts) return static_cast<double>(index_of(self_) + 1);
  return static_cast<double>(
      kMinAmount + config_.nodes * random_below(kAmountSpan / config_.nodes) + index_of(self_));
}
Duration LeaderLease::retry_delay() {  // exponential, with jitter
  const auto step = config_.term_duration() / 40 *
                    (1 << std::min(retries_++, kMaxBackoffDoublings));
  return step + Duration(static_cast<Duration::rep>(
                    random_below(static_cast<std::uint64_t>(step.count()) + 1)));
}

const LeaderLease::LeaseTerm* LeaderLease::own_term(std::uint64_t term) const {
  const auto it = std::ranges::find_if(
      own_terms_, [&](const LeaseTerm& t) { return term_of(t.epoch) == term; });
  return it == own_terms_.end() ? nullptr : &*it;
}
const LeaderLease::Holder* LeaderLease::known_holder(std::uint64_t term) const {
  const auto it = std::ranges::find_if(known_holders_,
                                       [&](const Holder& h) { return term_of(h.epoch) == term; });
  return it == known_holders_.end() ? nullptr : &*it;
}

void LeaderLease::ensure_started(Time now) {
  if (start_time_ != Time{}) return;
  start_time_ = listening_since_ = now;
  last_known_term_ = config_.term_at(now);
}

void LeaderLease::set_candidate(Time now, bool candidate) {
  ensure_started(now);
  is_candidate_ = candidate;
  if (!candidate) claim_.reset(), pending_call_ = 0;
  advance(now);
}

void LeaderLease::on_view(Time now, const MembershipView& v) {
  ensure_started(now);
  claim_order_.clear(), successors_.clear();
  const auto salt = hash_of(name_);
  std::vector<std::pair<std::uint64_t, MemberId>> ranked;
  const auto count = std::min<std::size_t>(v.members ? v.members->size() : 0, config_.nodes);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& s = (*v.members)[i];
    const auto id = MemberId(static_cast<std::uint16_t>(i));
    if (id == self_ || (s.state.known() && s.state.status <= MemberStatus::suspect && s.stable))
      ranked.emplace_back(mix_hash(salt ^ mix_hash(i)), id);
  }
  std::ranges::sort(ranked);
  const bool is_first_view = rank_ == SIZE_MAX, was_primary = is_primary();
  rank_ = SIZE_MAX;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    const auto id = ranked[i].second;
    claim_order_.push_back(id);
    if (id == self_) rank_ = i;
    const auto& s = (*v.members)[index_of(id)];
    if (id != self_ && s.state.status == MemberStatus::alive &&
        now - s.since >= 2 * config_.term_duration())
      successors_.push_back(id);
  }
  if (is_primary() && !was_primary) primary_since_ = is_first_view ? start_time_ : now;
  has_majority_ = v.reachability == Reachability::majority;
  advance(now);
}

std::optional<FencingToken> LeaderLease::valid_token_at(Time now) const {
  const auto term = config_.term_at(now);
  const auto* r = own_term(term);
  if (!is_candidate_ || r == nullptr || !r->is_held) return std::nullopt;
  // Near a boundary, clock skew allows only a node that holds the terms on both sides to act.
  const bool near_start = now < config_.term_start(term) + boundary_margin(),
             near_end = now >= config_.term_start(term + 1) - boundary_margin();
  if ((near_start && !holds(term - 1)) || (near_end && !holds(term + 1))) return std::nullopt;
  return r->epoch;
}

std::optional<LeaderLease::Holder> LeaderLease::holder_at(Time now) const {
  const auto term = config_.term_at(now);
  if (holds(term)) return Holder{self_, own_term(term)->epoch, config_.term_start(term + 1)};
  const auto* h = known_holder(term);
  return h != nullptr ? std::optional(*h) : std::nullopt;
}

// ---- Claims -------------------------------------------------------------------------------------

Time LeaderLease::claim_deadline(std::uint64_t claimed) const {
  return violations_.late_claims ? config_.term_start(claimed) + config_.term_duration() / 4
                                 : config_.claim_deadline(claimed);
}

// Returns when this node claims the next term; nullopt if, as far as it knows, it will not.
std::optional<Time> LeaderLease::claim_time(Time now) const {
  const auto term = config_.term_at(now), next = term + 1;
  if (!is_candidate_ || is_stepping_down_ || claim_ || last_claimed_term_ >= next ||
      own_term(next) != nullptr || known_holder(next) != nullptr)
    return std::nullopt;
  const auto at_fraction = [&](double fraction) {
    return config_.term_start(term) + scaled(config_.term_duration(), fraction);
  };
  const auto claim_at = [&](double fraction) {
    return at_fraction(has_majority_ ? fraction : std::max(fraction, kMinorityStart));
  };
  const double random = claim_jitter(next);
  if (holds(term)) return claim_at(kRenewalStart + kRenewalSpan * random);
  // A holder exists whose announcements do not arrive: the nodes claim ever more rarely, each in
  // different terms.
  if (lost_claims_ > 0 && (next + rank_) % (1ULL << lost_claims_) != 0) return std::nullopt;
  // This node must have listened long enough to receive an announcement of the holder.
  if (rank_ == SIZE_MAX || listening_since_ > config_.term_start(term)) return std::nullopt;
  const double jitter = kMaxClaimJitter * random;
  if (!is_primary()) {
    if (term - last_known_term_ <= kSecondarySilentTerms + rank_ / kPrimaryClaimants)
      return std::nullopt;
    return claim_at(kFollowerStart + kClaimStep * static_cast<double>(rank_ % kMaxFollowers) +
                    jitter);
  }
  if (primary_since_ > config_.term_start(term)) return std::nullopt;
  const auto* h = known_holder(term);
  const auto holder = h != nullptr ? std::ranges::find(claim_order_, h->node) : claim_order_.end();
  if (holder == claim_order_.end())
    return claim_at(kVacantStart + kClaimStep * static_cast<double>(rank_) + jitter);
  const auto position = rank_ -
                        (static_cast<std::size_t>(holder - claim_order_.begin()) < rank_ ? 1 : 0);
  if (position >= kMaxFollowers) return std::nullopt;
  return claim_at(kFollowerStart + kClaimStep * static_cast<double>(position) + jitter);
}

void LeaderLease::start_call() {
  auto& c = *claim_;
  const bool is_query = c.outcome_unknown;
  if (!is_query) c.amount = random_amount();
  char name[kMaxNameBytes];
  std::snprintf(name, sizeof name, "duty.%016llx.%llu.%s",
                static_cast<unsigned long long>(hash_of(name_)),
                static_cast<unsigned long long>(c.term),
                c.phase == Claim::Phase::claiming ? "claim" : "hold");
  pending_call_ = ++last_call_id_;
  ++stats_.calls;
  if (is_query) ++stats_.queries;
  // The name must last from a quarter into the previous term to the end of the claimed one, by any
  // node's clock.
  outgoing_calls_.push_back(
      {pending_call_, name, is_query ? 0 : c.amount, 2 * config_.failover_time});
}

void LeaderLease::on_counter_reply(Time now, std::uint64_t call_id, CounterOutcome outcome,
                                   double total) {
  ensure_started(now);
  if (call_id == 0 || call_id != pending_call_ || !claim_) return advance(now);
  pending_call_ = 0;
  if (outcome == CounterOutcome::ok && std::isfinite(total)) {
    last_call_unanswered_ = false;
    apply_total(now, total);
  } else {
    // A refused call added nothing, but an earlier unknown outcome remains unknown.
    const bool refused = outcome == CounterOutcome::refused;
    ++(refused ? stats_.refused : stats_.timeouts);
    // A refusal is a reply.
    last_call_unanswered_ = !refused;
    if (violations_.timeout_won && !refused)
      apply_total(now, claim_->amount);
    else
      claim_->outcome_unknown = claim_->outcome_unknown || !refused,
      next_call_time_ = now + retry_delay();
  }
  advance(now);
}

void LeaderLease::apply_total(Time now, double total) {
  auto& c = *claim_;
  if (is_same_amount(total, 0)) {  // a query, and no node has added, so neither has this one
    c.outcome_unknown = false, next_call_time_ = now;
    return;
  }
  const bool is_first_add = is_same_amount(total, c.amount);
  if (c.phase == Claim::Phase::claiming) {
    if (!is_first_add || now > claim_deadline(c.term)) {
      ++stats_.claims_lost;
      lost_claims_ = std::min(lost_claims_ + 1, kMaxLostClaims);
      last_known_term_ = std::max(last_known_term_, c.term);  // another node claims
      claim_.reset();
      return;
    }
    ++stats_.claims_won;
    announce(c.term * kEpochsPerTerm, false);
    if (violations_.no_confirmation) {
      const auto epoch = c.term * kEpochsPerTerm;
      claim_.reset();
      return acquire(now, epoch);
    }
    c.phase = Claim::Phase::won, c.outcome_unknown = false, retries_ = 0;
    reannounce_time_ = config_.term_start(c.term - 1) +
                       scaled(config_.term_duration(), kReannounceStart);
    next_call_time_ = config_.confirmation_time(c.term);
    return;
  }
  const auto epoch = c.term * kEpochsPerTerm;
  claim_.reset();
  if (!is_first_add) {
    ++stats_.claims_lost;
    return;
  }
  acquire(now, epoch);
}

void LeaderLease::acquire(Time now, FencingToken epoch) {
  std::erase_if(own_terms_, [&](const LeaseTerm& t) { return term_of(t.epoch) == term_of(epoch); });
  own_terms_.push_back({epoch, true});
  ++stats_.terms_acquired;
  record_holder({self_, epoch, config_.term_start(term_of(epoch) + 1)});
  announce(epoch, true);
  if (is_stepping_down_) start_transfers(now);
}

// ---- Time ---------------------------------------------------------------------------------------

void LeaderLease::tick(Time now) {
  ensure_started(now);
  // A node that stalled may have missed announcements.
  if (next_tick_time_ != Time::max() && now - next_tick_time_ > config_.term_duration() / 4)
    listening_since_ = now;
  advance(now);
}

void LeaderLease::prune_expired(Time now) {
  const auto present = config_.term_at(now);
  std::erase_if(own_terms_, [&](const LeaseTerm& t) { return term_of(t.epoch) + 1 < present; });
  std::erase_if(known_holders_, [&](const Holder& h) { return term_of(h.epoch) + 1 < present; });
  std::erase_if(transfers_, [&](const Transfer& t) { return term_of(t.epoch) < present; });
  if (!claim_) return;
  // A claim ends at its deadline, a confirmation when claims of the following term open.
  const bool is_claiming = claim_->phase == Claim::Phase::claiming;
  if (is_claiming ? now > claim_deadline(claim_->term)
                  : now > config_.term_start(claim_->term) + config_.term_duration() / 4) {
    ++stats_.claims_lost;
    claim_.reset(), pending_call_ = 0;
  }
}

void LeaderLease::advance(Time now) {
  prune_expired(now);
  const auto next = config_.term_at(now) + 1;
  if (const auto at = claim_time(now); at && now >= *at && now < claim_deadline(next)) {
    // After an unanswered call the node queries first: an add whose reply is lost would deny the
    // term to all nodes.
    claim_ = Claim{next, Claim::Phase::claiming, 0, last_call_unanswered_};
    last_claimed_term_ = next, retries_ = 0;
    ++stats_.claims;
    pending_call_ = 0, next_call_time_ = now;
  }
  if (claim_ && pending_call_ == 0 && now >= next_call_time_) {
    if (claim_->phase == Claim::Phase::won) claim_->phase = Claim::Phase::confirming;
    start_call();
  }
  if (claim_ && claim_->phase != Claim::Phase::claiming && now >= reannounce_time_) {
    // Not sent if the claim was won after followers start to claim.
    if (now <
        config_.term_start(claim_->term - 1) + scaled(config_.term_duration(), kFollowerStart))
      announce(claim_->term * kEpochsPerTerm, false);
    reannounce_time_ = Time::max();
  }
  for (auto& t : transfers_) {
    if (now < t.retry_time) continue;
    t.retry_time = now + config_.term_duration() / 40;  // longer than the round trip of a transfer
    ++stats_.announcements_sent;
    announcements_.push_back({t.successor, {hash_, t.epoch, t.successor, true}});
  }
  schedule_tick(now);
}

void LeaderLease::schedule_tick(Time now) {
  next_tick_time_ = Time::max();
  const auto tick_by = [&](Time t) {
    if (t > now) next_tick_time_ = std::min(next_tick_time_, t);
  };
  const auto term = config_.term_at(now);
  if (is_candidate_ && !is_stepping_down_) tick_by(config_.term_start(term + 1));
  if (const auto at = claim_time(now)) tick_by(*at);
  if (claim_) {
    if (pending_call_ == 0) tick_by(next_call_time_);
    if (claim_->phase != Claim::Phase::claiming) tick_by(reannounce_time_);
    tick_by(claim_deadline(claim_->term) + 1ns);
    tick_by(config_.term_start(claim_->term) + config_.term_duration() / 4 + 1ns);
  }
  for (const auto& t : transfers_)
    tick_by(std::min(t.retry_time, config_.term_start(term_of(t.epoch) + 1)));
}

std::uint64_t LeaderLease::fingerprint() const {
  auto h = combine_hash(hash_, index_of(self_), is_candidate_, is_stepping_down_, has_majority_,
                        nanoseconds(start_time_), nanoseconds(listening_since_),
                        nanoseconds(primary_since_), rank_, last_known_term_, last_claimed_term_,
                        pending_call_, nanoseconds(next_call_time_), last_call_id_, random_draws_,
                        nanoseconds(next_tick_time_), last_call_unanswered_, retries_,
                        nanoseconds(reannounce_time_), lost_claims_);
  for (const auto m : claim_order_) h = combine_hash(h, index_of(m));
  for (const auto m : successors_) h = combine_hash(h, index_of(m));
  for (const auto& r : own_terms_) h = combine_hash(h, r.epoch, r.is_held);
  for (const auto& o : known_holders_) h = combine_hash(h, o.epoch, index_of(o.node));
  for (const auto& t : transfers_)
    h = combine_hash(h, t.epoch, index_of(t.successor), nanoseconds(t.retry_time));
  if (claim_)
    h = combine_hash(h, claim_->term, claim_->phase, claim_->amount, claim_->outcome_unknown);
  return combine_hash(h, outgoing_calls_.size(), announcements_.size());
}

}  // namespace petrelrail::fleet

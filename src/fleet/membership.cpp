#include "membership.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "common/hash.hpp"
#include "common/lookup.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

// The intervals divide a node's intake of L datagrams per second. With L/30 probe rounds per
// second, in each of which every node is pinged once and receives one ack, probing takes L/15, and
// kFastModeFactor times as much in fast mode. Gossip brings kGossipFanout datagrams in each of
// about four gossip intervals per round, a little over L/4 in all. A third of L is left for bursts.
constexpr double kIntakePerRound = 30;
// Datagrams per second. The probe interval, kIntakePerRound divided by it, must not round to zero.
constexpr double kMaxIntakePerSecond = 1e6;
constexpr int kFastModeFactor = 4;
constexpr double kGossipsPerRound = 4.5;
constexpr std::uint32_t kGossipFanout = 2;
constexpr double kIntakePerSyncResponse = 15;  // one response consists of at most L/15 datagrams

constexpr std::uint32_t kMaxConfirmations = kMaxConfirmationsPerEntry;
constexpr std::uint32_t kMinDistinctConfirmations = 2;  // distinct members among the confirmations
// Members asked to probe on this node's behalf at a time, two of them in a zone that is neither the
// target's nor this node's.
constexpr std::uint32_t kIndirectProbes = 3;
constexpr std::uint32_t kPicksPerIndirectProbe = 24;  // random picks for each of them
constexpr std::ptrdiff_t kMinLeaveReports = 2;  // members that must report that another has left
// Largest step of an incarnation that is accepted on the claim of a single other member.
constexpr std::uint32_t kMaxIncarnationStep = 16;
constexpr std::uint32_t kMaxLocalHealth = 8;   // Lifeguard's saturation limit S
constexpr std::size_t kProbeResultWindow = 8;  // finished probes that reachability is based on
constexpr double
    kSuspicionRoundsPerDecade = 1.65;            // times log10(nodes), which counts as at least 2
constexpr double kNodesPerFastModeFailure = 20;  // more than one failure in 20 nodes: fast mode
constexpr int kSilentRounds = 4;  // without a datagram before an alive member is probed first
constexpr std::uint64_t kGossipCandidates = 12;
constexpr std::uint32_t kSubstituteCandidates = 10;  // considered in place of a member not living
constexpr std::uint32_t kMinAttempts = 2, kMaxAttempts = 6;
constexpr double kLossGain = 1.0 / 32, kRttGain = 1.0 / 8, kVarGain = 1.0 / 4,
                 kRttVarWeight = 4;  // RFC 6298
// A probe's time-out in retry intervals: a second ping, the indirect probes, more of them, and
// their answers.
constexpr double kProbeTimeoutRetries = 6;
constexpr int kIdleSyncRounds = 2;  // rounds between two syncs while they change nothing
constexpr std::size_t kMaxIndirectProbes = 16;  // carried out for other members at a time
constexpr std::uint32_t kMaxDoublings = 4;
constexpr double kReturnHalfLifeTimeouts = 20;  // suspicion time-outs in which returns count half

std::uint64_t hash3(std::uint64_t a, std::uint64_t b, std::uint64_t c) {
  return mix_hash(mix_hash(mix_hash(a) + b) + c);
}

}  // namespace

Duration MembershipConfig::probe_interval() const {
  return from_seconds(kIntakePerRound / inbox_per_s);
}
Duration MembershipConfig::fast_probe_interval() const {
  return probe_interval() / kFastModeFactor;
}
Duration MembershipConfig::gossip_interval() const {
  return scaled(probe_interval(), 1 / kGossipsPerRound);
}
Duration MembershipConfig::suspicion_timeout() const {
  return scaled(probe_interval(),
                kSuspicionRoundsPerDecade * std::max(2.0, std::log10(static_cast<double>(nodes))));
}
std::uint32_t MembershipConfig::required_confirmations() const {
  return std::clamp(nodes - 1, 1U, kMaxConfirmations);
}
std::uint32_t MembershipConfig::max_transmissions() const {
  return static_cast<std::uint32_t>(std::ceil(std::log(static_cast<double>(nodes) + 1))) + 1;
}
Duration MembershipConfig::detection_bound() const {
  return 2 * probe_interval() + suspicion_timeout() + probe_interval() +
         max_transmissions() * gossip_interval();
}
double MembershipConfig::expected_intake_per_s() const {
  constexpr double failed = 0.7, living = 1 - failed;
  const double rounds = 1 / seconds(fast_probe_interval());
  // Pings per second to a living member by the other living members: in its own turn, or in half of
  // the turns of failed members, which go to substitutes.
  const double pings = rounds * (living + failed / 2);
  const double acks = pings;
  // For half of the failed members, two each.
  const double indirect = rounds * failed / 2 * 2 * living;
  const double gossip = kGossipFanout / seconds(gossip_interval());
  const double sync = (1 + inbox_per_s / 2 / kIntakePerSyncResponse) / seconds(probe_interval());
  return pings + acks + indirect + gossip + sync;
}
std::uint32_t MembershipConfig::max_nodes() { return 4096; }

void validate(const MembershipConfig& config) {
  if (config.nodes < 2 || config.nodes > MembershipConfig::max_nodes())
    throw std::invalid_argument("membership needs 2 to " +
                                std::to_string(MembershipConfig::max_nodes()) + " nodes");
  if (!(config.inbox_per_s >= 1 && config.inbox_per_s <= kMaxIntakePerSecond))
    throw std::invalid_argument("membership needs an intake of 1 to 1000000 datagrams per second");
}

const char* name_of(Reachability r) {
  static constexpr std::array names{"majority", "minority", "alone"};
  return names[static_cast<std::size_t>(r)];
}
const char* name_of(MemberStatus s) {
  static constexpr std::array names{"alive", "suspect", "failed", "left"};
  return names[static_cast<std::size_t>(s)];
}
const char* Membership::name_of(DropReason d) {
  static constexpr std::array<const char*, kDropReasons> names{
      "too_short", "too_long", "version", "kind", "malformed", "tag", "sender", "ahead", "crowd"};
  return names[static_cast<std::size_t>(d)];
}

Membership::Membership(MembershipConfig config, LocalMember self, std::uint64_t seed)
    : config_(std::move(config)),
      self_(self),
      random_state_(mix_hash(seed)),
      members_(config_.nodes),
      zone_last_heard_(kMaxZones),
      last_echo_(static_cast<std::uint32_t>(mix_hash(seed + 1))) {
  validate(config_);
  if (index_of(self_.id) >= config_.nodes)
    throw std::invalid_argument("this node's number is not below the number of nodes");
  if (self_.zone >= kMaxZones) throw std::invalid_argument("this node's zone is not below 32");
  bucket_hashes_.resize(std::min<std::size_t>(config_.nodes, max_buckets(config_.key.has_value())));
}

std::uint64_t Membership::random_below(std::uint64_t bound) {
  random_state_ = mix_hash(random_state_ + 1);
  return bound > 0 ? random_state_ % bound : 0;
}

// The shuffle depends on the stream and the epoch alone, so that all nodes use the same order and
// no two probe the same member in a round.
std::size_t Membership::distance(Stream s, std::uint64_t round) {
  auto& o = orders_[static_cast<std::size_t>(s)];
  const std::uint64_t all = config_.nodes - 1;
  if (o.epoch != round / all) {
    o.epoch = round / all;
    o.distances.resize(all);
    std::iota(o.distances.begin(), o.distances.end(), std::uint16_t{1});
    std::uint64_t state = hash3(static_cast<std::uint64_t>(s), o.epoch, all);
    for (std::size_t i = all; i > 1; --i) {
      state = mix_hash(state);
      std::swap(o.distances[i - 1], o.distances[state % i]);
    }
  }
  return o.distances[round % all];
}

// ---- Lifecycle ----------------------------------------------------------------------------------

void Membership::start(Time now) {
  started_ = true;
  last_heard_ = last_change_time_ = now;
  last_sync_time_ = now - config_.probe_interval();
  auto& self_entry = at(self_.id);
  self_entry.state = {self_.incarnation, MemberStatus::alive, self_.instance_id};
  self_entry.zone = self_.zone, self_entry.since = now;
  update_bucket_hash(self_.id, 0);
  enqueue_update(now, entry_of(self_.id));
  next_round_time_ = next_round_after(now);
  next_gossip_time_ = now;
  schedule_tick(now);
}

void Membership::leave(Time now) {
  if (!started_ || std::exchange(leaving_, true)) return;
  set_state(now, self_.id, {self_.incarnation, MemberStatus::left, self_.instance_id}, self_.zone,
            true);
  probes_.clear();
  next_gossip_time_ = now;
  schedule_tick(now);
}

void Membership::set_incarnation(Time now, std::uint32_t incarnation) {
  self_.incarnation = incarnation;
  set_state(now, self_.id, {incarnation, MemberStatus::alive, self_.instance_id}, self_.zone, true);
}

void Membership::schedule_tick(Time now) {
  Time due = next_gossip_time_;
  if (!leaving_) due = std::min(due, next_round_time_);
  for (const auto& p : probes_) due = std::min({due, p.next_attempt_time, p.deadline});
  for (const auto& e : indirect_probes_) due = std::min(due, e.deadline);
  for (const auto id : suspects_) {
    const Time ready = at(id).suspected_since + suspicion_timeout_of(at(id));
    if (ready > now) due = std::min(due, ready);
  }
  next_tick_time_ = due;
}

void Membership::tick(Time now) {
  if (!started_) return;
  if (now - next_tick_time_ > config_.gossip_interval() && !config_.plain_swim)
    handle_local_stall(now, now - next_tick_time_);
  std::vector<Probe> expired;
  for (auto& p : probes_) {
    if (now >= p.deadline)
      expired.push_back(p);
    else if (now >= p.next_attempt_time)
      retry_probe(now, p);
  }
  std::erase_if(probes_, [&](const Probe& p) { return now >= p.deadline; });
  for (const auto& p : expired) finish_probe(now, p, false);
  std::vector<IndirectProbe> unanswered;
  std::erase_if(indirect_probes_, [&](const IndirectProbe& e) {
    if (now >= e.deadline) unanswered.push_back(e);
    return now >= e.deadline;
  });
  // In fast mode many members are silent: a nack says little then, and the requester hears enough
  // from others to judge its own health.
  if (!fast_)
    for (const auto& e : unanswered) send(e.requester, Nack{e.target}, e.requester_echo);
  declare_failures(now);
  update_fast_mode(now);
  if (!leaving_ && now >= next_round_time_) begin_round(now);
  if (now >= next_gossip_time_) send_gossip(now);
  schedule_tick(now);
}

// Discards the running probes: answers that this node could not receive are no evidence against
// other members. Suspects get the lost time added to their time for a refutation.
void Membership::handle_local_stall(Time now, Duration late) {
  ++stats_.stalls;
  stats_.local_health = std::min(kMaxLocalHealth, stats_.local_health + 1);
  probes_.clear();
  indirect_probes_.clear();
  for (const auto id : suspects_)
    at(id).suspected_since = std::min(now, at(id).suspected_since + late);
}

// ---- Probing ------------------------------------------------------------------------------------

// Offset of this node's probes within a round, spread evenly over the nodes by a hash.
Duration Membership::round_offset() const {
  const double part = static_cast<double>(mix_hash(index_of(self_.id)) >> 11U) * 0x1.0p-53;
  return scaled(current_probe_interval(), part);
}

Time Membership::next_round_after(Time now) const {
  const auto p = current_probe_interval();
  const auto since = (now - round_offset()).time_since_epoch();
  return Time((since / p + 1) * p) + round_offset();
}

void Membership::update_fast_mode(Time now) {
  while (!churn_times_.empty() && now - churn_times_.front() > 2 * config_.suspicion_timeout())
    churn_times_.pop_front();
  const auto limit = std::max(2.0, static_cast<double>(config_.nodes) / kNodesPerFastModeFailure);
  const bool two_probes_failed = probe_results_.size() > 1 && !probe_results_.back().second &&
                                 !probe_results_[probe_results_.size() - 2].second;
  const bool fast = two_probes_failed ||
                    static_cast<double>(suspects_.size() + churn_times_.size()) > limit;
  if (std::exchange(fast_, fast) != fast)
    next_round_time_ = std::min(next_round_time_, next_round_after(now));
}

void Membership::begin_round(Time now) {
  const auto interval = current_probe_interval();
  const auto round = static_cast<std::uint64_t>((now - round_offset()).time_since_epoch() /
                                                interval);
  next_round_time_ = next_round_after(now);
  // A node with a raised local health score probes less often, as its time-outs are longer.
  if (round % (1 + stats_.local_health) != 0) return;
  ++stats_.rounds;
  const auto stream = fast_ ? Stream::fast_probes : Stream::probes;
  const auto target = member_at(distance(stream, round));
  // A member with enough confirmations is only sent a liveness check, so that it learns of the
  // suspicion and can refute it.
  const auto& target_member = at(target);
  const bool has_all_confirmations = target_member.state.status == MemberStatus::suspect &&
                                     target_member.confirmations.size() >= kMaxConfirmations &&
                                     !config_.plain_swim;
  if (is_living(target_member) && !has_all_confirmations) return probe(now, target, false);
  if (target_member.state.status != MemberStatus::left) probe(now, target, true);
  // A substitute is probed in its turn: in fast mode a member not heard from recently, else a
  // suspect that lacks confirmations, else any alive member.
  const std::uint64_t all = config_.nodes - 1;
  std::array<std::optional<MemberId>, 3> substitutes;
  for (std::uint32_t i = 1; i <= kSubstituteCandidates; ++i) {
    const auto candidate = member_at(distance(
        stream, round - round % all + (round + i * (all / kSubstituteCandidates + 1)) % all));
    const auto& m = at(candidate);
    const bool alive = m.state.known() && m.state.status == MemberStatus::alive;
    std::optional<std::size_t> priority;
    if (alive)
      priority = fast_ && now - m.last_heard > kSilentRounds * config_.probe_interval() ? 0 : 2;
    if (m.state.status == MemberStatus::suspect && m.confirmations.size() < kMaxConfirmations &&
        !is_suspected_here(m))
      priority = 1;
    if (priority && !substitutes[*priority]) substitutes[*priority] = candidate;
  }
  for (const auto& o : substitutes)
    if (o) return probe(now, *o, false);
}

// RFC 6298's retransmission time-out, bounded by fractions of the probe interval.
Duration Membership::retry_interval() const {
  const Duration min_interval = config_.probe_interval() / 20,
                 max_interval = config_.probe_interval() / 3;
  if (rtt_s_ <= 0) return config_.probe_interval() / 5;
  return std::clamp(from_seconds(rtt_s_ + kRttVarWeight * rtt_var_s_), min_interval, max_interval);
}

Duration Membership::probe_timeout() const {
  const double multiplier = config_.plain_swim ? 1 : 1 + stats_.local_health;
  return scaled(
      std::min(scaled(retry_interval(), kProbeTimeoutRetries), 4 * config_.probe_interval() / 3),
      multiplier);
}

// Pings per probe, such that by packet loss alone about one probe in `nodes` stays without an
// answer.
std::uint32_t Membership::max_attempts(const Probe& p) const {
  if (fast_ && at(p.target).state.status == MemberStatus::suspect) return 1;
  const double loss = std::clamp(loss_rate_, 0.01, 0.9);
  const auto attempts = std::ceil(std::log(1.0 / config_.nodes) / std::log(loss));
  return std::clamp(static_cast<std::uint32_t>(attempts), kMinAttempts,
                    fast_ ? kMinAttempts + 1 : kMaxAttempts);
}

void Membership::probe(Time now, MemberId target, bool is_liveness_check) {
  if (std::ranges::any_of(probes_, [&](const Probe& p) { return p.target == target; })) return;
  ++stats_.probes;
  Probe p{.target = target,
          .echo = ++last_echo_,
          .start_time = now,
          .is_liveness_check = is_liveness_check};
  p.deadline = now + (is_liveness_check ? retry_interval() : probe_timeout());
  p.next_attempt_time = is_liveness_check ? p.deadline : now + retry_interval();
  p.attempts = 1;
  probes_.push_back(p);
  send(target, Ping{updates_for(target, false)}, p.echo);
}

std::optional<Membership::Probe> Membership::pop_probe(MemberId target, std::uint32_t echo,
                                                       bool indirect) {
  const auto it = std::ranges::find_if(probes_, [&](const Probe& p) {
    return p.target == target && p.echo == echo && (!indirect || p.indirect_probes > 0);
  });
  if (it == probes_.end()) return std::nullopt;
  const auto found = *it;
  probes_.erase(it);
  return found;
}

void Membership::retry_probe(Time now, Probe& p) {
  p.next_attempt_time = now + retry_interval();
  ++p.attempts;
  if (p.attempts <= max_attempts(p)) send(p.target, Ping{updates_for(p.target, true)}, p.echo);
  // Indirect probes start once the second ping was not answered either, and more follow after that.
  // In fast mode direct silence is sufficient evidence against a member that is already suspect.
  const auto max_indirect_probes = !fast_ ? 2 * kIndirectProbes
                                   : at(p.target).state.status == MemberStatus::suspect ? 0
                                                                                        : 2;
  if (p.attempts > kMinAttempts && p.indirect_probes < max_indirect_probes)
    request_indirect_probes(now, p);
  if (p.attempts > max_attempts(p) && p.indirect_probes >= max_indirect_probes)
    p.next_attempt_time = p.deadline;
}

// Chooses two members in zones other than the target's and this node's: a partition between two
// zones often leaves both reachable from a third.
void Membership::request_indirect_probes(Time, Probe& p) {
  std::vector<MemberId> chosen;
  const auto target_zone = at(p.target).zone;
  // Random rather than sequential: otherwise all nodes would pick the one member that follows a run
  // of failed ones.
  const auto pick = [&](auto matches) {
    for (std::uint32_t i = 0; i < kPicksPerIndirectProbe; ++i) {
      const auto m = MemberId(static_cast<std::uint16_t>(random_below(config_.nodes)));
      const auto& s = at(m).state;
      if (m == self_.id || m == p.target || !s.known() || s.status != MemberStatus::alive ||
          !matches(at(m).zone))
        continue;
      if (std::ranges::find(chosen, m) != chosen.end()) continue;
      return chosen.push_back(m);
    }
  };
  const auto in_third_zone = [&](std::uint8_t z) { return z != target_zone && z != self_.zone; };
  const auto in_any_zone = [](std::uint8_t) { return true; };
  pick(in_third_zone);
  if (!fast_) pick(in_third_zone);
  while (chosen.size() < (fast_ ? 1 : kIndirectProbes)) {
    const auto before = chosen.size();
    pick(in_any_zone);
    if (chosen.size() == before) break;
  }
  for (const auto m : chosen) send(m, PingRequest{p.target}, p.echo);
  p.indirect_probes += static_cast<std::uint32_t>(chosen.size());
}

void Membership::finish_probe(Time now, const Probe& p, bool answered) {
  if (p.is_liveness_check) return;
  if (answered) {
    if (p.attempts == 1 && p.indirect_probes == 0) {
      const double rtt = seconds(now - p.start_time);
      if (rtt_s_ <= 0) rtt_s_ = rtt, rtt_var_s_ = rtt / 2;
      rtt_var_s_ += kVarGain * (std::abs(rtt - rtt_s_) - rtt_var_s_);
      rtt_s_ += kRttGain * (rtt - rtt_s_);
    }
    loss_rate_ += kLossGain * ((p.attempts > 1 || p.indirect_probes > 0 ? 1.0 : 0.0) - loss_rate_);
    if (stats_.local_health > 0) --stats_.local_health;
  } else {
    ++stats_.probes_failed;
    // Nothing was received from any member since the probe began, not even a nack: this node itself
    // may be slow.
    if (last_heard_ < p.start_time && p.nacks == 0)
      stats_.local_health = std::min(kMaxLocalHealth, stats_.local_health + 1);
  }
  probe_results_.emplace_back(p.target, answered);
  if (probe_results_.size() > kProbeResultWindow) probe_results_.pop_front();
  if (!answered) suspect(now, p.target);
}

// ---- Suspicion and merging ----------------------------------------------------------------------

std::uint32_t Membership::count_alive() const {
  return static_cast<std::uint32_t>(std::ranges::count_if(members_, [](const Member& m) {
    return m.state.known() && m.state.status == MemberStatus::alive;
  }));
}

Reachability Membership::reachability(Time now) const {
  std::uint32_t known = 0, living = 0;
  for (const auto& m : members_) {
    if (!m.state.known() || m.state.status == MemberStatus::left) continue;
    ++known;
    if (m.state.status <= MemberStatus::suspect) ++living;
  }
  if (known < 2) return Reachability::majority;
  const bool is_silent = now - last_heard_ > 4 * config_.probe_interval();
  // Probes of members that have failed since are left out: `living` does not count those members
  // either.
  const auto counted = std::ranges::count_if(
      probe_results_, [&](const auto& a) { return a.second || is_living(at(a.first)); });
  const auto answered = std::ranges::count_if(probe_results_,
                                              [](const auto& a) { return a.second; });
  if (is_silent && !probe_results_.empty() && !probe_results_.back().second)
    return Reachability::alone;
  const double share = counted < static_cast<std::ptrdiff_t>(kProbeResultWindow) / 2
                           ? 1
                           : static_cast<double>(answered) / static_cast<double>(counted);
  const double reached = 1 + share * (living - 1.0);
  return reached > static_cast<double>(known) / 2 ? Reachability::majority : Reachability::minority;
}

// Without a majority, a node's own suspicion alone is never enough.
std::uint32_t Membership::needed_confirmations(Time now) const {
  const auto available = std::min(config_.required_confirmations(), std::max(1U, count_alive()));
  return reachability(now) == Reachability::majority ? available : std::max(2U, available);
}

void Membership::declare_failures(Time now) {
  if (suspects_.empty()) return;
  const auto due = [&](MemberId id) {
    return now - at(id).suspected_since >= suspicion_timeout_of(at(id));
  };
  if (std::ranges::none_of(suspects_, due)) return;
  const auto needed = config_.plain_swim ? 0 : needed_confirmations(now);
  if (!config_.plain_swim && reachability(now) == Reachability::alone) return;
  bool undecided = false;
  for (const auto id : std::vector<MemberId>(suspects_)) {
    auto& m = at(id);
    if (!due(id)) continue;
    if (!has_enough_confirmations(m, needed)) {
      undecided = true;
      continue;
    }
    ++stats_.failures;
    churn_times_.push_back(now);
    // Most nodes receive enough confirmations themselves, so the failure needs few transmissions.
    const auto transmissions = config_.plain_swim || m.confirmations.size() < kMaxConfirmations
                                   ? 0
                                   : config_.max_transmissions() - kGossipFanout;
    set_state(now, id, {m.state.incarnation, MemberStatus::failed, m.state.instance_id}, m.zone,
              true, transmissions);
  }
  // Another member may know confirmations that this node has not received.
  if (!undecided || config_.plain_swim) return;
  last_sync_useful_ = true;
  const auto other = MemberId(static_cast<std::uint16_t>(random_below(config_.nodes)));
  if (other != self_.id && at(other).state.known() && at(other).state.status == MemberStatus::alive)
    request_sync(now, other);
}

void Membership::suspect(Time now, MemberId id) {
  const auto& m = at(id);
  if (!is_living(m) || leaving_) return;
  if (!config_.plain_swim && reachability(now) == Reachability::alone) return;
  add_confirmation(now, id, self_.id, true);
  // The suspect is notified directly too: if it was only stalled, it finds this when it resumes.
  if (!config_.plain_swim) send(id, Gossip{updates_for(id, true)}, 0);
}

// A member that has declared the failure had enough confirmations itself, and counts twice. A
// single member's confirmation never suffices where two can be obtained.
bool Membership::has_enough_confirmations(const Member& m, std::uint32_t needed) const {
  return m.confirmations.size() + m.failure_reports.size() >= needed &&
         m.confirmations.size() >= std::min(needed, kMinDistinctConfirmations);
}

// Members that have declared the failure have waited for a refutation themselves: with reports from
// two of them, half the time-out is enough.
Duration Membership::suspicion_timeout_of(const Member& m) const {
  return m.failure_reports.size() < kMinDistinctConfirmations ? config_.suspicion_timeout()
                                                              : config_.suspicion_timeout() / 2;
}

void Membership::add_confirmation(Time now, MemberId id, MemberId source, bool propagate,
                                  bool is_failure_report) {
  auto& m = at(id);
  if (m.state.status == MemberStatus::alive) {
    m.confirmations.clear(), m.failure_reports.clear();
    m.suspected_since = now;
    m.state.status = MemberStatus::suspect;
    suspects_.push_back(id);
    ++stats_.suspicions;
    m.since = now, last_change_time_ = now, ++version_;
    status_changes_.push_back({now, id, MemberStatus::suspect, m.state.incarnation, false});
  }
  if (is_failure_report && m.failure_reports.size() < kMaxConfirmations &&
      std::ranges::find(m.failure_reports, source) == m.failure_reports.end())
    m.failure_reports.push_back(source), ++version_;
  if (std::ranges::find(m.confirmations, source) != m.confirmations.end()) return;
  if (m.confirmations.size() >= 2 * kMaxConfirmations) return;  // more have no effect
  m.confirmations.push_back(source);
  ++version_;
  if (propagate && m.confirmations.size() <= kMaxConfirmations) enqueue_update(now, entry_of(id));
}

void Membership::set_state(Time now, MemberId id, MemberState s, std::uint8_t zone, bool propagate,
                           std::uint32_t transmissions) {
  auto& m = at(id);
  const auto previous_hash = hash_of(id);
  const auto previous = m.state;
  const bool was_absent = previous.known() && previous.status >= MemberStatus::failed;
  m.state = s, m.zone = zone, m.since = now;
  m.confirmations.clear(), m.failure_reports.clear(), m.unconfirmed_gossip.clear();
  std::erase(suspects_, id);
  const bool returned = was_absent && s.status == MemberStatus::alive;
  if (returned && previous.status == MemberStatus::failed) {
    // Each recent return doubles the time until the member counts as living again.
    m.recent_returns = 1 + m.recent_returns * std::exp2(-seconds(now - m.last_return) /
                                                        (kReturnHalfLifeTimeouts *
                                                         seconds(config_.suspicion_timeout())));
    m.last_return = now;
    const auto doublings = std::min<double>(kMaxDoublings, m.recent_returns - 1.5);
    m.stable_since = doublings > 0 ? now + scaled(config_.suspicion_timeout(), std::exp2(doublings))
                                   : now;
    ++stats_.returns;
    churn_times_.push_back(now);
  }
  last_change_time_ = now, ++version_;
  update_bucket_hash(id, previous_hash);
  if (id != self_.id && (s.status != MemberStatus::alive || returned || !previous.known()))
    status_changes_.push_back({now, id, s.status, s.incarnation, returned});
  if (propagate) enqueue_update(now, entry_of(id), transmissions);
}

// An entry of a suspect carries no instance id. A node that first learns of a member by such an
// entry takes the id from the next source that has it; without it, the node could not match reports
// of that instance's failure.
void Membership::learn_instance_id(MemberId id, std::uint16_t instance_id) {
  const auto previous_hash = hash_of(id);
  at(id).state.instance_id = instance_id;
  update_bucket_hash(id, previous_hash);
}

bool Membership::is_credible(Member& m, MemberId source, const MemberState& s) {
  if (!m.state.known() || s.incarnation <= m.state.incarnation + kMaxIncarnationStep) return true;
  const auto agreeing = add_claim(m, source, s, [&](const MemberState& claim) {
    return claim.incarnation + kMaxIncarnationStep >= s.incarnation;
  });
  if (agreeing >= static_cast<std::ptrdiff_t>(config_.required_confirmations())) return true;
  if (m.unconfirmed_gossip.size() > 2 * kMaxConfirmations)
    m.unconfirmed_gossip.erase(m.unconfirmed_gossip.begin());
  count_drop(DropReason::ahead);
  return false;
}

void Membership::apply(Time now, const MemberEntry& e, MemberId source, bool propagate) {
  if (index_of(e.id) >= config_.nodes) return count_drop(DropReason::malformed);
  if (e.id == self_.id) return refute(now, e, source);
  if (config_.plain_swim) return apply_plain_swim(now, e);
  auto& m = at(e.id);
  const auto& s = e.state;
  const bool is_own_claim = source == e.id;
  const MemberState alive{s.incarnation, MemberStatus::alive, s.instance_id};
  if (!m.state.known() && (s.status == MemberStatus::failed || s.status == MemberStatus::left)) {
    return set_state(now, e.id, s, e.zone, false);
  }
  if (!is_own_claim && s.incarnation > m.state.incarnation && !is_credible(m, source, s)) return;
  if (s.incarnation == m.state.incarnation && m.state.instance_id == 0 && s.instance_id != 0)
    learn_instance_id(e.id, s.instance_id);
  switch (s.status) {
    case MemberStatus::alive:
      if (alive.key() > m.state.key()) set_state(now, e.id, alive, e.zone, propagate);
      return;
    case MemberStatus::suspect:
    case MemberStatus::failed: {
      if (alive.key() > m.state.key()) set_state(now, e.id, alive, e.zone, false);
      if (m.state.incarnation != s.incarnation || m.state.status > MemberStatus::suspect) return;
      if (s.status == MemberStatus::failed && m.state.instance_id != s.instance_id) return;
      // The source of a failure report is its only author. Claims in this node's name are ignored.
      const auto confirm = [&](MemberId by) {
        if (by == self_.id || index_of(by) >= config_.nodes || by == e.id) return;
        add_confirmation(now, e.id, by, propagate && s.status == MemberStatus::suspect,
                         s.status == MemberStatus::failed);
      };
      if (s.status == MemberStatus::failed) return confirm(source);
      std::ranges::for_each(e.suspected_by, confirm);
      return;
    }
    case MemberStatus::left: {
      if (s.key() <= m.state.key()) return;
      if (!is_own_claim &&
          add_claim(m, source, s, [&](const MemberState& h) { return h == s; }) < kMinLeaveReports)
        return;
      return set_state(now, e.id, s, e.zone, propagate);
    }
  }
}

// As in the paper of 2002: the greater state is accepted from any member.
void Membership::apply_plain_swim(Time now, const MemberEntry& e) {
  auto& m = at(e.id);
  if (e.state.key() <= m.state.key()) return;
  if (e.state.status != MemberStatus::suspect) return set_state(now, e.id, e.state, e.zone, true);
  if (e.state.incarnation > m.state.incarnation)
    set_state(now, e.id, {e.state.incarnation, MemberStatus::alive, e.state.instance_id}, e.zone,
              false);
  if (m.state.status == MemberStatus::alive)
    add_confirmation(now, e.id, e.suspected_by.empty() ? e.id : e.suspected_by.front(), true);
}

// Handles a claim about this node. If it says suspect, failed or left, or names an earlier
// instance, this node refutes it by raising its incarnation above the claim's.
void Membership::refute(Time now, const MemberEntry& e, MemberId source) {
  if (leaving_) return;
  const auto& s = e.state;
  auto& self_entry = at(self_.id);
  if (s.incarnation < self_.incarnation) return;
  if (s.incarnation == self_.incarnation && s.status == MemberStatus::alive &&
      s.instance_id <= self_.instance_id)
    return;
  if (!is_credible(self_entry, source, s)) return;
  if (s.incarnation == UINT32_MAX) return count_drop(DropReason::ahead);
  if (s.status == MemberStatus::alive && s.instance_id != self_.instance_id &&
      s.incarnation >= self_.incarnation && instance_conflicts_++ > 0) {
    // A claim about an earlier instance arrives once or twice. Repeated claims mean that another
    // process uses this node's id.
    if (has_id_conflict(now)) return;
    ++stats_.conflicts;
    conflict_deadline_ = now + scaled(config_.suspicion_timeout(),
                                      std::exp2(std::min(instance_conflicts_, kMaxDoublings)));
  }
  if (s.status == MemberStatus::suspect || s.status == MemberStatus::failed)
    stats_.local_health = std::min(kMaxLocalHealth, stats_.local_health + 1);
  ++stats_.refutations;
  set_incarnation(now, s.incarnation + 1);
}

void Membership::apply_header(Time now, MemberId from, const Header& h) {
  last_heard_ = now;
  zone_last_heard_[h.zone] = now;
  at(from).last_heard = now;
  const MemberState s{h.incarnation, MemberStatus::alive, h.instance_id};
  apply(now, {from, s, h.zone, {}}, from, true);
}

// ---- Datagrams ----------------------------------------------------------------------------------

Membership::Datagram Membership::seal(MemberId to, Body body, std::uint32_t echo) {
  const Message m{{self_.id, self_.incarnation, self_.instance_id, self_.zone, echo, digest()},
                  std::move(body)};
  Datagram d{to, encode(m, config_.key)};
  ++stats_.datagrams_out;
  stats_.bytes_out += d.bytes.size();
  return d;
}

void Membership::send(MemberId to, Body body, std::uint32_t echo) {
  outbox_.push_back(seal(to, std::move(body), echo));
}

std::optional<Message> Membership::receive(Time now, MemberId from,
                                           std::span<const std::uint8_t> bytes) {
  if (!started_) return std::nullopt;
  ++stats_.datagrams_in;
  stats_.bytes_in += bytes.size();
  auto decoded = decode(bytes, config_.key);
  const auto reject = [&](DropReason d) {
    count_drop(d);
    return std::nullopt;
  };
  if (decoded.error != DecodeError::none)
    return reject(static_cast<DropReason>(static_cast<std::size_t>(decoded.error) - 1));
  const auto& h = decoded.message.header;
  if (h.sender != from || from == self_.id || index_of(from) >= config_.nodes)
    return reject(DropReason::sender);
  const bool digests_agreed = h.digest == digest();
  apply_header(now, from, h);
  if (decoded.message.body.index() >= kFirstNonMembershipKind) {
    schedule_tick(now);
    return std::move(decoded.message);
  }
  const auto merge = [&](const std::vector<MemberEntry>& entries, bool propagate) {
    for (const auto& e : entries) apply(now, e, from, propagate);
  };
  auto& body = decoded.message.body;
  if (const auto* ping = std::get_if<Ping>(&body)) {
    merge(ping->updates, true);
    send(from, Ack{updates_for(from, false)}, h.echo);
  } else if (const auto* ack = std::get_if<Ack>(&body)) {
    merge(ack->updates, true);
    if (const auto p = pop_probe(from, h.echo, false)) finish_probe(now, *p, true);
    const auto found = std::ranges::find_if(indirect_probes_, [&](const IndirectProbe& e) {
      return e.target == from && e.own_echo == h.echo;
    });
    if (found != indirect_probes_.end()) {
      const auto e = *found;
      indirect_probes_.erase(found);
      send(e.requester,
           IndirectAck{from,
                       {{from, {h.incarnation, MemberStatus::alive, h.instance_id}, h.zone, {}}}},
           e.requester_echo);
    }
  } else if (const auto* request = std::get_if<PingRequest>(&body)) {
    if (index_of(request->target) >= config_.nodes || request->target == self_.id)
      return reject(DropReason::malformed);
    if (indirect_probes_.size() >= kMaxIndirectProbes) return reject(DropReason::crowd);
    ++stats_.relayed;
    indirect_probes_.push_back(
        {from, request->target, h.echo, ++last_echo_, now + 2 * retry_interval()});
    send(request->target, Ping{updates_for(request->target, true)}, last_echo_);
  } else if (const auto* indirect_ack = std::get_if<IndirectAck>(&body)) {
    if (const auto p = pop_probe(indirect_ack->target, h.echo, true)) {
      merge(indirect_ack->updates, true);
      finish_probe(now, *p, true);
    }
  } else if (const auto* nack = std::get_if<Nack>(&body)) {
    const auto it = std::ranges::find_if(
        probes_, [&](const Probe& p) { return p.target == nack->target && p.echo == h.echo; });
    if (it != probes_.end()) ++it->nacks;
  } else if (const auto* gossip = std::get_if<Gossip>(&body)) {
    merge(gossip->updates, true);
  } else if (const auto* sync = std::get_if<SyncRequest>(&body)) {
    answer_sync(now, from, *sync);
  } else if (const auto* response = std::get_if<SyncResponse>(&body)) {
    const auto previous_version = version_;
    merge(response->table, false);
    last_sync_useful_ = last_sync_useful_ || version_ != previous_version;
  }
  if (!digests_agreed && digest() != h.digest) request_sync(now, from);
  schedule_tick(now);
  return std::nullopt;
}

// ---- Gossip and anti-entropy --------------------------------------------------------------------

MemberEntry Membership::entry_of(MemberId id) const {
  const auto& m = at(id);
  MemberEntry e{id, m.state, m.zone, {}};
  if (m.state.status == MemberStatus::suspect)
    e.suspected_by.assign(
        m.confirmations.begin(),
        m.confirmations.begin() +
            std::min<std::ptrdiff_t>(std::ssize(m.confirmations), kMaxConfirmationsPerEntry));
  return e;
}

void Membership::enqueue_update(Time now, const MemberEntry& e, std::uint32_t transmissions) {
  std::erase_if(updates_, [&](const PendingUpdate& n) { return n.entry.id == e.id; });
  updates_.push_back({e, transmissions});
  // Sent at once if the last gossip is long enough ago; otherwise at the end of the gossip
  // interval, together with later updates.
  if (next_gossip_time_ == Time::max())
    next_gossip_time_ = std::max(now, last_gossip_time_ + config_.gossip_interval());
}

// Updates piggybacked on a datagram: first an unfavourable state of the recipient itself, so that
// it can refute it, then the updates with the fewest transmissions.
std::vector<MemberEntry> Membership::updates_for(MemberId to, bool only_about_recipient) {
  std::vector<MemberEntry> entries;
  auto free_bytes = static_cast<std::ptrdiff_t>(max_update_bytes(config_.key.has_value()));
  const auto& m = at(to);
  if (leaving_) {
    entries.push_back(entry_of(self_.id));
    free_bytes -= static_cast<std::ptrdiff_t>(entry_bytes(entries.back()));
  }
  if (m.state.known() && (m.state.status != MemberStatus::alive || m.state.incarnation > 1) &&
      !config_.plain_swim) {
    auto e = entry_of(to);
    const bool needs_refutation = e.state.status != MemberStatus::alive;
    if (needs_refutation)
      entries.push_back(e), free_bytes -= static_cast<std::ptrdiff_t>(entry_bytes(e));
  }
  if (only_about_recipient || updates_.empty()) return entries;
  std::ranges::stable_sort(updates_, {}, [](const PendingUpdate& n) { return n.transmissions; });
  const auto max_transmissions = config_.max_transmissions();
  for (auto& n : updates_) {
    const auto size = static_cast<std::ptrdiff_t>(entry_bytes(n.entry));
    if (free_bytes < size) break;
    if (n.entry.id == to && n.entry.state.status == MemberStatus::alive) continue;
    free_bytes -= size;
    entries.push_back(n.entry);
    ++n.transmissions;
  }
  std::erase_if(updates_,
                [&](const PendingUpdate& n) { return n.transmissions >= max_transmissions; });
  return entries;
}

void Membership::send_gossip(Time now) {
  next_gossip_time_ = Time::max();
  if (updates_.empty()) return;
  last_gossip_time_ = now;
  const auto interval = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                   config_.gossip_interval());
  std::vector<MemberId> chosen;
  for (std::uint64_t i = 0; chosen.size() < kGossipFanout && i < kGossipCandidates; ++i) {
    const auto to = member_at(distance(Stream::gossip, kGossipCandidates * interval + i));
    const auto& m = at(to);
    if (m.state.known() && m.state.status >= (i < kGossipCandidates / 2 ? MemberStatus::suspect
                                                                        : MemberStatus::failed))
      continue;
    if (std::ranges::find(chosen, to) == chosen.end()) chosen.push_back(to);
  }
  for (const auto to : chosen)
    if (!updates_.empty()) send(to, Gossip{updates_for(to, false)}, 0);
  if (!updates_.empty()) next_gossip_time_ = now + config_.gossip_interval();
}

std::uint64_t Membership::hash_of(MemberId id) const {
  const auto& m = at(id);
  if (!m.state.known()) return 0;
  const auto status = m.state.status == MemberStatus::suspect ? MemberStatus::alive
                                                              : m.state.status;
  return hash3(index_of(id), m.state.incarnation,
               static_cast<std::uint64_t>(status) << 16U | m.state.instance_id);
}

void Membership::update_bucket_hash(MemberId id, std::uint64_t previous) {
  bucket_hashes_[index_of(id) % bucket_hashes_.size()] ^= previous ^ hash_of(id);
}

std::uint16_t Membership::bucket_digest(std::size_t bucket) const {
  return static_cast<std::uint16_t>(mix_hash(bucket_hashes_[bucket]));
}

std::uint32_t Membership::digest() const {
  std::uint64_t all = 0;
  for (const auto b : bucket_hashes_) all ^= mix_hash(b);
  return static_cast<std::uint32_t>(mix_hash(all));
}

// Asks for a sync at most once in kIdleSyncRounds rounds; once per round if the latest sync was
// useful, or while this node does not know most of the members yet.
void Membership::request_sync(Time now, MemberId with) {
  const auto unknown = std::ranges::count_if(members_,
                                             [](const Member& m) { return !m.state.known(); });
  const bool is_joining = 2 * unknown > static_cast<std::ptrdiff_t>(config_.nodes);
  if (config_.plain_swim && !is_joining) return;
  const auto rounds = is_joining || last_sync_useful_ ? 1 : kIdleSyncRounds;
  if (now - last_sync_time_ < rounds * config_.probe_interval()) return;
  last_sync_useful_ = false;
  last_sync_time_ = now;
  ++stats_.syncs;
  SyncRequest request;
  for (std::size_t b = 0; b < bucket_hashes_.size(); ++b)
    request.digests.push_back(bucket_digest(b));
  send(with, std::move(request), 0);
}

void Membership::answer_sync(Time, MemberId to, const SyncRequest& request) {
  if (request.digests.size() != bucket_hashes_.size()) return count_drop(DropReason::malformed);
  // In fast mode gossip already carries most changes, and sync only repairs gaps: half the volume.
  auto max_datagrams = std::max<std::size_t>(
      1, static_cast<std::size_t>(config_.inbox_per_s / (fast_ ? 2 : 1) / kIntakePerSyncResponse));
  const auto offset = random_below(bucket_hashes_.size());
  SyncResponse response;
  auto free_bytes = max_update_bytes(config_.key.has_value());
  const auto flush = [&] {
    if (response.table.empty()) return;
    send(to, std::exchange(response, {}), 0);
    free_bytes = max_update_bytes(config_.key.has_value());
    --max_datagrams;
  };
  for (std::size_t i = 0; i < bucket_hashes_.size(); ++i) {
    const auto b = (offset + i) % bucket_hashes_.size();
    if (request.digests[b] == bucket_digest(b)) continue;
    for (auto n = b; n < config_.nodes; n += bucket_hashes_.size()) {
      auto e = entry_of(MemberId(static_cast<std::uint16_t>(n)));
      if (!e.state.known()) continue;
      if (free_bytes < entry_bytes(e)) flush();
      if (max_datagrams == 0) return;
      free_bytes -= entry_bytes(e);
      response.table.push_back(std::move(e));
    }
  }
  flush();
}

// ---- The view -----------------------------------------------------------------------------------

std::shared_ptr<const MembershipView> Membership::view(Time now) const {
  auto v = std::make_shared<MembershipView>();
  v->version = version_, v->since = last_change_time_, v->last_heard = last_heard_;
  v->detection_bound = config_.detection_bound();
  v->reachability = reachability(now);
  v->living = 0;
  auto members = std::make_shared<std::vector<MembershipView::Member>>();
  members->reserve(members_.size());
  for (const auto& m : members_) {
    const bool stable = m.stable_since <= now;
    members->push_back({m.state, m.zone, stable, m.since});
    if (!m.state.known()) {
      ++v->unknown;
      continue;
    }
    if (m.zone >= v->zones.size()) v->zones.resize(m.zone + 1U);
    auto& z = v->zones[m.zone];
    if (m.state.status != MemberStatus::left) ++z.known;
    switch (m.state.status) {
      case MemberStatus::suspect: ++v->suspects; [[fallthrough]];
      case MemberStatus::alive:
        ++z.living;
        if (stable) ++v->living;
        break;
      case MemberStatus::failed: ++v->failed; break;
      case MemberStatus::left: ++v->left; break;
    }
  }
  for (std::size_t z = 0; z < v->zones.size(); ++z) v->zones[z].last_heard = zone_last_heard_[z];
  v->members = std::move(members);
  return v;
}

}  // namespace petrelrail::fleet

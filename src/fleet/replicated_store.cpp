#include "replicated_store.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

constexpr std::size_t kMaxChanges = 1024;  // changed keys kept one by one; more require a rescan
constexpr std::size_t kMaxPendingWrites = 1024;
constexpr std::size_t
    kMaxWatermarks = 8;               // per space that are not reached yet; about one per second
constexpr int kStallIntervals = 5;    // a tick that is later than this counts as a local stall
constexpr int kIntervalsPerCopy = 4;  // of the replication time-out
constexpr auto kWatermarkLifetime = std::chrono::seconds(60);
constexpr double kPullsPerInterval = 0.5;

std::uint32_t unix_seconds(Time t) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(t.time_since_epoch()).count());
}

// A watermark's value: its time (8 bytes, ns), its writer's latest version (14) and the digest (8).
template <class T>
void append(std::string& to, T value) {
  for (std::size_t i = sizeof(T); i > 0; --i)
    to += static_cast<char>(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
}
template <class T>
T parse(std::string_view& from) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>(value << 8U | static_cast<std::uint8_t>(from[i]));
  from.remove_prefix(sizeof(T));
  return value;
}
constexpr std::size_t kWatermarkBytes = 30;

}  // namespace

// ---- Configuration ------------------------------------------------------------------------------

Duration ReplicatedStoreConfig::gossip_interval() const { return from_seconds(1 / gossip_per_s); }
Duration ReplicatedStoreConfig::propagation_time() const {
  // The number of nodes that hold a write doubles in an interval, until most hold it. Each later
  // interval misses a share of 1/e of the remaining ones by chance.
  const double n = nodes;
  return scaled(gossip_interval(), std::ceil(std::log2(n + 1)) + std::ceil(std::log(n + 1)) + 2);
}
Duration ReplicatedStoreConfig::replication_timeout() const {
  return required_copies * kIntervalsPerCopy * gossip_interval() + std::chrono::seconds(1);
}
std::uint64_t ReplicatedStoreConfig::max_epoch(Time now) const {
  const auto terms = static_cast<std::uint64_t>((now.time_since_epoch() + max_clock_skew) / term);
  return terms * epochs_per_term + epochs_per_term - 1;
}
double ReplicatedStoreConfig::expected_intake_per_s() const {
  // Because of clock skew, more intervals of the senders may fall into one second. So may responses
  // to pulls of the second before.
  const double pulls = kPullsPerInterval * gossip_per_s;
  return (2 * gossip_per_s + pulls) * (1 + seconds(max_clock_skew)) +
         pull_per_s * (1 + seconds(gossip_interval()) / kPullsPerInterval);
}

void validate(const ReplicatedStoreConfig& config) {
  const auto require = [](bool holds, const char* requirement) {
    if (!holds)
      throw std::invalid_argument(std::string("the replicated store needs ") + requirement);
  };
  require(config.nodes >= 1 && config.nodes <= MembershipConfig::max_nodes(), "1 to 4096 nodes");
  require(config.gossip_per_s >= 0.1 && config.gossip_per_s <= 1000,
          "0.1 to 1000 gossip intervals per second");
  require(config.pull_per_s >= 1 && config.pull_per_s <= 1000,
          "1 to 1000 pulled datagrams per second");
  require(config.required_copies >= 1 && config.required_copies <= 16, "1 to 16 copies");
  require(config.spaces >= 1 && config.spaces <= kMaxSpaces, "1 to 64 spaces");
  require(config.max_records >= 1 && config.max_records <= 1'000'000,
          "a limit of 1 to 1000000 records");
  require(config.max_bytes >= kMaxDatagramBytes, "a limit of 256 bytes or more");
  require(config.max_clock_skew >= Duration{}, "a clock skew of 0 or more");
  require(config.max_lifetime > Duration{}, "a lifetime limit of more than 0");
  require(config.term > Duration{} && config.epochs_per_term >= 1,
          "a term of more than 0 and 1 gift or more");
}

// ---- Lifecycle ----------------------------------------------------------------------------------

ReplicatedStore::ReplicatedStore(ReplicatedStoreConfig config, MemberId self, std::uint8_t zone,
                                 std::uint64_t seed)
    : config_((validate(config), std::move(config))),
      self_(self),
      zone_(zone),
      random_state_(mix_hash(seed)),
      table_({config_.spaces, config_.max_records, config_.max_bytes, config_.max_clock_skew,
              config_.max_lifetime}),
      spaces_(config_.spaces) {
  if (index_of(self) >= config_.nodes)
    throw std::invalid_argument("this node's number is not below the number of nodes");
  if (zone >= kMaxZones) throw std::invalid_argument("this node's zone is not below 32");
  if (config_.nodes == 1) reachability_ = Reachability::majority, caught_up_ = true;
}

std::uint64_t ReplicatedStore::next_random() { return random_state_ = mix_hash(random_state_ + 1); }

void ReplicatedStore::start(Time now) {
  started_ = true;
  now_ = pull_refill_time_ = answer_refill_time_ = last_pull_time_ = now;
  next_interval_time_ = now;
  next_tick_time_ = now;
}

void ReplicatedStore::on_view_changed(Time now, const MembershipView& view) {
  now_ = std::max(now_, now);
  members_ = view.members;
  reachability_ = view.reachability;
  std::set<std::uint8_t> zones{zone_};
  living_others_ = 0;
  for (std::uint16_t i = 0; i < config_.nodes; ++i)
    if (is_living(MemberId(i))) ++living_others_, zones.insert((*members_)[i].zone);
  living_zones_ = static_cast<std::uint32_t>(zones.size());
  if (reachability_ != Reachability::majority) reset_catch_up();
  conclude_writes(now);
}

bool ReplicatedStore::is_living(MemberId m) const {
  if (m == self_ || !members_ || index_of(m) >= members_->size()) return false;
  const auto& s = (*members_)[index_of(m)];
  return s.state.known() && s.state.status <= MemberStatus::suspect && s.stable;
}

void ReplicatedStore::advance(Time now) {
  now_ = std::max(now_, now);
  if (table_.next_expiry() > now_) return;
  for (const auto& key : table_.remove_expired(now_)) {
    ++stats_.removed;
    if (key.space != kWatermarkSpace) on_changed(key, false);
  }
}

void ReplicatedStore::tick(Time now) {
  if (!started_) return;
  if (now - next_tick_time_ > kStallIntervals * config_.gossip_interval())
    ++stats_.stalls, reset_catch_up();
  advance(now);
  if (now >= next_interval_time_) {
    const auto interval = config_.gossip_interval();
    // Offset of this node's sends within an interval, spread evenly over the nodes by a hash.
    const auto offset = scaled(interval,
                               static_cast<double>(mix_hash(index_of(self_)) >> 11U) * 0x1.0p-53);
    const auto number = (now - offset).time_since_epoch() / interval;
    next_interval_time_ = Time((number + 1) * interval) + offset;
    send_gossip(static_cast<std::uint64_t>(number));
    send_pull(now, static_cast<std::uint64_t>(number));
  }
  conclude_writes(now);
  check_watermarks();
  next_tick_time_ = next_interval_time_;
}

void ReplicatedStore::reset_catch_up() {
  if (config_.nodes == 1) return;
  caught_up_ = false;
  caught_up_run_ = quiet_run_ = 0;
}

// ---- Writes -------------------------------------------------------------------------------------

ReplicatedStore::PutResult ReplicatedStore::reject(PutResult::Kind kind) {
  ++stats_.rejected;
  return {kind, 0};
}

ReplicatedStore::PutResult ReplicatedStore::put(Time now, RecordKey key, std::uint64_t epoch,
                                                std::uint32_t expiry_unix_s, std::string value) {
  if (value.size() > kMaxRecordValueBytes) return reject(PutResult::Kind::too_large);
  return write(now, {key, {epoch, 0, self_}, expiry_unix_s, false, std::move(value)});
}

ReplicatedStore::PutResult ReplicatedStore::erase(Time now, RecordKey key, std::uint64_t epoch,
                                                  std::uint32_t expiry_unix_s) {
  const auto* known = table_.find(key);
  return write(now, {key,
                     {epoch, 0, self_},
                     std::max(expiry_unix_s, known ? known->expiry_unix_s : 0),
                     true,
                     {}});
}

ReplicatedStore::PutResult ReplicatedStore::write(Time now, Record r) {
  using Kind = PutResult::Kind;
  advance(now);
  if (r.key.space >= config_.spaces) return reject(Kind::no_space);
  const auto epoch = r.version.epoch;
  if (epoch == 0 || epoch > config_.max_epoch(now)) return reject(Kind::too_far);
  if (r.expiry_unix_s <= unix_seconds(now)) return reject(Kind::expired);
  const auto* known = table_.find(r.key);
  if (known && known->version.epoch > epoch) return reject(Kind::fenced);
  if (pending_writes_.size() >= kMaxPendingWrites) return reject(Kind::full);
  auto& space = spaces_[r.key.space];
  if (space.epoch != epoch) space.epoch = epoch, space.sequence = 0;
  const auto last_sequence = std::max(
      space.sequence, known && known->version.epoch == epoch ? known->version.sequence : 0);
  if (last_sequence == UINT32_MAX) return reject(Kind::fenced);
  r.version.sequence = last_sequence + 1;
  if (known) r.expiry_unix_s = std::max(r.expiry_unix_s, known->expiry_unix_s);
  switch (table_.merge(now, r)) {
    case RecordTable::MergeResult::changed: break;
    case RecordTable::MergeResult::too_far: return reject(Kind::too_far);
    case RecordTable::MergeResult::expired: return reject(Kind::expired);
    case RecordTable::MergeResult::no_space: return reject(Kind::no_space);
    case RecordTable::MergeResult::unchanged: return reject(Kind::fenced);
    case RecordTable::MergeResult::full: return reject(Kind::full);
  }
  space.sequence = r.version.sequence;
  ++stats_.puts;
  on_changed(r.key, true);
  pending_writes_.push_back(
      {++last_ticket_, r.key, r.version, now + config_.replication_timeout(), {}});
  const PutResult result{Kind::accepted, last_ticket_};
  conclude_writes(now);
  return result;
}

bool ReplicatedStore::is_replicated(const PendingWrite& p) const {
  if (reachability_ != Reachability::majority) return false;
  std::uint32_t copies = 1;
  bool has_two_zones = living_zones_ < 2;
  for (const auto m : p.holders)
    if (is_living(m))
      ++copies, has_two_zones = has_two_zones || (*members_)[index_of(m)].zone != zone_;
  return has_two_zones && copies >= std::min(config_.required_copies, 1 + living_others_);
}

// Whether an ack of this member would bring the write closer to being replicated.
bool ReplicatedStore::benefits_from(const PendingWrite& p, MemberId m) const {
  if (!is_living(m) || std::ranges::find(p.holders, m) != p.holders.end()) return false;
  const bool has_other_zone = std::ranges::any_of(
      p.holders, [&](MemberId holder) { return (*members_)[index_of(holder)].zone != zone_; });
  // If no copy is in another zone yet, the last missing one has to be.
  const bool is_last_copy = p.holders.size() + 2 >=
                            std::min(config_.required_copies, 1 + living_others_);
  return living_zones_ < 2 || has_other_zone || !is_last_copy ||
         (*members_)[index_of(m)].zone != zone_;
}

void ReplicatedStore::conclude(const PendingWrite& p, bool replicated) {
  outcomes_.push_back({p.ticket, replicated});
  ++(replicated ? stats_.replicated : stats_.unreplicated);
}

void ReplicatedStore::conclude_writes(Time now) {
  std::erase_if(pending_writes_, [&](const PendingWrite& p) {
    const bool replicated = is_replicated(p), concluded = replicated || now >= p.deadline;
    if (concluded) conclude(p, replicated);
    return concluded;
  });
}

// Called when a member is known to hold this version of a key. A later version of this node counts
// as a copy of the earlier one; a later version of another node fails the write.
void ReplicatedStore::on_held(MemberId by, const RecordKey& key, const RecordVersion& version) {
  for (auto& p : pending_writes_) {
    const bool counts = p.key == key &&
                        (version == p.version || (version > p.version && version.origin == self_));
    if (counts && by != self_ && std::ranges::find(p.holders, by) == p.holders.end())
      p.holders.push_back(by);
  }
  std::erase_if(pending_writes_, [&](const PendingWrite& p) {
    const bool superseded = p.key == key && version > p.version && version.origin != self_;
    if (superseded) conclude(p, false);
    return superseded;
  });
}

// ---- Reads --------------------------------------------------------------------------------------

const Record* ReplicatedStore::find(RecordKey key) const {
  const auto* r = table_.find(key);
  return r && !r->deleted && key.space != kWatermarkSpace && r->expiry_unix_s > unix_seconds(now_)
             ? r
             : nullptr;
}

void ReplicatedStore::for_each(std::uint8_t space,
                               const std::function<void(const Record&)>& visit) const {
  if (space == kWatermarkSpace) return;
  table_.for_each(space, [&](const Record& r) {
    if (!r.deleted && r.expiry_unix_s > unix_seconds(now_)) visit(r);
  });
}

void ReplicatedStore::on_changed(const RecordKey& key, bool propagate) {
  if (propagate) enqueue_gossip(key);
  if (key.space == kWatermarkSpace) return;
  spaces_[key.space].changed = true;
  if (changes_.rescan) return;
  if (changes_.keys.size() >= kMaxChanges)
    changes_.keys.clear(), changes_.rescan = true;
  else
    changes_.keys.push_back(key);
}

const ReplicatedStore::Stats& ReplicatedStore::stats() const {
  stats_.records = table_.size(), stats_.bytes = 0;
  for (unsigned s = 0; s < config_.spaces; ++s)
    stats_.bytes += table_.bytes(static_cast<std::uint8_t>(s));
  stats_.bytes += table_.bytes(kWatermarkSpace);
  return stats_;
}

// ---- Staleness ----------------------------------------------------------------------------------

void ReplicatedStore::write_watermark(Time now, std::uint8_t space, std::uint64_t epoch) {
  advance(now);
  if (space >= config_.spaces || !caught_up_ || epoch == 0 || epoch > config_.max_epoch(now))
    return;
  const RecordKey key{kWatermarkSpace, space};
  const auto* known = table_.find(key);
  if (known && known->version.epoch > epoch) return;
  auto& s = spaces_[space];
  const RecordVersion version{epoch, s.epoch == epoch ? s.sequence : 0, self_};
  std::string value;
  append(value, static_cast<std::uint64_t>(now.time_since_epoch().count()));
  append(value, version.epoch), append(value, version.sequence),
      append(value, static_cast<std::uint16_t>(version.origin));
  append(value, table_.digest(space, version));
  const auto last_sequence = known && known->version.epoch == epoch ? known->version.sequence : 0;
  if (last_sequence == UINT32_MAX) return;
  const auto expiry_unix_s = unix_seconds(now + kWatermarkLifetime);
  if (table_.merge(
          now, {key, {epoch, last_sequence + 1, self_}, expiry_unix_s, false, std::move(value)}) !=
      RecordTable::MergeResult::changed)
    return;
  s.fresh_as_of = now;
  on_changed(key, true);
}

void ReplicatedStore::on_watermark(const Record& r) {
  if (r.deleted || r.value.size() != kWatermarkBytes) return;
  std::string_view value = r.value;
  Watermark m;
  m.time = Time(Duration(static_cast<Duration::rep>(parse<std::uint64_t>(value))));
  m.version.epoch = parse<std::uint64_t>(value), m.version.sequence = parse<std::uint32_t>(value);
  m.version.origin = MemberId(parse<std::uint16_t>(value));
  m.digest = parse<std::uint64_t>(value);
  // A time further ahead than the clock skew allows would understate the staleness of reads.
  if (m.time > now_ + config_.max_clock_skew || m.time.time_since_epoch() <= Duration{}) return;
  auto& s = spaces_[r.key.number];
  if (s.watermarks.size() >= kMaxWatermarks) s.watermarks.pop_front();
  s.watermarks.push_back(m);
  s.changed = true;
}

void ReplicatedStore::check_watermarks() {
  for (std::size_t i = 0; i < spaces_.size(); ++i) {
    auto& s = spaces_[i];
    if (!std::exchange(s.changed, false)) continue;
    for (const auto& m : s.watermarks)
      if (m.time > s.fresh_as_of.value_or(Time{}) &&
          table_.digest(static_cast<std::uint8_t>(i), m.version) == m.digest)
        s.fresh_as_of = m.time;
    std::erase_if(s.watermarks,
                  [&](const Watermark& m) { return s.fresh_as_of && m.time <= *s.fresh_as_of; });
  }
}

std::optional<Duration> ReplicatedStore::staleness(Time now, std::uint8_t space) const {
  if (space >= config_.spaces || !spaces_[space].fresh_as_of) return std::nullopt;
  return std::max(Duration{}, now - *spaces_[space].fresh_as_of + config_.max_clock_skew);
}

// ---- Upgrade ------------------------------------------------------------------------------------

ReplicatedStore::Snapshot ReplicatedStore::snapshot() const {
  Snapshot s;
  s.records = table_.all();
  s.caught_up = caught_up_;
  for (std::size_t i = 0; i < spaces_.size(); ++i) {
    const auto space = static_cast<std::uint8_t>(i);
    if (spaces_[i].fresh_as_of) s.fresh_as_of.push_back({space, *spaces_[i].fresh_as_of});
    if (spaces_[i].epoch > 0) s.written.push_back({space, spaces_[i].epoch, spaces_[i].sequence});
  }
  return s;
}

void ReplicatedStore::restore(Time now, const Snapshot& snapshot) {
  now_ = std::max(now_, now);
  bool all = true;
  for (const auto& r : snapshot.records) {
    const auto result = merge(r);
    all = all && (result == RecordTable::MergeResult::changed ||
                  result == RecordTable::MergeResult::expired);
  }
  for (const auto& f : snapshot.fresh_as_of)
    if (f.space < config_.spaces && f.time <= now + config_.max_clock_skew && all)
      spaces_[f.space].fresh_as_of = f.time;
  for (const auto& w : snapshot.written)
    if (w.space < config_.spaces)
      spaces_[w.space].epoch = w.epoch, spaces_[w.space].sequence = w.sequence;
  caught_up_ = (snapshot.caught_up && all) || config_.nodes == 1;
}

}  // namespace petrelrail::fleet

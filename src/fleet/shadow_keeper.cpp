#include "shadow_keeper.hpp"

#include <limits>
#include <stdexcept>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

// More groups make rounds to keepers shorter and records more; eight keep both levels' rounds under
// a minute with 300 nodes.
constexpr std::uint32_t kGroups = 8;
constexpr double kRecordsPerS = 2;     // over the whole fleet; each node takes all of them in
constexpr std::uint32_t kRepeats = 8;  // rounds after its last change in which a sum is sent; a
                                       // fifth lost: 3 in 1,000,000 never come
constexpr Duration kUrgentGap = std::chrono::milliseconds(250);  // between words beside the rounds
constexpr std::size_t kWordHead = 3;  // bytes: the level, the life of whom it is for
constexpr char kLedger = 1, kFolded = 2,
               kKnown = 3;             // parts of the state that a successor is handed
constexpr std::size_t kEntryHead = 5;  // bytes: the part, the node and its life
constexpr unsigned kVersionAt = 40, kShardAt = 32, kNodeAt = 16;  // bits of a record's number

Duration round_of(double datagrams, double per_s) {
  return from_seconds(std::max(1.0, datagrams / per_s));
}

std::uint64_t number_of(std::uint32_t version, std::uint32_t shard, const Origin& o) {
  return static_cast<std::uint64_t>(version) << kVersionAt |
         static_cast<std::uint64_t>(shard) << kShardAt |
         static_cast<std::uint64_t>(index_of(o.node)) << kNodeAt | o.life;
}
std::uint32_t size_of(const Sum& s) {
  std::uint64_t all = s.candidate.copies() + s.control.copies() + s.candidate.differs +
                      s.control.differs;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(all, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

std::uint32_t WordTerms::groups() const { return std::min(nodes, kGroups); }
std::uint32_t WordTerms::group_of(MemberId node) const {
  return static_cast<std::uint32_t>(index_of(node)) % groups();
}
Duration WordTerms::keeper_round() const {
  return round_of((nodes + groups() - 1) / groups() - 1, in_per_s / 2);
}
Duration WordTerms::holder_round() const {
  const auto keepers = std::min(shards, (nodes + groups() - 1) / groups());
  return round_of(static_cast<double>(keepers) * groups(), in_per_s / 2);
}
Duration WordTerms::record_round() const {
  return round_of(static_cast<double>(shards) * groups(), kRecordsPerS);
}

void validate(const WordTerms& t) {
  if (t.nodes < 1 || t.nodes > std::numeric_limits<std::uint16_t>::max())
    throw std::invalid_argument("shadow: nodes must be from 1 to 65535");
  if (t.shards < 1 || t.shards > kMostShards)
    throw std::invalid_argument("shadow: shards must be from 1 to " + std::to_string(kMostShards));
  if (!(t.in_per_s >= 2)) throw std::invalid_argument("shadow: in_per_s must be at least 2");
}

std::optional<Origin> keeper_of(std::uint32_t shard, std::uint32_t group, const WordTerms& terms,
                                std::span<const Origin> living) {
  std::optional<Origin> first;
  std::uint64_t most = 0;
  for (const auto& o : living) {
    if (terms.group_of(o.node) != group) continue;
    const auto rank = mix_hash(mix_hash(shard + 1) ^ index_of(o.node));
    if (first && (rank < most || (rank == most && o < *first))) continue;
    first = o;
    most = rank;
  }
  return first;
}

std::uint64_t ShadowKeeper::Urgent::events(const Sum& s) {
  return std::uint64_t{s.candidate.failed} + s.candidate.differs + s.control.failed +
         s.control.differs;
}
bool ShadowKeeper::Urgent::due(const Sum& s) const {
  const auto now = events(s);
  return now > told && 2 * now >= 3 * told;
}

ShadowKeeper::ShadowKeeper(const WordTerms& terms, Origin self, std::uint32_t version)
    : terms_((validate(terms), terms)),
      self_(self),
      version_(version),
      living_{self},
      keepers_(terms.shards),
      ledgers_(terms.shards),
      fold_(terms.shards),
      folded_(version, terms.shards),
      known_(version, terms.shards) {}

void ShadowKeeper::living(Time now, std::span<const Origin> living) {
  living_.assign(living.begin(), living.end());
  std::ranges::sort(living_);
  for (std::uint32_t s = 0; s < terms_.shards; ++s)
    keepers_[s] = keeper_of(s, terms_.group_of(self_.node), terms_, living_);
  if (begun_) return;
  begun_ = true;
  // Each at its own time of the round, so that what comes to one node comes evenly.
  const double phase = static_cast<double>(mix_hash(index_of(self_.node))) /
                       static_cast<double>(~0ULL);
  keeper_due_ = now + scaled(terms_.keeper_round(), phase);
  holder_due_ = now + scaled(terms_.holder_round(), phase);
  record_due_ = now + scaled(terms_.record_round(), phase);
}

std::uint32_t ShadowKeeper::repeats() const {
  return kRepeats * static_cast<std::uint32_t>(listeners_.size());
}
void ShadowKeeper::listeners(std::span<const Origin> listeners) {
  if (std::ranges::equal(listeners, listeners_)) return;
  listeners_.assign(listeners.begin(), listeners.end());
  eventful_ = true;
  for (auto& f : fold_)
    if (!f.sum.empty()) f.rounds_left = repeats(), f.urgent.told = 0;
}

ShadowKeeper::Ledger* ShadowKeeper::ledger(std::uint32_t shard) {
  const auto keeper = keepers_.at(shard);
  if (!keeper) return nullptr;
  auto& all = ledgers_[shard];
  // One that was the keeper before goes on where it was: its counts must only rise.
  const auto it = std::ranges::find(all, *keeper, &Ledger::keeper);
  if (it != all.end()) return &*it;
  if (all.size() >= kMostKeepers) return nullptr;
  return &all.emplace_back(Ledger{*keeper, {}});
}

void ShadowKeeper::count(std::uint32_t shard, Copy half, std::optional<Duration> answered_after,
                         bool differs) {
  if (half == Copy::none) return;
  auto* const l = ledger(shard);
  if (!l) {
    ++figures_.crowded;
    return;
  }
  Sum one;
  auto& h = half == Copy::candidate ? one.candidate : one.control;
  if (answered_after) {
    h.times[bin_of(*answered_after)] = 1;
    h.differs = differs ? 1 : 0;
  } else {
    h.failed = 1;
  }
  l->out.sum.add(one);
  l->out.rounds_left = kRepeats;
  eventful_ = eventful_ || !answered_after || differs;
  if (l->keeper == self_ && folded_.take(self_, shard, l->out.sum)) refold(shard);
}

void ShadowKeeper::refold(std::uint32_t shard) {
  auto& f = fold_[shard];
  const auto events = Urgent::events(f.sum);
  f.sum = folded_.total(shard);
  eventful_ = eventful_ || Urgent::events(f.sum) > events;
  f.rounds_left = repeats();
  take(self_, shard, f.sum);
}

bool ShadowKeeper::take(const Origin& keeper, std::uint32_t shard, const Sum& sum) {
  if (shard >= terms_.shards) return false;
  if (!known_.holds(keeper, shard)) {
    std::size_t others = 0;
    const auto group = terms_.group_of(keeper.node);
    known_.each([&](std::uint32_t s, const Origin& o, const Sum&) {
      others += s == shard && terms_.group_of(o.node) == group ? 1 : 0;
    });
    if (others >= kMostKeepers) {
      ++figures_.crowded;
      return false;
    }
  }
  known_.take(keeper, shard, sum);
  return true;
}

void ShadowKeeper::send(Level level, const Origin& to, const Batch& batch, std::vector<Word>& out) {
  if (batch.empty()) return;
  // On where the last one ended, so that each has its turn where not all fit.
  auto& next = next_shard_[{level, to}];
  std::vector<ShardSum> sums;
  for (const auto& [shard, o] : batch)
    if (shard >= next) sums.emplace_back(shard, o->sum);
  if (sums.empty())
    for (const auto& [shard, o] : batch) sums.emplace_back(shard, o->sum);
  std::size_t sent = 0;
  std::string bytes{static_cast<char>(level),
                    static_cast<char>(static_cast<std::uint8_t>(to.life >> 8U)),
                    static_cast<char>(static_cast<std::uint8_t>(to.life))};
  bytes += encode_sums(version_, sums, sent, kMaxRecordValueBytes - kWordHead);
  for (const auto& [shard, o] : batch) {
    if (shard < sums.front().first || shard > sums[sent - 1].first) continue;
    if (o->rounds_left > 0) --o->rounds_left;
    o->urgent.told = Urgent::events(o->sum);
  }
  next = sent < sums.size() ? sums[sent].first : 0;
  out.push_back({to, std::move(bytes)});
}

void ShadowKeeper::tell_keepers(bool round, std::vector<Word>& out) {
  std::map<Origin, Batch> batches;
  for (std::uint32_t s = 0; s < terms_.shards; ++s)
    for (auto& l : ledgers_[s])
      if (l.keeper != self_ && alive(l.keeper) &&
          (round ? l.out.rounds_left > 0 : l.out.urgent.due(l.out.sum)))
        batches[l.keeper].emplace_back(s, &l.out);
  for (const auto& [to, batch] : batches) send(Level::keeper, to, batch, out);
}

void ShadowKeeper::tell_listeners(bool round, std::vector<Word>& out) {
  Batch batch;
  for (std::uint32_t s = 0; s < terms_.shards; ++s)
    if (round ? fold_[s].rounds_left > 0 : fold_[s].urgent.due(fold_[s].sum))
      batch.emplace_back(s, &fold_[s]);
  for (const auto& to : listeners_)
    if (to != self_) send(Level::listener, to, batch, out);
}

std::vector<ShadowKeeper::Word> ShadowKeeper::words(Time now) {
  std::vector<Word> out;
  if (!begun_) return out;
  const bool to_keepers = now >= keeper_due_, to_holder = now >= holder_due_;
  const bool urgent = eventful_ && now >= urgent_from_;
  if (urgent) eventful_ = false;
  if (to_keepers || urgent) tell_keepers(to_keepers, out);
  if (to_holder || urgent) tell_listeners(to_holder, out);
  if (urgent && !out.empty()) urgent_from_ = now + kUrgentGap;
  if (to_keepers) keeper_due_ = now + terms_.keeper_round();
  if (to_holder) holder_due_ = now + terms_.holder_round();
  return out;
}

bool ShadowKeeper::received(Time now, Origin from, std::string_view bytes) {
  ++figures_.words_in;
  // No more in any second than the limit.
  while (!taken_.empty() && now - taken_.front() >= std::chrono::seconds(1)) taken_.pop_front();
  if (static_cast<double>(taken_.size()) + 1 > terms_.in_per_s) return ++figures_.dropped, false;
  taken_.push_back(now);
  const auto refused = [&] { return ++figures_.refused, false; };
  if (bytes.size() < kWordHead || bytes.size() > kMaxRecordValueBytes || from.node == self_.node)
    return refused();
  const auto level = static_cast<Level>(bytes[0]);
  const auto life = static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[1]) << 8U |
                                               static_cast<std::uint8_t>(bytes[2]));
  const auto sums = decode_sums(bytes.substr(kWordHead));
  if ((level != Level::keeper && level != Level::listener) || life != self_.life || !sums ||
      sums->version != version_ || sums->shards.back().first >= terms_.shards)
    return refused();
  // A ledger is for this node's group alone: a sum in two groups would count twice.
  if (level == Level::keeper && terms_.group_of(from.node) != terms_.group_of(self_.node))
    return refused();
  for (const auto& [shard, sum] : sums->shards) {
    if (level == Level::listener)
      take(from, shard, sum);
    else if (folded_.take(from, shard, sum))
      refold(shard);
  }
  return true;
}

std::vector<ShadowKeeper::Due> ShadowKeeper::records(Time now, std::uint8_t space) {
  std::vector<Due> due;
  if (!begun_) return due;
  const bool round = now >= record_due_;
  if (round) record_due_ = now + terms_.record_round();
  const bool listens = std::ranges::find(listeners_, self_) != listeners_.end();
  if (!round && !listens) return due;
  known_.each([&](std::uint32_t shard, const Origin& o, const Sum& sum) {
    if (o == self_ ? !round : !listens || alive(o)) return;
    auto& r = recorded_[{shard, o}];
    if (r == sum) return;
    r = sum;
    const ShardSum one{shard, sum};
    std::size_t from = 0;
    due.push_back({{space, number_of(version_, shard, o)},
                   size_of(sum),
                   encode_sums(version_, std::span(&one, 1), from)});
  });
  return due;
}

bool ShadowKeeper::recorded(const RecordKey& key, std::string_view value) {
  const auto sums = decode_sums(value);
  if (!sums || sums->version != version_ || sums->shards.size() != 1) return false;
  const auto& [shard, sum] = sums->shards.front();
  const Origin keeper{MemberId(static_cast<std::uint16_t>(key.number >> kNodeAt)),
                      static_cast<std::uint16_t>(key.number)};
  if (key.number != number_of(version_, shard, keeper) || !take(keeper, shard, sum)) return false;
  recorded_[{shard, keeper}].merge(sum);
  return true;
}

std::vector<std::string> ShadowKeeper::state() const {
  std::vector<std::string> all;
  const auto put = [&](char part, std::uint32_t shard, const Origin& o, const Sum& sum) {
    if (sum.empty()) return;
    const ShardSum one{shard, sum};
    std::size_t from = 0;
    std::string entry(1, part);
    for (const auto n : {static_cast<std::uint16_t>(o.node), o.life}) {
      entry += static_cast<char>(static_cast<std::uint8_t>(n >> 8U));
      entry += static_cast<char>(static_cast<std::uint8_t>(n));
    }
    all.push_back(entry + encode_sums(version_, std::span(&one, 1), from));
  };
  for (std::uint32_t s = 0; s < terms_.shards; ++s)
    for (const auto& l : ledgers_[s]) put(kLedger, s, l.keeper, l.out.sum);
  folded_.each([&](std::uint32_t s, const Origin& o, const Sum& sum) { put(kFolded, s, o, sum); });
  known_.each([&](std::uint32_t s, const Origin& o, const Sum& sum) { put(kKnown, s, o, sum); });
  return all;
}

bool ShadowKeeper::restore(std::span<const std::string> state) {
  bool sound = true;
  for (const std::string_view entry : state) {
    const auto sums = entry.size() < kEntryHead ? std::nullopt
                                                : decode_sums(entry.substr(kEntryHead));
    if (!sums || sums->version != version_ || sums->shards.front().first >= terms_.shards) {
      sound = false;
      continue;
    }
    const auto number = [&](std::size_t at) {
      return static_cast<std::uint16_t>(static_cast<std::uint8_t>(entry[at]) << 8U |
                                        static_cast<std::uint8_t>(entry[at + 1]));
    };
    const Origin o{MemberId(number(1)), number(3)};
    const auto& [shard, sum] = sums->shards.front();
    switch (entry.front()) {
      case kLedger: ledgers_[shard].push_back({o, {sum, kRepeats, {}}}); break;
      case kFolded:
        folded_.take(o, shard, sum);
        refold(shard);
        break;
      case kKnown: take(o, shard, sum); break;
      default: sound = false;
    }
  }
  return sound;
}

}  // namespace petrelrail::fleet

#include "records.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

constexpr std::size_t kMostChanges = 1024;  // keys that are told one by one
constexpr std::size_t kMostPending = 1024;  // writes that wait at once
constexpr std::size_t kMostMarks = 8;       // that a node tries to follow: of as many seconds
constexpr int kStallSlots = 5;              // a tick that is so late: this node stood still
constexpr int kSafeSlots = 4;               // for each copy, until a write is given up
constexpr auto kMarkLife = std::chrono::seconds(60);
constexpr double kAsksPerSlot = 0.5;

std::uint32_t unix_seconds(Time t) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(t.time_since_epoch()).count());
}

// A mark's value: its time (8 bytes, ns), the version that its writer had come to (14), the digest
// (8).
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
constexpr std::size_t kMarkBytes = 30;

}  // namespace

// ---- Terms --------------------------------------------------------------------------------------

Duration RecordTerms::slot() const { return from_seconds(1 / news_per_s); }
Duration RecordTerms::spread() const {
  // Those who know double in a slot; the last ones are missed by chance, a share of 1/e in each
  // slot.
  const double n = nodes;
  return scaled(slot(), std::ceil(std::log2(n + 1)) + std::ceil(std::log(n + 1)) + 2);
}
Duration RecordTerms::safe_within() const {
  return copies * kSafeSlots * slot() + std::chrono::seconds(1);
}
std::uint64_t RecordTerms::most_epoch(Time now) const {
  const auto terms = static_cast<std::uint64_t>((now.time_since_epoch() + clocks) / term);
  return terms * gifts + gifts - 1;
}
double RecordTerms::reckoned_intake() const {
  // Slots of nodes whose clocks differ may fall into one second, and what was asked for before it
  // as well.
  const double asks = kAsksPerSlot * news_per_s;
  return (2 * news_per_s + asks) * (1 + seconds(clocks)) +
         pull_per_s * (1 + seconds(slot()) / kAsksPerSlot);
}

void validate(const RecordTerms& t) {
  const auto need = [](bool holds, const char* what) {
    if (!holds) throw std::invalid_argument(std::string("records need ") + what);
  };
  need(t.nodes >= 1 && t.nodes <= MembershipConfig::max_nodes(), "1 to 4096 nodes");
  need(t.news_per_s >= 0.1 && t.news_per_s <= 1000, "0.1 to 1000 slots a second");
  need(t.pull_per_s >= 1 && t.pull_per_s <= 1000, "1 to 1000 datagrams a second asked for");
  need(t.copies >= 1 && t.copies <= 16, "1 to 16 copies");
  need(t.spaces >= 1 && t.spaces <= kMostSpaces, "1 to 64 spaces");
  need(t.most_records >= 1 && t.most_records <= 1'000'000, "bounds of 1 to 1000000 records");
  need(t.most_bytes >= kMaxDatagramBytes, "bounds of 256 bytes or more");
  need(t.clocks >= Duration{}, "a bound on clocks of 0 or more");
  need(t.most_life > Duration{}, "a longest life of more than 0");
  need(t.term > Duration{} && t.gifts >= 1, "a term of more than 0 and 1 gift or more");
}

// ---- Life ---------------------------------------------------------------------------------------

Records::Records(RecordTerms terms, MemberId self, std::uint8_t zone, std::uint64_t seed)
    : terms_((validate(terms), std::move(terms))),
      self_(self),
      zone_(zone),
      random_(mix_hash(seed)),
      table_(
          {terms_.spaces, terms_.most_records, terms_.most_bytes, terms_.clocks, terms_.most_life}),
      spaces_(terms_.spaces) {
  if (index_of(self) >= terms_.nodes)
    throw std::invalid_argument("this node's number is not below the nodes'");
  if (zone >= kMaxZones)
    throw std::invalid_argument("this node's zone is beyond the zones that can be told");
  if (terms_.nodes == 1) standing_ = Reachability::majority, caught_up_ = true;
}

std::uint64_t Records::draw() { return random_ = mix_hash(random_ + 1); }

void Records::start(Time now) {
  started_ = true;
  now_ = filled_ = answers_filled_ = asked_ = now;
  next_slot_ = now;
  due_ = now;
}

void Records::view(Time now, const MembershipView& view) {
  now_ = std::max(now_, now);
  seats_ = view.members;
  standing_ = view.reachability;
  std::set<std::uint8_t> zones{zone_};
  others_ = 0;
  for (std::uint16_t i = 0; i < terms_.nodes; ++i)
    if (living(MemberId(i))) ++others_, zones.insert((*seats_)[i].zone);
  living_zones_ = static_cast<std::uint32_t>(zones.size());
  if (standing_ != Reachability::majority) lost_sight();
  settle(now);
}

bool Records::living(MemberId m) const {
  if (m == self_ || !seats_ || index_of(m) >= seats_->size()) return false;
  const auto& s = (*seats_)[index_of(m)];
  return s.state.known() && s.state.status <= MemberStatus::suspect && s.stable;
}

void Records::advance(Time now) {
  now_ = std::max(now_, now);
  if (table_.next_end() > now_) return;
  for (const auto& key : table_.forget(now_)) {
    ++figures_.forgotten;
    if (key.space != kMarkSpace) changed(key, false);
  }
}

void Records::tick(Time now) {
  if (!started_) return;
  if (now - due_ > kStallSlots * terms_.slot()) ++figures_.stalls, lost_sight();
  advance(now);
  if (now >= next_slot_) {
    const auto slot = terms_.slot();
    // Where in a slot this node's turn is: spread evenly by a hash.
    const auto phase = scaled(slot,
                              static_cast<double>(mix_hash(index_of(self_)) >> 11U) * 0x1.0p-53);
    const auto number = (now - phase).time_since_epoch() / slot;
    next_slot_ = Time((number + 1) * slot) + phase;
    push(static_cast<std::uint64_t>(number));
    ask(now, static_cast<std::uint64_t>(number));
  }
  settle(now);
  compare();
  due_ = next_slot_;
}

void Records::lost_sight() {
  if (terms_.nodes == 1) return;
  caught_up_ = false;
  run_ = quiet_run_ = 0;
}

// ---- Writes -------------------------------------------------------------------------------------

Records::Put Records::refuse(Put::Kind kind) {
  ++figures_.refused;
  return {kind, 0};
}

Records::Put Records::put(Time now, RecordKey key, std::uint64_t epoch, std::uint32_t ends,
                          std::string value) {
  if (value.size() > kMaxRecordValueBytes) return refuse(Put::Kind::too_large);
  return write(now, {key, {epoch, 0, self_}, ends, false, std::move(value)});
}

Records::Put Records::erase(Time now, RecordKey key, std::uint64_t epoch, std::uint32_t ends) {
  const auto* known = table_.find(key);
  return write(
      now, {key, {epoch, 0, self_}, std::max(ends, known ? known->expiry_unix_s : 0), true, {}});
}

Records::Put Records::write(Time now, Record r) {
  using Kind = Put::Kind;
  advance(now);
  if (r.key.space >= terms_.spaces) return refuse(Kind::no_space);
  const auto epoch = r.version.epoch;
  if (epoch == 0 || epoch > terms_.most_epoch(now)) return refuse(Kind::too_far);
  if (r.expiry_unix_s <= unix_seconds(now)) return refuse(Kind::ended);
  const auto* known = table_.find(r.key);
  if (known && known->version.epoch > epoch) return refuse(Kind::older);
  if (pending_.size() >= kMostPending) return refuse(Kind::full);
  auto& space = spaces_[r.key.space];
  if (space.epoch != epoch) space.epoch = epoch, space.sequence = 0;
  const auto before = std::max(
      space.sequence, known && known->version.epoch == epoch ? known->version.sequence : 0);
  if (before == UINT32_MAX) return refuse(Kind::older);
  r.version.sequence = before + 1;
  if (known) r.expiry_unix_s = std::max(r.expiry_unix_s, known->expiry_unix_s);
  switch (table_.take(now, r)) {
    case RecordTable::Took::newer: break;
    case RecordTable::Took::far: return refuse(Kind::too_far);
    case RecordTable::Took::ended: return refuse(Kind::ended);
    case RecordTable::Took::no_space: return refuse(Kind::no_space);
    case RecordTable::Took::held: return refuse(Kind::older);
    case RecordTable::Took::full: return refuse(Kind::full);
  }
  space.sequence = r.version.sequence;
  ++figures_.puts;
  changed(r.key, true);
  pending_.push_back({++tickets_, r.key, r.version, now + terms_.safe_within(), {}});
  const Put taken{Kind::taken, tickets_};
  settle(now);
  return taken;
}

bool Records::safe(const Pending& p) const {
  if (standing_ != Reachability::majority) return false;
  std::uint32_t copies = 1;
  bool zones = living_zones_ < 2;
  for (const auto m : p.holders)
    if (living(m)) ++copies, zones = zones || (*seats_)[index_of(m)].zone != zone_;
  return zones && copies >= std::min(terms_.copies, 1 + others_);
}

// Whether this member's word would bring a write nearer to being safe.
bool Records::helps(const Pending& p, MemberId m) const {
  if (!living(m) || std::ranges::find(p.holders, m) != p.holders.end()) return false;
  const bool other = std::ranges::any_of(
      p.holders, [&](MemberId h) { return (*seats_)[index_of(h)].zone != zone_; });
  // The last copy that is missing has to be in another zone where there is none yet.
  const bool last = p.holders.size() + 2 >= std::min(terms_.copies, 1 + others_);
  return living_zones_ < 2 || other || !last || (*seats_)[index_of(m)].zone != zone_;
}

void Records::conclude(const Pending& p, bool is_safe) {
  outcomes_.push_back({p.ticket, is_safe});
  ++(is_safe ? figures_.safe : figures_.unsafe);
}

void Records::settle(Time now) {
  std::erase_if(pending_, [&](const Pending& p) {
    const bool yes = safe(p), over = yes || now >= p.ends;
    if (over) conclude(p, yes);
    return over;
  });
}

// A member holds this version of a key. This node's own later version stands for the earlier one;
// with another's the write is lost.
void Records::held(MemberId by, const RecordKey& key, const RecordVersion& version) {
  for (auto& p : pending_) {
    const bool counts = p.key == key &&
                        (version == p.version || (version > p.version && version.origin == self_));
    if (counts && by != self_ && std::ranges::find(p.holders, by) == p.holders.end())
      p.holders.push_back(by);
  }
  std::erase_if(pending_, [&](const Pending& p) {
    const bool lost = p.key == key && version > p.version && version.origin != self_;
    if (lost) conclude(p, false);
    return lost;
  });
}

// ---- Reads --------------------------------------------------------------------------------------

const Record* Records::find(RecordKey key) const {
  const auto* r = table_.find(key);
  return r && !r->deleted && key.space != kMarkSpace && r->expiry_unix_s > unix_seconds(now_)
             ? r
             : nullptr;
}

void Records::each(std::uint8_t space, const std::function<void(const Record&)>& what) const {
  if (space == kMarkSpace) return;
  table_.each(space, [&](const Record& r) {
    if (!r.deleted && r.expiry_unix_s > unix_seconds(now_)) what(r);
  });
}

void Records::changed(const RecordKey& key, bool news) {
  if (news) add_news(key);
  if (key.space == kMarkSpace) return;
  spaces_[key.space].changed = true;
  if (changes_.rescan) return;
  if (changes_.keys.size() >= kMostChanges)
    changes_.keys.clear(), changes_.rescan = true;
  else
    changes_.keys.push_back(key);
}

const Records::Figures& Records::figures() const {
  figures_.records = table_.size(), figures_.bytes = 0;
  for (unsigned s = 0; s < terms_.spaces; ++s)
    figures_.bytes += table_.bytes(static_cast<std::uint8_t>(s));
  figures_.bytes += table_.bytes(kMarkSpace);
  return figures_;
}

// ---- Age ----------------------------------------------------------------------------------------

void Records::mark(Time now, std::uint8_t space, std::uint64_t epoch) {
  advance(now);
  if (space >= terms_.spaces || !caught_up_ || epoch == 0 || epoch > terms_.most_epoch(now)) return;
  const RecordKey key{kMarkSpace, space};
  const auto* known = table_.find(key);
  if (known && known->version.epoch > epoch) return;
  auto& s = spaces_[space];
  const RecordVersion upto{epoch, s.epoch == epoch ? s.sequence : 0, self_};
  std::string value;
  append(value, static_cast<std::uint64_t>(now.time_since_epoch().count()));
  append(value, upto.epoch), append(value, upto.sequence),
      append(value, static_cast<std::uint16_t>(upto.origin));
  append(value, table_.digest(space, upto));
  const auto before = known && known->version.epoch == epoch ? known->version.sequence : 0;
  if (before == UINT32_MAX) return;
  const auto ends = unix_seconds(now + kMarkLife);
  if (table_.take(now, {key, {epoch, before + 1, self_}, ends, false, std::move(value)}) !=
      RecordTable::Took::newer)
    return;
  s.fresh = now;
  changed(key, true);
}

void Records::marked(const Record& r) {
  if (r.deleted || r.value.size() != kMarkBytes) return;
  std::string_view value = r.value;
  Mark m;
  m.at = Time(Duration(static_cast<Duration::rep>(parse<std::uint64_t>(value))));
  m.upto.epoch = parse<std::uint64_t>(value), m.upto.sequence = parse<std::uint32_t>(value);
  m.upto.origin = MemberId(parse<std::uint16_t>(value));
  m.digest = parse<std::uint64_t>(value);
  // One from beyond what clocks can differ by would make a read look younger than it is.
  if (m.at > now_ + terms_.clocks || m.at.time_since_epoch() <= Duration{}) return;
  auto& s = spaces_[r.key.number];
  if (s.marks.size() >= kMostMarks) s.marks.pop_front();
  s.marks.push_back(m);
  s.changed = true;
}

void Records::compare() {
  for (std::size_t i = 0; i < spaces_.size(); ++i) {
    auto& s = spaces_[i];
    if (!std::exchange(s.changed, false)) continue;
    for (const auto& m : s.marks)
      if (m.at > s.fresh.value_or(Time{}) &&
          table_.digest(static_cast<std::uint8_t>(i), m.upto) == m.digest)
        s.fresh = m.at;
    std::erase_if(s.marks, [&](const Mark& m) { return s.fresh && m.at <= *s.fresh; });
  }
}

std::optional<Duration> Records::age(Time now, std::uint8_t space) const {
  if (space >= terms_.spaces || !spaces_[space].fresh) return std::nullopt;
  return std::max(Duration{}, now - *spaces_[space].fresh + terms_.clocks);
}

// ---- Upgrade ------------------------------------------------------------------------------------

Records::State Records::snapshot() const {
  State s;
  s.records = table_.all();
  s.caught_up = caught_up_;
  for (std::size_t i = 0; i < spaces_.size(); ++i) {
    const auto space = static_cast<std::uint8_t>(i);
    if (spaces_[i].fresh) s.fresh.push_back({space, *spaces_[i].fresh});
    if (spaces_[i].epoch > 0) s.written.push_back({space, spaces_[i].epoch, spaces_[i].sequence});
  }
  return s;
}

void Records::restore(Time now, const State& state) {
  now_ = std::max(now_, now);
  bool all = true;
  for (const auto& r : state.records) {
    const auto took = take(r);
    all = all && (took == RecordTable::Took::newer || took == RecordTable::Took::ended);
  }
  for (const auto& f : state.fresh)
    if (f.space < terms_.spaces && f.at <= now + terms_.clocks && all)
      spaces_[f.space].fresh = f.at;
  for (const auto& w : state.written)
    if (w.space < terms_.spaces)
      spaces_[w.space].epoch = w.epoch, spaces_[w.space].sequence = w.sequence;
  caught_up_ = (state.caught_up && all) || terms_.nodes == 1;
}

}  // namespace petrelrail::fleet

#include "shadow_verdict.hpp"

#include <algorithm>
#include <stdexcept>

#include "sequential.hpp"
#include "shadow_map.hpp"

namespace petrelrail::fleet {
namespace {

// How the rate of wrong words against a map is shared out among kinds; half of what differs has is
// the map's as a whole.
constexpr double kForDiffers = kWrongRate / 2, kForFailing = kWrongRate / 4,
                 kForSlower = kWrongRate / 4;
constexpr double kForAllTogether = kForDiffers / 2, kForDiffersByShard = kForDiffers / 2;
constexpr std::size_t kEdges = kBins - 1;

constexpr char kFormat = 2;
constexpr std::size_t kSpokenBytes = 1 + 4 + 2 + 1 + 8;

template <class T>
void put(std::string& bytes, T value) {
  for (std::size_t i = sizeof(T); i > 0; --i)
    bytes += static_cast<char>(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
}
template <class T>
T take_from(std::string_view& bytes) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>(static_cast<std::uint64_t>(value) << 8U |
                           static_cast<std::uint8_t>(bytes[i]));
  bytes.remove_prefix(sizeof(T));
  return value;
}
void check(double margin, const char* name) {
  if (!(margin > 0 && margin < 1))
    throw std::invalid_argument(std::string("shadow: margins: ") + name +
                                " must be above 0 and below 1");
}

}  // namespace

const char* name_of(Finding f) {
  switch (f) {
    case Finding::undecided: return "undecided";
    case Finding::same: return "same";
    case Finding::differs: return "differs";
    case Finding::slower: return "slower";
    case Finding::failing: return "failing";
  }
  return "";
}
const char* name_of(MapFinding f) {
  switch (f) {
    case MapFinding::undecided: return "undecided";
    case MapFinding::may_be_used: return "may be used";
    case MapFinding::must_not: return "must not";
  }
  return "";
}

void validate(const Margins& m) {
  check(m.differs, "differs");
  check(m.failing, "failing");
  check(m.slower, "slower");
}

Finding judge(const Sum& sum, std::uint32_t shards, const Margins& margins) {
  const double part = 1.0 / shards;
  const auto failing = sum.failing(), differing = sum.differing();
  if (is_sufficient(log_evidence_of_worse(failing), kForFailing * part)) return Finding::failing;
  if (is_sufficient(log_evidence_of_worse(differing), kForDiffersByShard * part))
    return Finding::differs;
  bool same = is_sufficient(log_evidence_of_excess_below(failing, margins.failing), kWrongRate) &&
              is_sufficient(log_evidence_of_excess_below(differing, margins.differs), kWrongRate);
  for (std::size_t edge = 0; edge < kEdges; ++edge) {
    const auto later = sum.later(edge), within = sum.within(edge);
    if (is_sufficient(log_evidence_of_excess_above(later, within, margins.slower),
                      kForSlower * part / kEdges))
      return Finding::slower;
    same = same &&
           is_sufficient(log_evidence_of_excess_below(later, within, margins.slower), kWrongRate);
  }
  return same ? Finding::same : Finding::undecided;
}

MapFinding judge_map(std::span<const Finding> findings, std::span<const Sum> sums) {
  Trial together;
  for (const auto& s : sums) together.add(s.differing());
  const auto bad = [](Finding f) { return f > Finding::same; };
  if (std::ranges::any_of(findings, bad) ||
      is_sufficient(log_evidence_of_worse(together), kForAllTogether))
    return MapFinding::must_not;
  const auto same = [](Finding f) { return f == Finding::same; };
  return std::ranges::all_of(findings, same) ? MapFinding::may_be_used : MapFinding::undecided;
}

std::string encode(const Spoken& s) {
  std::string bytes(1, kFormat);
  put(bytes, s.version);
  put(bytes, s.shard);
  put(bytes, s.finding);
  put(bytes, s.epoch);
  return bytes;
}
std::optional<Spoken> decode_spoken(std::string_view bytes) {
  if (bytes.size() != kSpokenBytes || bytes.front() != kFormat) return {};
  bytes.remove_prefix(1);
  Spoken s;
  s.version = take_from<std::uint32_t>(bytes);
  s.shard = take_from<std::uint16_t>(bytes);
  s.finding = take_from<std::uint8_t>(bytes);
  s.epoch = take_from<std::uint64_t>(bytes);
  const auto last = s.shard == kTheMap ? static_cast<std::uint8_t>(MapFinding::must_not)
                                       : static_cast<std::uint8_t>(Finding::failing);
  const bool sound = s.version >= 1 && s.version <= kMostMapVersion && s.epoch >= 1 &&
                     s.finding >= 1 && s.finding <= last &&
                     (s.shard == kTheMap || s.shard < kMostShards);
  return sound ? std::optional(s) : std::nullopt;
}

bool Verdicts::take(const Spoken& s) {
  if (s.version != version_ || s.finding == 0 || (s.shard != kTheMap && s.shard >= shards_.size()))
    return false;
  latest_epoch_ = std::max(latest_epoch_, s.epoch);
  auto& held = s.shard == kTheMap ? map_ : shards_[s.shard];
  // One holder says one thing; of two in its name the worse counts, so that all end alike.
  const bool first = held.finding == 0 || s.epoch < held.epoch ||
                     (s.epoch == held.epoch && s.finding > held.finding);
  if (first) held = s;
  return first;
}
std::vector<Spoken> Verdicts::all() const {
  std::vector<Spoken> found;
  for (const auto& s : shards_)
    if (s.finding != 0) found.push_back(s);
  if (map_.finding != 0) found.push_back(map_);
  return found;
}

std::vector<Spoken> findings(std::uint64_t epoch, const SumTable& sums, const Verdicts& known,
                             const Margins& margins) {
  if (epoch < known.latest_epoch() || sums.version() != known.version() ||
      known.of_map() != MapFinding::undecided)
    return {};
  const auto totals = sums.totals();
  std::vector<Finding> all(totals.size());
  std::vector<Spoken> spoken;
  for (std::uint32_t shard = 0; shard < totals.size(); ++shard) {
    all[shard] = known.of(shard);
    if (all[shard] != Finding::undecided) continue;
    all[shard] = judge(totals[shard], sums.shards(), margins);
    if (all[shard] != Finding::undecided)
      spoken.push_back({known.version(), static_cast<std::uint16_t>(shard),
                        static_cast<std::uint8_t>(all[shard]), epoch});
  }
  if (const auto map = judge_map(all, totals); map != MapFinding::undecided)
    spoken.push_back({known.version(), kTheMap, static_cast<std::uint8_t>(map), epoch});
  return spoken;
}

}  // namespace petrelrail::fleet

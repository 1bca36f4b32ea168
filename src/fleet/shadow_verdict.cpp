#include "shadow_verdict.hpp"

#include <algorithm>
#include <stdexcept>

#include "sequential.hpp"
#include "shadow_map.hpp"

namespace petrelrail::fleet {
namespace {

// Division of the error rate of findings against a map among their kinds; half of the part for
// differences belongs to the map as a whole.
constexpr double kDiffersErrorRate = kMaxErrorRate / 2, kFailingErrorRate = kMaxErrorRate / 4,
                 kSlowerErrorRate = kMaxErrorRate / 4;
constexpr double kMapDiffersErrorRate = kDiffersErrorRate / 2,
                 kShardDiffersErrorRate = kDiffersErrorRate / 2;
constexpr std::size_t kBinEdges = kLatencyBins - 1;

constexpr char kFormatVersion = 2;
constexpr std::size_t kVerdictBytes = 1 + 4 + 2 + 1 + 8;

template <class T>
void put(std::string& bytes, T value) {
  for (std::size_t i = sizeof(T); i > 0; --i)
    bytes += static_cast<char>(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
}
template <class T>
T pop(std::string_view& bytes) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>(static_cast<std::uint64_t>(value) << 8U |
                           static_cast<std::uint8_t>(bytes[i]));
  bytes.remove_prefix(sizeof(T));
  return value;
}
void require_fraction(double tolerance, const char* name) {
  if (!(tolerance > 0 && tolerance < 1))
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

void validate(const Tolerances& tolerances) {
  require_fraction(tolerances.differs, "differs");
  require_fraction(tolerances.failing, "failing");
  require_fraction(tolerances.slower, "slower");
}

Finding evaluate_shard(const ShardStatistics& statistics, std::uint32_t shards,
                       const Tolerances& tolerances) {
  const double shard_share = 1.0 / shards;
  const auto failing = statistics.failures(), differing = statistics.differences();
  if (is_sufficient(log_evidence_of_worse(failing), kFailingErrorRate * shard_share))
    return Finding::failing;
  if (is_sufficient(log_evidence_of_worse(differing), kShardDiffersErrorRate * shard_share))
    return Finding::differs;
  bool same = is_sufficient(log_evidence_of_excess_below(failing, tolerances.failing),
                            kMaxErrorRate) &&
              is_sufficient(log_evidence_of_excess_below(differing, tolerances.differs),
                            kMaxErrorRate);
  for (std::size_t edge = 0; edge < kBinEdges; ++edge) {
    const auto slower = statistics.slower_than(edge), in_time = statistics.answered_within(edge);
    if (is_sufficient(log_evidence_of_excess_above(slower, in_time, tolerances.slower),
                      kSlowerErrorRate * shard_share / kBinEdges))
      return Finding::slower;
    same = same && is_sufficient(log_evidence_of_excess_below(slower, in_time, tolerances.slower),
                                 kMaxErrorRate);
  }
  return same ? Finding::same : Finding::undecided;
}

MapFinding evaluate_map(std::span<const Finding> shard_results,
                        std::span<const ShardStatistics> statistics) {
  Trial all_shards;
  for (const auto& s : statistics) all_shards.add(s.differences());
  const auto is_bad = [](Finding f) { return f > Finding::same; };
  if (std::ranges::any_of(shard_results, is_bad) ||
      is_sufficient(log_evidence_of_worse(all_shards), kMapDiffersErrorRate))
    return MapFinding::must_not;
  const auto is_same = [](Finding f) { return f == Finding::same; };
  return std::ranges::all_of(shard_results, is_same) ? MapFinding::may_be_used
                                                     : MapFinding::undecided;
}

std::string encode(const PublishedVerdict& s) {
  std::string bytes(1, kFormatVersion);
  put(bytes, s.version);
  put(bytes, s.shard);
  put(bytes, s.finding);
  put(bytes, s.term);
  return bytes;
}
std::optional<PublishedVerdict> decode_verdict(std::string_view bytes) {
  if (bytes.size() != kVerdictBytes || bytes.front() != kFormatVersion) return {};
  bytes.remove_prefix(1);
  PublishedVerdict s;
  s.version = pop<std::uint32_t>(bytes);
  s.shard = pop<std::uint16_t>(bytes);
  s.finding = pop<std::uint8_t>(bytes);
  s.term = pop<std::uint64_t>(bytes);
  const auto last = s.shard == kWholeMap ? static_cast<std::uint8_t>(MapFinding::must_not)
                                         : static_cast<std::uint8_t>(Finding::failing);
  const bool is_valid = s.version >= 1 && s.version <= kMaxMapVersion && s.term >= 1 &&
                        s.finding >= 1 && s.finding <= last &&
                        (s.shard == kWholeMap || s.shard < kMaxShards);
  return is_valid ? std::optional(s) : std::nullopt;
}

bool ShadowVerdicts::merge(const PublishedVerdict& s) {
  if (s.version != version_ || s.finding == 0 ||
      (s.shard != kWholeMap && s.shard >= shards_.size()))
    return false;
  latest_epoch_ = std::max(latest_epoch_, s.term);
  auto& stored = s.shard == kWholeMap ? map_verdict_ : shards_[s.shard];
  // A lease holder publishes one verdict on a shard; should two exist, all nodes keep the worse.
  const bool is_replaced = stored.finding == 0 || s.term < stored.term ||
                           (s.term == stored.term && s.finding > stored.finding);
  if (is_replaced) stored = s;
  return is_replaced;
}
std::vector<PublishedVerdict> ShadowVerdicts::all() const {
  std::vector<PublishedVerdict> out;
  for (const auto& s : shards_)
    if (s.finding != 0) out.push_back(s);
  if (map_verdict_.finding != 0) out.push_back(map_verdict_);
  return out;
}

std::vector<PublishedVerdict> new_verdicts(std::uint64_t term, const StatisticsTable& statistics,
                                           const ShadowVerdicts& known,
                                           const Tolerances& tolerances) {
  if (term < known.latest_term() || statistics.version() != known.version() ||
      known.map_finding() != MapFinding::undecided)
    return {};
  const auto totals = statistics.totals();
  std::vector<Finding> shard_findings(totals.size());
  std::vector<PublishedVerdict> out;
  for (std::uint32_t shard = 0; shard < totals.size(); ++shard) {
    shard_findings[shard] = known.shard_finding(shard);
    if (shard_findings[shard] != Finding::undecided) continue;
    shard_findings[shard] = evaluate_shard(totals[shard], statistics.shards(), tolerances);
    if (shard_findings[shard] != Finding::undecided)
      out.push_back({known.version(), static_cast<std::uint16_t>(shard),
                     static_cast<std::uint8_t>(shard_findings[shard]), term});
  }
  if (const auto map = evaluate_map(shard_findings, totals); map != MapFinding::undecided)
    out.push_back({known.version(), kWholeMap, static_cast<std::uint8_t>(map), term});
  return out;
}

}  // namespace petrelrail::fleet

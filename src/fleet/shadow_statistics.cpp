#include "shadow_statistics.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "shadow_map.hpp"

namespace petrelrail::fleet {
namespace {

constexpr char kFormat = 1;
constexpr std::size_t kCounters = 2 * (2 + kLatencyBins);
constexpr std::size_t kHeaderBytes = 1 + sizeof(std::uint32_t);
constexpr std::size_t kMaskBytes = (kCounters + 7) / 8;  // bit mask of counters that are not 0
constexpr std::size_t kMaxVarintBytes = 5;
static_assert(kHeaderBytes + 1 + kMaskBytes + kCounters * kMaxVarintBytes <= kMaxRecordValueBytes);
constexpr unsigned kVarintBits = 7;  // value bits in each byte of a variable-length integer
constexpr std::uint8_t kVarintContinuation = 0x80;

template <class Visit, class S>
void for_each_counter(S& statistics, Visit visit) {
  for (auto* arm : {&statistics.candidate, &statistics.control}) {
    visit(arm->failed);
    visit(arm->differing);
    for (auto& t : arm->latencies) visit(t);
  }
}
std::uint32_t saturated(std::uint64_t n) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(n, std::numeric_limits<std::uint32_t>::max()));
}
void combine(ShardStatistics& a, const ShardStatistics& b,
             std::uint32_t (*operation)(std::uint32_t, std::uint32_t)) {
  std::array<std::uint32_t, kCounters> other_counters{};
  std::size_t i = 0;
  for_each_counter(b, [&](std::uint32_t n) { other_counters[i++] = n; });
  i = 0;
  for_each_counter(a, [&](std::uint32_t& n) { n = operation(n, other_counters[i++]); });
}

std::string encode_entry(const ShardEntry& s) {
  std::string mask(kMaskBytes, '\0'), counters;
  std::size_t i = 0;
  for_each_counter(s.second, [&](std::uint32_t n) {
    if (n != 0)
      mask[i / 8] = static_cast<char>(static_cast<std::uint8_t>(mask[i / 8]) | 1U << (i % 8));
    ++i;
    if (n == 0) return;
    for (; n >= kVarintContinuation; n >>= kVarintBits)
      counters += static_cast<char>(static_cast<std::uint8_t>(n | kVarintContinuation));
    counters += static_cast<char>(n);
  });
  return static_cast<char>(static_cast<std::uint8_t>(s.first)) + mask + counters;
}

std::uint8_t pop_byte(std::string_view& bytes) {
  const auto byte = static_cast<std::uint8_t>(bytes.front());
  bytes.remove_prefix(1);
  return byte;
}
// Returns nothing if the integer is truncated, exceeds 32 bits or is not in its shortest form.
std::optional<std::uint32_t> pop_varint(std::string_view& bytes) {
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < kMaxVarintBytes; ++i) {
    if (bytes.empty()) return {};
    const auto byte = pop_byte(bytes);
    n |= static_cast<std::uint64_t>(byte & (kVarintContinuation - 1U)) << (kVarintBits * i);
    if ((byte & kVarintContinuation) != 0) continue;
    if (byte == 0 || n > std::numeric_limits<std::uint32_t>::max())
      return {};  // zeros are not encoded
    return static_cast<std::uint32_t>(n);
  }
  return {};
}
std::optional<ShardEntry> pop_entry(std::string_view& bytes) {
  if (bytes.size() < 1 + kMaskBytes) return {};
  ShardEntry s;
  s.first = pop_byte(bytes);
  const auto mask = bytes.substr(0, kMaskBytes);
  bytes.remove_prefix(kMaskBytes);
  const auto is_present = [&](std::size_t i) {
    return (static_cast<std::uint8_t>(mask[i / 8]) >> (i % 8) & 1U) != 0;
  };
  for (std::size_t i = kCounters; i < 8 * kMaskBytes; ++i)
    if (is_present(i)) return {};
  bool is_valid = true;
  std::size_t i = 0;
  for_each_counter(s.second, [&](std::uint32_t& n) {
    if (!is_present(i++) || !is_valid) return;
    const auto counter = pop_varint(bytes);
    is_valid = counter.has_value();
    if (is_valid) n = *counter;
  });
  const auto is_consistent = [](const ArmStatistics& h) { return h.differing <= h.answered(); };
  if (!is_valid || s.second.empty() || !is_consistent(s.second.candidate) ||
      !is_consistent(s.second.control))
    return {};
  return s;
}

}  // namespace

std::size_t latency_bin(Duration latency) {
  std::size_t bin = 0;
  for (auto edge = kFirstBinEdge; latency > edge && bin + 1 < kLatencyBins; edge *= 2) ++bin;
  return bin;
}
Duration upper_edge(std::size_t bin) {
  if (bin + 1 >= kLatencyBins) return Duration::max();
  return kFirstBinEdge * (1LL << bin);
}

std::uint64_t ArmStatistics::answered() const {
  return std::accumulate(latencies.begin(), latencies.end(), std::uint64_t{0});
}
std::uint64_t ArmStatistics::answered_within(std::size_t bin) const {
  return std::accumulate(latencies.begin(),
                         latencies.begin() + static_cast<std::ptrdiff_t>(bin) + 1,
                         std::uint64_t{0});
}
std::optional<Duration> ArmStatistics::percentile(double fraction) const {
  const auto all = answered();
  if (all == 0) return {};
  const auto rank = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(all))));
  std::uint64_t below = 0;
  for (std::size_t bin = 0; bin < kLatencyBins; ++bin)
    if ((below += latencies[bin]) >= rank) return upper_edge(bin);
  return upper_edge(kLatencyBins - 1);
}

void ShardStatistics::merge(const ShardStatistics& other) {
  combine(*this, other, [](std::uint32_t a, std::uint32_t b) { return std::max(a, b); });
}
void ShardStatistics::add(const ShardStatistics& other) {
  combine(*this, other,
          [](std::uint32_t a, std::uint32_t b) { return saturated(std::uint64_t{a} + b); });
}
Trial ShardStatistics::failures() const {
  return {candidate.copies() + control.copies(), candidate.failed, control.failed};
}
Trial ShardStatistics::differences() const {
  return {candidate.copies() + control.copies(), candidate.differing, control.differing};
}
Trial ShardStatistics::answered_within(std::size_t bin) const {
  return {candidate.copies() + control.copies(), candidate.answered_within(bin),
          control.answered_within(bin)};
}
Trial ShardStatistics::slower_than(std::size_t bin) const {
  return {candidate.copies() + control.copies(),
          candidate.copies() - candidate.answered_within(bin),
          control.copies() - control.answered_within(bin)};
}

std::string encode_statistics(std::uint32_t version, std::span<const ShardEntry> entries,
                              std::size_t& from, std::size_t max_bytes) {
  std::string bytes(1, kFormat);
  for (unsigned shift = 32; shift > 0; shift -= 8)
    bytes += static_cast<char>(static_cast<std::uint8_t>(version >> (shift - 8)));
  for (bool first = true; from < entries.size(); ++from, first = false) {
    const auto next = encode_entry(entries[from]);
    if (!first && bytes.size() + next.size() > max_bytes) break;
    bytes += next;
  }
  return bytes;
}

std::optional<ShadowStatistics> decode_statistics(std::string_view bytes) {
  if (bytes.size() <= kHeaderBytes || pop_byte(bytes) != kFormat) return {};
  ShadowStatistics statistics;
  for (std::size_t i = 0; i < sizeof(std::uint32_t); ++i)
    statistics.version = statistics.version << 8U | pop_byte(bytes);
  if (statistics.version < 1 || statistics.version > kMaxMapVersion) return {};
  while (!bytes.empty()) {
    auto s = pop_entry(bytes);
    if (!s || (!statistics.shards.empty() && statistics.shards.back().first >= s->first)) return {};
    statistics.shards.push_back(std::move(*s));
  }
  return statistics;
}

bool StatisticsTable::merge(const Origin& origin, std::uint32_t shard,
                            const ShardStatistics& statistics) {
  if (shard >= shards_ || statistics.empty()) return false;
  auto& stored = by_origin_[{shard, origin}];
  const auto before = stored;
  stored.merge(statistics);
  return stored != before;
}
ShardStatistics StatisticsTable::total(std::uint32_t shard) const {
  ShardStatistics statistics;
  for (auto it = by_origin_.lower_bound({shard, Origin{}});
       it != by_origin_.end() && it->first.first == shard; ++it)
    statistics.add(it->second);
  return statistics;
}
std::vector<ShardStatistics> StatisticsTable::totals() const {
  std::vector<ShardStatistics> all(shards_);
  for (const auto& [key, statistics] : by_origin_) all[key.first].add(statistics);
  return all;
}
std::size_t StatisticsTable::origin_count(std::uint32_t shard) const {
  std::size_t n = 0;
  for (auto it = by_origin_.lower_bound({shard, Origin{}});
       it != by_origin_.end() && it->first.first == shard; ++it)
    ++n;
  return n;
}

}  // namespace petrelrail::fleet

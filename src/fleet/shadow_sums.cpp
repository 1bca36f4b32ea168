#include "shadow_sums.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "shadow_map.hpp"

namespace petrelrail::fleet {
namespace {

constexpr char kFormat = 1;
constexpr std::size_t kNumbers = 2 * (2 + kBins);  // of a sum
constexpr std::size_t kHead = 1 + sizeof(std::uint32_t);
constexpr std::size_t kMask = (kNumbers + 7) /
                              8;  // bytes that tell which numbers are there: those that aren't 0
constexpr std::size_t kMostNumber = 5;  // bytes
static_assert(kHead + 1 + kMask + kNumbers * kMostNumber <= kMaxRecordValueBytes);
constexpr unsigned kPart = 7;  // bits of a number in each of its bytes
constexpr std::uint8_t kMore = 0x80;

template <class Visit, class S>
void each_number(S& sum, Visit visit) {
  for (auto* half : {&sum.candidate, &sum.control}) {
    visit(half->failed);
    visit(half->differs);
    for (auto& t : half->times) visit(t);
  }
}
std::uint32_t capped(std::uint64_t n) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(n, std::numeric_limits<std::uint32_t>::max()));
}
void pair_up(Sum& a, const Sum& b, std::uint32_t (*join)(std::uint32_t, std::uint32_t)) {
  std::array<std::uint32_t, kNumbers> others{};
  std::size_t i = 0;
  each_number(b, [&](std::uint32_t n) { others[i++] = n; });
  i = 0;
  each_number(a, [&](std::uint32_t& n) { n = join(n, others[i++]); });
}

std::string encoded(const ShardSum& s) {
  std::string mask(kMask, '\0'), numbers;
  std::size_t i = 0;
  each_number(s.second, [&](std::uint32_t n) {
    if (n != 0)
      mask[i / 8] = static_cast<char>(static_cast<std::uint8_t>(mask[i / 8]) | 1U << (i % 8));
    ++i;
    if (n == 0) return;
    for (; n >= kMore; n >>= kPart)
      numbers += static_cast<char>(static_cast<std::uint8_t>(n | kMore));
    numbers += static_cast<char>(n);
  });
  return static_cast<char>(static_cast<std::uint8_t>(s.first)) + mask + numbers;
}

std::uint8_t taken(std::string_view& bytes) {
  const auto byte = static_cast<std::uint8_t>(bytes.front());
  bytes.remove_prefix(1);
  return byte;
}
// None: cut short, beyond 32 bits, or not the shortest form.
std::optional<std::uint32_t> take_number(std::string_view& bytes) {
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < kMostNumber; ++i) {
    if (bytes.empty()) return {};
    const auto byte = taken(bytes);
    n |= static_cast<std::uint64_t>(byte & (kMore - 1U)) << (kPart * i);
    if ((byte & kMore) != 0) continue;
    if (byte == 0 || n > std::numeric_limits<std::uint32_t>::max()) return {};  // none is 0
    return static_cast<std::uint32_t>(n);
  }
  return {};
}
std::optional<ShardSum> take_sum(std::string_view& bytes) {
  if (bytes.size() < 1 + kMask) return {};
  ShardSum s;
  s.first = taken(bytes);
  const auto mask = bytes.substr(0, kMask);
  bytes.remove_prefix(kMask);
  const auto told = [&](std::size_t i) {
    return (static_cast<std::uint8_t>(mask[i / 8]) >> (i % 8) & 1U) != 0;
  };
  for (std::size_t i = kNumbers; i < 8 * kMask; ++i)
    if (told(i)) return {};
  bool sound = true;
  std::size_t i = 0;
  each_number(s.second, [&](std::uint32_t& n) {
    if (!told(i++) || !sound) return;
    const auto number = take_number(bytes);
    sound = number.has_value();
    if (sound) n = *number;
  });
  const auto possible = [](const Half& h) { return h.differs <= h.answered(); };
  if (!sound || s.second.empty() || !possible(s.second.candidate) || !possible(s.second.control))
    return {};
  return s;
}

}  // namespace

std::size_t bin_of(Duration took) {
  std::size_t bin = 0;
  for (auto edge = kFirstEdge; took > edge && bin + 1 < kBins; edge *= 2) ++bin;
  return bin;
}
Duration upper_edge(std::size_t bin) {
  if (bin + 1 >= kBins) return Duration::max();
  return kFirstEdge * (1LL << bin);
}

std::uint64_t Half::answered() const {
  return std::accumulate(times.begin(), times.end(), std::uint64_t{0});
}
std::uint64_t Half::within(std::size_t bin) const {
  return std::accumulate(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(bin) + 1,
                         std::uint64_t{0});
}
std::optional<Duration> Half::percentile(double part) const {
  const auto all = answered();
  if (all == 0) return {};
  const auto rank = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(std::ceil(part * static_cast<double>(all))));
  std::uint64_t below = 0;
  for (std::size_t bin = 0; bin < kBins; ++bin)
    if ((below += times[bin]) >= rank) return upper_edge(bin);
  return upper_edge(kBins - 1);
}

void Sum::merge(const Sum& other) {
  pair_up(*this, other, [](std::uint32_t a, std::uint32_t b) { return std::max(a, b); });
}
void Sum::add(const Sum& other) {
  pair_up(*this, other,
          [](std::uint32_t a, std::uint32_t b) { return capped(std::uint64_t{a} + b); });
}
Trial Sum::failing() const {
  return {candidate.copies() + control.copies(), candidate.failed, control.failed};
}
Trial Sum::differing() const {
  return {candidate.copies() + control.copies(), candidate.differs, control.differs};
}
Trial Sum::within(std::size_t bin) const {
  return {candidate.copies() + control.copies(), candidate.within(bin), control.within(bin)};
}
Trial Sum::later(std::size_t bin) const {
  return {candidate.copies() + control.copies(), candidate.copies() - candidate.within(bin),
          control.copies() - control.within(bin)};
}

std::string encode_sums(std::uint32_t version, std::span<const ShardSum> sums, std::size_t& from,
                        std::size_t room) {
  std::string bytes(1, kFormat);
  for (unsigned shift = 32; shift > 0; shift -= 8)
    bytes += static_cast<char>(static_cast<std::uint8_t>(version >> (shift - 8)));
  for (bool first = true; from < sums.size(); ++from, first = false) {
    const auto next = encoded(sums[from]);
    if (!first && bytes.size() + next.size() > room) break;
    bytes += next;
  }
  return bytes;
}

std::optional<Sums> decode_sums(std::string_view bytes) {
  if (bytes.size() <= kHead || taken(bytes) != kFormat) return {};
  Sums sums;
  for (std::size_t i = 0; i < sizeof(std::uint32_t); ++i)
    sums.version = sums.version << 8U | taken(bytes);
  if (sums.version < 1 || sums.version > kMostMapVersion) return {};
  while (!bytes.empty()) {
    auto s = take_sum(bytes);
    if (!s || (!sums.shards.empty() && sums.shards.back().first >= s->first)) return {};
    sums.shards.push_back(std::move(*s));
  }
  return sums;
}

bool SumTable::take(const Origin& origin, std::uint32_t shard, const Sum& sum) {
  if (shard >= shards_ || sum.empty()) return false;
  auto& held = by_[{shard, origin}];
  const auto before = held;
  held.merge(sum);
  return held != before;
}
Sum SumTable::total(std::uint32_t shard) const {
  Sum sum;
  for (auto it = by_.lower_bound({shard, Origin{}}); it != by_.end() && it->first.first == shard;
       ++it)
    sum.add(it->second);
  return sum;
}
std::vector<Sum> SumTable::totals() const {
  std::vector<Sum> all(shards_);
  for (const auto& [key, sum] : by_) all[key.first].add(sum);
  return all;
}
std::size_t SumTable::origins(std::uint32_t shard) const {
  std::size_t n = 0;
  for (auto it = by_.lower_bound({shard, Origin{}}); it != by_.end() && it->first.first == shard;
       ++it)
    ++n;
  return n;
}

}  // namespace petrelrail::fleet

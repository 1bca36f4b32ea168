#include "records_table.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

constexpr unsigned kPlaceBits = 16;  // of a key's hash, the lowest, that tell its section

std::uint64_t place_of(const RecordKey& k) { return mix_hash(mix_hash(k.space) + k.number); }

std::uint64_t hash_of(const Record& r) {
  std::uint64_t h = place_of(r.key);
  for (const std::uint64_t part :
       {r.version.epoch,
        static_cast<std::uint64_t>(r.version.sequence) << 16U | index_of(r.version.origin),
        static_cast<std::uint64_t>(r.expiry_unix_s) << 1U | static_cast<std::uint64_t>(r.deleted)})
    h = mix_hash(h + part);
  for (const char c : r.value) h = mix_hash(h + static_cast<std::uint8_t>(c) + 1);
  return h;
}

std::size_t bucket_of(std::uint64_t place, std::size_t buckets) {
  return (place >> kPlaceBits) % buckets;
}

Duration end_of(std::uint32_t ends) { return std::chrono::seconds(ends); }

}  // namespace

Record merged(const Record& a, const Record& b) {
  const auto rank = [](const Record& r) { return std::tie(r.version, r.deleted, r.value); };
  Record greater = rank(a) < rank(b) ? b : a;
  greater.expiry_unix_s = std::max(a.expiry_unix_s, b.expiry_unix_s);
  return greater;
}

bool RecordTable::over(Time now, std::uint32_t ends) const {
  return now.time_since_epoch() >= end_of(ends) + bounds_.clocks;
}

RecordTable::Took RecordTable::would(Time now, const Record& r) const {
  const auto space = r.key.space;
  const bool there = space < bounds_.spaces ||
                     (space == kMarkSpace && r.key.number < bounds_.spaces);
  if (!there) return Took::no_space;
  if (over(now, r.expiry_unix_s)) return Took::ended;
  if (end_of(r.expiry_unix_s) > now.time_since_epoch() + bounds_.clocks + bounds_.most_life)
    return Took::far;
  const auto* known = find(r.key);
  if (known && merged(*known, r) == *known) return Took::held;
  // Deletions of what is held make room, so they are taken always.
  if (known && r.deleted) return Took::newer;
  const auto& s = sizes_[space];
  const auto records = s.records + (known ? 0 : 1);
  const auto bytes = s.bytes + record_bytes(r) - (known ? record_bytes(*known) : 0);
  return records > bounds_.most_records || bytes > bounds_.most_bytes ? Took::full : Took::newer;
}

RecordTable::Took RecordTable::take(Time now, const Record& r) {
  const auto took = would(now, r);
  if (took != Took::newer) return took;
  auto& size = sizes_[r.key.space];
  const auto [it, fresh] = held_.try_emplace(r.key);
  auto& h = it->second;
  if (fresh) {
    h.record = r, h.place = place_of(r.key);
    ++size.records;
  } else {
    ends_.erase({h.record.expiry_unix_s, r.key});
    size.bytes -= record_bytes(h.record);
    auto both = merged(h.record, r);
    if (both.version != h.record.version) h.before = h.record.version, h.before_hash = h.hash;
    h.record = std::move(both);
  }
  h.hash = hash_of(h.record);
  size.bytes += record_bytes(h.record);
  ends_.emplace(h.record.expiry_unix_s, r.key);
  return took;
}

std::vector<RecordKey> RecordTable::forget(Time now) {
  std::vector<RecordKey> gone;
  while (!ends_.empty() && over(now, ends_.begin()->first)) {
    const auto key = ends_.begin()->second;
    const auto it = held_.find(key);
    auto& size = sizes_[key.space];
    --size.records, size.bytes -= record_bytes(it->second.record);
    held_.erase(it);
    ends_.erase(ends_.begin());
    gone.push_back(key);
  }
  return gone;
}

Time RecordTable::next_end() const {
  return ends_.empty() ? Time::max() : Time(end_of(ends_.begin()->first) + bounds_.clocks);
}

const Record* RecordTable::find(const RecordKey& key) const {
  const auto it = held_.find(key);
  return it == held_.end() ? nullptr : &it->second.record;
}

std::vector<Record> RecordTable::all() const {
  std::vector<Record> records;
  records.reserve(held_.size());
  for (const auto& [key, h] : held_) records.push_back(h.record);
  return records;
}

std::uint64_t RecordTable::digest(std::uint8_t space, const RecordVersion& upto) const {
  std::uint64_t sum = 0;
  for (auto it = held_.lower_bound({space, 0}); it != held_.end() && it->first.space == space;
       ++it) {
    const auto& h = it->second;
    if (h.record.version <= upto)
      sum ^= h.hash;
    else if (h.before_hash != 0 && h.before <= upto)
      sum ^= h.before_hash;
  }
  return sum;
}

std::vector<std::uint16_t> RecordTable::digests(unsigned level, std::uint32_t section,
                                                std::size_t buckets, std::uint64_t salt) const {
  std::vector<std::uint64_t> sums(buckets);
  const std::uint64_t mask = (1ULL << level) - 1, salted = mix_hash(salt);
  for (const auto& [key, h] : held_)
    if (key.space != kMarkSpace && (h.place & mask) == section)
      sums[bucket_of(h.place, buckets)] ^= mix_hash(h.hash + salted);
  std::vector<std::uint16_t> folded(buckets);
  std::ranges::transform(sums, folded.begin(),
                         [](std::uint64_t s) { return static_cast<std::uint16_t>(s); });
  return folded;
}

std::vector<Record> RecordTable::differing(unsigned level, std::uint32_t section,
                                           const std::vector<std::uint16_t>& theirs,
                                           std::uint64_t salt) const {
  const auto mine = digests(level, section, theirs.size(), salt);
  const std::uint64_t mask = (1ULL << level) - 1;
  std::vector<std::pair<std::uint64_t, const Record*>> found;
  for (const auto& [key, h] : held_) {
    if (key.space == kMarkSpace || (h.place & mask) != section) continue;
    const auto b = bucket_of(h.place, theirs.size());
    if (mine[b] != theirs[b]) found.emplace_back(mix_hash(h.place ^ salt), &h.record);
  }
  std::ranges::sort(found);
  std::vector<Record> records;
  records.reserve(found.size());
  for (const auto& [order, r] : found) records.push_back(*r);
  return records;
}

}  // namespace petrelrail::fleet

#include "record_table.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

constexpr unsigned kSectionBits = 16;  // lowest bits of a key's hash, of which a section is a part

std::uint64_t key_hash_of(const RecordKey& k) { return mix_hash(mix_hash(k.space) + k.number); }

std::uint64_t hash_of(const Record& r) {
  std::uint64_t h = key_hash_of(r.key);
  for (const std::uint64_t part :
       {r.version.epoch,
        static_cast<std::uint64_t>(r.version.sequence) << 16U | index_of(r.version.origin),
        static_cast<std::uint64_t>(r.expiry_unix_s) << 1U | static_cast<std::uint64_t>(r.deleted)})
    h = mix_hash(h + part);
  for (const char c : r.value) h = mix_hash(h + static_cast<std::uint8_t>(c) + 1);
  return h;
}

std::size_t bucket_of(std::uint64_t key_hash, std::size_t buckets) {
  return (key_hash >> kSectionBits) % buckets;
}

Duration expiry_time(std::uint32_t expiry_unix_s) { return std::chrono::seconds(expiry_unix_s); }

}  // namespace

Record merged(const Record& a, const Record& b) {
  const auto order = [](const Record& r) { return std::tie(r.version, r.deleted, r.value); };
  Record greater = order(a) < order(b) ? b : a;
  greater.expiry_unix_s = std::max(a.expiry_unix_s, b.expiry_unix_s);
  return greater;
}

bool RecordTable::is_expired(Time now, std::uint32_t expiry_unix_s) const {
  return now.time_since_epoch() >= expiry_time(expiry_unix_s) + limits_.max_clock_skew;
}

RecordTable::MergeResult RecordTable::merge_result(Time now, const Record& r) const {
  const auto space = r.key.space;
  const bool exists = space < limits_.spaces ||
                      (space == kWatermarkSpace && r.key.number < limits_.spaces);
  if (!exists) return MergeResult::no_space;
  if (is_expired(now, r.expiry_unix_s)) return MergeResult::expired;
  if (expiry_time(r.expiry_unix_s) >
      now.time_since_epoch() + limits_.max_clock_skew + limits_.max_lifetime)
    return MergeResult::too_far;
  const auto* known = find(r.key);
  if (known && merged(*known, r) == *known) return MergeResult::unchanged;
  // A tombstone of a held record frees memory and is always accepted.
  if (known && r.deleted) return MergeResult::changed;
  const auto& s = sizes_[space];
  const auto records = s.records + (known ? 0 : 1);
  const auto bytes = s.bytes + record_bytes(r) - (known ? record_bytes(*known) : 0);
  return records > limits_.max_records || bytes > limits_.max_bytes ? MergeResult::full
                                                                    : MergeResult::changed;
}

RecordTable::MergeResult RecordTable::merge(Time now, const Record& r) {
  const auto result = merge_result(now, r);
  if (result != MergeResult::changed) return result;
  auto& size = sizes_[r.key.space];
  const auto [it, inserted] = records_.try_emplace(r.key);
  auto& h = it->second;
  if (inserted) {
    h.record = r, h.key_hash = key_hash_of(r.key);
    ++size.records;
  } else {
    expiries_.erase({h.record.expiry_unix_s, r.key});
    size.bytes -= record_bytes(h.record);
    auto combined = merged(h.record, r);
    if (combined.version != h.record.version)
      h.previous_version = h.record.version, h.previous_hash = h.hash;
    h.record = std::move(combined);
  }
  h.hash = hash_of(h.record);
  size.bytes += record_bytes(h.record);
  expiries_.emplace(h.record.expiry_unix_s, r.key);
  return result;
}

std::vector<RecordKey> RecordTable::remove_expired(Time now) {
  std::vector<RecordKey> removed;
  while (!expiries_.empty() && is_expired(now, expiries_.begin()->first)) {
    const auto key = expiries_.begin()->second;
    const auto it = records_.find(key);
    auto& size = sizes_[key.space];
    --size.records, size.bytes -= record_bytes(it->second.record);
    records_.erase(it);
    expiries_.erase(expiries_.begin());
    removed.push_back(key);
  }
  return removed;
}

Time RecordTable::next_expiry() const {
  return expiries_.empty() ? Time::max()
                           : Time(expiry_time(expiries_.begin()->first) + limits_.max_clock_skew);
}

const Record* RecordTable::find(const RecordKey& key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second.record;
}

std::vector<Record> RecordTable::all() const {
  std::vector<Record> records;
  records.reserve(records_.size());
  for (const auto& [key, h] : records_) records.push_back(h.record);
  return records;
}

std::uint64_t RecordTable::digest(std::uint8_t space, const RecordVersion& until) const {
  std::uint64_t sum = 0;
  for (auto it = records_.lower_bound({space, 0}); it != records_.end() && it->first.space == space;
       ++it) {
    const auto& h = it->second;
    if (h.record.version <= until)
      sum ^= h.hash;
    else if (h.previous_hash != 0 && h.previous_version <= until)
      sum ^= h.previous_hash;
  }
  return sum;
}

std::vector<std::uint16_t> RecordTable::digests(unsigned level, std::uint32_t section,
                                                std::size_t buckets, std::uint64_t salt) const {
  std::vector<std::uint64_t> sums(buckets);
  const std::uint64_t mask = (1ULL << level) - 1, salted = mix_hash(salt);
  for (const auto& [key, h] : records_)
    if (key.space != kWatermarkSpace && (h.key_hash & mask) == section)
      sums[bucket_of(h.key_hash, buckets)] ^= mix_hash(h.hash + salted);
  std::vector<std::uint16_t> folded(buckets);
  std::ranges::transform(sums, folded.begin(),
                         [](std::uint64_t s) { return static_cast<std::uint16_t>(s); });
  return folded;
}

std::vector<Record> RecordTable::differing(unsigned level, std::uint32_t section,
                                           const std::vector<std::uint16_t>& remote,
                                           std::uint64_t salt) const {
  const auto local = digests(level, section, remote.size(), salt);
  const std::uint64_t mask = (1ULL << level) - 1;
  std::vector<std::pair<std::uint64_t, const Record*>> found;
  for (const auto& [key, h] : records_) {
    if (key.space == kWatermarkSpace || (h.key_hash & mask) != section) continue;
    const auto b = bucket_of(h.key_hash, remote.size());
    if (local[b] != remote[b]) found.emplace_back(mix_hash(h.key_hash ^ salt), &h.record);
  }
  std::ranges::sort(found);
  std::vector<Record> records;
  records.reserve(found.size());
  for (const auto& [order, r] : found) records.push_back(*r);
  return records;
}

}  // namespace petrelrail::fleet

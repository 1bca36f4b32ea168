// The records that a node holds: merges versions, enforces limits, removes expired records and
// computes digests for anti-entropy. Used by ReplicatedStore (docs/records.md).
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "datagram.hpp"
#include "petrelrail/types.hpp"

namespace petrelrail::fleet {

// Watermarks are records of kWatermarkSpace whose number is the space that they describe. No record
// is in kReservedSpace; the end message of a pull response uses it.
inline constexpr std::uint8_t kWatermarkSpace = 255, kReservedSpace = 254;

// Merges two records of a key: the greater of version, then deletion, then value, with the later
// expiry of the two. Commutative, associative and idempotent.
Record merged(const Record& a, const Record& b);

struct RecordLimits {
  std::uint8_t spaces = 1;      // 0 to spaces - 1 are in use, and kWatermarkSpace
  std::size_t max_records = 0;  // per space, tombstones included
  std::size_t max_bytes = 0;    // per space, as encoded (record_bytes)
  Duration max_clock_skew{};    // between any two nodes
  Duration max_lifetime{};      // of a record from now on
};

class RecordTable {
 public:
  enum class MergeResult : std::uint8_t {
    changed,    // the record, or a part of it, is now held
    unchanged,  // it or a later one was held already
    expired,
    too_far,  // its expiry is too far ahead
    full,     // a limit is reached
    no_space  // no space of this number
  };

  explicit RecordTable(RecordLimits limits) : limits_(limits) {}

  MergeResult merge(Time now, const Record& r);
  // What merge() would return, without a change.
  MergeResult merge_result(Time now, const Record& r) const;
  // Removes expired records and returns their keys. An expiry has passed once it has by every
  // node's clock.
  std::vector<RecordKey> remove_expired(Time now);
  // The earliest time at which remove_expired() may remove a record.
  Time next_expiry() const;

  const Record* find(const RecordKey& key) const;  // also tombstones; null: none
  std::size_t size() const { return records_.size(); }
  std::size_t size(std::uint8_t space) const { return sizes_[space].records; }
  std::size_t bytes(std::uint8_t space) const { return sizes_[space].bytes; }
  template <class Visit>
  void for_each(std::uint8_t space, Visit visit) const {
    for (auto it = records_.lower_bound({space, 0});
         it != records_.end() && it->first.space == space; ++it)
      visit(it->second.record);
  }
  std::vector<Record> all() const;

  // Digest of a space as of version `until` of its single writer; a record that has changed since
  // counts with its previous version. If it equals the writer's digest, everything that the writer
  // held then is or was held here.
  std::uint64_t digest(std::uint8_t space, const RecordVersion& until) const;
  // Digests by bucket of a section of all records except watermarks: those whose key hash ends in
  // the `level` bits of `section`.
  std::vector<std::uint16_t> digests(unsigned level, std::uint32_t section, std::size_t buckets,
                                     std::uint64_t salt) const;
  // The section's records in buckets whose digests differ from `remote`, in an order that depends
  // on the salt.
  std::vector<Record> differing(unsigned level, std::uint32_t section,
                                const std::vector<std::uint16_t>& remote, std::uint64_t salt) const;

 private:
  struct StoredRecord {
    Record record;
    std::uint64_t key_hash = 0, hash = 0;  // `hash` covers the whole record
    // The version before the latest change, for digest().
    RecordVersion previous_version{};
    std::uint64_t previous_hash = 0;
  };
  struct SpaceSize {
    std::size_t records = 0, bytes = 0;
  };
  bool is_expired(Time now, std::uint32_t expiry_unix_s) const;

  RecordLimits limits_;
  std::map<RecordKey, StoredRecord> records_;
  std::set<std::pair<std::uint32_t, RecordKey>> expiries_;
  std::array<SpaceSize, 256> sizes_{};
};

}  // namespace petrelrail::fleet

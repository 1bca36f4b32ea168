// The records that a node holds: merged, bounded, forgotten at their end, told apart by digests.
// docs/records.md.
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

// Marks are records of this space, their number the space that they speak of. kNoSpace is in no
// record.
inline constexpr std::uint8_t kMarkSpace = 255, kNoSpace = 254;

// What a key's two records come to: the greater of version, then deletion, then value; and the
// later end of the two. Commutative, associative, idempotent.
Record merged(const Record& a, const Record& b);

struct RecordBounds {
  std::uint8_t spaces = 1;       // 0 to spaces - 1 are in use, and kMarkSpace
  std::size_t most_records = 0;  // in a space, deleted ones as well
  std::size_t most_bytes = 0;    // in a space, on the wire (record_bytes)
  Duration clocks{};             // between any two nodes' clocks, at most
  Duration most_life{};          // ends lie no further ahead
};

class RecordTable {
 public:
  enum class Took : std::uint8_t {
    newer,    // it, or something of it, is held now
    held,     // nothing new: it, or a later one, was held
    ended,    // past its end
    far,      // its end lies too far ahead
    full,     // beyond the bounds
    no_space  // no space of that number
  };

  explicit RecordTable(RecordBounds bounds) : bounds_(bounds) {}

  Took take(Time now, const Record& r);
  // Whether there is room for a record of the writer's own: what take() would say, without taking
  // it.
  Took would(Time now, const Record& r) const;
  // Forgets what has ended; the keys. An end is passed when every clock says so.
  std::vector<RecordKey> forget(Time now);
  // The earliest time at which forget() may find something.
  Time next_end() const;

  const Record* find(const RecordKey& key) const;  // deleted ones as well; null: none
  std::size_t size() const { return held_.size(); }
  std::size_t size(std::uint8_t space) const { return sizes_[space].records; }
  std::size_t bytes(std::uint8_t space) const { return sizes_[space].bytes; }
  template <class What>
  void each(std::uint8_t space, What what) const {
    for (auto it = held_.lower_bound({space, 0}); it != held_.end() && it->first.space == space;
         ++it)
      what(it->second.record);
  }
  std::vector<Record> all() const;

  // Digest of a space as it stood when its one writer had come as far as `upto`; what was written
  // over since counts as it was. Equal to the writer's own: all that it held then is held here, or
  // was.
  std::uint64_t digest(std::uint8_t space, const RecordVersion& upto) const;
  // Digests of a section of all records but marks: those whose hash ends in `section` of 2^level.
  std::vector<std::uint16_t> digests(unsigned level, std::uint32_t section, std::size_t buckets,
                                     std::uint64_t salt) const;
  // The section's records in buckets whose digests differ from these, in an order drawn from the
  // salt.
  std::vector<Record> differing(unsigned level, std::uint32_t section,
                                const std::vector<std::uint16_t>& theirs, std::uint64_t salt) const;

 private:
  struct Held {
    Record record;
    std::uint64_t place = 0, hash = 0;  // of the key; of the whole
    // What it was before, for digest().
    RecordVersion before{};
    std::uint64_t before_hash = 0;
  };
  struct Size {
    std::size_t records = 0, bytes = 0;
  };
  bool over(Time now, std::uint32_t ends) const;

  RecordBounds bounds_;
  std::map<RecordKey, Held> held_;
  std::set<std::pair<std::uint32_t, RecordKey>> ends_;
  std::array<Size, 256> sizes_{};
};

}  // namespace petrelrail::fleet

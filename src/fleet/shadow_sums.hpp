// What copies of a shard came to, in counts that only rise, so that merging them in any order,
// again, or late has the same end: of two sums of one origin the greater of each number counts.
// docs/shadow.md, "What a sum looks like", has the layout.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "datagram.hpp"
#include "petrelrail/types.hpp"
#include "sequential.hpp"

namespace petrelrail::fleet {

// Times by bins: up to the first edge, then doubling, the last without end.
inline constexpr std::size_t kBins = 16;
inline constexpr Duration kFirstEdge = std::chrono::microseconds(250);
std::size_t bin_of(Duration took);
Duration upper_edge(std::size_t bin);  // Duration::max() of the last

struct Half {
  std::uint32_t failed = 0;   // no whole answer, or one that says that the server failed
  std::uint32_t differs = 0;  // of those answered
  std::array<std::uint32_t, kBins> times{};

  std::uint64_t answered() const;
  std::uint64_t copies() const { return answered() + failed; }
  std::uint64_t within(std::size_t bin) const;  // answered by its upper edge
  // The upper edge of the bin that this part of the answers lies within; none without answers.
  std::optional<Duration> percentile(double part) const;
  bool operator==(const Half&) const = default;
};

struct Sum {
  Half candidate, control;

  void merge(const Sum& other);  // of the same origin
  void add(const Sum& other);    // of another origin; stops at the greatest number
  bool empty() const { return *this == Sum{}; }
  Trial failing() const;
  Trial differing() const;
  Trial within(std::size_t bin) const;
  Trial later(std::size_t bin) const;  // all others, failed ones among them
  bool operator==(const Sum&) const = default;
};

using ShardSum = std::pair<std::uint32_t, Sum>;  // the shard, and its sum
struct Sums {
  std::uint32_t version = 0;
  std::vector<ShardSum> shards;  // by rising shard, none empty
};
// As many of the sums as fit into `room` bytes, beginning at `from`, which is moved behind them.
// One always fits into kMostValue.
std::string encode_sums(std::uint32_t version, std::span<const ShardSum> sums, std::size_t& from,
                        std::size_t room = kMaxRecordValueBytes);
// None for anything that encode_sums doesn't write.
std::optional<Sums> decode_sums(std::string_view bytes);

struct Origin {
  MemberId node{};
  std::uint16_t life = 0;
  auto operator<=>(const Origin&) const = default;
};

// The sums of one map version by shard and origin, with their totals.
class SumTable {
 public:
  SumTable(std::uint32_t version, std::uint32_t shards) : version_(version), shards_(shards) {}
  // Whether it changed anything. False as well for a shard that the map doesn't have.
  bool take(const Origin& origin, std::uint32_t shard, const Sum& sum);
  Sum total(std::uint32_t shard) const;
  std::vector<Sum> totals() const;
  std::size_t origins(std::uint32_t shard) const;
  bool holds(const Origin& origin, std::uint32_t shard) const {
    return by_.contains({shard, origin});
  }
  template <class Visit>  // (shard, origin, sum)
  void each(Visit visit) const {
    for (const auto& [key, sum] : by_) visit(key.first, key.second, sum);
  }
  std::uint32_t version() const { return version_; }
  std::uint32_t shards() const { return shards_; }

 private:
  std::uint32_t version_, shards_;
  std::map<std::pair<std::uint32_t, Origin>, Sum> by_;
};

}  // namespace petrelrail::fleet

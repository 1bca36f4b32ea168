// Candidate shard map: assigns the hash slots of lookup paths to cells of price servers and selects
// the lookups to copy (docs/shadow.md). Nodes with the same configuration get the same results.
// Used by ShadowTraffic; immutable.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace petrelrail::fleet {

inline constexpr std::uint32_t
    kMaxShards = 256;  // statistics are encoded with a one-byte shard number
inline constexpr std::uint32_t kMaxMapVersion = (1U << 24U) -
                                                1;  // a record's key holds 24 bits of it
inline constexpr std::uint32_t kPartsPerMillion = 1'000'000;

struct SlotRange {
  std::uint32_t from = 0, to = 0;  // slots, both included
  std::uint32_t cell = 0;
  bool operator==(const SlotRange&) const = default;
};

struct ShadowMapConfig {
  std::uint32_t version = 1;  // at least 1; must rise with every change
  std::uint32_t slots = 64;   // each slot is a shard
  std::vector<SlotRange> map;
  std::uint32_t slice_ppm = 0;  // share of paths that are eligible for copies
  bool operator==(const ShadowMapConfig&) const = default;
};

// Both throw std::invalid_argument that names the field: for an invalid configuration, and for one
// that can't replace `from`.
void validate(const ShadowMapConfig& config);
void validate_change(const ShadowMapConfig& from, const ShadowMapConfig& to);

// Trial arm to which a copy is sent: the mapped cell or a second server of the current route.
enum class CopyTarget : std::uint8_t { none, candidate, control };

class ShadowMap {
 public:
  // Throws what validate() throws.
  explicit ShadowMap(const ShadowMapConfig& config);

  std::uint32_t version() const { return version_; }
  std::uint32_t shards() const { return static_cast<std::uint32_t>(cells_.size()); }
  std::uint32_t shard_of(std::string_view path) const;
  std::uint32_t cell_of(std::uint32_t shard) const { return cells_.at(shard); }
  // Returns the cells of the map, ascending and without duplicates. Does not check that servers are
  // listed in them; the caller reports cells without servers.
  std::vector<std::uint32_t> cells() const;
  bool is_in_slice(std::string_view path) const;
  // Chooses the arm of a lookup in the slice with equal probability for each request ID, the same
  // on every node.
  CopyTarget choose_target(std::string_view path, std::string_view request_id) const;

 private:
  std::uint32_t version_;
  std::uint64_t slice_below_;  // hashes below it are in the slice; 2^32: all
  std::vector<std::uint32_t> cells_;
};

// XXH3 digest of a body, 128 bits. Not resistant to deliberate collisions.
struct Digest {
  std::uint64_t high = 0, low = 0;
  bool operator==(const Digest&) const = default;
};
// Computes the digest and length of a body incrementally.
class BodyHasher {
 public:
  BodyHasher();
  ~BodyHasher();
  BodyHasher(BodyHasher&&) noexcept;
  BodyHasher& operator=(BodyHasher&&) noexcept;
  void add(std::span<const char> piece);
  Digest digest() const;  // of the pieces added so far
  std::uint64_t length() const { return length_; }

 private:
  struct State;
  std::unique_ptr<State> state_;
  std::uint64_t length_ = 0;
};

}  // namespace petrelrail::fleet

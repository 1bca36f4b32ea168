#include "shadow_map.hpp"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

#include "common/hash.hpp"

namespace petrelrail::fleet {
namespace {

// Must never change: nodes of all releases must assign paths alike. The fractional digits of pi in
// hexadecimal.
constexpr std::uint64_t kSlotSeed = 0x243F6A8885A308D3, kSliceSeed = 0x13198A2E03707344,
                        kHalfSeed = 0xA4093822299F31D0;

std::uint64_t hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}
[[noreturn]] void throw_invalid(const std::string& message) {
  throw std::invalid_argument("shadow: " + message);
}

}  // namespace

void validate(const ShadowMapConfig& t) {
  if (t.version < 1 || t.version > kMaxMapVersion)
    throw_invalid("version must be from 1 to " + std::to_string(kMaxMapVersion));
  if (t.slots < 1 || t.slots > kMaxShards)
    throw_invalid("slots must be from 1 to " + std::to_string(kMaxShards));
  if (t.slice_ppm > kPartsPerMillion)
    throw_invalid("slice_ppm must be at most " + std::to_string(kPartsPerMillion));
  std::vector<bool> mapped(t.slots);
  for (const auto& r : t.map) {
    if (r.from > r.to || r.to >= t.slots)
      throw_invalid("map: slots " + std::to_string(r.from) + " to " + std::to_string(r.to) +
                    " are not within 0 to " + std::to_string(t.slots - 1));
    for (auto s = r.from; s <= r.to; ++s) {
      if (mapped[s]) throw_invalid("map: slot " + std::to_string(s) + " is mapped twice");
      mapped[s] = true;
    }
  }
  if (const auto unmapped = std::ranges::find(mapped, false); unmapped != mapped.end())
    throw_invalid("map: slot " + std::to_string(unmapped - mapped.begin()) + " has no cell");
}

void validate_change(const ShadowMapConfig& from, const ShadowMapConfig& to) {
  validate(to);
  if (from == to || to.version > from.version) return;
  throw_invalid("version must rise above " + std::to_string(from.version) +
                " when the map changes: statistics of two versions are never combined");
}

ShadowMap::ShadowMap(const ShadowMapConfig& config) : version_(config.version) {
  validate(config);
  slice_below_ = (static_cast<std::uint64_t>(config.slice_ppm) << 32U) / kPartsPerMillion;
  cells_.resize(config.slots);
  for (const auto& r : config.map)
    for (auto s = r.from; s <= r.to; ++s) cells_[s] = r.cell;
}

std::uint32_t ShadowMap::shard_of(std::string_view path) const {
  return static_cast<std::uint32_t>((hash(path, kSlotSeed) >> 32U) * shards() >> 32U);
}

std::vector<std::uint32_t> ShadowMap::cells() const {
  auto all = cells_;
  std::ranges::sort(all);
  all.erase(std::ranges::unique(all).begin(), all.end());
  return all;
}

bool ShadowMap::is_in_slice(std::string_view path) const {
  return hash(path, kSliceSeed ^ mix_hash(version_)) >> 32U < slice_below_;
}

CopyTarget ShadowMap::choose_target(std::string_view path, std::string_view request_id) const {
  return (hash(request_id, hash(path, kHalfSeed ^ mix_hash(version_))) & 1U) != 0
             ? CopyTarget::candidate
             : CopyTarget::control;
}

struct BodyHasher::State {
  XXH3_state_t xxh;
};
BodyHasher::BodyHasher() : state_(std::make_unique<State>()) { XXH3_128bits_reset(&state_->xxh); }
BodyHasher::~BodyHasher() = default;
BodyHasher::BodyHasher(BodyHasher&&) noexcept = default;
BodyHasher& BodyHasher::operator=(BodyHasher&&) noexcept = default;
void BodyHasher::add(std::span<const char> piece) {
  if (piece.empty()) return;
  XXH3_128bits_update(&state_->xxh, piece.data(), piece.size());
  length_ += piece.size();
}
Digest BodyHasher::digest() const {
  const auto d = XXH3_128bits_digest(&state_->xxh);
  return {d.high64, d.low64};
}

}  // namespace petrelrail::fleet

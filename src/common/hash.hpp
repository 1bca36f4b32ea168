// A hash function that gives the same values in every process, for values that several nodes must
// derive identically.
#pragma once

#include <cstdint>

namespace petrelrail {

// One step of splitmix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators",
// 2014).
inline std::uint64_t mix_hash(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

}  // namespace petrelrail

// Random numbers of a simulation. One seed yields a separate stream for each purpose, so that draws
// of one component do not change those of another. Boost's generators and distributions give the
// same numbers on every platform.
#pragma once

#include <xxhash.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdint>
#include <string_view>

#include "common/hash.hpp"
#include "common/time_math.hpp"
#include "petrelrail/gateway.hpp"

namespace petrelrail::world {

// An interval that a value is drawn from, both ends included.
struct Range {
  double min = 0, max = 0;
};

class RandomStreams {
 public:
  explicit RandomStreams(std::uint64_t seed)
      : seed_(seed), engine_(static_cast<std::uint32_t>(seed ^ (seed >> 32))) {}

  // Returns the stream for a purpose; `number` separates streams of the same purpose. It depends on
  // the seed alone, not on earlier draws.
  RandomStreams stream(std::string_view purpose, std::uint64_t number = 0) const {
    return RandomStreams(
        XXH3_64bits_withSeed(purpose.data(), purpose.size(), mix_hash(seed_ + mix_hash(number))));
  }
  std::uint64_t seed() const { return seed_; }

  // Uniform in [0, 1).
  double uniform() { return boost::random::uniform_01<double>()(engine_); }
  bool chance(double p) { return uniform() < p; }
  double between(double a, double b) { return a + (b - a) * uniform(); }
  double in(const Range& r) { return between(r.min, r.max); }
  Duration seconds_in(const Range& r) { return from_seconds(in(r)); }
  // Uniform integer in [0, n - 1]; `n` must not be 0.
  std::uint64_t below(std::uint64_t n) {
    return boost::random::uniform_int_distribution<std::uint64_t>(0, n - 1)(engine_);
  }
  double exponential(double mean) {
    return boost::random::exponential_distribution<double>(1 / mean)(engine_);
  }
  // `cv`: coefficient of variation; 0 or less returns the mean.
  double lognormal(double mean, double cv) {
    if (cv <= 0) return mean;
    const double s2 = std::log1p(cv * cv);
    return boost::random::lognormal_distribution<double>(std::log(mean) - s2 / 2,
                                                         std::sqrt(s2))(engine_);
  }
  template <class Items>
  void shuffle(Items& items) {
    for (std::size_t i = items.size(); i > 1; --i) std::swap(items[i - 1], items[below(i)]);
  }

 private:
  std::uint64_t seed_;
  boost::random::mt19937 engine_;
};

}  // namespace petrelrail::world

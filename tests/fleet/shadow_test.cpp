// A candidate shard map in shadow: what is copied, how sums come together, and what they are found
// to say, each against a plain reckoning from the list of all comparisons.
#include "fleet/shadow.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <random>
#include <set>

#include "common/lookup.hpp"
#include "common/time_math.hpp"
#include "world/shadow_trial.hpp"

namespace petrelrail::fleet::test {
namespace {

using namespace std::chrono_literals;

Origin origin(unsigned node, unsigned life = 1) {
  return {MemberId(static_cast<std::uint16_t>(node)), static_cast<std::uint16_t>(life)};
}
MapTerms map_terms(std::uint32_t version = 7, std::uint32_t slots = 64) {
  if (slots == 1) return {version, slots, {{0, 0, 2}}, 50'000};
  return {version, slots, {{0, slots / 2 - 1, 2}, {slots / 2, slots - 1, 5}}, 50'000};
}
ShadowTerms terms(std::uint32_t version = 7, std::uint32_t slots = 64) {
  ShadowTerms t;
  t.map = map_terms(version, slots);
  t.map.slice_ppm = kWhole;
  t.extra_work = 1;
  return t;
}
template <class Call>
std::string complaint(Call call) {
  try {
    call();
  } catch (const std::invalid_argument& e) {
    return e.what();
  }
  return "";
}
std::string path(unsigned n) { return "/prices/" + std::to_string(n); }

// ---- The map ------------------------------------------------------------------------------------

TEST(ShadowMap, SliceAndSlotsAreCutEvenlyAndAnewForEachVersion) {
  const ShadowMap seven(map_terms(7)), eight(map_terms(8));
  std::vector<int> slots(64);
  int in = 0, in_both = 0, candidates = 0;
  constexpr int kLookups = 200'000;
  for (unsigned n = 0; n < kLookups; ++n) {
    ++slots[seven.shard_of(path(n))];
    if (!seven.in_slice(path(n))) continue;
    ++in;
    in_both += eight.in_slice(path(n)) ? 1 : 0;
    candidates += seven.half_of(path(n), std::to_string(n)) == Copy::candidate ? 1 : 0;
  }
  EXPECT_NEAR(in, kLookups * 0.05, 5 * std::sqrt(kLookups * 0.05));
  EXPECT_NEAR(in_both, in * 0.05, 5 * std::sqrt(in * 0.05));
  EXPECT_NEAR(candidates, in / 2.0, 5 * std::sqrt(in / 4.0));
  for (const int s : slots) EXPECT_NEAR(s, kLookups / 64.0, 5 * std::sqrt(kLookups / 64.0));
  // The coin is the request's, not the path's: a path is tried both ways.
  int heads = 0;
  for (int r = 0; r < 1000; ++r)
    heads += seven.half_of("/prices/1", std::to_string(r)) == Copy::candidate ? 1 : 0;
  EXPECT_NEAR(heads, 500, 80);
}
TEST(ShadowMap, NodesOfOtherReleasesCutAlike) {
  // Fixed for good: a change of any of these tears the slices of two releases apart.
  const ShadowMap map(map_terms());
  EXPECT_EQ(map.shard_of("/prices/ES0123456789"),
            ShadowMap(map_terms(9)).shard_of("/prices/ES0123456789"));
  EXPECT_EQ(map.cell_of(31), 2U);
  EXPECT_EQ(map.cell_of(32), 5U);
  EXPECT_EQ(map.cells(), (std::vector<std::uint32_t>{2, 5}));
  BodyDigest pieces, whole;
  for (const std::string_view p : {"", "12.", "50"}) pieces.add(p);
  whole.add(std::string_view("12.50"));
  EXPECT_EQ(pieces.digest(), whole.digest());
  EXPECT_EQ(pieces.length(), 5U);
  pieces.add(std::string_view("0"));
  EXPECT_NE(pieces.digest(), whole.digest());
}
TEST(ShadowMap, WhatMakesNoSenseIsNamed) {
  const auto told = [](auto change) {
    auto t = terms();
    change(t);
    return complaint([&] { validate(t); });
  };
  EXPECT_EQ(told([](auto&) {}), "");
  EXPECT_NE(told([](auto& t) { t.map.map.pop_back(); }).find("slot 32 has no cell"),
            std::string::npos);
  EXPECT_NE(told([](auto& t) {
              t.map.map.push_back({3, 3, 1});
            }).find("slot 3 is mapped twice"),
            std::string::npos);
  EXPECT_NE(told([](auto& t) { t.map.map[1].to = 64; }).find("slots 32 to 64"), std::string::npos);
  EXPECT_NE(told([](auto& t) { t.map.slots = 257; }).find("slots"), std::string::npos);
  EXPECT_NE(told([](auto& t) { t.map.version = 0; }).find("version"), std::string::npos);
  EXPECT_NE(told([](auto& t) { t.map.slice_ppm = kWhole + 1; }).find("slice_ppm"),
            std::string::npos);
  EXPECT_NE(told([](auto& t) { t.extra_work = std::nan(""); }).find("extra_work"),
            std::string::npos);
  EXPECT_NE(told([](auto& t) { t.margins.slower = 0; }).find("slower"), std::string::npos);
  auto moved = map_terms();
  EXPECT_EQ(complaint([&] { validate_change(map_terms(), moved); }), "");
  moved.map[0].cell = 3;
  EXPECT_NE(complaint([&] { validate_change(map_terms(), moved); }).find("must rise above 7"),
            std::string::npos);
  EXPECT_EQ(complaint([&] { validate_change(map_terms(), map_terms(8)); }), "");
}

// ---- The tests ----------------------------------------------------------------------------------

// The processes' values as products over the list of all copies, one factor for each, with the same
// mixtures.
struct Plain {
  std::vector<double> worse, beyond, within;
  explicit Plain(std::size_t points = 10)
      : worse(points, 1), beyond(points, 1), within(points, 1) {}
  void copy(bool candidate, bool event, double margin) {
    double t = 0.49, rate = 0.9;
    for (std::size_t i = 0; i < worse.size(); ++i, t *= 0.6, rate *= 0.6) {
      const double y = !event ? 0 : candidate ? 1 : -1;
      if (event) worse[i] *= candidate ? 2 * (0.5 + t) : 2 * (0.5 - t);
      const double spread = (-std::log(1 - rate) - rate) * y * y;
      beyond[i] *= std::exp(rate * (y - margin / 2) - spread);
      within[i] *= std::exp(rate * (margin / 2 - y) - spread);
    }
  }
  static double even(const std::vector<double>& all) {
    double sum = 0;
    for (const double v : all) sum += v;
    return std::log(sum / static_cast<double>(all.size()));
  }
  double halving() const {
    double sum = 0, weight = 0.5;
    for (std::size_t i = 0; i < worse.size(); ++i, weight /= i < worse.size() - 1 ? 2 : 1)
      sum += weight * worse[i];
    return std::log(sum);
  }
};
TEST(Sequential, EvidenceIsThatOfTheListOfAllCopies) {
  std::mt19937 draw(1);
  for (const double margin : {0.001, 0.05}) {
    Plain plain;
    Trial t;
    for (int i = 0; i < 400; ++i) {
      const bool candidate = draw() % 2 == 0, event = draw() % 10 == 0;
      plain.copy(candidate, event, margin);
      t.add({1, candidate && event ? 1U : 0U, !candidate && event ? 1U : 0U});
      ASSERT_NEAR(log_evidence_of_worse(t), plain.halving(), 1e-9);
      ASSERT_NEAR(log_evidence_of_excess_above(t, margin), Plain::even(plain.beyond), 1e-9);
      ASSERT_NEAR(log_evidence_of_excess_below(t, margin), Plain::even(plain.within), 1e-9);
    }
  }
  EXPECT_NEAR(log_evidence_of_worse({}), 0, 1e-12);
  EXPECT_TRUE(std::isfinite(log_evidence_of_worse({~0ULL, ~0U, ~0U})));
  EXPECT_TRUE(is_sufficient(std::log(100.0) + 1e-9, 0.01));
  EXPECT_FALSE(is_sufficient(std::log(100.0) - 1e-9, 0.01));
}
// The expectation of each process, over all courses of a short trial, is at most 1 where its
// hypothesis is true.
TEST(Sequential, NoProcessGrowsWhereItsHypothesisIsTrue) {
  const auto mean = [](int copies, double c, double k, auto evidence) {
    double sum = 0;
    for (int a = 0; a <= copies; ++a)
      for (int b = 0; a + b <= copies; ++b) {
        const double ways = std::lgamma(copies + 1) - std::lgamma(a + 1) - std::lgamma(b + 1) -
                            std::lgamma(copies - a - b + 1);
        const double rest = 1 - (c + k) / 2;
        sum += std::exp(
            ways + a * std::log(c / 2) + b * std::log(k / 2) + (copies - a - b) * std::log(rest) +
            evidence(Trial{static_cast<std::uint64_t>(copies), static_cast<std::uint64_t>(a),
                           static_cast<std::uint64_t>(b)}));
      }
    return sum;
  };
  for (const int copies : {1, 7, 40})
    for (const double k : {0.001, 0.3, 0.9}) {
      EXPECT_LE(mean(copies, k, k, log_evidence_of_worse), 1 + 1e-9);
      EXPECT_LE(mean(copies, k / 2, k, log_evidence_of_worse), 1 + 1e-9);
      const double m = 0.05;
      EXPECT_LE(mean(copies, k + m, k,
                     [&](const Trial& t) { return log_evidence_of_excess_above(t, m); }),
                1 + 1e-9);
      EXPECT_LE(mean(copies, k + m, k,
                     [&](const Trial& t) { return log_evidence_of_excess_below(t, m); }),
                1 + 1e-9);
      EXPECT_GT(mean(copies, k + m, k, log_evidence_of_worse), 1);
    }
}
TEST(Sequential, NeitherDoesOneOfAnEventThatACopyHasOrLacks) {
  const double m = 0.05;
  for (const int n : {1, 6, 14})
    for (const double k : {0.01, 0.5, 0.94}) {
      double beyond = 0, within = 0;
      for (int a = 0; a <= n; ++a)
        for (int b = 0; a + b <= n; ++b)
          for (int c = 0; a + b + c <= n; ++c) {
            const int d = n - a - b - c;
            const double ways = std::lgamma(n + 1) - std::lgamma(a + 1) - std::lgamma(b + 1) -
                                std::lgamma(c + 1) - std::lgamma(d + 1);
            const double chance = ways + a * std::log((k + m) / 2) + b * std::log((1 - k - m) / 2) +
                                  c * std::log(k / 2) + d * std::log((1 - k) / 2);
            const auto trial = [&](int x, int y) {
              return Trial{static_cast<std::uint64_t>(n), static_cast<std::uint64_t>(x),
                           static_cast<std::uint64_t>(y)};
            };
            beyond += std::exp(chance + log_evidence_of_excess_above(trial(a, c), trial(b, d), m));
            within += std::exp(chance + log_evidence_of_excess_below(trial(a, c), trial(b, d), m));
          }
      EXPECT_LE(beyond, 1 + 1e-9);
      EXPECT_LE(within, 1 + 1e-9);
    }
}

// ---- Sums ---------------------------------------------------------------------------------------

Sum random_sum(std::mt19937& draw) {
  Sum s;
  for (auto* h : {&s.candidate, &s.control}) {
    h->failed = draw() % 3 == 0 ? draw() : draw() % 3;
    for (auto& t : h->times) t = draw() % 2 == 0 ? 0 : draw() >> (draw() % 32);
    h->differs = static_cast<std::uint32_t>(std::min<std::uint64_t>(h->answered(), draw() % 500));
  }
  if (s.empty()) s.candidate.failed = 1;
  return s;
}
// A reader apart, from docs/shadow.md, "What a sum looks like", alone.
bool sound_by_the_page(const std::string& bytes) {
  std::size_t at = 0;
  bool whole = true;
  const auto byte = [&]() -> std::uint64_t {
    if (at < bytes.size()) return static_cast<std::uint8_t>(bytes[at++]);
    whole = false;
    return 0;
  };
  if (byte() != 1) return false;
  std::uint64_t version = 0;
  for (int i = 0; i < 4; ++i) version = version * 256 + byte();
  if (version == 0 || version >= 1U << 24U) return false;
  int last = -1;
  do {
    const auto shard = static_cast<int>(byte());
    std::uint64_t mask = 0;
    for (unsigned i = 0; i < 5; ++i) mask += byte() << 8 * i;
    if (shard <= last || mask == 0 || mask >= 1ULL << 36U) return false;
    last = shard;
    std::array<std::uint64_t, 36> numbers{};
    for (unsigned k = 0; k < 36; ++k) {
      if ((mask >> k) % 2 == 0) continue;
      std::uint64_t part = 0, size = 0;
      do {
        part = byte();
        numbers[k] += part % 128 << 7 * size++;
      } while (part >= 128 && size < 5);
      if (part >= 128 || part == 0 || numbers[k] >= 1ULL << 32U) return false;
    }
    for (const std::size_t half : {0U, 18U}) {
      std::uint64_t answered = 0;
      for (std::size_t bin = 0; bin < 16; ++bin) answered += numbers[half + 2 + bin];
      if (numbers[half + 1] > answered) return false;
    }
  } while (at < bytes.size());
  return whole;
}
TEST(ShadowSums, WhatIsWrittenIsReadAndNothingElseIs) {
  std::mt19937 draw(2);
  int read = 0;
  for (int i = 0; i < 3000; ++i) {
    std::vector<ShardSum> sums;
    for (std::uint32_t s = draw() % 30; s < kMostShards; s += 1 + draw() % 90)
      sums.emplace_back(s, random_sum(draw));
    std::vector<ShardSum> back;
    for (std::size_t from = 0; from < sums.size();) {
      auto bytes = encode_sums(7, sums, from);
      ASSERT_LE(bytes.size(), kMaxRecordValueBytes);
      const auto sound = decode_sums(bytes);
      ASSERT_TRUE(sound);
      EXPECT_EQ(sound->version, 7U);
      back.insert(back.end(), sound->shards.begin(), sound->shards.end());
      for (int k = 0; k < 20; ++k) {
        auto hostile = bytes;
        if (draw() % 3 == 0)
          hostile.resize(draw() % hostile.size());
        else if (draw() % 3 == 0)
          hostile += static_cast<char>(draw());
        for (unsigned flips = draw() % 4; flips > 0 && !hostile.empty(); --flips)
          hostile[draw() % hostile.size()] = static_cast<char>(draw());
        const auto found = decode_sums(hostile);
        ASSERT_EQ(found.has_value(), sound_by_the_page(hostile));
        if (!found) continue;
        ++read;
        std::size_t at = 0;
        ASSERT_EQ(encode_sums(found->version, found->shards, at, 10'000), hostile);
      }
    }
    ASSERT_EQ(back, sums);
  }
  EXPECT_GT(read, 1000);
  Sum full;
  for (auto* h : {&full.candidate, &full.control}) {
    h->failed = h->differs = ~0U;
    h->times.fill(~0U);
  }
  std::size_t from = 0;
  const ShardSum one{255, full};
  EXPECT_EQ(encode_sums(kMostMapVersion, std::span(&one, 1), from).size(), 191U);
  full.add(full);
  EXPECT_EQ(full, one.second);  // stops at the greatest
}
TEST(ShadowSums, TimesLandInTheirBins) {
  for (std::size_t bin = 0; bin + 1 < kBins; ++bin) {
    EXPECT_EQ(bin_of(upper_edge(bin)), bin);
    EXPECT_EQ(bin_of(upper_edge(bin) + 1ns), bin + 1);
  }
  EXPECT_EQ(bin_of(Duration::max()), kBins - 1);
  EXPECT_EQ(bin_of(-1ns), 0U);
  Half h;
  EXPECT_FALSE(h.percentile(0.5));
  h.times[3] = 98, h.times[9] = 2;
  EXPECT_EQ(h.percentile(0.98), upper_edge(3));
  EXPECT_EQ(h.percentile(0.99), upper_edge(9));
  EXPECT_EQ(h.within(3), 98U);
  EXPECT_EQ(h.within(2), 0U);
  h.failed = 5;
  EXPECT_EQ((Sum{h, {}}).later(3).candidate, 7U);  // failed is later than any edge
}
TEST(ShadowSums, MergingIsInAnyOrderAgainAndLate) {
  // Three origins count, one of them twice under another life; what each said at any time is told
  // in random order, again and again.
  std::mt19937 draw(3);
  for (int round = 0; round < 50; ++round) {
    Sum all;  // the list of all comparisons, added up
    std::vector<std::pair<Origin, Sum>> said;
    for (const auto& o : {origin(1), origin(2), origin(2, 9), origin(3)}) {
      Sum own;
      for (int i = 0; i < 40; ++i) {
        Sum one;
        auto& h = draw() % 2 == 0 ? one.candidate : one.control;
        if (draw() % 4 == 0)
          ++h.failed;
        else
          ++h.times[draw() % kBins], h.differs = draw() % 2;
        own.add(one);
        all.add(one);
        said.emplace_back(o, own);
      }
    }
    SumTable table(7, 64);
    auto told = said;
    told.insert(told.end(), said.begin(), said.end());
    std::shuffle(told.begin(), told.end(), draw);
    for (const auto& [o, s] : told) table.take(o, 4, s);
    EXPECT_EQ(table.total(4), all);
    EXPECT_EQ(table.origins(4), 4U);
    EXPECT_EQ(table.total(5), Sum{});
    EXPECT_FALSE(table.take(origin(1), 64, all));
    for (const auto& [o, s] : said) EXPECT_FALSE(table.take(o, 4, s));
  }
}

// ---- Keepers ------------------------------------------------------------------------------------

struct Fleet {
  WordTerms t;
  std::deque<ShadowKeeper> nodes;
  std::vector<Origin> living;
  std::vector<Sum> made;
  std::mt19937 draw;
  Time now{};
  double loss = 0;
  std::map<RecordKey, ShadowKeeper::Due> records;
  std::vector<std::pair<Origin, ShadowKeeper::Word>> late;

  Fleet(unsigned size, unsigned shards, unsigned seed)
      : t{size, shards, 1000}, made(shards), draw(seed) {
    for (unsigned n = 0; n < size; ++n) {
      living.push_back(origin(n));
      nodes.emplace_back(t, living.back(), 7);
    }
    view();
  }
  ShadowKeeper& at(const Origin& o) { return nodes[index_of(o.node)]; }
  void view() {
    for (const auto& o : living)
      at(o).living(now, living),
          at(o).listeners(std::span(living).first(std::min<std::size_t>(2, living.size())));
  }
  void restart(std::size_t i) {
    ++living[i].life;
    nodes[index_of(living[i].node)] = ShadowKeeper(t, living[i], 7);
    for (const auto& [key, due] : records) at(living[i]).recorded(key, due.value);
    view();
  }
  void count(const Origin& o) {
    const auto shard = static_cast<std::uint32_t>(draw() % t.shards);
    const auto half = draw() % 2 == 0 ? Copy::candidate : Copy::control;
    auto& h = half == Copy::candidate ? made[shard].candidate : made[shard].control;
    if (draw() % 50 == 0) return ++h.failed, at(o).count(shard, half, {}, false);
    const bool differs = draw() % 50 == 0;
    ++h.times[bin_of(1ms)], h.differs += differs ? 1 : 0;
    at(o).count(shard, half, 1ms, differs);
  }
  void pass(bool counting) {
    now += 500ms;
    for (const auto& o : std::vector(living)) {
      if (counting) count(o);
      for (auto& w : at(o).words(now)) late.emplace_back(o, std::move(w));
      for (auto& due : at(o).records(now, 1)) {
        // Of two of a key the greater sequence counts.
        auto& held = records[due.key];
        if (due.sequence > held.sequence) held = due;
        for (const auto& other : living)
          if (other != o) at(other).recorded(due.key, due.value);
      }
    }
    std::shuffle(late.begin(), late.end(), draw);
    const auto taken = late.size() - late.size() / 3;  // the others come later still
    for (std::size_t i = 0; i < taken; ++i) {
      const auto& [from, w] = late[i];
      if (std::ranges::find(living, w.to) == living.end()) continue;
      for (unsigned again = 1 + draw() % 2; again > 0; --again)
        if (draw() % 100 >= 100 * loss) at(w.to).received(now, from, w.bytes);
    }
    late.erase(late.begin(), late.begin() + static_cast<std::ptrdiff_t>(taken));
  }
  std::vector<Sum> known() { return at(living.front()).known().totals(); }
  bool within_made() {
    const auto k = known();
    for (std::size_t s = 0; s < k.size(); ++s) {
      auto most = made[s];
      most.merge(k[s]);
      if (most != made[s]) return false;
    }
    return true;
  }
};
TEST(ShadowKeeper, TheHolderComesToKnowAllWithLossRepetitionAndDelay) {
  for (const unsigned size : {1U, 2U, 9U, 40U}) {
    Fleet fleet(size, 16, size);
    fleet.loss = 0.2;
    for (int i = 0; i < 60; ++i) {
      fleet.pass(true);
      ASSERT_TRUE(fleet.within_made());
    }
    fleet.loss = 0;
    for (int i = 0; i < 200; ++i) fleet.pass(false);
    EXPECT_EQ(fleet.known(), fleet.made) << size;
    EXPECT_LE(fleet.records.size(), 16U * fleet.t.groups());
  }
}
TEST(ShadowKeeper, RestartsDeathsAndNewHoldersNeverCountTwice) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Fleet fleet(24, 8, seed);
    fleet.loss = 0.1;
    for (int i = 0; i < 240; ++i) {
      fleet.pass(true);
      if (i % 40 == 39) fleet.restart(fleet.draw() % fleet.living.size());
      if (i % 100 == 99) {
        const auto out = fleet.draw() % 2 == 0 ? 0 : fleet.draw() % fleet.living.size();
        fleet.living.erase(fleet.living.begin() + static_cast<std::ptrdiff_t>(out));
        fleet.view();
      }
      ASSERT_TRUE(fleet.within_made()) << seed;
    }
    fleet.loss = 0;
    for (int i = 0; i < 200; ++i) fleet.pass(false);
    std::uint64_t made = 0, known = 0;
    for (const auto& s : fleet.made) made += s.candidate.copies() + s.control.copies();
    for (const auto& s : fleet.known()) known += s.candidate.copies() + s.control.copies();
    EXPECT_GT(static_cast<double>(known), 0.9 * static_cast<double>(made)) << seed;
    // A node that reads the records alone knows no more than was made, and what the dead left
    // behind.
    ShadowKeeper late(fleet.t, origin(0, 99), 7);
    for (const auto& [key, due] : fleet.records) EXPECT_TRUE(late.recorded(key, due.value));
    EXPECT_LE(fleet.records.size(), std::size_t{8} * fleet.t.groups() * kMostKeepers);
  }
}
TEST(ShadowKeeper, ASuccessorGoesOnUnderTheSameLife) {
  Fleet fleet(9, 8, 5);
  for (int i = 0; i < 30; ++i) fleet.pass(true);
  for (const auto& o : fleet.living) {
    const auto state = fleet.at(o).state();
    fleet.at(o) = ShadowKeeper(fleet.t, o, 7);
    EXPECT_TRUE(fleet.at(o).restore(state));
  }
  fleet.view();
  for (int i = 0; i < 30; ++i) fleet.pass(true);
  for (int i = 0; i < 100; ++i) fleet.pass(false);
  EXPECT_EQ(fleet.known(), fleet.made);
  const std::vector<std::string> junk{"", "\1", std::string(30, '\7'), std::string(300, '\xFF')};
  EXPECT_FALSE(fleet.at(fleet.living[1]).restore(junk));
}
TEST(ShadowKeeper, RoundsKeepWithinTheIntakeAndRecordsAreBounded) {
  for (const std::uint32_t nodes : {2U, 8U, 60U, 300U, 2000U}) {
    const WordTerms t{nodes, 64, 10};
    const double group = std::ceil(nodes / static_cast<double>(t.groups()));
    EXPECT_LE((group - 1) / seconds(t.keeper_round()), 5.0);
    EXPECT_LE(std::min(group, 64.0) * t.groups() / seconds(t.holder_round()), 5.0 + 1e-9);
    EXPECT_LE(64.0 * t.groups(), 512);
  }
  ShadowKeeper k({4, 8, 10}, origin(0), 7);
  k.living(Time{}, std::vector{origin(0)});
  std::string word("\4\0\1", 3);
  Sum s;
  s.control.failed = 1;
  const std::vector<ShardSum> sums{{2, s}};
  std::size_t from = 0;
  word += encode_sums(7, sums, from);
  int taken = 0;
  for (int i = 0; i < 100; ++i) taken += k.received(Time{}, origin(1), word) ? 1 : 0;
  EXPECT_EQ(taken, 10);
  EXPECT_EQ(k.figures().dropped, 90U);
}
TEST(ShadowKeeper, HostileWordsAndRecordsChangeNothing) {
  std::mt19937 draw(4);
  ShadowKeeper k({300, 8, 1e9}, origin(0), 7);
  k.living(Time{}, std::vector{origin(0), origin(8)});
  Sum s;
  s.control.failed = 1;
  const std::vector<ShardSum> good{{2, s}}, beyond{{8, s}};
  const auto word = [&](char level, char life, std::uint32_t version,
                        const std::vector<ShardSum>& sums) {
    std::size_t from = 0;
    return std::string{level, 0, life} + encode_sums(version, sums, from);
  };
  EXPECT_FALSE(k.received({}, origin(8), word(3, 2, 7, good)));  // for another life
  EXPECT_FALSE(k.received({}, origin(8), word(3, 1, 8, good)));  // versions never mix
  EXPECT_FALSE(k.received({}, origin(8), word(3, 1, 7, beyond)));
  EXPECT_FALSE(k.received({}, origin(9), word(3, 1, 7, good)));  // of another group
  EXPECT_FALSE(k.received({}, origin(8), word(5, 1, 7, good)));
  EXPECT_FALSE(k.received({}, origin(0), word(3, 1, 7, good)));  // from itself
  for (int i = 0; i < 20'000; ++i) {
    std::string junk(draw() % 230, '\0');
    for (auto& c : junk) c = static_cast<char>(draw());
    k.received({}, origin(8), junk);
    k.recorded({1, draw()}, junk);
  }
  EXPECT_EQ(k.known().totals(), std::vector<Sum>(8));
  EXPECT_TRUE(k.received({}, origin(8), word(3, 1, 7, good)));
  EXPECT_EQ(k.known().total(2), s);
  const auto value = word(3, 1, 7, good).substr(3);
  EXPECT_FALSE(k.recorded({1, 77}, value));  // a key that isn't its own
  // Keepers beyond the bound are not taken.
  for (unsigned life = 2; life < 13; ++life) k.received({}, origin(16, life), word(4, 1, 7, good));
  EXPECT_EQ(k.known().origins(2), kMostKeepers);
  EXPECT_GT(k.figures().crowded, 0U);
}

// ---- Verdicts -----------------------------------------------------------------------------------

Half half(std::uint32_t answered, std::uint32_t differs = 0, std::uint32_t failed = 0,
          std::size_t bin = 4) {
  Half h;
  h.times[bin] = answered, h.differs = differs, h.failed = failed;
  return h;
}
TEST(ShadowVerdict, OfAShardFollowsFromItsSums) {
  EXPECT_EQ(judge({}, 64, {}), Finding::undecided);
  EXPECT_EQ(judge({half(72), half(72)}, 64, {}),
            Finding::undecided);  // three lookups an hour, two days
  EXPECT_EQ(judge({half(30'000), half(30'000)}, 64, {}), Finding::same);
  EXPECT_EQ(judge({half(30'000, 30), half(30'000)}, 64, {}), Finding::differs);
  EXPECT_EQ(judge({half(30'000, 3000), half(30'000, 3000)}, 64, {}),
            Finding::undecided);  // too much is published
  EXPECT_EQ(judge({half(0, 0, 30), half(30)}, 64, {}), Finding::failing);
  EXPECT_EQ(judge({half(500, 0, 0, 7), half(500)}, 64, {}), Finding::slower);
  EXPECT_EQ(judge({half(500), half(500, 0, 0, 7)}, 64, {}),
            Finding::undecided);  // faster is no fault
  EXPECT_EQ(judge({half(30'000), half(30'000, 30)}, 64, {}), Finding::same);
}
TEST(ShadowVerdict, OfTheMapTakesEveryShardOrOneThatIsBad) {
  std::vector<Finding> found(4, Finding::same);
  std::vector<Sum> sums(4);
  EXPECT_EQ(judge_map(found, sums), MapFinding::may_be_used);
  found[2] = Finding::undecided;
  EXPECT_EQ(judge_map(found, sums), MapFinding::undecided);
  for (auto& s : sums) s = {half(9000, 4), half(9000)};  // too few in each, enough together
  EXPECT_EQ(judge(sums[0], 4, {}), Finding::undecided);
  EXPECT_EQ(judge_map(found, sums), MapFinding::must_not);
  found[2] = Finding::slower;
  EXPECT_EQ(judge_map(found, std::vector<Sum>(4)), MapFinding::must_not);
}
TEST(ShadowVerdict, WordsAreReadAsWritten) {
  std::mt19937 draw(5);
  int read = 0;
  for (int i = 0; i < 100'000; ++i) {
    auto bytes = encode(
        Spoken{7, static_cast<std::uint16_t>(draw() % 2 == 0 ? kTheMap : 5), 1, 77});
    for (unsigned flips = draw() % 3; flips > 0; --flips)
      bytes[draw() % bytes.size()] = static_cast<char>(draw() % 6);
    if (draw() % 8 == 0) bytes.resize(draw() % 20);
    const auto s = decode_spoken(bytes);
    if (!s) continue;
    ++read;
    ASSERT_EQ(encode(*s), bytes);
  }
  EXPECT_GT(read, 30'000);
  EXPECT_FALSE(decode_spoken(encode(Spoken{7, 5, 0, 77})));  // undecided is not spoken
  EXPECT_FALSE(decode_spoken(encode(Spoken{7, kTheMap, 3, 77})));
}
TEST(ShadowVerdict, TheFirstWordStaysInWhateverOrderItComes) {
  std::vector<Spoken> words{
      {7, 3, 2, 10}, {7, 3, 4, 11}, {7, 3, 1, 12}, {7, kTheMap, 2, 11}, {7, kTheMap, 1, 12}};
  std::ranges::sort(words, {}, &Spoken::epoch);
  std::mt19937 draw(6);
  for (int i = 0; i < 100; ++i) {
    std::shuffle(words.begin(), words.end(), draw);
    Verdicts v(7, 8);
    for (const auto& w : words) v.take(w);
    for (const auto& w : words) EXPECT_FALSE(v.take(w));
    EXPECT_EQ(v.of(3), Finding::differs);
    EXPECT_EQ(v.of_map(), MapFinding::must_not);
    EXPECT_EQ(v.latest_epoch(), 12U);
    EXPECT_EQ(v.all().size(), 2U);
  }
  Verdicts v(8, 8);
  EXPECT_FALSE(v.take(words[0]));  // of another version
}
TEST(ShadowVerdict, AHolderRepeatsNothingAndAnOlderOneIsSilent) {
  SumTable sums(7, 2);
  sums.take(origin(1), 0, {half(0, 0, 40), half(40)});
  Verdicts known(7, 2);
  const auto first = findings(10, sums, known, {});
  ASSERT_EQ(first.size(), 2U);
  EXPECT_EQ(first[0], (Spoken{7, 0, static_cast<std::uint8_t>(Finding::failing), 10}));
  known.take(first[0]);
  const auto heir = findings(11, sums, known, {});  // the shard's is known, the map's was lost
  ASSERT_EQ(heir.size(), 1U);
  EXPECT_EQ(heir[0].shard, kTheMap);
  known.take(heir[0]);
  EXPECT_TRUE(findings(12, sums, known, {}).empty());
  Verdicts fenced(7, 2);
  fenced.take({7, 1, 1, 11});
  EXPECT_TRUE(findings(10, sums, fenced, {}).empty());
  EXPECT_TRUE(findings(10, sums, Verdicts(8, 2), {}).empty());
}

// ---- A node -------------------------------------------------------------------------------------

struct Servers final : CellView {
  std::set<std::uint32_t> cells{2, 5};
  bool second = true;
  bool usable(std::uint32_t cell) const override { return cells.contains(cell); }
  bool second_server() const override { return second; }
};
constexpr Conditions kCalm{true, true, true, true};
Lookup lookup(std::string_view p, std::string_view request = "r") {
  return {p, request, Idempotency::idempotent, true, true, {}};
}
Answer answer(std::uint64_t digest = 1) { return {true, 200, 10, {0, digest}, 1ms}; }

TEST(Shadow, CopiesOnlyWhereAllHolds) {
  Shadow s(terms(), 9, origin(0));
  Servers servers;
  const auto why = [&](auto change) {
    auto l = lookup("/p");
    auto c = kCalm;
    auto v = servers;
    change(l, c, v);
    const auto choice = s.decide(l, c, v);
    EXPECT_EQ(choice.copy == Copy::none, choice.why != Why::copied);
    return choice.why;
  };
  EXPECT_EQ(why([](auto&, auto&, auto&) {}), Why::copied);
  EXPECT_EQ(why([](auto& l, auto&, auto&) { l.effect = Idempotency::idempotency_key; }),
            Why::unsuitable);
  EXPECT_EQ(why([](auto& l, auto&, auto&) { l.second_copies = false; }), Why::unsuitable);
  EXPECT_EQ(why([](auto& l, auto&, auto&) { l.attempt_left = false; }), Why::unsuitable);
  EXPECT_EQ(why([](auto&, auto& c, auto&) { c.counter_answers = false; }), Why::conditions);
  EXPECT_EQ(why([](auto&, auto& c, auto&) { c.zones_whole = false; }), Why::conditions);
  EXPECT_EQ(why([](auto&, auto& c, auto&) { c.servers_warm = false; }), Why::conditions);
  EXPECT_EQ(why([](auto&, auto& c, auto&) { c.requests_in_time = false; }), Why::conditions);
  EXPECT_EQ(why([](auto& l, auto&, auto&) { l.open_room = 1; }), Why::open_cap);
  EXPECT_EQ(why([](auto& l, auto&, auto&) { l.open_room = 2; }), Why::copied);
  // A cell that is not there: neither half is copied, so its shard stays undecided.
  EXPECT_EQ(why([](auto&, auto&, auto& v) { v.cells.clear(); }), Why::no_cell);
  EXPECT_EQ(why([](auto&, auto&, auto& v) { v.second = false; }), Why::no_control);
  EXPECT_TRUE(s.heard(encode(Spoken{7, static_cast<std::uint16_t>(s.map().shard_of("/p")), 1, 4})));
  EXPECT_EQ(why([](auto&, auto&, auto&) {}), Why::ended);
}
TEST(Shadow, CopiesStayUnderTheirShareFromTheStart) {
  auto t = terms();
  t.extra_work = 0.02;
  t.map.slice_ppm = 100'000;
  Shadow s(t, 9, origin(0));
  Servers servers;
  std::uint64_t copies = 0;
  for (unsigned n = 1; n <= 100'000; ++n) {
    // Calm and not by turns: what is saved up in between is bounded too.
    const auto c = n / 5000 % 2 == 0 ? kCalm : Conditions{};
    copies += s.decide(lookup(path(n)), c, servers).copy == Copy::none ? 0 : 1;
    ASSERT_LE(static_cast<double>(copies), 0.02 * n + 1e-6);
  }
  EXPECT_NEAR(static_cast<double>(copies), 0.02 * 50'000 + 10 * 10, 60);
}
TEST(Shadow, TheSliceIsTheSameAtEveryNode) {
  std::vector<std::unique_ptr<Shadow>> nodes;
  auto t = terms();
  t.map.slice_ppm = 50'000;
  for (unsigned n = 0; n < 5; ++n) nodes.push_back(std::make_unique<Shadow>(t, 5, origin(n)));
  Servers servers;
  for (unsigned n = 0; n < 5000; ++n) {
    const auto first = nodes[0]->decide(lookup(path(n), "id" + std::to_string(n)), kCalm, servers);
    for (const auto& node : nodes) {
      if (node == nodes[0]) continue;
      const auto c = node->decide(lookup(path(n), "id" + std::to_string(n)), kCalm, servers);
      ASSERT_EQ(c.copy, first.copy);
      ASSERT_EQ(c.shard, first.shard);
    }
  }
}
// Every comparison of a play, reckoned plainly from the list.
TEST(Shadow, CountsWhatTheListOfComparisonsSays) {
  Shadow s(terms(7, 8), 1, origin(0));
  s.keeper().living(Time{}, std::vector{origin(0)});
  Servers servers;
  std::mt19937 draw(8);
  std::vector<Sum> plain(8);
  std::vector<std::size_t> differed(8);
  for (unsigned n = 0; n < 20'000; ++n) {
    const auto c = s.decide(lookup(path(n), std::to_string(n)), kCalm, servers);
    ASSERT_NE(c.copy, Copy::none);
    auto primary = answer(), copy = answer();
    if (draw() % 20 == 0) primary.whole = false;  // broken off
    if (draw() % 20 == 0) primary.status = 503;
    if (draw() % 20 == 0) copy.whole = false;
    if (draw() % 20 == 0) copy.status = draw() % 2 == 0 ? 500 : 404;
    if (draw() % 20 == 0) copy.length = 11;
    if (draw() % 20 == 0) copy.digest.high = 1;
    copy.took = std::chrono::microseconds(draw() % 6'000'000);
    s.compared(c, path(n), primary, copy);
    if (!primary.whole || primary.status >= 500) continue;
    auto& h = c.copy == Copy::candidate ? plain[c.shard].candidate : plain[c.shard].control;
    if (!copy.whole || copy.status >= 500) {
      ++h.failed;
      continue;
    }
    ++h.times[bin_of(copy.took)];
    const bool differs = copy.status != 200 || copy.length != 10 || copy.digest.high != 0;
    h.differs += differs ? 1 : 0;
    differed[c.shard] += differs && c.copy == Copy::candidate ? 1 : 0;
  }
  EXPECT_EQ(s.keeper().known().totals(), plain);
  for (std::uint32_t shard = 0; shard < 8; ++shard)
    EXPECT_EQ(s.examples(shard).size(), std::min(kMostExamples, differed[shard]));
  auto other = Choice{Copy::candidate, Why::copied, 6, 0, 2};
  s.compared(other, "/p", answer(), answer(2));
  EXPECT_EQ(s.figures().outdated, 1U);
  EXPECT_EQ(s.keeper().known().totals(), plain);
}
TEST(Shadow, HalfOnVersionSevenHalfOnEightThenACut) {
  Shadow seven(terms(7, 1), 2, origin(0)), eight(terms(8, 1), 2, origin(1));
  Servers servers;
  const std::vector living{origin(0), origin(1)};
  for (auto* s : {&seven, &eight}) {
    s->keeper().living(Time{}, living);
    s->keeper().listeners(std::span(living).first(1));
    for (unsigned n = 0; n < 200; ++n) {
      const auto c = s->decide(lookup(path(n), std::to_string(n)), kCalm, servers);
      auto copy = answer();
      copy.whole = c.copy != Copy::candidate;
      s->compared(c, path(n), answer(), copy);
    }
  }
  const auto before = seven.keeper().known().totals();
  for (Time now{}; now < Time{} + 60s; now += 1s)
    for (const auto& w : eight.keeper().words(now))
      EXPECT_FALSE(seven.keeper().received(now, origin(1), w.bytes));
  EXPECT_EQ(seven.keeper().known().totals(), before);
  for (const auto& s : seven.speak(9)) EXPECT_FALSE(eight.heard(encode(s)));
  EXPECT_EQ(seven.verdicts().of(0), Finding::failing);
  EXPECT_FALSE(eight.verdicts().ended(0));
  EXPECT_FALSE(eight.heard("junk"));
  EXPECT_NE(key_of(Spoken{7, 0, 1, 9}, 2), key_of(Spoken{7, 0, 1, 10}, 2));
}

// ---- The model ----------------------------------------------------------------------------------

TEST(ShadowTrial, FindsWhatIsTrue) {
  world::ShadowTrialConfig t;
  t.truth.shards = 4;
  t.truth.published_share = 0.0002;
  EXPECT_EQ(world::run_shadow_trial(t, 1).map,
            MapFinding::may_be_used);  // the candidate is today's route
  t.truth.candidate_differing_share = 0.01;
  EXPECT_EQ(world::run_shadow_trial(t, 1).map, MapFinding::must_not);
  t.truth.candidate_differing_share = 0;
  t.truth.affected_shard = 2;
  t.truth.candidate_failing_share = 1;
  EXPECT_EQ(world::run_shadow_trial(t, 1).worse_shards, 1U);
}
TEST(ShadowTrial, AFleetStopsAFailingShardAndKeepsTheWordsOfTheDead) {
  world::ShadowFleetConfig t;
  t.nodes = 60;
  t.lookups_per_s = 300;
  t.truth.affected_shard = 5;
  t.truth.candidate_failing_share = 1;
  t.duration_s = 20;
  const auto stopped = world::run_shadow_fleet(t, 1);
  ASSERT_TRUE(stopped.stop_delay_s);
  EXPECT_LE(*stopped.stop_delay_s, 2);
  EXPECT_FALSE(stopped.has_overcount);
  t = {};
  t.nodes = 60;
  t.truth.candidate_differing_share = 0;
  t.duration_s = 160;
  t.crash_time_s = 80;
  const auto deaths = world::run_shadow_fleet(t, 1);
  EXPECT_FALSE(deaths.has_overcount);
  EXPECT_LT(static_cast<double>(deaths.lost_copies), 0.2 * static_cast<double>(deaths.copies));
}

}  // namespace
}  // namespace petrelrail::fleet::test

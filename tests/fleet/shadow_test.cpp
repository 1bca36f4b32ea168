// Shadow traffic: the selection of copies, the aggregation of statistics and the verdicts, compared
// with models that work on the list of all comparisons.
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
ShadowMapConfig map_config(std::uint32_t version = 7, std::uint32_t slots = 64) {
  if (slots == 1) return {version, slots, {{0, 0, 2}}, 50'000};
  return {version, slots, {{0, slots / 2 - 1, 2}, {slots / 2, slots - 1, 5}}, 50'000};
}
ShadowConfig shadow_config(std::uint32_t version = 7, std::uint32_t slots = 64) {
  ShadowConfig t;
  t.map = map_config(version, slots);
  t.map.slice_ppm = kPartsPerMillion;
  t.max_copy_ratio = 1;
  return t;
}
template <class Call>
std::string error_of(Call call) {
  try {
    call();
  } catch (const std::invalid_argument& e) {
    return e.what();
  }
  return "";
}
std::string path(unsigned n) { return "/prices/" + std::to_string(n); }

// ---- The map ------------------------------------------------------------------------------------

TEST(ShadowMap, SliceAndSlotsAreUniformAndIndependentBetweenVersions) {
  const ShadowMap seven(map_config(7)), eight(map_config(8));
  std::vector<int> slots(64);
  int in = 0, in_both = 0, candidates = 0;
  constexpr int kLookups = 200'000;
  for (unsigned n = 0; n < kLookups; ++n) {
    ++slots[seven.shard_of(path(n))];
    if (!seven.is_in_slice(path(n))) continue;
    ++in;
    in_both += eight.is_in_slice(path(n)) ? 1 : 0;
    candidates += seven.choose_target(path(n), std::to_string(n)) == CopyTarget::candidate ? 1 : 0;
  }
  EXPECT_NEAR(in, kLookups * 0.05, 5 * std::sqrt(kLookups * 0.05));
  EXPECT_NEAR(in_both, in * 0.05, 5 * std::sqrt(in * 0.05));
  EXPECT_NEAR(candidates, in / 2.0, 5 * std::sqrt(in / 4.0));
  for (const int s : slots) EXPECT_NEAR(s, kLookups / 64.0, 5 * std::sqrt(kLookups / 64.0));
  // The arm depends on the request ID too, so that a path is copied to both arms.
  int heads = 0;
  for (int r = 0; r < 1000; ++r)
    heads += seven.choose_target("/prices/1", std::to_string(r)) == CopyTarget::candidate ? 1 : 0;
  EXPECT_NEAR(heads, 500, 80);
}
TEST(ShadowMap, AssignmentAndDigestsAreStable) {
  // A change of any of these would give two releases different slices.
  const ShadowMap map(map_config());
  EXPECT_EQ(map.shard_of("/prices/ES0123456789"),
            ShadowMap(map_config(9)).shard_of("/prices/ES0123456789"));
  EXPECT_EQ(map.cell_of(31), 2U);
  EXPECT_EQ(map.cell_of(32), 5U);
  EXPECT_EQ(map.cells(), (std::vector<std::uint32_t>{2, 5}));
  BodyHasher pieces, complete;
  for (const std::string_view p : {"", "12.", "50"}) pieces.add(p);
  complete.add(std::string_view("12.50"));
  EXPECT_EQ(pieces.digest(), complete.digest());
  EXPECT_EQ(pieces.length(), 5U);
  pieces.add(std::string_view("0"));
  EXPECT_NE(pieces.digest(), complete.digest());
}
TEST(ShadowMap, InvalidConfigurationsAreNamedInErrors) {
  const auto validation_error = [](auto change) {
    auto t = shadow_config();
    change(t);
    return error_of([&] { validate(t); });
  };
  EXPECT_EQ(validation_error([](auto&) {}), "");
  EXPECT_NE(validation_error([](auto& t) { t.map.map.pop_back(); }).find("slot 32 has no cell"),
            std::string::npos);
  EXPECT_NE(validation_error([](auto& t) {
              t.map.map.push_back({3, 3, 1});
            }).find("slot 3 is mapped twice"),
            std::string::npos);
  EXPECT_NE(validation_error([](auto& t) { t.map.map[1].to = 64; }).find("slots 32 to 64"),
            std::string::npos);
  EXPECT_NE(validation_error([](auto& t) { t.map.slots = 257; }).find("slots"), std::string::npos);
  EXPECT_NE(validation_error([](auto& t) { t.map.version = 0; }).find("version"),
            std::string::npos);
  EXPECT_NE(
      validation_error([](auto& t) { t.map.slice_ppm = kPartsPerMillion + 1; }).find("slice_ppm"),
      std::string::npos);
  EXPECT_NE(validation_error([](auto& t) { t.max_copy_ratio = std::nan(""); }).find("extra_work"),
            std::string::npos);
  EXPECT_NE(validation_error([](auto& t) { t.tolerances.slower = 0; }).find("slower"),
            std::string::npos);
  auto moved = map_config();
  EXPECT_EQ(error_of([&] { validate_change(map_config(), moved); }), "");
  moved.map[0].cell = 3;
  EXPECT_NE(error_of([&] { validate_change(map_config(), moved); }).find("must rise above 7"),
            std::string::npos);
  EXPECT_EQ(error_of([&] { validate_change(map_config(), map_config(8)); }), "");
}

// ---- Sequential tests ---------------------------------------------------------------------------

// Values of the e-processes as products over the list of all copies, one factor per copy, with the
// same mixtures.
struct ProductModel {
  std::vector<double> worse, above, below;
  explicit ProductModel(std::size_t points = 10)
      : worse(points, 1), above(points, 1), below(points, 1) {}
  void copy(bool candidate, bool event, double margin) {
    double t = 0.49, rate = 0.9;
    for (std::size_t i = 0; i < worse.size(); ++i, t *= 0.6, rate *= 0.6) {
      const double y = !event ? 0 : candidate ? 1 : -1;
      if (event) worse[i] *= candidate ? 2 * (0.5 + t) : 2 * (0.5 - t);
      const double spread = (-std::log(1 - rate) - rate) * y * y;
      above[i] *= std::exp(rate * (y - margin / 2) - spread);
      below[i] *= std::exp(rate * (margin / 2 - y) - spread);
    }
  }
  static double log_mean(const std::vector<double>& all) {
    double sum = 0;
    for (const double v : all) sum += v;
    return std::log(sum / static_cast<double>(all.size()));
  }
  double log_weighted_sum() const {
    double sum = 0, weight = 0.5;
    for (std::size_t i = 0; i < worse.size(); ++i, weight /= i < worse.size() - 1 ? 2 : 1)
      sum += weight * worse[i];
    return std::log(sum);
  }
};
TEST(Sequential, EvidenceMatchesProductsOverAllCopies) {
  std::mt19937 draw(1);
  for (const double margin : {0.001, 0.05}) {
    ProductModel model;
    Trial t;
    for (int i = 0; i < 400; ++i) {
      const bool candidate = draw() % 2 == 0, event = draw() % 10 == 0;
      model.copy(candidate, event, margin);
      t.add({1, candidate && event ? 1U : 0U, !candidate && event ? 1U : 0U});
      ASSERT_NEAR(log_evidence_of_worse(t), model.log_weighted_sum(), 1e-9);
      ASSERT_NEAR(log_evidence_of_excess_above(t, margin), ProductModel::log_mean(model.above),
                  1e-9);
      ASSERT_NEAR(log_evidence_of_excess_below(t, margin), ProductModel::log_mean(model.below),
                  1e-9);
    }
  }
  EXPECT_NEAR(log_evidence_of_worse({}), 0, 1e-12);
  EXPECT_TRUE(std::isfinite(log_evidence_of_worse({~0ULL, ~0U, ~0U})));
  EXPECT_TRUE(is_sufficient(std::log(100.0) + 1e-9, 0.01));
  EXPECT_FALSE(is_sufficient(std::log(100.0) - 1e-9, 0.01));
}
// The expectation of each process, over all outcomes of a short trial, is at most 1 under its
// hypothesis.
TEST(Sequential, ExpectationIsAtMostOneUnderTheHypothesis) {
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
TEST(Sequential, ExpectationIsAtMostOneForComplementaryEvents) {
  const double m = 0.05;
  for (const int n : {1, 6, 14})
    for (const double k : {0.01, 0.5, 0.94}) {
      double above = 0, below = 0;
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
            above += std::exp(chance + log_evidence_of_excess_above(trial(a, c), trial(b, d), m));
            below += std::exp(chance + log_evidence_of_excess_below(trial(a, c), trial(b, d), m));
          }
      EXPECT_LE(above, 1 + 1e-9);
      EXPECT_LE(below, 1 + 1e-9);
    }
}

// ---- Statistics ---------------------------------------------------------------------------------

ShardStatistics random_sum(std::mt19937& draw) {
  ShardStatistics s;
  for (auto* h : {&s.candidate, &s.control}) {
    h->failed = draw() % 3 == 0 ? draw() : draw() % 3;
    for (auto& t : h->latencies) t = draw() % 2 == 0 ? 0 : draw() >> (draw() % 32);
    h->differing = static_cast<std::uint32_t>(std::min<std::uint64_t>(h->answered(), draw() % 500));
  }
  if (s.empty()) s.candidate.failed = 1;
  return s;
}
// An independent decoder, written from docs/shadow.md, "What a sum looks like".
bool is_valid_by_specification(const std::string& bytes) {
  std::size_t at = 0;
  bool is_complete = true;
  const auto byte = [&]() -> std::uint64_t {
    if (at < bytes.size()) return static_cast<std::uint8_t>(bytes[at++]);
    is_complete = false;
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
  return is_complete;
}
TEST(ShadowStatisticsTest, DecodesWhatIsEncodedAndNothingElse) {
  std::mt19937 draw(2);
  int read = 0;
  for (int i = 0; i < 3000; ++i) {
    std::vector<ShardEntry> sums;
    for (std::uint32_t s = draw() % 30; s < kMaxShards; s += 1 + draw() % 90)
      sums.emplace_back(s, random_sum(draw));
    std::vector<ShardEntry> back;
    for (std::size_t from = 0; from < sums.size();) {
      auto bytes = encode_statistics(7, sums, from);
      ASSERT_LE(bytes.size(), kMaxRecordValueBytes);
      const auto decoded = decode_statistics(bytes);
      ASSERT_TRUE(decoded);
      EXPECT_EQ(decoded->version, 7U);
      back.insert(back.end(), decoded->shards.begin(), decoded->shards.end());
      for (int k = 0; k < 20; ++k) {
        auto corrupted = bytes;
        if (draw() % 3 == 0)
          corrupted.resize(draw() % corrupted.size());
        else if (draw() % 3 == 0)
          corrupted += static_cast<char>(draw());
        for (unsigned flips = draw() % 4; flips > 0 && !corrupted.empty(); --flips)
          corrupted[draw() % corrupted.size()] = static_cast<char>(draw());
        const auto found = decode_statistics(corrupted);
        ASSERT_EQ(found.has_value(), is_valid_by_specification(corrupted));
        if (!found) continue;
        ++read;
        std::size_t at = 0;
        ASSERT_EQ(encode_statistics(found->version, found->shards, at, 10'000), corrupted);
      }
    }
    ASSERT_EQ(back, sums);
  }
  EXPECT_GT(read, 1000);
  ShardStatistics full;
  for (auto* h : {&full.candidate, &full.control}) {
    h->failed = h->differing = ~0U;
    h->latencies.fill(~0U);
  }
  std::size_t from = 0;
  const ShardEntry one{255, full};
  EXPECT_EQ(encode_statistics(kMaxMapVersion, std::span(&one, 1), from).size(), 191U);
  full.add(full);
  EXPECT_EQ(full, one.second);  // saturates
}
TEST(ShadowStatisticsTest, LatenciesFallIntoTheirBins) {
  for (std::size_t bin = 0; bin + 1 < kLatencyBins; ++bin) {
    EXPECT_EQ(latency_bin(upper_edge(bin)), bin);
    EXPECT_EQ(latency_bin(upper_edge(bin) + 1ns), bin + 1);
  }
  EXPECT_EQ(latency_bin(Duration::max()), kLatencyBins - 1);
  EXPECT_EQ(latency_bin(-1ns), 0U);
  ArmStatistics h;
  EXPECT_FALSE(h.percentile(0.5));
  h.latencies[3] = 98, h.latencies[9] = 2;
  EXPECT_EQ(h.percentile(0.98), upper_edge(3));
  EXPECT_EQ(h.percentile(0.99), upper_edge(9));
  EXPECT_EQ(h.answered_within(3), 98U);
  EXPECT_EQ(h.answered_within(2), 0U);
  h.failed = 5;
  EXPECT_EQ((ShardStatistics{h, {}}).slower_than(3).candidate,
            7U);  // failed copies are slower than any edge
}
TEST(ShadowStatisticsTest, MergingIsCommutativeAndIdempotent) {
  // Three nodes count, one of them in two incarnations; all their states are merged in random
  // order, each twice.
  std::mt19937 draw(3);
  for (int round = 0; round < 50; ++round) {
    ShardStatistics all;  // total over all comparisons
    std::vector<std::pair<Origin, ShardStatistics>> history;
    for (const auto& o : {origin(1), origin(2), origin(2, 9), origin(3)}) {
      ShardStatistics own;
      for (int i = 0; i < 40; ++i) {
        ShardStatistics one;
        auto& h = draw() % 2 == 0 ? one.candidate : one.control;
        if (draw() % 4 == 0)
          ++h.failed;
        else
          ++h.latencies[draw() % kLatencyBins], h.differing = draw() % 2;
        own.add(one);
        all.add(one);
        history.emplace_back(o, own);
      }
    }
    StatisticsTable table(7, 64);
    auto reported = history;
    reported.insert(reported.end(), history.begin(), history.end());
    std::shuffle(reported.begin(), reported.end(), draw);
    for (const auto& [o, s] : reported) table.merge(o, 4, s);
    EXPECT_EQ(table.total(4), all);
    EXPECT_EQ(table.origin_count(4), 4U);
    EXPECT_EQ(table.total(5), ShardStatistics{});
    EXPECT_FALSE(table.merge(origin(1), 64, all));
    for (const auto& [o, s] : history) EXPECT_FALSE(table.merge(o, 4, s));
  }
}

// ---- Coordinators -------------------------------------------------------------------------------

struct Fleet {
  ReportConfig config;
  std::deque<ShadowCoordinator> nodes;
  std::vector<Origin> live_nodes;
  std::vector<ShardStatistics> actual;
  std::mt19937 draw;
  Time now{};
  double loss = 0;
  std::map<RecordKey, ShadowCoordinator::PendingRecord> records;
  std::vector<std::pair<Origin, ShadowCoordinator::Report>> late;

  Fleet(unsigned size, unsigned shards, unsigned seed)
      : config{size, shards, 1000}, actual(shards), draw(seed) {
    for (unsigned n = 0; n < size; ++n) {
      live_nodes.push_back(origin(n));
      nodes.emplace_back(config, live_nodes.back(), 7);
    }
    update_views();
  }
  ShadowCoordinator& at(const Origin& o) { return nodes[index_of(o.node)]; }
  void update_views() {
    for (const auto& o : live_nodes)
      at(o).set_live_nodes(now, live_nodes),
          at(o).set_collectors(
              std::span(live_nodes).first(std::min<std::size_t>(2, live_nodes.size())));
  }
  void restart(std::size_t i) {
    ++live_nodes[i].incarnation;
    nodes[index_of(live_nodes[i].node)] = ShadowCoordinator(config, live_nodes[i], 7);
    for (const auto& [key, due] : records) at(live_nodes[i]).apply_record(key, due.value);
    update_views();
  }
  void count(const Origin& o) {
    const auto shard = static_cast<std::uint32_t>(draw() % config.shards);
    const auto half = draw() % 2 == 0 ? CopyTarget::candidate : CopyTarget::control;
    auto& h = half == CopyTarget::candidate ? actual[shard].candidate : actual[shard].control;
    if (draw() % 50 == 0) return ++h.failed, at(o).record_copy(shard, half, {}, false);
    const bool differs = draw() % 50 == 0;
    ++h.latencies[latency_bin(1ms)], h.differing += differs ? 1 : 0;
    at(o).record_copy(shard, half, 1ms, differs);
  }
  void run_step(bool is_counting) {
    now += 500ms;
    for (const auto& o : std::vector(live_nodes)) {
      if (is_counting) count(o);
      for (auto& w : at(o).drain_reports(now)) late.emplace_back(o, std::move(w));
      for (auto& due : at(o).drain_records(now, 1)) {
        // Of two records of a key, the one with the higher sequence applies.
        auto& held = records[due.key];
        if (due.sequence > held.sequence) held = due;
        for (const auto& other : live_nodes)
          if (other != o) at(other).apply_record(due.key, due.value);
      }
    }
    std::shuffle(late.begin(), late.end(), draw);
    const auto taken = late.size() - late.size() / 3;  // the rest arrives later
    for (std::size_t i = 0; i < taken; ++i) {
      const auto& [from, w] = late[i];
      if (std::ranges::find(live_nodes, w.to) == live_nodes.end()) continue;
      for (unsigned again = 1 + draw() % 2; again > 0; --again)
        if (draw() % 100 >= 100 * loss) at(w.to).receive_report(now, from, w.bytes);
    }
    late.erase(late.begin(), late.begin() + static_cast<std::ptrdiff_t>(taken));
  }
  std::vector<ShardStatistics> known() { return at(live_nodes.front()).known().totals(); }
  bool is_within_actual() {
    const auto k = known();
    for (std::size_t s = 0; s < k.size(); ++s) {
      auto merged = actual[s];
      merged.merge(k[s]);
      if (merged != actual[s]) return false;
    }
    return true;
  }
};
TEST(ShadowCoordinator, CollectorGetsAllCountsDespiteLossRepetitionAndDelay) {
  for (const unsigned size : {1U, 2U, 9U, 40U}) {
    Fleet fleet(size, 16, size);
    fleet.loss = 0.2;
    for (int i = 0; i < 60; ++i) {
      fleet.run_step(true);
      ASSERT_TRUE(fleet.is_within_actual());
    }
    fleet.loss = 0;
    for (int i = 0; i < 200; ++i) fleet.run_step(false);
    EXPECT_EQ(fleet.known(), fleet.actual) << size;
    EXPECT_LE(fleet.records.size(), 16U * fleet.config.groups());
  }
}
TEST(ShadowCoordinator, RestartsFailuresAndNewCollectorsNeverCountTwice) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Fleet fleet(24, 8, seed);
    fleet.loss = 0.1;
    for (int i = 0; i < 240; ++i) {
      fleet.run_step(true);
      if (i % 40 == 39) fleet.restart(fleet.draw() % fleet.live_nodes.size());
      if (i % 100 == 99) {
        const auto out = fleet.draw() % 2 == 0 ? 0 : fleet.draw() % fleet.live_nodes.size();
        fleet.live_nodes.erase(fleet.live_nodes.begin() + static_cast<std::ptrdiff_t>(out));
        fleet.update_views();
      }
      ASSERT_TRUE(fleet.is_within_actual()) << seed;
    }
    fleet.loss = 0;
    for (int i = 0; i < 200; ++i) fleet.run_step(false);
    std::uint64_t actual = 0, known = 0;
    for (const auto& s : fleet.actual) actual += s.candidate.copies() + s.control.copies();
    for (const auto& s : fleet.known()) known += s.candidate.copies() + s.control.copies();
    EXPECT_GT(static_cast<double>(known), 0.9 * static_cast<double>(actual)) << seed;
    // A node that only reads the records accepts all of them.
    ShadowCoordinator late(fleet.config, origin(0, 99), 7);
    for (const auto& [key, due] : fleet.records) EXPECT_TRUE(late.apply_record(key, due.value));
    EXPECT_LE(fleet.records.size(), std::size_t{8} * fleet.config.groups() * kMaxAggregators);
  }
}
TEST(ShadowCoordinator, StateIsHandedOverWithinAnIncarnation) {
  Fleet fleet(9, 8, 5);
  for (int i = 0; i < 30; ++i) fleet.run_step(true);
  for (const auto& o : fleet.live_nodes) {
    const auto state = fleet.at(o).save_state();
    fleet.at(o) = ShadowCoordinator(fleet.config, o, 7);
    EXPECT_TRUE(fleet.at(o).restore_state(state));
  }
  fleet.update_views();
  for (int i = 0; i < 30; ++i) fleet.run_step(true);
  for (int i = 0; i < 100; ++i) fleet.run_step(false);
  EXPECT_EQ(fleet.known(), fleet.actual);
  const std::vector<std::string> garbage{"", "\1", std::string(30, '\7'), std::string(300, '\xFF')};
  EXPECT_FALSE(fleet.at(fleet.live_nodes[1]).restore_state(garbage));
}
TEST(ShadowCoordinator, IntervalsKeepTheReportRateAndRecordsAreBounded) {
  for (const std::uint32_t nodes : {2U, 8U, 60U, 300U, 2000U}) {
    const ReportConfig config{nodes, 64, 10};
    const double group = std::ceil(nodes / static_cast<double>(config.groups()));
    EXPECT_LE((group - 1) / seconds(config.aggregator_interval()), 5.0);
    EXPECT_LE(std::min(group, 64.0) * config.groups() / seconds(config.collector_interval()),
              5.0 + 1e-9);
    EXPECT_LE(64.0 * config.groups(), 512);
  }
  ShadowCoordinator k({4, 8, 10}, origin(0), 7);
  k.set_live_nodes(Time{}, std::vector{origin(0)});
  std::string word("\4\0\1", 3);
  ShardStatistics s;
  s.control.failed = 1;
  const std::vector<ShardEntry> sums{{2, s}};
  std::size_t from = 0;
  word += encode_statistics(7, sums, from);
  int taken = 0;
  for (int i = 0; i < 100; ++i) taken += k.receive_report(Time{}, origin(1), word) ? 1 : 0;
  EXPECT_EQ(taken, 10);
  EXPECT_EQ(k.stats().dropped, 90U);
}
TEST(ShadowCoordinator, InvalidReportsAndRecordsAreRejected) {
  std::mt19937 draw(4);
  ShadowCoordinator k({300, 8, 1e9}, origin(0), 7);
  k.set_live_nodes(Time{}, std::vector{origin(0), origin(8)});
  ShardStatistics s;
  s.control.failed = 1;
  const std::vector<ShardEntry> good{{2, s}}, out_of_range{{8, s}};
  const auto report = [&](char level, char life, std::uint32_t version,
                          const std::vector<ShardEntry>& sums) {
    std::size_t from = 0;
    return std::string{level, 0, life} + encode_statistics(version, sums, from);
  };
  EXPECT_FALSE(k.receive_report({}, origin(8), report(3, 2, 7, good)));  // for another incarnation
  EXPECT_FALSE(k.receive_report({}, origin(8), report(3, 1, 8, good)));  // for another map version
  EXPECT_FALSE(k.receive_report({}, origin(8), report(3, 1, 7, out_of_range)));
  EXPECT_FALSE(k.receive_report({}, origin(9), report(3, 1, 7, good)));  // from another group
  EXPECT_FALSE(k.receive_report({}, origin(8), report(5, 1, 7, good)));
  EXPECT_FALSE(k.receive_report({}, origin(0), report(3, 1, 7, good)));  // from itself
  for (int i = 0; i < 20'000; ++i) {
    std::string garbage(draw() % 230, '\0');
    for (auto& c : garbage) c = static_cast<char>(draw());
    k.receive_report({}, origin(8), garbage);
    k.apply_record({1, draw()}, garbage);
  }
  EXPECT_EQ(k.known().totals(), std::vector<ShardStatistics>(8));
  EXPECT_TRUE(k.receive_report({}, origin(8), report(3, 1, 7, good)));
  EXPECT_EQ(k.known().total(2), s);
  const auto value = report(3, 1, 7, good).substr(3);
  EXPECT_FALSE(k.apply_record({1, 77}, value));  // key of another record
  // Aggregators above the limit are rejected.
  for (unsigned life = 2; life < 13; ++life)
    k.receive_report({}, origin(16, life), report(4, 1, 7, good));
  EXPECT_EQ(k.known().origin_count(2), kMaxAggregators);
  EXPECT_GT(k.stats().overflowed, 0U);
}

// ---- Verdicts -----------------------------------------------------------------------------------

ArmStatistics half(std::uint32_t answered, std::uint32_t differs = 0, std::uint32_t failed = 0,
                   std::size_t bin = 4) {
  ArmStatistics h;
  h.latencies[bin] = answered, h.differing = differs, h.failed = failed;
  return h;
}
TEST(ShadowVerdict, ShardFindingFollowsFromItsStatistics) {
  EXPECT_EQ(evaluate_shard({}, 64, {}), Finding::undecided);
  EXPECT_EQ(evaluate_shard({half(72), half(72)}, 64, {}),
            Finding::undecided);  // three lookups per hour for two days
  EXPECT_EQ(evaluate_shard({half(30'000), half(30'000)}, 64, {}), Finding::same);
  EXPECT_EQ(evaluate_shard({half(30'000, 30), half(30'000)}, 64, {}), Finding::differs);
  EXPECT_EQ(evaluate_shard({half(30'000, 3000), half(30'000, 3000)}, 64, {}),
            Finding::undecided);  // too many values are published
  EXPECT_EQ(evaluate_shard({half(0, 0, 30), half(30)}, 64, {}), Finding::failing);
  EXPECT_EQ(evaluate_shard({half(500, 0, 0, 7), half(500)}, 64, {}), Finding::slower);
  EXPECT_EQ(evaluate_shard({half(500), half(500, 0, 0, 7)}, 64, {}),
            Finding::undecided);  // a faster candidate is not a fault
  EXPECT_EQ(evaluate_shard({half(30'000), half(30'000, 30)}, 64, {}), Finding::same);
}
TEST(ShadowVerdict, MapPassesIfAllShardsPassAndFailsIfOneFails) {
  std::vector<Finding> found(4, Finding::same);
  std::vector<ShardStatistics> sums(4);
  EXPECT_EQ(evaluate_map(found, sums), MapFinding::may_be_used);
  found[2] = Finding::undecided;
  EXPECT_EQ(evaluate_map(found, sums), MapFinding::undecided);
  for (auto& s : sums) s = {half(9000, 4), half(9000)};  // too few in each shard, enough in total
  EXPECT_EQ(evaluate_shard(sums[0], 4, {}), Finding::undecided);
  EXPECT_EQ(evaluate_map(found, sums), MapFinding::must_not);
  found[2] = Finding::slower;
  EXPECT_EQ(evaluate_map(found, std::vector<ShardStatistics>(4)), MapFinding::must_not);
}
TEST(ShadowVerdict, DecodesWhatIsEncoded) {
  std::mt19937 draw(5);
  int read = 0;
  for (int i = 0; i < 100'000; ++i) {
    auto bytes = encode(
        PublishedVerdict{7, static_cast<std::uint16_t>(draw() % 2 == 0 ? kWholeMap : 5), 1, 77});
    for (unsigned flips = draw() % 3; flips > 0; --flips)
      bytes[draw() % bytes.size()] = static_cast<char>(draw() % 6);
    if (draw() % 8 == 0) bytes.resize(draw() % 20);
    const auto s = decode_verdict(bytes);
    if (!s) continue;
    ++read;
    ASSERT_EQ(encode(*s), bytes);
  }
  EXPECT_GT(read, 30'000);
  EXPECT_FALSE(
      decode_verdict(encode(PublishedVerdict{7, 5, 0, 77})));  // undecided is never published
  EXPECT_FALSE(decode_verdict(encode(PublishedVerdict{7, kWholeMap, 3, 77})));
}
TEST(ShadowVerdict, EarliestTermWinsInAnyOrder) {
  std::vector<PublishedVerdict> words{
      {7, 3, 2, 10}, {7, 3, 4, 11}, {7, 3, 1, 12}, {7, kWholeMap, 2, 11}, {7, kWholeMap, 1, 12}};
  std::ranges::sort(words, {}, &PublishedVerdict::term);
  std::mt19937 draw(6);
  for (int i = 0; i < 100; ++i) {
    std::shuffle(words.begin(), words.end(), draw);
    ShadowVerdicts v(7, 8);
    for (const auto& w : words) v.merge(w);
    for (const auto& w : words) EXPECT_FALSE(v.merge(w));
    EXPECT_EQ(v.shard_finding(3), Finding::differs);
    EXPECT_EQ(v.map_finding(), MapFinding::must_not);
    EXPECT_EQ(v.latest_term(), 12U);
    EXPECT_EQ(v.all().size(), 2U);
  }
  ShadowVerdicts v(8, 8);
  EXPECT_FALSE(v.merge(words[0]));  // for another map version
}
TEST(ShadowVerdict, PublishesOnlyNewVerdictsAndNoneOfAnOlderTerm) {
  StatisticsTable sums(7, 2);
  sums.merge(origin(1), 0, {half(0, 0, 40), half(40)});
  ShadowVerdicts known(7, 2);
  const auto first = new_verdicts(10, sums, known, {});
  ASSERT_EQ(first.size(), 2U);
  EXPECT_EQ(first[0], (PublishedVerdict{7, 0, static_cast<std::uint8_t>(Finding::failing), 10}));
  known.merge(first[0]);
  const auto successor = new_verdicts(11, sums, known,
                                      {});  // the shard's verdict is known, the map's was lost
  ASSERT_EQ(successor.size(), 1U);
  EXPECT_EQ(successor[0].shard, kWholeMap);
  known.merge(successor[0]);
  EXPECT_TRUE(new_verdicts(12, sums, known, {}).empty());
  ShadowVerdicts with_later_term(7, 2);
  with_later_term.merge({7, 1, 1, 11});
  EXPECT_TRUE(new_verdicts(10, sums, with_later_term, {}).empty());
  EXPECT_TRUE(new_verdicts(10, sums, ShadowVerdicts(8, 2), {}).empty());
}

// ---- A node -------------------------------------------------------------------------------------

struct Servers final : CellView {
  std::set<std::uint32_t> cells{2, 5};
  bool second = true;
  bool is_cell_usable(std::uint32_t cell) const override { return cells.contains(cell); }
  bool has_control_server() const override { return second; }
};
constexpr NodeConditions kAllConditionsMet{true, true, true, true};
Lookup lookup(std::string_view p, std::string_view request = "r") {
  return {p, request, Idempotency::idempotent, true, true, {}};
}
ResponseSummary answer(std::uint64_t digest = 1) { return {true, 200, 10, {0, digest}, 1ms}; }

TEST(ShadowTraffic, CopiesOnlyIfAllConditionsHold) {
  ShadowTraffic s(shadow_config(), 9, origin(0));
  Servers servers;
  const auto reason_for = [&](auto change) {
    auto l = lookup("/p");
    auto c = kAllConditionsMet;
    auto v = servers;
    change(l, c, v);
    const auto choice = s.decide(l, c, v);
    EXPECT_EQ(choice.target == CopyTarget::none, choice.reason != SkipReason::copied);
    return choice.reason;
  };
  EXPECT_EQ(reason_for([](auto&, auto&, auto&) {}), SkipReason::copied);
  EXPECT_EQ(reason_for([](auto& l, auto&, auto&) { l.idempotency = Idempotency::idempotency_key; }),
            SkipReason::unsuitable);
  EXPECT_EQ(reason_for([](auto& l, auto&, auto&) { l.is_copy_permitted = false; }),
            SkipReason::unsuitable);
  EXPECT_EQ(reason_for([](auto& l, auto&, auto&) { l.has_attempt_left = false; }),
            SkipReason::unsuitable);
  EXPECT_EQ(reason_for([](auto&, auto& c, auto&) { c.is_counter_reachable = false; }),
            SkipReason::conditions);
  EXPECT_EQ(reason_for([](auto&, auto& c, auto&) { c.are_zones_available = false; }),
            SkipReason::conditions);
  EXPECT_EQ(reason_for([](auto&, auto& c, auto&) { c.are_servers_warm = false; }),
            SkipReason::conditions);
  EXPECT_EQ(reason_for([](auto&, auto& c, auto&) { c.are_requests_on_time = false; }),
            SkipReason::conditions);
  EXPECT_EQ(reason_for([](auto& l, auto&, auto&) { l.open_slots = 1; }), SkipReason::open_cap);
  EXPECT_EQ(reason_for([](auto& l, auto&, auto&) { l.open_slots = 2; }), SkipReason::copied);
  // Without a usable cell no copy is sent to either arm, so that the shard stays undecided.
  EXPECT_EQ(reason_for([](auto&, auto&, auto& v) { v.cells.clear(); }), SkipReason::no_cell);
  EXPECT_EQ(reason_for([](auto&, auto&, auto& v) { v.second = false; }), SkipReason::no_control);
  EXPECT_TRUE(s.receive_verdict(
      encode(PublishedVerdict{7, static_cast<std::uint16_t>(s.map().shard_of("/p")), 1, 4})));
  EXPECT_EQ(reason_for([](auto&, auto&, auto&) {}), SkipReason::ended);
}
TEST(ShadowTraffic, CopiesStayWithinTheBudgetFromTheStart) {
  auto t = shadow_config();
  t.max_copy_ratio = 0.02;
  t.map.slice_ppm = 100'000;
  ShadowTraffic s(t, 9, origin(0));
  Servers servers;
  std::uint64_t copies = 0;
  for (unsigned n = 1; n <= 100'000; ++n) {
    // Conditions alternate: the budget accumulated in between is bounded too.
    const auto c = n / 5000 % 2 == 0 ? kAllConditionsMet : NodeConditions{};
    copies += s.decide(lookup(path(n)), c, servers).target == CopyTarget::none ? 0 : 1;
    ASSERT_LE(static_cast<double>(copies), 0.02 * n + 1e-6);
  }
  EXPECT_NEAR(static_cast<double>(copies), 0.02 * 50'000 + 10 * 10, 60);
}
TEST(ShadowTraffic, AllNodesDecideAlike) {
  std::vector<std::unique_ptr<ShadowTraffic>> nodes;
  auto t = shadow_config();
  t.map.slice_ppm = 50'000;
  for (unsigned n = 0; n < 5; ++n)
    nodes.push_back(std::make_unique<ShadowTraffic>(t, 5, origin(n)));
  Servers servers;
  for (unsigned n = 0; n < 5000; ++n) {
    const auto first = nodes[0]->decide(lookup(path(n), "id" + std::to_string(n)),
                                        kAllConditionsMet, servers);
    for (const auto& node : nodes) {
      if (node == nodes[0]) continue;
      const auto c = node->decide(lookup(path(n), "id" + std::to_string(n)), kAllConditionsMet,
                                  servers);
      ASSERT_EQ(c.target, first.target);
      ASSERT_EQ(c.shard, first.shard);
    }
  }
}
// Compares the counts with those of a model over all comparisons.
TEST(ShadowTraffic, CountsMatchTheListOfComparisons) {
  ShadowTraffic s(shadow_config(7, 8), 1, origin(0));
  s.coordinator().set_live_nodes(Time{}, std::vector{origin(0)});
  Servers servers;
  std::mt19937 draw(8);
  std::vector<ShardStatistics> expected(8);
  std::vector<std::size_t> differed(8);
  for (unsigned n = 0; n < 20'000; ++n) {
    const auto c = s.decide(lookup(path(n), std::to_string(n)), kAllConditionsMet, servers);
    ASSERT_NE(c.target, CopyTarget::none);
    auto primary = answer(), copy = answer();
    if (draw() % 20 == 0) primary.is_complete = false;  // truncated
    if (draw() % 20 == 0) primary.status = 503;
    if (draw() % 20 == 0) copy.is_complete = false;
    if (draw() % 20 == 0) copy.status = draw() % 2 == 0 ? 500 : 404;
    if (draw() % 20 == 0) copy.length = 11;
    if (draw() % 20 == 0) copy.digest.high = 1;
    copy.latency = std::chrono::microseconds(draw() % 6'000'000);
    s.record_comparison(c, path(n), primary, copy);
    if (!primary.is_complete || primary.status >= 500) continue;
    auto& h = c.target == CopyTarget::candidate ? expected[c.shard].candidate
                                                : expected[c.shard].control;
    if (!copy.is_complete || copy.status >= 500) {
      ++h.failed;
      continue;
    }
    ++h.latencies[latency_bin(copy.latency)];
    const bool differs = copy.status != 200 || copy.length != 10 || copy.digest.high != 0;
    h.differing += differs ? 1 : 0;
    differed[c.shard] += differs && c.target == CopyTarget::candidate ? 1 : 0;
  }
  EXPECT_EQ(s.coordinator().known().totals(), expected);
  for (std::uint32_t shard = 0; shard < 8; ++shard)
    EXPECT_EQ(s.examples(shard).size(), std::min(kMaxExamples, differed[shard]));
  auto other = CopyDecision{CopyTarget::candidate, SkipReason::copied, 6, 0, 2};
  s.record_comparison(other, "/p", answer(), answer(2));
  EXPECT_EQ(s.stats().outdated, 1U);
  EXPECT_EQ(s.coordinator().known().totals(), expected);
}
TEST(ShadowTraffic, MapVersionsAreNeverMixed) {
  ShadowTraffic seven(shadow_config(7, 1), 2, origin(0)), eight(shadow_config(8, 1), 2, origin(1));
  Servers servers;
  const std::vector live_nodes{origin(0), origin(1)};
  for (auto* s : {&seven, &eight}) {
    s->coordinator().set_live_nodes(Time{}, live_nodes);
    s->coordinator().set_collectors(std::span(live_nodes).first(1));
    for (unsigned n = 0; n < 200; ++n) {
      const auto c = s->decide(lookup(path(n), std::to_string(n)), kAllConditionsMet, servers);
      auto copy = answer();
      copy.is_complete = c.target != CopyTarget::candidate;
      s->record_comparison(c, path(n), answer(), copy);
    }
  }
  const auto before = seven.coordinator().known().totals();
  for (Time now{}; now < Time{} + 60s; now += 1s)
    for (const auto& w : eight.coordinator().drain_reports(now))
      EXPECT_FALSE(seven.coordinator().receive_report(now, origin(1), w.bytes));
  EXPECT_EQ(seven.coordinator().known().totals(), before);
  for (const auto& s : seven.publish_verdicts(9)) EXPECT_FALSE(eight.receive_verdict(encode(s)));
  EXPECT_EQ(seven.verdicts().shard_finding(0), Finding::failing);
  EXPECT_FALSE(eight.verdicts().is_decided(0));
  EXPECT_FALSE(eight.receive_verdict("junk"));
  EXPECT_NE(verdict_record_key(PublishedVerdict{7, 0, 1, 9}, 2),
            verdict_record_key(PublishedVerdict{7, 0, 1, 10}, 2));
}

// ---- Simulation ---------------------------------------------------------------------------------

TEST(ShadowTrial, VerdictsMatchTheSimulatedTruth) {
  world::ShadowTrialConfig t;
  t.truth.shards = 4;
  t.truth.published_share = 0.0002;
  EXPECT_EQ(world::run_shadow_trial(t, 1).map,
            MapFinding::may_be_used);  // the candidate equals the current route
  t.truth.candidate_differing_share = 0.01;
  EXPECT_EQ(world::run_shadow_trial(t, 1).map, MapFinding::must_not);
  t.truth.candidate_differing_share = 0;
  t.truth.affected_shard = 2;
  t.truth.candidate_failing_share = 1;
  EXPECT_EQ(world::run_shadow_trial(t, 1).worse_shards, 1U);
}
TEST(ShadowTrial, FleetStopsAFailingShardAndKeepsCountsOfFailedNodes) {
  world::ShadowFleetConfig t;
  t.nodes = 60;
  t.lookups_per_s = 300;
  t.truth.affected_shard = 5;
  t.truth.candidate_failing_share = 1;
  t.duration_s = 20;
  const auto failing_shard = world::run_shadow_fleet(t, 1);
  ASSERT_TRUE(failing_shard.stop_delay_s);
  EXPECT_LE(*failing_shard.stop_delay_s, 2);
  EXPECT_FALSE(failing_shard.has_overcount);
  t = {};
  t.nodes = 60;
  t.truth.candidate_differing_share = 0;
  t.duration_s = 160;
  t.crash_time_s = 80;
  const auto with_failures = world::run_shadow_fleet(t, 1);
  EXPECT_FALSE(with_failures.has_overcount);
  EXPECT_LT(static_cast<double>(with_failures.lost_copies),
            0.2 * static_cast<double>(with_failures.copies));
}

}  // namespace
}  // namespace petrelrail::fleet::test

// The replicated store: record merging against a reference computed from all events, a single
// store, and simulated fleets of stores on one clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "common/time_math.hpp"
#include "fleet/replicated_store.hpp"
#include "world/record_fleet.hpp"

namespace petrelrail::fleet::test {
namespace {

using namespace std::chrono_literals;
using world::RecordFleet;
using Kind = ReplicatedStore::PutResult::Kind;

constexpr Time kNow{Duration(1'700'000'000'000'000'000)};
constexpr std::uint32_t kUnix = 1'700'000'000;
MemberId id(std::uint64_t n) { return MemberId(static_cast<std::uint16_t>(n)); }

// ---- Merging ------------------------------------------------------------------------------------

using Random = std::mt19937_64;
std::uint64_t random_below(Random& r, std::uint64_t n) { return r() % n; }
Record random_record(Random& r) {
  Record x{{0, random_below(r, 2)},
           {1 + random_below(r, 3), 1 + static_cast<std::uint32_t>(random_below(r, 3)),
            id(random_below(r, 2))},
           kUnix + static_cast<std::uint32_t>(random_below(r, 50)),
           random_below(r, 3) == 0,
           {}};
  if (!x.deleted)
    x.value = std::string(random_below(r, 3), static_cast<char>('a' + random_below(r, 3)));
  return x;
}

// A node's table of records: merges received records and lists those that it holds.
struct Replica {
  std::function<void(Time, const Record&)> merge;
  std::function<std::vector<Record>(Time)> all;
};
using MakeReplica = std::function<Replica()>;
constexpr auto kClocks = 1s;

Replica real_table() {
  auto t = std::make_shared<RecordTable>(
      RecordLimits{1, 100, 10'000, kClocks, std::chrono::hours(1)});
  return {[t](Time now, const Record& r) { t->remove_expired(now), t->merge(now, r); },
          [t](Time now) { return t->remove_expired(now), t->all(); }};
}
// A table with a given merge function.
MakeReplica table_with(std::function<Record(const Record&, const Record&)> merge,
                       bool drops_tombstones = false) {
  return [=] {
    auto held = std::make_shared<std::map<RecordKey, Record>>();
    const auto over = [](Time now, const Record& r) {
      return now >= Time(std::chrono::seconds(r.expiry_unix_s)) + kClocks;
    };
    const auto clean = [=](Time now) {
      std::erase_if(*held, [&](const auto& h) {
        return over(now, h.second) || (drops_tombstones && h.second.deleted);
      });
    };
    return Replica{[=](Time now, const Record& r) {
                     clean(now);
                     if (over(now, r)) return;
                     const auto [it, fresh] = held->try_emplace(r.key, r);
                     if (!fresh) it->second = merge(it->second, r);
                   },
                   [=](Time now) {
                     clean(now);
                     std::vector<Record> all;
                     for (const auto& [key, r] : *held) all.push_back(r);
                     return all;
                   }};
  };
}

// The reference result: the last event of each key that has not expired.
std::vector<Record> last_events(const std::vector<Record>& events, Time now) {
  std::map<RecordKey, Record> last;
  for (const auto& e : events) {
    if (std::chrono::seconds(e.expiry_unix_s) + kClocks <= now.time_since_epoch()) continue;
    const auto [it, fresh] = last.emplace(e.key, e);
    if (fresh) continue;
    const auto& h = it->second;
    const auto order = [](const Record& x) {
      const auto& v = x.version;
      return std::tuple(v.epoch, v.sequence, index_of(v.origin), x.deleted, x.value,
                        x.expiry_unix_s);
    };
    const bool later = order(e) > order(h);
    if (later) it->second = e;
  }
  std::vector<Record> all;
  for (const auto& [key, r] : last) all.push_back(r);
  return all;
}

// Delivers random events to four replicas in random order, some repeatedly, some only at the end,
// while time advances. Later versions expire no earlier. Returns whether all replicas end with the
// reference result.
bool agrees(std::uint64_t seed, const MakeReplica& make) {
  Random r(seed);
  std::vector<Record> events;
  for (auto n = 1 + random_below(r, 12); n > 0; --n) events.push_back(random_record(r));
  std::ranges::sort(
      events, {}, [](const Record& e) { return std::tuple(e.key, e.version, e.deleted, e.value); });
  for (std::size_t i = 1; i < events.size(); ++i)
    if (events[i].key == events[i - 1].key)
      events[i].expiry_unix_s = std::max(events[i].expiry_unix_s, events[i - 1].expiry_unix_s);
  std::vector<Replica> replicas;
  for (int i = 0; i < 4; ++i) replicas.push_back(make());
  Time now = kNow - 1s;
  for (auto steps = random_below(r, 60); steps > 0; --steps) {
    if (random_below(r, 4) == 0) now += 1s;
    auto& to = replicas[random_below(r, 4)];
    if (random_below(r, 2) == 0)
      to.merge(now, events[random_below(r, events.size())]);
    else  // what another replica holds
      for (const auto& x : replicas[random_below(r, 4)].all(now)) to.merge(now, x);
  }
  for (auto& to : replicas) {
    std::ranges::shuffle(events, r);
    for (const auto& e : events) to.merge(now, e);
  }
  const auto expected = last_events(events, now);
  return std::ranges::all_of(replicas, [&](const Replica& x) { return x.all(now) == expected; });
}
std::uint64_t runs_until_found(const MakeReplica& make) {
  std::uint64_t seed = 1;
  while (seed < 10'000 && agrees(seed, make)) ++seed;
  return seed;
}

TEST(RecordMerge, IsCommutativeAssociativeAndIdempotent) {
  Random r(1);
  for (int i = 0; i < 50'000; ++i) {
    auto a = random_record(r), b = random_record(r), c = random_record(r);
    b.key = c.key = a.key;
    ASSERT_EQ(merged(a, b), merged(b, a));
    ASSERT_EQ(merged(merged(a, b), c), merged(a, merged(b, c)));
    ASSERT_EQ(merged(merged(a, b), b), merged(a, b));
    ASSERT_EQ(merged(a, a), a);
  }
}
TEST(RecordMerge, EndsWithTheLastEventsForAnyOrderLossAndRepetition) {
  EXPECT_EQ(runs_until_found(real_table), 10'000U);
  EXPECT_EQ(runs_until_found(table_with(merged)), 10'000U);
}
// Each run has at most 12 events and 60 steps; the number of runs until a faulty merge is detected
// is recorded as a test property.
TEST(RecordMerge, FaultyMergeFunctionsAreDetected) {
  const auto latest = [](const Record&, const Record& b) { return b; };
  const auto by_epoch = [](const Record& a, const Record& b) {
    return a.version.epoch < b.version.epoch ? b : a;
  };
  const auto no_origin = [](const Record& a, const Record& b) {
    return std::pair(a.version.epoch, a.version.sequence) <
                   std::pair(b.version.epoch, b.version.sequence)
               ? b
               : a;
  };
  const auto earlier_end = [](const Record& a, const Record& b) {
    auto m = merged(a, b);
    m.expiry_unix_s = std::min(a.expiry_unix_s, b.expiry_unix_s);
    return m;
  };
  const std::pair<const char*, MakeReplica> broken[] = {
      {"latest", table_with(latest)},
      {"by epoch", table_with(by_epoch)},
      {"no origin", table_with(no_origin)},
      {"earlier end", table_with(earlier_end)},
      {"forgets deletions", table_with(merged, true)}};
  for (const auto& [name, make] : broken) {
    const auto runs = runs_until_found(make);
    RecordProperty(name, static_cast<int>(runs));
    EXPECT_LE(runs, 20U) << name;
  }
}

// ---- A single store -----------------------------------------------------------------------------

ReplicatedStoreConfig small_config() {
  ReplicatedStoreConfig t;
  t.spaces = 2, t.max_records = 20, t.max_bytes = 2000;
  return t;
}
std::uint64_t epoch_at(Time now, const ReplicatedStoreConfig& t) {
  return (now.time_since_epoch() / t.term) * t.epochs_per_term;
}
Message update_message(std::vector<Record> records, std::uint32_t echo = 0) {
  return {{id(1), 1, 1, 0, echo, 0}, RecordUpdate{std::move(records)}};
}

TEST(ReplicatedStore, InvalidConfigurationIsRejected) {
  auto t = small_config();
  t.spaces = 0;
  EXPECT_THROW(validate(t), std::invalid_argument);
  EXPECT_THROW(ReplicatedStore(small_config(), id(1), 0, 1), std::invalid_argument);
  EXPECT_THROW(ReplicatedStore(small_config(), id(0), kMaxZones, 1), std::invalid_argument);
}
TEST(ReplicatedStore, WriteBeyondALimitIsRejectedWithItsReason) {
  ReplicatedStore store(small_config(), id(0), 0, 1);
  store.start(kNow);
  const auto e = epoch_at(kNow, store.config());
  EXPECT_EQ(store.put(kNow, {0, 1}, e, kUnix + 9, std::string(kMaxRecordValueBytes + 1, 'x')).kind,
            Kind::too_large);
  EXPECT_EQ(store.put(kNow, {2, 1}, e, kUnix + 9, "x").kind, Kind::no_space);
  EXPECT_EQ(store.put(kNow, {kWatermarkSpace, 1}, e, kUnix + 9, "x").kind, Kind::no_space);
  EXPECT_EQ(store.put(kNow, {0, 1}, e, kUnix, "x").kind, Kind::expired);
  EXPECT_EQ(store.put(kNow, {0, 1}, e, ~0U, "x").kind, Kind::too_far);
  EXPECT_EQ(store.put(kNow, {0, 1}, 0, kUnix + 9, "x").kind, Kind::too_far);
  EXPECT_EQ(store.put(kNow, {0, 1}, e + 100 * 16, kUnix + 9, "x").kind, Kind::too_far);
  EXPECT_EQ(store.erase(kNow, {0, 1}, e).kind, Kind::expired);
  for (std::uint64_t n = 1; n <= 20; ++n)
    EXPECT_EQ(store.put(kNow, {0, n}, e, kUnix + 9, "x").kind, Kind::accepted);
  EXPECT_EQ(store.put(kNow, {0, 21}, e, kUnix + 9, "x").kind, Kind::full);
  EXPECT_EQ(store.put(kNow, {0, 20}, e, kUnix + 9, "y").kind, Kind::accepted);
  for (std::uint64_t n = 1; n <= 8; ++n)
    EXPECT_EQ(store.put(kNow, {1, n}, e, kUnix + 9, std::string(kMaxRecordValueBytes, 'x')).kind,
              Kind::accepted)
        << n;
  EXPECT_EQ(store.put(kNow, {1, 9}, e, kUnix + 9, std::string(kMaxRecordValueBytes, 'x')).kind,
            Kind::full);
  EXPECT_EQ(store.erase(kNow, {1, 1}, e).kind, Kind::accepted);
  EXPECT_EQ(store.find({1, 1}), nullptr);
  EXPECT_EQ(store.find({0, 20})->value, "y");
  // In a fleet of one node every write is replicated. Expired records are removed.
  EXPECT_EQ(store.drain_outcomes().size(), 30U);
  store.tick(kNow + 9s);
  EXPECT_EQ(store.find({0, 20}), nullptr);
  store.tick(kNow + 10s);
  EXPECT_EQ(store.stats().records, 0U);
  EXPECT_EQ(store.stats().bytes, 0U);
}
TEST(ReplicatedStore, EarlierEpochIsFencedAndAnEpochAheadOfTimeIsDropped) {
  auto t = small_config();
  t.nodes = 3;
  ReplicatedStore store(t, id(0), 0, 1);
  store.start(kNow);
  const auto e = epoch_at(kNow, t);
  const Record competing{{0, 1}, {e, ~0U, id(1)}, kUnix + 99, false, "rival"};
  auto forged = competing;
  forged.version.epoch = ~0ULL;
  store.receive(kNow, id(1), update_message({forged}));
  EXPECT_EQ(store.stats().epoch_ahead, 1U);
  forged.version = {e, 1, id(3)};  // no such node
  store.receive(kNow, id(1), update_message({forged}));
  store.receive(kNow, id(0), update_message({competing}));  // its own number
  EXPECT_EQ(store.stats().malformed, 2U);
  EXPECT_EQ(store.find({0, 1}), nullptr);
  store.receive(kNow, id(1), update_message({competing}));
  EXPECT_EQ(store.put(kNow, {0, 1}, e - 16, kUnix + 99, "mine").kind, Kind::fenced);
  // The greatest sequence blocks the key for the rest of the term, but no longer.
  EXPECT_EQ(store.put(kNow, {0, 1}, e, kUnix + 99, "mine").kind, Kind::fenced);
  EXPECT_EQ(store.put(kNow + t.term, {0, 1}, e + 16, kUnix + 99, "mine").kind, Kind::accepted);
  EXPECT_EQ(store.find({0, 1})->value, "mine");
  // A later version of another node fails the write that it replaces.
  store.receive(kNow + t.term, id(1),
                update_message({{{0, 1}, {e + 17, 1, id(1)}, kUnix + 99, false, "later"}}));
  EXPECT_EQ(store.drain_outcomes(), (std::vector<ReplicatedStore::Outcome>{{1, false}}));
  const auto changes = store.drain_changes();
  EXPECT_FALSE(changes.rescan);
  EXPECT_EQ(changes.keys.size(), 3U);
}
TEST(ReplicatedStore, SuccessorContinuesFromTheSnapshotOfItsPredecessor) {
  ReplicatedStore predecessor(small_config(), id(0), 0, 1), successor(small_config(), id(0), 0, 2);
  predecessor.start(kNow);
  const auto e = epoch_at(kNow, predecessor.config());
  predecessor.put(kNow, {0, 1}, e, kUnix + 99, "a"),
      predecessor.put(kNow, {0, 2}, e, kUnix + 2, "b");
  predecessor.write_watermark(kNow, 0, e);
  successor.restore(kNow + 5s, predecessor.snapshot());
  successor.start(kNow + 5s);
  EXPECT_EQ(*successor.find({0, 1}), *predecessor.find({0, 1}));
  EXPECT_EQ(successor.find({0, 2}), nullptr);
  EXPECT_EQ(successor.staleness(kNow + 5s, 0), 5s + successor.config().max_clock_skew);
  EXPECT_TRUE(successor.caught_up(kNow + 5s));
  successor.put(kNow + 5s, {0, 1}, e, kUnix + 99, "c");
  EXPECT_EQ(successor.find({0, 1})->version, (RecordVersion{e, 3, id(0)}));
}

// ---- A fleet ------------------------------------------------------------------------------------

class StoreFleet : public ::testing::Test {
 protected:
  RecordFleet& fleet(std::uint32_t nodes, double loss = 0.05, std::uint32_t zones = 3) {
    options_.nodes = nodes, options_.zones = zones;
    options_.peers.loss = loss, options_.peers.duplicate = 0.1, options_.peers.reorder = 0.1;
    options_.config.spaces = 2;
    fleet_ = std::make_unique<RecordFleet>(options_);
    fleet_->start_all();
    EXPECT_TRUE(fleet_->run_until([&] { return all_caught_up(); }, 60s));
    return *fleet_;
  }
  bool all_caught_up() const {
    for (std::uint32_t n = 0; n < fleet_->size(); ++n)
      if (fleet_->is_up(n) && !fleet_->store(n).caught_up(fleet_->local_time(n))) return false;
    return true;
  }
  // Waits for the outcome of a write and returns whether it was replicated.
  bool safe(std::uint32_t node, const ReplicatedStore::PutResult& put) {
    EXPECT_EQ(put.kind, Kind::accepted);
    EXPECT_TRUE(
        fleet_->run_until([&] { return fleet_->outcome(node, put.ticket) != nullptr; }, 30s, 5ms));
    return fleet_->outcome(node, put.ticket)->is_replicated;
  }
  RecordFleet::Options options_;
  std::unique_ptr<RecordFleet> fleet_;
};

TEST_F(StoreFleet, ReplicatedWriteIsHeldByFourNodesInTwoZones) {
  auto& f = fleet(30, 0.2, 2);
  for (std::uint64_t i = 0; i < 20; ++i) {
    const auto writer = static_cast<std::uint32_t>(i);
    ASSERT_TRUE(safe(writer, f.put(writer, {0, i}, "x")));
    std::set<std::uint32_t> zones;
    for (std::uint32_t n = 0; n < f.size(); ++n)
      if (f.store(n).find({0, i})) zones.insert(f.zone(n));
    EXPECT_GE(f.holder_count({0, i}), 4U);
    EXPECT_EQ(zones.size(), 2U);
  }
  EXPECT_TRUE(f.run_until([&] { return f.holder_count({0, 19}) == f.size(); }, 30s));
}
TEST_F(StoreFleet, MinorityReportsStalenessAndFailsWrites) {
  auto& f = fleet(12);
  ASSERT_TRUE(safe(0, f.put(0, {0, 1}, "x")));
  for (int i = 0; i < 5; ++i) f.write_watermark(0, 0), f.run_for(1s);
  f.set_link_filter([](std::uint32_t a, std::uint32_t b) { return (a < 5) != (b < 5); });
  f.run_for(5s);
  EXPECT_FALSE(safe(1, f.put(1, {0, 2}, "y")));
  EXPECT_TRUE(safe(7, f.put(7, {0, 3}, "z")));
  EXPECT_NE(f.store(1).find({0, 1}), nullptr);
  EXPECT_GE(f.store(1).staleness(f.local_time(1), 0), 5s);
  EXPECT_FALSE(
      f.store(1).staleness(f.local_time(1), 1));  // no watermark was ever written for that space
  f.set_link_filter({});
  EXPECT_TRUE(f.run_until([&] { return f.stores_agree(0) && f.holder_count({0, 3}) == 12; }, 30s));
}
TEST_F(StoreFleet, WithFewerNodesThanRequiredCopiesAllNodesSuffice) {
  auto& f = fleet(2, 0.05, 1);
  EXPECT_TRUE(safe(0, f.put(0, {0, 1}, "x")));
  EXPECT_EQ(f.holder_count({0, 1}), 2U);
}
TEST_F(StoreFleet, DeletedRecordDoesNotReturnAfterAPartition) {
  for (const auto cut_for : {10s, 60s}) {
    auto& f = fleet(12);
    ASSERT_TRUE(safe(0, f.put(0, {0, 1}, "x", 30s)));
    ASSERT_TRUE(f.run_until([&] { return f.holder_count({0, 1}) == f.size(); }, 20s));
    f.set_link_filter([](std::uint32_t a, std::uint32_t b) { return (a < 3) != (b < 3); });
    ASSERT_TRUE(safe(5, f.erase(5, {0, 1})));
    f.run_for(cut_for);
    EXPECT_EQ(f.holder_count({0, 1}), cut_for < 30s ? 3U : 0U);
    f.set_link_filter({});
    for (int i = 0; i < 400; ++i) {
      f.run_for(100ms);
      for (std::uint32_t n = 3; n < f.size(); ++n) ASSERT_EQ(f.store(n).find({0, 1}), nullptr);
      EXPECT_TRUE(i < 150 || f.holder_count({0, 1}) == 0U);
    }
    for (std::uint32_t n = 0; n < f.size(); ++n) EXPECT_EQ(f.store(n).stats().records, 0U);
  }
}
TEST_F(StoreFleet, StalenessIsNeverUnderstated) {
  options_.config.max_clock_skew = 400ms;
  auto& f = fleet(16, 0.2);
  struct Written {
    Time at;
    std::uint64_t key, count;
  };
  std::vector<Written> history;
  Random r(7);
  std::uint64_t looks = 0;
  for (std::uint64_t step = 0; step < 600; ++step) {
    if (step == 100)
      f.set_link_filter([](std::uint32_t a, std::uint32_t b) { return (a < 4) != (b < 4); });
    if (step == 200)
      f.set_link_filter(
          [](std::uint32_t a, std::uint32_t) { return a == 0; });  // only what it sends is lost
    if (step == 300) f.set_link_filter({}), f.stall(3, true);
    if (step == 350) f.stall(3, false);
    if (step == 400) f.start(9);
    if (random_below(r, 3) == 0) {
      const auto key = random_below(r, 12);
      if (f.put(0, {0, key}, std::to_string(step)).kind == Kind::accepted)
        history.push_back({f.now(), key, step});
    }
    if (step % 10 == 0) f.write_watermark(0, 0);
    f.run_for(100ms);
    for (std::uint32_t n = 0; n < f.size(); ++n) {
      const auto age = f.store(n).staleness(f.local_time(n), 0);
      if (!age) continue;
      ++looks;
      for (const auto& w : history) {
        if (w.at > f.now() - *age) break;
        const auto* shown = f.store(n).find({0, w.key});
        ASSERT_TRUE(shown && std::stoull(shown->value) >= w.count) << n << " at step " << step;
      }
    }
  }
  EXPECT_GT(looks, 7000U);
  EXPECT_LT(*f.store(5).staleness(f.local_time(5), 0), 15s);
}
TEST_F(StoreFleet, EmptyNodeHoldsAllRecordsOnceCaughtUp) {
  auto& f = fleet(10);
  for (std::uint64_t i = 0; i < 300; ++i)
    f.put(static_cast<std::uint32_t>(i % 10), {0, i}, std::string(60, 'x')), f.run_for(50ms);
  ASSERT_TRUE(f.run_until([&] { return f.stores_agree(0); }, 120s));
  f.reset_traffic();
  f.start(4);
  EXPECT_FALSE(f.store(4).caught_up(f.local_time(4)));
  ASSERT_TRUE(f.run_until([&] { return f.store(4).caught_up(f.local_time(4)); }, 60s));
  EXPECT_TRUE(f.stores_agree(0));
  EXPECT_LE(static_cast<double>(f.max_arrivals_per_s()),
            f.store(0).config().expected_intake_per_s());
  // A node that may not pull never catches up.
  f.start(4);
  f.store(4).limit_pulls(0);
  f.run_for(60s);
  EXPECT_FALSE(f.store(4).caught_up(f.local_time(4)));
  EXPECT_EQ(f.store(4).stats().pulls, 0U);
  // All nodes restart at once: the records are lost, and no node waits for them.
  f.start_all();
  EXPECT_TRUE(f.run_until([&] { return all_caught_up(); }, 60s));
  EXPECT_EQ(f.holder_count({0, 1}), 0U);
}
TEST_F(StoreFleet, RecordsBeyondTheLimitsAreDroppedAndPulledLessOften) {
  options_.config.max_records = 50;
  auto& f = fleet(6, 0);
  f.set_link_filter([](std::uint32_t a, std::uint32_t b) { return (a < 3) != (b < 3); });
  for (std::uint64_t i = 0; i < 50; ++i)
    f.put(0, {0, i}, "x"), f.put(5, {0, 100 + i}, "y"), f.run_for(100ms);
  f.set_link_filter({});
  f.run_for(60s);
  std::uint64_t pulls = 0, dropped = 0;
  for (std::uint32_t n = 0; n < f.size(); ++n) {
    const auto& stats = f.store(n).stats();
    EXPECT_LE(stats.records, 50U);
    pulls += stats.pulls, dropped += stats.full;
  }
  EXPECT_GT(dropped, 0U);
  f.run_for(120s);
  for (std::uint32_t n = 0; n < f.size(); ++n) pulls -= f.store(n).stats().pulls;
  EXPECT_LE(-static_cast<std::int64_t>(pulls), 6 * 12);  // at most one pull per node in ten seconds
}

// Random faults against a reference of all events: once they are over, every node shows the last
// event of each key.
TEST_F(StoreFleet, AfterRandomFaultsAllNodesShowTheLastEvents) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    options_.seed = seed;
    auto& f = fleet(9, 0.3);
    Random r(seed);
    std::map<RecordKey, std::optional<std::string>> last;
    for (std::uint64_t step = 0; step < 200; ++step) {
      const auto a = static_cast<std::uint32_t>(random_below(r, 9));
      if (random_below(r, 20) == 0)
        f.set_link_filter([a](std::uint32_t x, std::uint32_t y) { return (x < a) != (y < a); });
      if (random_below(r, 20) == 0)
        f.set_link_filter([a](std::uint32_t x, std::uint32_t) { return x == a; });
      if (random_below(r, 10) == 0) f.set_link_filter({});
      if (random_below(r, 10) == 0) f.stall(a, random_below(r, 2) == 0);
      // One writer per term, as leader leases guarantee.
      f.run_until([&, e = f.epoch()] { return f.epoch() != e; }, 3s);
      const auto writer = static_cast<std::uint32_t>(random_below(r, 9));
      const RecordKey key{0, random_below(r, 10)};
      const auto value = std::to_string(step);
      const bool erases = random_below(r, 4) == 0 && f.store(writer).find(key);
      const auto put = erases ? f.erase(writer, key) : f.put(writer, key, value);
      ASSERT_EQ(put.kind, Kind::accepted);
      last[key] = erases ? std::nullopt : std::optional(value);
    }
    f.set_link_filter({});
    for (std::uint32_t n = 0; n < 9; ++n) f.stall(n, false);
    const auto all = [&](std::uint32_t n) {
      return std::ranges::all_of(last, [&](const auto& l) {
        const auto* shown = f.store(n).find(l.first);
        return l.second ? shown && shown->value == *l.second : !shown;
      });
    };
    EXPECT_TRUE(f.run_until([&] { return all(0) && f.stores_agree(0); }, 120s)) << seed;
  }
}

// ---- Arbitrary messages -------------------------------------------------------------------------

Message random_message(Random& r, std::uint64_t epoch) {
  const auto any = [&] {
    Record x{{static_cast<std::uint8_t>(random_below(r, 4) == 0 ? r() : random_below(r, 2)),
              random_below(r, 40)},
             {random_below(r, 4) == 0 ? r() : epoch - random_below(r, 40),
              static_cast<std::uint32_t>(r()), id(random_below(r, 10))},
             random_below(r, 4) == 0 ? static_cast<std::uint32_t>(r())
                                     : kUnix + static_cast<std::uint32_t>(random_below(r, 300)),
             random_below(r, 3) == 0,
             {}};
    if (random_below(r, 8) == 0) x.key.space = kWatermarkSpace, x.key.number = random_below(r, 3);
    if (!x.deleted) {
      const auto letter = static_cast<char>(r());
      x.value = std::string(random_below(r, 8) == 0 ? 30 : random_below(r, 50), letter);
    }
    return x;
  };
  Message m{{id(1), 1, 1, 0, static_cast<std::uint32_t>(random_below(r, 2) ? r() : 0), 0}, {}};
  const auto kind = random_below(r, 3);
  if (kind == 0) {
    RecordUpdate t;
    for (auto n = random_below(r, 4); n > 0; --n) t.records.push_back(any());
    m.body = t;
  } else if (kind == 1) {
    RecordAck a;
    for (auto n = random_below(r, 6); n > 0; --n) a.held.push_back({any().key, any().version});
    m.body = a;
  } else {
    DigestRequest a{static_cast<std::uint16_t>(r()), static_cast<std::uint8_t>(r()), {}};
    for (auto n = random_below(r, 100); n > 0; --n)
      a.digests.push_back(static_cast<std::uint16_t>(r()));
    m.body = a;
  }
  return m;
}
TEST_F(StoreFleet, ArbitraryMessagesExceedNoLimitAndNodesConverge) {
  options_.config.max_records = 30, options_.config.max_bytes = 3000;
  auto& f = fleet(8);
  Random r(3);
  for (int i = 0; i < 20'000; ++i) {
    const auto message = random_message(r, f.store(0).config().max_epoch(f.local_time(0)));
    const auto bytes = encode(message, {});
    if (bytes.size() <= kMaxDatagramBytes) {
      const auto to = static_cast<std::uint32_t>(random_below(r, 8));
      const auto from = static_cast<std::uint32_t>(random_below(r, 8));
      f.inject(from, to, message);
    }
    if (i % 10 == 0) f.run_for(20ms);
  }
  for (std::uint32_t n = 0; n < f.size(); ++n) {
    const auto& stats = f.store(n).stats();
    EXPECT_LE(stats.records, 2 * 30U + 2);
    EXPECT_LE(stats.bytes, 2 * 3000U + 2 * kMaxDatagramBytes);
    EXPECT_GT(stats.epoch_ahead + stats.malformed + stats.too_far + stats.expired + stats.no_space +
                  stats.full,
              500U);
  }
  // Once the forged records have expired, new writes are replicated and reach all nodes.
  f.run_for(400s);
  for (std::uint64_t n = 0; n < 30; ++n) ASSERT_TRUE(safe(2, f.put(2, {0, n}, "x"))) << n;
  EXPECT_TRUE(f.run_until([&] { return f.stores_agree(0) && f.holder_count({0, 29}) == 8; }, 60s));
}

}  // namespace
}  // namespace petrelrail::fleet::test

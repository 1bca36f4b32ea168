#include "record_cases.hpp"

#include <algorithm>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;
using fleet::RecordKey;
using Kind = fleet::ReplicatedStore::PutResult::Kind;

constexpr std::size_t kValueBytes = 60;
constexpr std::uint64_t kRecords = 1000;  // in a full store
constexpr auto kMaxWait = 400s;           // for a condition to hold
constexpr std::uint32_t kKilledTenths = 7,
                        kTenths = 10;  // share of nodes that a mass failure affects

class CaseRun {
 public:
  CaseRun(const RecordCaseConfig& config, bool full)
      : config_(config), fleet_(options(config)), dice_(mix_hash(config.seed + 1)) {
    for (std::uint32_t n = 0; n < fleet_.size(); ++n) start(n, full);
    wait_until_caught_up();
  }
  RecordFleet& fleet() { return fleet_; }
  RandomStreams& dice() { return dice_; }
  std::uint32_t random_node() { return static_cast<std::uint32_t>(dice_.below(fleet_.size())); }
  bool caught_up(std::uint32_t n) const { return fleet_.store(n).caught_up(fleet_.local_time(n)); }
  bool wait_until_caught_up() {
    return fleet_.run_until(
        [&] {
          for (std::uint32_t n = 0; n < fleet_.size(); ++n)
            if (fleet_.is_up(n) && !caught_up(n)) return false;
          return true;
        },
        kMaxWait, 500ms);
  }
  void start(std::uint32_t node, bool full) {
    fleet::ReplicatedStore::Snapshot state;
    if (full) {
      const auto end_time = std::chrono::duration_cast<std::chrono::seconds>(
          (fleet_.now() + 1h).time_since_epoch());
      for (std::uint64_t i = 0; i < kRecords; ++i)
        state.records.push_back({{1, i},
                                 {1, 1, fleet::MemberId(0)},
                                 common_end(end_time),
                                 false,
                                 std::string(kValueBytes, 'r')});
      state.caught_up = true;
    }
    fleet_.start_with(node, state);
  }
  std::size_t record_count(std::uint32_t node) const {
    std::size_t count = 0;
    fleet_.store(node).for_each(1, [&](const fleet::Record&) { ++count; });
    return count;
  }
  // Writes a new record at a running node and waits for the outcome.
  struct WriteResult {
    std::uint32_t writer = 0;
    RecordKey key;
    Time time{};
    bool is_replicated = false;
  };
  WriteResult write(std::uint32_t writer) {
    WriteResult w{writer, {0, ++write_count_}, fleet_.now(), false};
    const auto put = fleet_.put(writer, w.key, std::string(kValueBytes, 'w'));
    if (put.kind != Kind::accepted) return w;
    fleet_.run_until([&] { return fleet_.outcome(writer, put.ticket) != nullptr; }, kMaxWait, 5ms);
    w.is_replicated = fleet_.outcome(writer, put.ticket)->is_replicated;
    return w;
  }
  double seconds_since(Time t) const { return seconds(fleet_.now() - t); }

 private:
  static RecordFleet::Options options(const RecordCaseConfig& t) {
    RecordFleet::Options o;
    o.nodes = t.nodes, o.zones = t.zones, o.seed = t.seed;
    o.peers.loss = t.loss;
    o.config = store_config(t);
    return o;
  }
  // Returns the expiry of the first call, so that the preloaded records are equal at all nodes.
  std::uint32_t common_end(std::chrono::seconds end_time) {
    if (common_end_ == 0) common_end_ = static_cast<std::uint32_t>(end_time.count());
    return common_end_;
  }

  RecordCaseConfig config_;
  RecordFleet fleet_;
  RandomStreams dice_;
  std::uint64_t write_count_ = 0;
  std::uint32_t common_end_ = 0;
};

// Writes one record at a time, each at a random node.
RecordCaseResult writes(const RecordCaseConfig& config) {
  CaseRun p(config, false);
  auto& f = p.fleet();
  RecordCaseResult result;
  f.reset_traffic();
  for (std::uint32_t i = 0; i < config.trials; ++i) {
    const auto w = p.write(p.random_node());
    result["unsafe"].push_back(w.is_replicated ? 0 : 1);
    if (!w.is_replicated) continue;
    result["safe_s"].push_back(p.seconds_since(w.time));
    f.run_until([&] { return f.holder_count(w.key) == f.size(); }, kMaxWait, 20ms);
    result["known_s"].push_back(p.seconds_since(w.time));
  }
  result["most_in"].push_back(static_cast<double>(f.max_arrivals_per_s()));
  return result;
}

// One node writes a record and a watermark each second; records the staleness at every node.
RecordCaseResult staleness(const RecordCaseConfig& config) {
  CaseRun p(config, false);
  auto& f = p.fleet();
  RecordCaseResult result;
  f.reset_traffic();
  for (std::uint32_t i = 0; i < 20 + config.trials; ++i) {
    f.put(0, {0, i % 30}, std::to_string(i));
    f.write_watermark(0, 0);
    f.run_for(1s);
    if (i >= 20)
      for (std::uint32_t n = 0; n < f.size(); ++n)
        if (const auto s = f.store(n).staleness(f.local_time(n), 0))
          result["age_s"].push_back(seconds(*s));
  }
  result["most_in"].push_back(static_cast<double>(f.max_arrivals_per_s()));
  return result;
}

RecordCaseResult empty_node(const RecordCaseConfig& config) {
  CaseRun p(config, true);
  auto& f = p.fleet();
  RecordCaseResult result;
  f.reset_traffic();
  const auto node = p.random_node();
  const Time start_time = f.now();
  f.start(node);
  f.run_until([&] { return p.record_count(node) == kRecords; }, kMaxWait, 100ms);
  result["has_all_s"].push_back(p.seconds_since(start_time));
  f.run_until([&] { return p.caught_up(node); }, kMaxWait, 100ms);
  result["caught_up_s"].push_back(p.seconds_since(start_time));
  result["most_in"].push_back(static_cast<double>(f.max_arrivals_per_s()));
  return result;
}

// Seven in ten nodes restart at once without data, and so also pull from each other.
RecordCaseResult empty_fleet(const RecordCaseConfig& config) {
  CaseRun p(config, true);
  auto& f = p.fleet();
  RecordCaseResult result;
  f.reset_traffic();
  const Time start_time = f.now();
  for (std::uint32_t n = 0; n < f.size(); ++n)
    if (n % kTenths < kKilledTenths) f.start(n);
  p.wait_until_caught_up();
  result["caught_up_s"].push_back(p.seconds_since(start_time));
  double missing = 0;
  for (std::uint32_t n = 0; n < f.size(); ++n)
    missing += static_cast<double>(kRecords - p.record_count(n));
  result["missing"].push_back(missing);
  result["most_in"].push_back(static_cast<double>(f.max_arrivals_per_s()));
  return result;
}

// Kills the nodes that `select_killed` returns within 5 ms of the report that a write is
// replicated. Records whether the record is lost and how long it takes to reach all running nodes.
template <class SelectKilled>
RecordCaseResult kill_after_write(const RecordCaseConfig& config, SelectKilled select_killed) {
  CaseRun p(config, false);
  auto& f = p.fleet();
  RecordCaseResult result;
  f.reset_traffic();
  for (std::uint32_t i = 0; i < config.trials; ++i) {
    const auto w = p.write(p.random_node());
    if (!w.is_replicated) continue;
    result["holders"].push_back(f.holder_count(w.key));
    const Time start_time = f.now();
    for (const auto n : select_killed(p, w)) f.kill(n);
    std::uint32_t living = 0;
    for (std::uint32_t n = 0; n < f.size(); ++n) living += f.is_up(n);
    const bool all = f.run_until([&] { return f.holder_count(w.key) == living; }, 40s, 20ms);
    result["lost"].push_back(f.holder_count(w.key) == 0 ? 1 : 0);
    if (all) result["known_s"].push_back(p.seconds_since(start_time));
    for (std::uint32_t n = 0; n < f.size(); ++n)
      if (!f.is_up(n)) f.start(n);
    f.run_for(5s);
    p.wait_until_caught_up();
  }
  result["most_in"].push_back(static_cast<double>(f.max_arrivals_per_s()));
  return result;
}
// Kills two nodes that hold the record, its writer and another.
RecordCaseResult kill_two(const RecordCaseConfig& config) {
  return kill_after_write(config, [](CaseRun& p, const CaseRun::WriteResult& w) {
    std::vector<std::uint32_t> others;
    for (std::uint32_t n = 0; n < p.fleet().size(); ++n)
      if (n != w.writer && p.fleet().store(n).find(w.key)) others.push_back(n);
    return std::vector{w.writer, others[p.dice().below(others.size())]};
  });
}
RecordCaseResult kill_zone(const RecordCaseConfig& config) {
  return kill_after_write(config, [](CaseRun& p, const CaseRun::WriteResult& w) {
    std::vector<std::uint32_t> killed;
    for (std::uint32_t n = 0; n < p.fleet().size(); ++n)
      if (p.fleet().zone(n) == p.fleet().zone(w.writer)) killed.push_back(n);
    return killed;
  });
}
RecordCaseResult kill_seven_in_ten(const RecordCaseConfig& config) {
  return kill_after_write(config, [](CaseRun& p, const CaseRun::WriteResult&) {
    std::vector<std::uint32_t> killed(p.fleet().size());
    for (std::uint32_t n = 0; n < killed.size(); ++n) killed[n] = n;
    p.dice().shuffle(killed);
    killed.resize(killed.size() * kKilledTenths / kTenths);
    return killed;
  });
}

// Partitions a zone for 6 s while both sides write; records how long the stores take to agree after
// the partition heals.
RecordCaseResult partition(const RecordCaseConfig& config) {
  CaseRun p(config, false);
  auto& f = p.fleet();
  RecordCaseResult result;
  f.reset_traffic();
  f.set_link_filter(
      [&](std::uint32_t a, std::uint32_t b) { return (f.zone(a) == 0) != (f.zone(b) == 0); });
  for (std::uint64_t i = 0; i < 12; ++i) {
    f.put(1, {0, i}, std::string(kValueBytes, 'm'));
    f.put(0, {0, 100 + i}, std::string(kValueBytes, 'n'));
    f.run_for(500ms);
  }
  f.set_link_filter({});
  const Time heal_time = f.now();
  const bool all = f.run_until(
      [&] {
        return f.stores_agree(0) && f.holder_count({0, 0}) == f.size();
      },
      kMaxWait, 50ms);
  if (all) result["agreed_s"].push_back(p.seconds_since(heal_time));
  result["most_in"].push_back(static_cast<double>(f.max_arrivals_per_s()));
  return result;
}

}  // namespace

fleet::ReplicatedStoreConfig store_config(const RecordCaseConfig& config) {
  fleet::ReplicatedStoreConfig store;
  store.nodes = config.nodes, store.spaces = 2;
  store.gossip_per_s = config.gossip_per_s, store.pull_per_s = config.pull_per_s;
  return store;
}

const std::vector<RecordCase>& record_cases() {
  static const std::vector<RecordCase> cases{{"writes", writes},
                                             {"age", staleness},
                                             {"empty-node", empty_node},
                                             {"empty-fleet", empty_fleet},
                                             {"two-die", kill_two},
                                             {"zone-dies", kill_zone},
                                             {"seven-in-ten", kill_seven_in_ten},
                                             {"cut", partition}};
  return cases;
}

}  // namespace petrelrail::world

#include "member_cases.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;
using fleet::MemberStatus;

constexpr Duration kSettleTime = 10s;  // after the start, before a fault is injected
constexpr Duration kMaxWait = 60s;     // for a condition to hold
constexpr std::uint32_t kKilledNode = 17, kTenths = 10;

const char* kind_name(std::size_t kind) {
  static constexpr std::array<const char*, std::variant_size_v<fleet::Body>> names{
      "ping",     "ack",       "ping_request", "relayed",     "nack",       "gossip",
      "sync_ask", "sync_tell", "duty_tell",    "record_tell", "record_ack", "record_ask"};
  return names[kind];
}

// A fleet and the metrics that all cases share: suspicions, and failures wrongly concluded.
class CaseRun {
 public:
  explicit CaseRun(const MemberCaseConfig& config)
      : config_(config),
        dice_(RandomStreams(mix_hash(config.seed)).stream("case")),
        fleet_(options(config),
               [this](Time time, std::uint32_t observer, const fleet::StatusChange& change) {
                 on_status_change(time, observer, change);
               }),
        stalling_(config.nodes),
        start_time_(fleet_.now()) {}

  MemberFleet& fleet() { return fleet_; }
  RandomStreams& dice() { return dice_; }
  double seconds_since(Time t) const { return petrelrail::seconds(fleet_.now() - t); }
  // Starts all nodes, waits until all views are accurate and resets the metrics.
  void start_and_settle() {
    fleet_.start_all();
    result_.values["join_s"] = seconds_until([this] { return fleet_.views_are_accurate(); });
    fleet_.run_for(kSettleTime);
    reset_metrics();
  }
  // Runs until `condition` holds, at most for kMaxWait; returns the seconds that passed.
  double seconds_until(const std::function<bool()>& condition) {
    const Time start = fleet_.now();
    fleet_.run_until(condition, kMaxWait);
    return seconds_since(start);
  }
  void reset_metrics() {
    fleet_.reset_traffic();
    result_.detection_times_s.clear();
    wrong_ = wrong_healthy_failures_ = suspicions_ = 0;
    start_time_ = fleet_.now();
  }
  // Records from now on how long each node takes to detect the failure of `victim`.
  void measure_detection(std::uint32_t victim) { victim_ = victim, fault_time_ = fleet_.now(); }
  // Excludes a node that stalls from wrong_healthy: failures concluded of it count only in `wrong`.
  void mark_stalling(std::uint32_t node) { stalling_[node] = true; }
  MemberCaseResult result() {
    auto& v = result_.values;
    const double span = std::max(seconds_since(start_time_), 1e-9), nodes = config_.nodes;
    v["wrong"] = static_cast<double>(wrong_),
    v["wrong_healthy"] = static_cast<double>(wrong_healthy_failures_);
    v["suspicions"] = static_cast<double>(suspicions_);
    const auto busiest = fleet_.busiest_traffic();
    v["most_in"] = static_cast<double>(busiest.max_arrivals_per_s);
    for (std::size_t k = 0; k < busiest.max_arrivals_by_kind.size(); ++k)
      if (busiest.max_arrivals_by_kind[k] > 0)
        v[std::string("in_") + kind_name(k)] = static_cast<double>(busiest.max_arrivals_by_kind[k]);
    v["bytes_out_per_s"] = static_cast<double>(fleet_.bytes_sent()) / nodes / span;
    v["datagrams_out_per_s"] = static_cast<double>(fleet_.datagrams_sent()) / nodes / span;
    return result_;
  }
  std::map<std::string, double>& values() { return result_.values; }

 private:
  static MemberFleet::Options options(const MemberCaseConfig& t) {
    MemberFleet::Options o;
    o.nodes = t.nodes, o.seed = t.seed;
    o.peers.loss = t.loss, o.peers.in_per_s = t.inbox_per_s;
    o.config.plain_swim = t.plain_swim;
    return o;
  }
  void on_status_change(Time time, std::uint32_t, const fleet::StatusChange& change) {
    const auto subject = static_cast<std::uint32_t>(change.member);
    if (change.status == MemberStatus::suspect) ++suspicions_;
    if (change.status != MemberStatus::failed) return;
    if (victim_ == subject)
      result_.detection_times_s.push_back(petrelrail::seconds(time - fault_time_));
    if (!fleet_.is_up(subject)) return;
    ++wrong_;
    if (!stalling_[subject]) ++wrong_healthy_failures_;
  }

  MemberCaseConfig config_;
  RandomStreams dice_;
  MemberFleet fleet_;
  std::vector<bool> stalling_;
  MemberCaseResult result_;
  std::optional<std::uint32_t> victim_;
  Time fault_time_{}, start_time_;
  std::uint64_t wrong_ = 0, wrong_healthy_failures_ = 0, suspicions_ = 0;
};

MemberCaseResult start_at_once(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.fleet().start_all();
  p.values()["agree_s"] = p.seconds_until([&] { return p.fleet().views_are_accurate(); });
  return p.result();
}

MemberCaseResult start_one_by_one(const MemberCaseConfig& t) {
  CaseRun p(t);
  for (std::uint32_t n = 0; n < t.nodes; ++n) {
    p.fleet().start(n);
    p.fleet().run_for(100ms);
  }
  p.values()["agree_s"] = p.seconds_until([&] { return p.fleet().views_are_accurate(); });
  return p.result();
}

MemberCaseResult restart_in_tenths(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.start_and_settle();
  for (std::uint32_t r = 0; r < kTenths; ++r) {
    for (auto n = r * t.nodes / kTenths; n < (r + 1) * t.nodes / kTenths; ++n) p.fleet().start(n);
    p.fleet().run_for(2s);
  }
  p.values()["agree_s"] = p.seconds_until([&] { return p.fleet().views_are_accurate(); });
  return p.result();
}

MemberCaseResult kill_one(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.start_and_settle();
  const auto victim = kKilledNode % t.nodes;
  p.measure_detection(victim);
  p.fleet().kill(victim);
  p.values()["agree_s"] = p.seconds_until([&] { return p.fleet().views_are_accurate(); });
  return p.result();
}

MemberCaseResult kill_most(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.start_and_settle();
  std::vector<std::uint32_t> all(t.nodes);
  for (std::uint32_t n = 0; n < t.nodes; ++n) all[n] = n;
  p.dice().shuffle(all);
  all.resize(static_cast<std::size_t>(0.7 * t.nodes));
  for (const auto n : all) p.fleet().kill(n);
  p.values()["agree_s"] = p.seconds_until([&] { return p.fleet().views_are_accurate(); });
  return p.result();
}

MemberCaseResult quiet(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.start_and_settle();
  p.fleet().run_for(from_seconds(t.seconds > 0 ? t.seconds : 3600));
  return p.result();
}

MemberCaseResult stalls(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.start_and_settle();
  const Range span{0.5, 2};
  std::function<void(std::uint32_t)> stall, resume;
  stall = [&](std::uint32_t n) {
    p.fleet().stall(n, true);
    p.fleet().at(p.fleet().now() + p.dice().seconds_in(span), [&, n] { resume(n); });
  };
  resume = [&](std::uint32_t n) {
    p.fleet().stall(n, false);
    p.fleet().at(p.fleet().now() + p.dice().seconds_in(span), [&, n] { stall(n); });
  };
  for (std::uint32_t n = 0; n < t.nodes; n += kTenths) {
    p.mark_stalling(n);
    p.fleet().at(p.fleet().now() + p.dice().seconds_in(span), [&, n] { stall(n); });
  }
  p.fleet().run_for(from_seconds(t.seconds > 0 ? t.seconds : 600));
  return p.result();
}

MemberCaseResult partition_and_heal(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.start_and_settle();
  const auto boundary = 2 * t.nodes / 3;
  p.fleet().set_link_filter(
      [boundary](std::uint32_t a, std::uint32_t b) { return (a < boundary) != (b < boundary); });
  p.fleet().run_for(6s);
  p.values()["small_side_knows"] = p.fleet().view(t.nodes - 1)->reachability ==
                                           fleet::Reachability::minority
                                       ? 1
                                       : 0;
  p.values()["large_side_knows"] = p.fleet().view(0)->reachability == fleet::Reachability::majority
                                       ? 1
                                       : 0;
  p.values()["not_known"] = 2 - p.values()["small_side_knows"] - p.values()["large_side_knows"];
  p.fleet().set_link_filter({});
  p.values()["agree_s"] = p.seconds_until([&] { return p.fleet().views_are_accurate(); });
  return p.result();
}

MemberCaseResult one_way_loss(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.start_and_settle();
  p.fleet().set_link_filter([&](std::uint32_t a, std::uint32_t b) {
    return p.fleet().zone(a) == 0 && p.fleet().zone(b) == 1;
  });
  p.fleet().run_for(from_seconds(t.seconds > 0 ? t.seconds : 60));
  return p.result();
}

// One zone and half of the nodes of the other zones don't reach each other.
MemberCaseResult partial_partition(const MemberCaseConfig& t) {
  CaseRun p(t);
  p.start_and_settle();
  p.fleet().set_link_filter([&](std::uint32_t a, std::uint32_t b) {
    const auto is_cut_off = [&](std::uint32_t n) { return p.fleet().zone(n) != 0 && n % 2 == 0; };
    return (p.fleet().zone(a) == 0 && is_cut_off(b)) || (p.fleet().zone(b) == 0 && is_cut_off(a));
  });
  p.fleet().run_for(from_seconds(t.seconds > 0 ? t.seconds : 60));
  return p.result();
}

MemberCaseConfig with_loss(double loss) {
  MemberCaseConfig t;
  t.loss = loss;
  return t;
}

}  // namespace

const std::vector<MemberCase>& member_cases() {
  const MemberCaseGoal intake{"most_in", 60};
  static const std::vector<MemberCase> all{
      {"start", "all start at once", {}, {{"agree_s", 15}, intake, {"wrong", 0}}, start_at_once},
      {"turn",
       "nodes start one by one, ten a second",
       {},
       {{"agree_s", 15}, intake, {"wrong", 0}},
       start_one_by_one},
      {"restart",
       "nodes are restarted a tenth at a time",
       {},
       {{"agree_s", 15}, intake, {"wrong", 0}},
       restart_in_tenths},
      {"kill-0",
       "one node is killed, no loss",
       with_loss(0),
       {{"know_p99", 4}, intake, {"wrong", 0}},
       kill_one,
       true},
      {"kill-5",
       "one node is killed, 5% loss",
       {},
       {{"know_p99", 4}, intake, {"wrong", 0}},
       kill_one,
       true},
      {"kill-30",
       "one node is killed, 30% loss",
       with_loss(0.3),
       {{"know_p99", 8}, intake},
       kill_one,
       true},
      {"mass",
       "seven in ten nodes are killed at once",
       {},
       {{"agree_s", 8}, intake, {"wrong", 0}},
       kill_most},
      {"quiet",
       "an hour without faults but 5% loss",
       {},
       {{"wrong", 0}, {"bytes_out_per_s", 150}, intake},
       quiet},
      {"stalls",
       "one in ten stalls 0.5 to 2 s again and again",
       {},
       {{"wrong_healthy", 0}, intake},
       stalls},
      {"cut",
       "cut into 200 and 100 for 6 s, healed",
       {},
       {{"agree_s", 5}, intake, {"not_known", 0}},
       partition_and_heal},
      {"one-way", "one-way loss between two zones", {}, {{"wrong", 0}, intake}, one_way_loss},
      {"half-seen",
       "half of the other nodes can't reach one zone",
       {},
       {{"wrong", 0}, intake},
       partial_partition},
  };
  return all;
}

const MemberCase& member_case(const std::string& name) {
  const auto& all = member_cases();
  const auto it = std::ranges::find(all, name, &MemberCase::name);
  if (it == all.end()) throw std::invalid_argument("unknown case \"" + name + "\"");
  return *it;
}

}  // namespace petrelrail::world

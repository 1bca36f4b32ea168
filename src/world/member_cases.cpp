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

constexpr Duration kSettle = 10s;  // after a start, before anything is done
constexpr Duration kMost = 60s;    // for anything to come about
constexpr std::uint32_t kVictim = 17, kEach = 10;

const char* kind_name(std::size_t kind) {
  static constexpr std::array<const char*, std::variant_size_v<fleet::Body>> names{
      "ping",     "ack",       "ping_request", "relayed",     "nack",       "gossip",
      "sync_ask", "sync_tell", "duty_tell",    "record_tell", "record_ack", "record_ask"};
  return names[kind];
}

// A fleet with what all cases count: verdicts, and of these the wrong ones.
class Play {
 public:
  explicit Play(const CaseTerms& terms)
      : terms_(terms),
        dice_(RandomStreams(mix_hash(terms.seed)).stream("case")),
        fleet_(options(terms),
               [this](Time at, std::uint32_t by, const fleet::StatusChange& v) { saw(at, by, v); }),
        shaky_(terms.nodes),
        from_(fleet_.now()) {}

  MemberFleet& fleet() { return fleet_; }
  RandomStreams& dice() { return dice_; }
  double since(Time t) const { return petrelrail::seconds(fleet_.now() - t); }
  // All are up and know each other, and all is quiet.
  void settled() {
    fleet_.start_all();
    figures_.values["join_s"] = until([this] { return fleet_.agreed(); });
    fleet_.run_for(kSettle);
    forget();
  }
  // Seconds until it holds; the most that is waited if it does not.
  double until(const std::function<bool()>& holds) {
    const Time from = fleet_.now();
    fleet_.run_until(holds, kMost);
    return since(from);
  }
  void forget() {
    fleet_.reset_traffic();
    figures_.know.clear();
    wrong_ = wrong_healthy_ = suspicions_ = 0;
    from_ = fleet_.now();
  }
  // From here on it is counted how long each node takes to know that this one has failed.
  void watch(std::uint32_t victim) { victim_ = victim, watched_from_ = fleet_.now(); }
  // Failures of this one, which stalls, are counted apart.
  void shaky(std::uint32_t node) { shaky_[node] = true; }
  CaseFigures done() {
    auto& v = figures_.values;
    const double span = std::max(since(from_), 1e-9), nodes = terms_.nodes;
    v["wrong"] = static_cast<double>(wrong_),
    v["wrong_healthy"] = static_cast<double>(wrong_healthy_);
    v["suspicions"] = static_cast<double>(suspicions_);
    const auto worst = fleet_.worst();
    v["most_in"] = static_cast<double>(worst.most_in);
    for (std::size_t k = 0; k < worst.most_by_kind.size(); ++k)
      if (worst.most_by_kind[k] > 0)
        v[std::string("in_") + kind_name(k)] = static_cast<double>(worst.most_by_kind[k]);
    v["bytes_out_per_s"] = static_cast<double>(fleet_.bytes()) / nodes / span;
    v["datagrams_out_per_s"] = static_cast<double>(fleet_.sent()) / nodes / span;
    return figures_;
  }
  std::map<std::string, double>& values() { return figures_.values; }

 private:
  static MemberFleet::Options options(const CaseTerms& t) {
    MemberFleet::Options o;
    o.nodes = t.nodes, o.seed = t.seed;
    o.peers.loss = t.loss, o.peers.in_per_s = t.in_per_s;
    o.terms.plain_swim = t.plain;
    return o;
  }
  void saw(Time at, std::uint32_t, const fleet::StatusChange& v) {
    const auto about = static_cast<std::uint32_t>(v.member);
    if (v.status == MemberStatus::suspect) ++suspicions_;
    if (v.status != MemberStatus::failed) return;
    if (victim_ == about) figures_.know.push_back(petrelrail::seconds(at - watched_from_));
    if (!fleet_.up(about)) return;
    ++wrong_;
    if (!shaky_[about]) ++wrong_healthy_;
  }

  CaseTerms terms_;
  RandomStreams dice_;
  MemberFleet fleet_;
  std::vector<bool> shaky_;
  CaseFigures figures_;
  std::optional<std::uint32_t> victim_;
  Time watched_from_{}, from_;
  std::uint64_t wrong_ = 0, wrong_healthy_ = 0, suspicions_ = 0;
};

CaseFigures start_at_once(const CaseTerms& t) {
  Play p(t);
  p.fleet().start_all();
  p.values()["agree_s"] = p.until([&] { return p.fleet().agreed(); });
  return p.done();
}

CaseFigures start_in_turn(const CaseTerms& t) {
  Play p(t);
  for (std::uint32_t n = 0; n < t.nodes; ++n) {
    p.fleet().start(n);
    p.fleet().run_for(100ms);
  }
  p.values()["agree_s"] = p.until([&] { return p.fleet().agreed(); });
  return p.done();
}

CaseFigures restart_in_tenths(const CaseTerms& t) {
  Play p(t);
  p.settled();
  for (std::uint32_t r = 0; r < kEach; ++r) {
    for (auto n = r * t.nodes / kEach; n < (r + 1) * t.nodes / kEach; ++n) p.fleet().start(n);
    p.fleet().run_for(2s);
  }
  p.values()["agree_s"] = p.until([&] { return p.fleet().agreed(); });
  return p.done();
}

CaseFigures kill_one(const CaseTerms& t) {
  Play p(t);
  p.settled();
  const auto victim = kVictim % t.nodes;
  p.watch(victim);
  p.fleet().kill(victim);
  p.values()["agree_s"] = p.until([&] { return p.fleet().agreed(); });
  return p.done();
}

CaseFigures kill_most(const CaseTerms& t) {
  Play p(t);
  p.settled();
  std::vector<std::uint32_t> all(t.nodes);
  for (std::uint32_t n = 0; n < t.nodes; ++n) all[n] = n;
  p.dice().shuffle(all);
  all.resize(static_cast<std::size_t>(0.7 * t.nodes));
  for (const auto n : all) p.fleet().kill(n);
  p.values()["agree_s"] = p.until([&] { return p.fleet().agreed(); });
  return p.done();
}

CaseFigures quiet(const CaseTerms& t) {
  Play p(t);
  p.settled();
  p.fleet().run_for(from_seconds(t.seconds > 0 ? t.seconds : 3600));
  return p.done();
}

CaseFigures stalls(const CaseTerms& t) {
  Play p(t);
  p.settled();
  const Range span{0.5, 2};
  std::function<void(std::uint32_t)> fall, wake;
  fall = [&](std::uint32_t n) {
    p.fleet().stall(n, true);
    p.fleet().at(p.fleet().now() + p.dice().seconds_in(span), [&, n] { wake(n); });
  };
  wake = [&](std::uint32_t n) {
    p.fleet().stall(n, false);
    p.fleet().at(p.fleet().now() + p.dice().seconds_in(span), [&, n] { fall(n); });
  };
  for (std::uint32_t n = 0; n < t.nodes; n += kEach) {
    p.shaky(n);
    p.fleet().at(p.fleet().now() + p.dice().seconds_in(span), [&, n] { fall(n); });
  }
  p.fleet().run_for(from_seconds(t.seconds > 0 ? t.seconds : 600));
  return p.done();
}

CaseFigures cut_and_heal(const CaseTerms& t) {
  Play p(t);
  p.settled();
  const auto edge = 2 * t.nodes / 3;
  p.fleet().cut([edge](std::uint32_t a, std::uint32_t b) { return (a < edge) != (b < edge); });
  p.fleet().run_for(6s);
  p.values()["small_side_knows"] = p.fleet().view(t.nodes - 1)->reachability ==
                                           fleet::Reachability::minority
                                       ? 1
                                       : 0;
  p.values()["large_side_knows"] = p.fleet().view(0)->reachability == fleet::Reachability::majority
                                       ? 1
                                       : 0;
  p.values()["not_known"] = 2 - p.values()["small_side_knows"] - p.values()["large_side_knows"];
  p.fleet().cut({});
  p.values()["agree_s"] = p.until([&] { return p.fleet().agreed(); });
  return p.done();
}

CaseFigures one_way(const CaseTerms& t) {
  Play p(t);
  p.settled();
  p.fleet().cut([&](std::uint32_t a, std::uint32_t b) {
    return p.fleet().zone(a) == 0 && p.fleet().zone(b) == 1;
  });
  p.fleet().run_for(from_seconds(t.seconds > 0 ? t.seconds : 60));
  return p.done();
}

// One zone is seen by half of the others only, both ways.
CaseFigures half_seen(const CaseTerms& t) {
  Play p(t);
  p.settled();
  p.fleet().cut([&](std::uint32_t a, std::uint32_t b) {
    const auto blind = [&](std::uint32_t n) { return p.fleet().zone(n) != 0 && n % 2 == 0; };
    return (p.fleet().zone(a) == 0 && blind(b)) || (p.fleet().zone(b) == 0 && blind(a));
  });
  p.fleet().run_for(from_seconds(t.seconds > 0 ? t.seconds : 60));
  return p.done();
}

CaseTerms with_loss(double loss) {
  CaseTerms t;
  t.loss = loss;
  return t;
}

}  // namespace

const std::vector<Case>& member_cases() {
  const Goal intake{"most_in", 60};
  static const std::vector<Case> all{
      {"start", "all start at once", {}, {{"agree_s", 15}, intake, {"wrong", 0}}, start_at_once},
      {"turn",
       "they start one by one, ten a second",
       {},
       {{"agree_s", 15}, intake, {"wrong", 0}},
       start_in_turn},
      {"restart",
       "they are restarted a tenth at a time",
       {},
       {{"agree_s", 15}, intake, {"wrong", 0}},
       restart_in_tenths},
      {"kill-0",
       "one is killed, no loss",
       with_loss(0),
       {{"know_p99", 4}, intake, {"wrong", 0}},
       kill_one,
       true},
      {"kill-5",
       "one is killed, 5% loss",
       {},
       {{"know_p99", 4}, intake, {"wrong", 0}},
       kill_one,
       true},
      {"kill-30",
       "one is killed, 30% loss",
       with_loss(0.3),
       {{"know_p99", 8}, intake},
       kill_one,
       true},
      {"mass",
       "seven in ten are killed at once",
       {},
       {{"agree_s", 8}, intake, {"wrong", 0}},
       kill_most},
      {"quiet",
       "an hour with nothing but 5% loss",
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
       cut_and_heal},
      {"one-way", "one zone is not heard by another", {}, {{"wrong", 0}, intake}, one_way},
      {"half-seen",
       "half of the others don't reach one zone",
       {},
       {{"wrong", 0}, intake},
       half_seen},
  };
  return all;
}

const Case& member_case(const std::string& name) {
  const auto& all = member_cases();
  const auto it = std::ranges::find(all, name, &Case::name);
  if (it == all.end()) throw std::invalid_argument("there is no case \"" + name + "\"");
  return *it;
}

}  // namespace petrelrail::world

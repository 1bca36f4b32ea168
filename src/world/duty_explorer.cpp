#include "duty_explorer.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <unordered_set>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;
using fleet::LeaderLease;
using fleet::MemberId;

constexpr std::uint64_t kTerm = 850'000'000;  // any
constexpr std::uint32_t kMostNodes = 8;

struct InFlight {  // a call to the counter, its answer, or a word
  enum class Kind : std::uint8_t { call, answer, word } kind{};
  std::uint32_t node = 0;    // that calls, is answered, or is told
  std::uint64_t number = 0;  // of the call
  std::string name;
  double amount = 0;  // or the total
  std::uint32_t from = 0;
  fleet::LeaseEntry word{};
  bool operator==(const InFlight&) const = default;
};

struct Node {
  std::shared_ptr<const LeaderLease>
      duty;  // shared by the states in which it is the same; null: crashed
  std::uint32_t lives = 1;
  bool paused = false;
  std::uint64_t call = 0;  // waited for; 0: none
  Time called{};
  fleet::FencingToken effect = 0;  // looked at its clock, and is about to
  fleet::FencingToken looked = 0;  // last epoch of an effect
};

struct Course {
  Time now{};
  std::vector<Node> nodes;
  std::vector<InFlight> flights;
  std::map<std::string, double> counter;
  fleet::FencingCheck fence;
  fleet::FencingToken newest = 0;
  std::uint32_t newest_from = 0;
  std::uint32_t timeouts = 0, repeats = 0, pauses = 0, crashes = 0, resigns = 0, empties = 0;
  std::uint32_t depth = 0;
  std::uint32_t reached = 0;  // entry of the log
};

struct Step {
  enum class What : std::uint8_t {
    advance,
    deliver,
    repeat,
    timeout,
    pause,
    wake,
    crash,
    restart,
    resign,
    empty,
    look,
    act
  } what{};
  std::uint32_t which = 0;
};

class Explorer {
 public:
  explicit Explorer(const DutyBounds& b) : bounds_(b) {
    if (b.nodes == 0 || b.nodes > kMostNodes)
      throw std::invalid_argument("explorer: from 1 to " + std::to_string(kMostNodes) + " nodes");
    terms_.nodes = b.nodes;
    end_ = terms_.term_start(kTerm) + scaled(terms_.term_duration(), b.terms);
  }

  DutyExplored run() {
    DutyExplored found;
    std::deque<Course> waiting;
    waiting.push_back(first());
    log_.push_back({0, {}});
    seen_.insert(hash(waiting.front()));
    found.complete = true;
    while (!waiting.empty()) {
      if (seen_.size() >= bounds_.states) {
        found.complete = false;
        break;
      }
      const Course c = std::move(waiting.front());
      waiting.pop_front();
      found.depth = c.depth;
      for (const auto& s : steps(c)) {
        ++found.steps;
        Course next = c;
        next.depth = c.depth + 1;
        const auto breach = take(next, s);
        if (!breach.empty()) {
          log_.push_back({c.reached, s});
          found.breach = breach, found.trace = trace(static_cast<std::uint32_t>(log_.size() - 1));
          found.depth = next.depth, found.states = seen_.size(), found.complete = false;
          return found;
        }
        if (!seen_.insert(hash(next)).second) continue;
        log_.push_back({c.reached, s});
        next.reached = static_cast<std::uint32_t>(log_.size() - 1);
        if (next.depth >= bounds_.depth)
          found.complete = false;
        else
          waiting.push_back(std::move(next));
      }
    }
    found.states = seen_.size();
    return found;
  }

 private:
  Duration skew(std::uint32_t node) const {
    const auto off = terms_.max_clock_skew / 2;
    return (node == 0) == bounds_.behind ? -off : off;
  }
  Time local(const Course& c, std::uint32_t node) const { return c.now + skew(node); }

  fleet::MembershipView view() const {
    fleet::MembershipView v;
    auto seats = std::make_shared<std::vector<fleet::MembershipView::Member>>(bounds_.nodes);
    for (auto& s : *seats) s.state = {1, fleet::MemberStatus::alive, 0};
    v.members = std::move(seats);
    return v;
  }
  LeaderLease duty(std::uint32_t node, std::uint32_t life) const {
    return LeaderLease(terms_, "book", MemberId(static_cast<std::uint16_t>(node)),
                       mix_hash(bounds_.seed + node * 16 + life), bounds_.broken);
  }

  // Node 0 holds the first term, all know it, all have been there for long.
  Course first() const {
    Course c;
    c.now = terms_.term_start(kTerm) + 2 * terms_.max_clock_skew;
    const auto epoch = kTerm * fleet::kEpochsPerTerm;
    const LeaderLease::Holder holder{MemberId(0), epoch, terms_.term_start(kTerm + 1)};
    for (std::uint32_t n = 0; n < bounds_.nodes; ++n) {
      auto d = duty(n, 0);
      LeaderLease::State s{terms_.term_start(kTerm - 2), {}, {}, {}};
      if (bounds_.held) s.known_holders.push_back(holder);
      if (n == 0 && bounds_.held) s.own_terms.push_back({epoch, true});
      d.take_over(local(c, n), s);
      d.on_view(local(c, n), view());
      d.set_candidate(local(c, n), true);
      c.nodes.push_back({std::make_shared<const LeaderLease>(std::move(d))});
    }
    return c;
  }

  // The instant at which something is next due by itself.
  std::optional<Time> due(const Course& c) const {
    Time t = Time::max();
    for (std::uint32_t n = 0; n < c.nodes.size(); ++n) {
      const auto& node = c.nodes[n];
      if (!node.duty || node.paused) continue;
      if (node.duty->next_tick_time() != Time::max())
        t = std::min(t, std::max(node.duty->next_tick_time() - skew(n), c.now + 1ns));
      if (node.call != 0 && c.timeouts < bounds_.timeouts &&
          node.called + terms_.counter_timeout > c.now)
        t = std::min(t, node.called + terms_.counter_timeout);
    }
    if (t > end_) return std::nullopt;
    return t;
  }

  std::vector<Step> steps(const Course& c) const {
    std::vector<Step> all;
    using What = Step::What;
    for (std::uint32_t i = 0; i < c.flights.size(); ++i) {
      const auto& f = c.flights[i];
      if (f.kind != InFlight::Kind::call && (!c.nodes[f.node].duty || c.nodes[f.node].paused))
        continue;
      all.push_back({What::deliver, i});
      if (f.kind == InFlight::Kind::word && c.repeats < bounds_.repeats)
        all.push_back({What::repeat, i});
    }
    for (std::uint32_t n = 0; n < c.nodes.size(); ++n) {
      const auto& node = c.nodes[n];
      if (!node.duty) {
        all.push_back({What::restart, n});
        continue;
      }
      if (node.paused) {
        all.push_back({What::wake, n});
        continue;
      }
      if (node.call != 0 && c.timeouts < bounds_.timeouts &&
          c.now >= node.called + terms_.counter_timeout)
        all.push_back({What::timeout, n});
      if (bounds_.effects && node.effect != 0) all.push_back({What::act, n});
      const auto epoch = node.duty->valid_token_at(local(c, n));
      if (bounds_.effects && epoch && node.effect == 0 && node.looked != *epoch)
        all.push_back({What::look, n});
      if (c.pauses < bounds_.pauses) all.push_back({What::pause, n});
      if (c.crashes < bounds_.crashes) all.push_back({What::crash, n});
      // One that never held anything has nothing to give.
      if (c.resigns < bounds_.resigns && epoch) all.push_back({What::resign, n});
    }
    if (c.empties < bounds_.empties && !c.counter.empty()) all.push_back({What::empty, 0});
    if (due(c)) all.push_back({What::advance, 0});
    return all;
  }

  template <class Change>
  void change(Course& c, std::uint32_t n, const Change& change_it) const {
    auto& node = c.nodes[n];
    auto d = std::make_shared<LeaderLease>(*node.duty);
    change_it(*d, local(c, n));
    collect(c, n, *d);
    node.duty = std::move(d);
  }
  void collect(Course& c, std::uint32_t n, LeaderLease& d) const {
    for (auto& call : d.drain_calls()) {
      c.nodes[n].call = call.id, c.nodes[n].called = c.now;
      c.flights.push_back(
          {InFlight::Kind::call, n, call.id, std::move(call.name), call.amount, 0, {}});
    }
    for (const auto& w : d.drain_announcements()) {
      InFlight f{InFlight::Kind::word, static_cast<std::uint32_t>(w.to), 0, {}, 0, n, w.entry};
      if (bounds_.words && std::ranges::find(c.flights, f) == c.flights.end())
        c.flights.push_back(std::move(f));
    }
  }

  std::string take(Course& c, const Step& s) const {
    using What = Step::What;
    const auto n = s.which;
    switch (s.what) {
      case What::advance: {
        c.now = *due(c);
        // Words of terms that are over are passed over by all.
        const auto term = terms_.term_at(c.now - terms_.max_clock_skew);
        std::erase_if(c.flights, [&](const InFlight& f) {
          return f.kind == InFlight::Kind::word && fleet::term_of(f.word.epoch) < term;
        });
        for (std::uint32_t i = 0; i < c.nodes.size(); ++i)
          if (c.nodes[i].duty && !c.nodes[i].paused &&
              c.nodes[i].duty->next_tick_time() <= local(c, i))
            change(c, i, [](LeaderLease& d, Time now) { d.tick(now); });
        break;
      }
      case What::deliver:
      case What::repeat: {
        const InFlight f = c.flights[n];
        if (s.what == What::repeat)
          ++c.repeats;
        else
          c.flights.erase(c.flights.begin() + n);
        deliver(c, f);
        break;
      }
      case What::timeout:
        ++c.timeouts;
        told(c, n, c.nodes[n].call, CounterOutcome::timeout, 0);
        break;
      case What::pause: ++c.pauses, c.nodes[n].paused = true; break;
      case What::wake:
        c.nodes[n].paused = false;
        if (c.nodes[n].duty->next_tick_time() <= local(c, n))
          change(c, n, [](LeaderLease& d, Time now) { d.tick(now); });
        break;
      case What::crash:
        ++c.crashes;
        c.nodes[n] = {nullptr, c.nodes[n].lives};
        std::erase_if(c.flights, [&](const InFlight& f) {
          return f.kind == InFlight::Kind::answer && f.node == n;
        });
        break;
      case What::restart: {
        auto d = duty(n, c.nodes[n].lives);
        d.on_view(local(c, n), view());
        d.set_candidate(local(c, n), true);
        c.nodes[n] = {std::make_shared<const LeaderLease>(std::move(d)), c.nodes[n].lives + 1};
        break;
      }
      case What::resign:
        ++c.resigns;
        change(c, n, [](LeaderLease& d, Time now) { d.step_down(now); });
        break;
      case What::empty: ++c.empties, c.counter.clear(); break;
      case What::look:
        c.nodes[n].effect = c.nodes[n].looked = *c.nodes[n].duty->valid_token_at(local(c, n));
        break;
      case What::act: return act(c, n);
    }
    return judge(c);
  }

  void deliver(Course& c, const InFlight& f) const {
    switch (f.kind) {
      case InFlight::Kind::call: {
        const double total = c.counter[f.name] += f.amount;
        // An answer that nobody waits for is passed on to nobody.
        if (c.nodes[f.node].call == f.number && c.nodes[f.node].duty)
          c.flights.push_back({InFlight::Kind::answer, f.node, f.number, {}, total, 0, {}});
        break;
      }
      case InFlight::Kind::answer: told(c, f.node, f.number, CounterOutcome::ok, f.amount); break;
      case InFlight::Kind::word:
        change(c, f.node, [&](LeaderLease& d, Time now) {
          d.on_announcement(now, MemberId(static_cast<std::uint16_t>(f.from)), f.word);
        });
        break;
    }
  }
  void told(Course& c, std::uint32_t n, std::uint64_t number, CounterOutcome outcome,
            double total) const {
    if (c.nodes[n].call != number) return;
    c.nodes[n].call = 0;
    std::erase_if(c.flights, [&](const InFlight& f) {
      return f.kind == InFlight::Kind::answer && f.node == n && f.number == number;
    });
    change(c, n,
           [&](LeaderLease& d, Time now) { d.on_counter_reply(now, number, outcome, total); });
  }

  std::string act(Course& c, std::uint32_t n) const {
    const auto epoch = std::exchange(c.nodes[n].effect, 0);
    if (bounds_.fenced && !c.fence.passes(epoch, MemberId(static_cast<std::uint16_t>(n))))
      return {};
    if (epoch < c.newest) return "an older epoch is taken after a newer one";
    if (epoch == c.newest && c.newest_from != n) return "two holders under one epoch";
    c.newest = epoch, c.newest_from = n;
    return judge(c);
  }
  // One that pauses may wake at this very moment.
  std::string judge(const Course& c) const {
    std::uint32_t acting = 0;
    for (std::uint32_t n = 0; n < c.nodes.size(); ++n)
      if (c.nodes[n].duty && c.nodes[n].duty->valid_token_at(local(c, n))) ++acting;
    return acting > 1 ? "two may act at one time" : "";
  }

  static std::uint64_t text_hash(const std::string& s) {
    std::uint64_t h = 1469598103934665603ULL;
    for (const char ch : s) h = (h ^ static_cast<unsigned char>(ch)) * 1099511628211ULL;
    return h;
  }
  std::uint64_t hash(const Course& c) const {
    std::uint64_t h = mix_hash(static_cast<std::uint64_t>(c.now.time_since_epoch().count()));
    const auto add = [&h](auto... values) {
      ((h = mix_hash(h ^ static_cast<std::uint64_t>(values))), ...);
    };
    for (const auto& n : c.nodes) {
      add(n.duty ? n.duty->fingerprint() : 0, n.lives, n.paused, n.call, n.effect, n.looked);
      add(n.call != 0 ? n.called.time_since_epoch().count() : 0);
    }
    // What is under way has no order.
    std::uint64_t flights = 0;
    for (const auto& f : c.flights) {
      std::uint64_t one = mix_hash(static_cast<std::uint64_t>(f.kind) * 64 + f.node * 8 + f.from);
      one = mix_hash(one ^ f.number), one = mix_hash(one ^ text_hash(f.name));
      one = mix_hash(one ^ static_cast<std::uint64_t>(f.amount)),
      one = mix_hash(one ^ f.word.epoch ^ f.word.transferred);
      flights += one;
    }
    add(flights);
    for (const auto& [name, total] : c.counter) add(text_hash(name), total);
    add(c.newest, c.newest_from, c.fence.newest_epoch(), c.timeouts, c.repeats, c.pauses, c.crashes,
        c.resigns, c.empties);
    return h;
  }

  // Played again from the beginning, in words.
  std::vector<std::string> trace(std::uint32_t entry) const {
    std::vector<Step> path;
    for (auto e = entry; e != 0; e = log_[e].before) path.push_back(log_[e].step);
    std::ranges::reverse(path);
    std::vector<std::string> lines;
    auto c = first();
    for (const auto& s : path) {
      auto text = say(c, s);
      take(c, s);
      char at[32];
      std::snprintf(at, sizeof at, "%.3f s: ", seconds(c.now - terms_.term_start(kTerm)));
      lines.push_back(at + text);
    }
    return lines;
  }
  std::string say(const Course& c, const Step& s) const {
    using What = Step::What;
    const auto node = "node " + std::to_string(s.which);
    switch (s.what) {
      case What::advance: return "time goes on";
      case What::deliver:
      case What::repeat: {
        const auto& f = c.flights[s.which];
        const auto who = "node " + std::to_string(f.node);
        const std::string again = s.what == What::repeat ? ", and will once more" : "";
        if (f.kind == InFlight::Kind::call)
          return "the counter takes " + f.name.substr(f.name.rfind('.') + 1) + " of term +" +
                 std::to_string(std::stoull(f.name.substr(f.name.find('.', 5) + 1)) - kTerm) +
                 " by " + who + (f.amount == 0 ? " (asks)" : "");
        if (f.kind == InFlight::Kind::answer)
          return who + " is answered " + std::to_string(static_cast<long>(f.amount));
        return who + " hears of epoch " +
               std::to_string(f.word.epoch - kTerm * fleet::kEpochsPerTerm) + " by node " +
               std::to_string(f.from) + (f.word.transferred ? ", given to it" : "") + again;
      }
      case What::timeout: return node + " waits for the counter no more";
      case What::pause: return node + " pauses";
      case What::wake: return node + " wakes";
      case What::crash: return node + " crashes";
      case What::restart: return node + " starts anew";
      case What::resign: return node + " leaves";
      case What::empty: return "the counter loses its numbers";
      case What::look: return node + " looks at its clock and may act";
      case What::act: return node + " acts";
    }
    return {};
  }

  struct Entry {
    std::uint32_t before = 0;
    Step step;
  };
  DutyBounds bounds_;
  fleet::LeaderLeaseConfig terms_;
  Time end_{};
  std::unordered_set<std::uint64_t> seen_;
  std::vector<Entry> log_;
};

}  // namespace

DutyExplored explore_duty(const DutyBounds& bounds) { return Explorer(bounds).run(); }

}  // namespace petrelrail::world

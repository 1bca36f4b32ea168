#include "lease_explorer.hpp"

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

constexpr std::uint64_t kFirstTerm = 850'000'000;  // arbitrary
constexpr std::uint32_t kMaxNodes = 8;

struct Message {  // a counter call, its reply, or an announcement
  enum class Kind : std::uint8_t { call, reply, announcement } kind{};
  std::uint32_t node = 0;  // the caller, or the receiver of the reply or announcement
  std::uint64_t call_id = 0;
  std::string name;
  double amount = 0;  // of a call; the total in a reply
  std::uint32_t from = 0;
  fleet::LeaseEntry lease_entry{};
  bool operator==(const Message&) const = default;
};

struct Node {
  std::shared_ptr<const LeaderLease>
      lease;  // shared by all states in which it is equal; null: crashed
  std::uint32_t start_count = 1;
  bool paused = false;
  std::uint64_t pending_call = 0;  // 0: none
  Time call_time{};
  fleet::FencingToken pending_epoch = 0;       // checked against the clock, effect not yet made
  fleet::FencingToken last_checked_epoch = 0;  // of the last effect
};

struct SystemState {
  Time now{};
  std::vector<Node> nodes;
  std::vector<Message> messages;
  std::map<std::string, double> counter;
  fleet::FencingCheck fence;
  fleet::FencingToken newest_accepted_epoch = 0;
  std::uint32_t newest_holder = 0;
  std::uint32_t timeouts = 0, duplicates = 0, pauses = 0, crashes = 0, step_downs = 0,
                counter_losses = 0;
  std::uint32_t depth = 0;
  std::uint32_t log_entry = 0;  // index of the step that led here
};

struct Step {
  enum class Action : std::uint8_t {
    advance,
    deliver,
    duplicate,
    timeout,
    pause,
    resume,
    crash,
    restart,
    step_down,
    lose_counter_data,
    check_clock,
    act
  } action{};
  std::uint32_t index = 0;  // of the message or node
};

class Explorer {
 public:
  explicit Explorer(const ExplorationBounds& b) : bounds_(b) {
    if (b.nodes == 0 || b.nodes > kMaxNodes)
      throw std::invalid_argument("lease explorer: expected from 1 to " +
                                  std::to_string(kMaxNodes) + " nodes");
    config_.nodes = b.nodes;
    end_ = config_.term_start(kFirstTerm) + scaled(config_.term_duration(), b.terms);
  }

  ExplorationResult run() {
    ExplorationResult result;
    std::deque<SystemState> frontier;
    frontier.push_back(initial_state());
    log_.push_back({0, {}});
    visited_.insert(hash(frontier.front()));
    result.complete = true;
    while (!frontier.empty()) {
      if (visited_.size() >= bounds_.max_states) {
        result.complete = false;
        break;
      }
      const SystemState c = std::move(frontier.front());
      frontier.pop_front();
      result.depth = c.depth;
      for (const auto& s : steps(c)) {
        ++result.steps;
        SystemState next = c;
        next.depth = c.depth + 1;
        const auto violation = apply(next, s);
        if (!violation.empty()) {
          log_.push_back({c.log_entry, s});
          result.violation = violation,
          result.trace = trace(static_cast<std::uint32_t>(log_.size() - 1));
          result.depth = next.depth, result.states = visited_.size(), result.complete = false;
          return result;
        }
        if (!visited_.insert(hash(next)).second) continue;
        log_.push_back({c.log_entry, s});
        next.log_entry = static_cast<std::uint32_t>(log_.size() - 1);
        if (next.depth >= bounds_.max_depth)
          result.complete = false;
        else
          frontier.push_back(std::move(next));
      }
    }
    result.states = visited_.size();
    return result;
  }

 private:
  Duration skew(std::uint32_t node) const {
    const auto half_skew = config_.max_clock_skew / 2;
    return (node == 0) == bounds_.holder_clock_behind ? -half_skew : half_skew;
  }
  Time local(const SystemState& c, std::uint32_t node) const { return c.now + skew(node); }

  fleet::MembershipView view() const {
    fleet::MembershipView v;
    auto view_members = std::make_shared<std::vector<fleet::MembershipView::Member>>(bounds_.nodes);
    for (auto& s : *view_members) s.state = {1, fleet::MemberStatus::alive, 0};
    v.members = std::move(view_members);
    return v;
  }
  LeaderLease make_lease(std::uint32_t node, std::uint32_t start_number) const {
    return LeaderLease(config_, "book", MemberId(static_cast<std::uint16_t>(node)),
                       mix_hash(bounds_.seed + node * 16 + start_number),
                       bounds_.disabled_safeguards);
  }

  // Returns a state in which all nodes have run for two terms and, if the bounds say so, node 0
  // holds the first term and all know it.
  SystemState initial_state() const {
    SystemState c;
    c.now = config_.term_start(kFirstTerm) + 2 * config_.max_clock_skew;
    const auto epoch = kFirstTerm * fleet::kEpochsPerTerm;
    const LeaderLease::Holder holder{MemberId(0), epoch, config_.term_start(kFirstTerm + 1)};
    for (std::uint32_t n = 0; n < bounds_.nodes; ++n) {
      auto d = make_lease(n, 0);
      LeaderLease::State s{config_.term_start(kFirstTerm - 2), {}, {}, {}};
      if (bounds_.first_term_held) s.known_holders.push_back(holder);
      if (n == 0 && bounds_.first_term_held) s.own_terms.push_back({epoch, true});
      d.take_over(local(c, n), s);
      d.on_view(local(c, n), view());
      d.set_candidate(local(c, n), true);
      c.nodes.push_back({std::make_shared<const LeaderLease>(std::move(d))});
    }
    return c;
  }

  // Returns the time of the next tick or time-out; nullopt after the end of the run.
  std::optional<Time> next_event_time(const SystemState& c) const {
    Time t = Time::max();
    for (std::uint32_t n = 0; n < c.nodes.size(); ++n) {
      const auto& node = c.nodes[n];
      if (!node.lease || node.paused) continue;
      if (node.lease->next_tick_time() != Time::max())
        t = std::min(t, std::max(node.lease->next_tick_time() - skew(n), c.now + 1ns));
      if (node.pending_call != 0 && c.timeouts < bounds_.timeouts &&
          node.call_time + config_.counter_timeout > c.now)
        t = std::min(t, node.call_time + config_.counter_timeout);
    }
    if (t > end_) return std::nullopt;
    return t;
  }

  std::vector<Step> steps(const SystemState& c) const {
    std::vector<Step> all;
    using Action = Step::Action;
    for (std::uint32_t i = 0; i < c.messages.size(); ++i) {
      const auto& f = c.messages[i];
      if (f.kind != Message::Kind::call && (!c.nodes[f.node].lease || c.nodes[f.node].paused))
        continue;
      all.push_back({Action::deliver, i});
      if (f.kind == Message::Kind::announcement && c.duplicates < bounds_.duplicates)
        all.push_back({Action::duplicate, i});
    }
    for (std::uint32_t n = 0; n < c.nodes.size(); ++n) {
      const auto& node = c.nodes[n];
      if (!node.lease) {
        all.push_back({Action::restart, n});
        continue;
      }
      if (node.paused) {
        all.push_back({Action::resume, n});
        continue;
      }
      if (node.pending_call != 0 && c.timeouts < bounds_.timeouts &&
          c.now >= node.call_time + config_.counter_timeout)
        all.push_back({Action::timeout, n});
      if (bounds_.effects && node.pending_epoch != 0) all.push_back({Action::act, n});
      const auto epoch = node.lease->valid_token_at(local(c, n));
      if (bounds_.effects && epoch && node.pending_epoch == 0 && node.last_checked_epoch != *epoch)
        all.push_back({Action::check_clock, n});
      if (c.pauses < bounds_.pauses) all.push_back({Action::pause, n});
      if (c.crashes < bounds_.crashes) all.push_back({Action::crash, n});
      // A node that holds no term has nothing to transfer.
      if (c.step_downs < bounds_.step_downs && epoch) all.push_back({Action::step_down, n});
    }
    if (c.counter_losses < bounds_.counter_losses && !c.counter.empty())
      all.push_back({Action::lose_counter_data, 0});
    if (next_event_time(c)) all.push_back({Action::advance, 0});
    return all;
  }

  template <class Change>
  void update(SystemState& c, std::uint32_t n, const Change& mutate) const {
    auto& node = c.nodes[n];
    auto d = std::make_shared<LeaderLease>(*node.lease);
    mutate(*d, local(c, n));
    drain_outputs(c, n, *d);
    node.lease = std::move(d);
  }
  void drain_outputs(SystemState& c, std::uint32_t n, LeaderLease& d) const {
    for (auto& call : d.drain_calls()) {
      c.nodes[n].pending_call = call.id, c.nodes[n].call_time = c.now;
      c.messages.push_back(
          {Message::Kind::call, n, call.id, std::move(call.name), call.amount, 0, {}});
    }
    for (const auto& w : d.drain_announcements()) {
      Message f{
          Message::Kind::announcement, static_cast<std::uint32_t>(w.to), 0, {}, 0, n, w.entry};
      if (bounds_.announcements_delivered && std::ranges::find(c.messages, f) == c.messages.end())
        c.messages.push_back(std::move(f));
    }
  }

  std::string apply(SystemState& c, const Step& s) const {
    using Action = Step::Action;
    const auto n = s.index;
    switch (s.action) {
      case Action::advance: {
        c.now = *next_event_time(c);
        // All nodes ignore announcements of past terms: drops them to reduce the state space.
        const auto term = config_.term_at(c.now - config_.max_clock_skew);
        std::erase_if(c.messages, [&](const Message& f) {
          return f.kind == Message::Kind::announcement &&
                 fleet::term_of(f.lease_entry.epoch) < term;
        });
        for (std::uint32_t i = 0; i < c.nodes.size(); ++i)
          if (c.nodes[i].lease && !c.nodes[i].paused &&
              c.nodes[i].lease->next_tick_time() <= local(c, i))
            update(c, i, [](LeaderLease& d, Time now) { d.tick(now); });
        break;
      }
      case Action::deliver:
      case Action::duplicate: {
        const Message f = c.messages[n];
        if (s.action == Action::duplicate)
          ++c.duplicates;
        else
          c.messages.erase(c.messages.begin() + n);
        deliver(c, f);
        break;
      }
      case Action::timeout:
        ++c.timeouts;
        complete_call(c, n, c.nodes[n].pending_call, CounterOutcome::timeout, 0);
        break;
      case Action::pause: ++c.pauses, c.nodes[n].paused = true; break;
      case Action::resume:
        c.nodes[n].paused = false;
        if (c.nodes[n].lease->next_tick_time() <= local(c, n))
          update(c, n, [](LeaderLease& d, Time now) { d.tick(now); });
        break;
      case Action::crash:
        ++c.crashes;
        c.nodes[n] = {nullptr, c.nodes[n].start_count};
        std::erase_if(c.messages, [&](const Message& f) {
          return f.kind == Message::Kind::reply && f.node == n;
        });
        break;
      case Action::restart: {
        auto d = make_lease(n, c.nodes[n].start_count);
        d.on_view(local(c, n), view());
        d.set_candidate(local(c, n), true);
        c.nodes[n] = {std::make_shared<const LeaderLease>(std::move(d)),
                      c.nodes[n].start_count + 1};
        break;
      }
      case Action::step_down:
        ++c.step_downs;
        update(c, n, [](LeaderLease& d, Time now) { d.step_down(now); });
        break;
      case Action::lose_counter_data: ++c.counter_losses, c.counter.clear(); break;
      case Action::check_clock:
        c.nodes[n].pending_epoch = c.nodes[n].last_checked_epoch = *c.nodes[n]
                                                                        .lease->valid_token_at(
                                                                            local(c, n));
        break;
      case Action::act: return act(c, n);
    }
    return check_exclusivity(c);
  }

  void deliver(SystemState& c, const Message& f) const {
    switch (f.kind) {
      case Message::Kind::call: {
        const double total = c.counter[f.name] += f.amount;
        // Drops a reply that the caller no longer expects.
        if (c.nodes[f.node].pending_call == f.call_id && c.nodes[f.node].lease)
          c.messages.push_back({Message::Kind::reply, f.node, f.call_id, {}, total, 0, {}});
        break;
      }
      case Message::Kind::reply:
        complete_call(c, f.node, f.call_id, CounterOutcome::ok, f.amount);
        break;
      case Message::Kind::announcement:
        update(c, f.node, [&](LeaderLease& d, Time now) {
          d.on_announcement(now, MemberId(static_cast<std::uint16_t>(f.from)), f.lease_entry);
        });
        break;
    }
  }
  void complete_call(SystemState& c, std::uint32_t n, std::uint64_t call_id, CounterOutcome outcome,
                     double total) const {
    if (c.nodes[n].pending_call != call_id) return;
    c.nodes[n].pending_call = 0;
    std::erase_if(c.messages, [&](const Message& f) {
      return f.kind == Message::Kind::reply && f.node == n && f.call_id == call_id;
    });
    update(c, n,
           [&](LeaderLease& d, Time now) { d.on_counter_reply(now, call_id, outcome, total); });
  }

  std::string act(SystemState& c, std::uint32_t n) const {
    const auto epoch = std::exchange(c.nodes[n].pending_epoch, 0);
    if (bounds_.uses_fencing && !c.fence.passes(epoch, MemberId(static_cast<std::uint16_t>(n))))
      return {};
    if (epoch < c.newest_accepted_epoch) return "older epoch accepted after a newer one";
    if (epoch == c.newest_accepted_epoch && c.newest_holder != n)
      return "two holders under one epoch";
    c.newest_accepted_epoch = epoch, c.newest_holder = n;
    return check_exclusivity(c);
  }
  // A paused node counts as well: it may resume at any moment.
  std::string check_exclusivity(const SystemState& c) const {
    std::uint32_t active = 0;
    for (std::uint32_t n = 0; n < c.nodes.size(); ++n)
      if (c.nodes[n].lease && c.nodes[n].lease->valid_token_at(local(c, n))) ++active;
    return active > 1 ? "two nodes may act at one time" : "";
  }

  static std::uint64_t text_hash(const std::string& s) {
    std::uint64_t h = 1469598103934665603ULL;
    for (const char ch : s) h = (h ^ static_cast<unsigned char>(ch)) * 1099511628211ULL;
    return h;
  }
  std::uint64_t hash(const SystemState& c) const {
    std::uint64_t h = mix_hash(static_cast<std::uint64_t>(c.now.time_since_epoch().count()));
    const auto add = [&h](auto... values) {
      ((h = mix_hash(h ^ static_cast<std::uint64_t>(values))), ...);
    };
    for (const auto& n : c.nodes) {
      add(n.lease ? n.lease->fingerprint() : 0, n.start_count, n.paused, n.pending_call,
          n.pending_epoch, n.last_checked_epoch);
      add(n.pending_call != 0 ? n.call_time.time_since_epoch().count() : 0);
    }
    // Messages in flight are unordered: their hashes are added up.
    std::uint64_t messages = 0;
    for (const auto& f : c.messages) {
      std::uint64_t message_hash = mix_hash(static_cast<std::uint64_t>(f.kind) * 64 + f.node * 8 +
                                            f.from);
      message_hash = mix_hash(message_hash ^ f.call_id),
      message_hash = mix_hash(message_hash ^ text_hash(f.name));
      message_hash = mix_hash(message_hash ^ static_cast<std::uint64_t>(f.amount)),
      message_hash = mix_hash(message_hash ^ f.lease_entry.epoch ^ f.lease_entry.transferred);
      messages += message_hash;
    }
    add(messages);
    for (const auto& [name, total] : c.counter) add(text_hash(name), total);
    add(c.newest_accepted_epoch, c.newest_holder, c.fence.newest_epoch(), c.timeouts, c.duplicates,
        c.pauses, c.crashes, c.step_downs, c.counter_losses);
    return h;
  }

  // Repeats the steps that led to the entry and describes each.
  std::vector<std::string> trace(std::uint32_t last_entry) const {
    std::vector<Step> path;
    for (auto e = last_entry; e != 0; e = log_[e].predecessor) path.push_back(log_[e].step);
    std::ranges::reverse(path);
    std::vector<std::string> lines;
    auto c = initial_state();
    for (const auto& s : path) {
      auto text = describe(c, s);
      apply(c, s);
      char time[32];
      std::snprintf(time, sizeof time, "%.3f s: ", seconds(c.now - config_.term_start(kFirstTerm)));
      lines.push_back(time + text);
    }
    return lines;
  }
  std::string describe(const SystemState& c, const Step& s) const {
    using Action = Step::Action;
    const auto node = "node " + std::to_string(s.index);
    switch (s.action) {
      case Action::advance: return "time advances";
      case Action::deliver:
      case Action::duplicate: {
        const auto& f = c.messages[s.index];
        const auto receiver = "node " + std::to_string(f.node);
        const std::string suffix = s.action == Action::duplicate ? ", and will once more" : "";
        if (f.kind == Message::Kind::call)
          return "the counter applies " + f.name.substr(f.name.rfind('.') + 1) + " of term +" +
                 std::to_string(std::stoull(f.name.substr(f.name.find('.', 5) + 1)) - kFirstTerm) +
                 " by " + receiver + (f.amount == 0 ? " (query)" : "");
        if (f.kind == Message::Kind::reply)
          return receiver + " receives the total " + std::to_string(static_cast<long>(f.amount));
        return receiver + " receives the announcement of epoch " +
               std::to_string(f.lease_entry.epoch - kFirstTerm * fleet::kEpochsPerTerm) +
               " by node " + std::to_string(f.from) +
               (f.lease_entry.transferred ? ", transferred to it" : "") + suffix;
      }
      case Action::timeout: return node + " times out at the counter";
      case Action::pause: return node + " pauses";
      case Action::resume: return node + " resumes";
      case Action::crash: return node + " crashes";
      case Action::restart: return node + " restarts";
      case Action::step_down: return node + " steps down";
      case Action::lose_counter_data: return "the counter loses its data";
      case Action::check_clock: return node + " looks at its clock and may act";
      case Action::act: return node + " acts";
    }
    return {};
  }

  struct Entry {
    std::uint32_t predecessor = 0;
    Step step;
  };
  ExplorationBounds bounds_;
  fleet::LeaderLeaseConfig config_;
  Time end_{};
  std::unordered_set<std::uint64_t> visited_;
  std::vector<Entry> log_;
};

}  // namespace

ExplorationResult explore_lease(const ExplorationBounds& bounds) { return Explorer(bounds).run(); }

}  // namespace petrelrail::world

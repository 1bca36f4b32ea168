#include "record_fleet.hpp"

#include <algorithm>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;
using fleet::MemberId;

// Any time that is no multiple of a slot or a term serves as the beginning.
constexpr Time kBegins{Duration(1'700'000'000'123'456'789)};
constexpr std::size_t
    kMostWaiting = 512;  // datagrams in the socket's buffer of a node that is stalled

MemberId id(std::uint32_t n) { return MemberId(static_cast<std::uint16_t>(n)); }

}  // namespace

RecordFleet::RecordFleet(Options options)
    : options_(std::move(options)),
      dice_(mix_hash(options_.seed)),
      agenda_(kBegins +
              Duration(static_cast<Duration::rep>(mix_hash(options_.seed) % 1'000'000'000))),
      network_(options_.peers, options_.nodes, dice_.stream("peers")),
      nodes_(options_.nodes) {
  options_.terms.nodes = options_.nodes;
  auto clocks = dice_.stream("clocks");
  for (auto& n : nodes_)
    n.offset = scaled(options_.terms.max_clock_skew, clocks.between(-0.5, 0.5));
}

void RecordFleet::start_with(std::uint32_t node, const fleet::ReplicatedStore::Snapshot& state) {
  auto& n = nodes_[node];
  const auto seed = dice_.stream("life", mix_hash(node) + ++n.lives).seed();
  n.stalled = false, n.inbox.clear(), n.ticks_at = Time::max();
  n.records = std::make_unique<fleet::ReplicatedStore>(options_.terms, id(node),
                                                       static_cast<std::uint8_t>(zone(node)), seed);
  n.records->restore(clock(node), state);
  n.records->start(clock(node));
  views_change();
  after(node);
}

void RecordFleet::start_all() {
  for (std::uint32_t n = 0; n < size(); ++n) start(n);
}

void RecordFleet::kill(std::uint32_t node) {
  nodes_[node].records.reset();
  ++nodes_[node].lives;
  views_change();
}

void RecordFleet::stall(std::uint32_t node, bool stalled) {
  auto& n = nodes_[node];
  if (!n.records || std::exchange(n.stalled, stalled) == stalled || stalled) return;
  tick(node);
  for (; !n.inbox.empty() && n.records; n.inbox.pop_front())
    take(n.inbox.front().first, node, n.inbox.front().second);
  after(node);
}

void RecordFleet::cut(Lost lost) {
  lost_ = std::move(lost);
  views_change();
}

// One change is shown for all that happen at its time.
void RecordFleet::views_change() {
  const Time when = now() + options_.view_delay;
  if (std::exchange(views_at_, when) != when) agenda_.at(when, [this] { show_views(); });
}

void RecordFleet::show_views() {
  const auto sees = [&](std::uint32_t a, std::uint32_t b) {
    return up(b) && (!lost_ || (!lost_(a, b) && !lost_(b, a)));
  };
  for (std::uint32_t a = 0; a < size(); ++a) {
    if (!up(a)) continue;
    fleet::MembershipView view;
    auto seats = std::make_shared<std::vector<fleet::MembershipView::Member>>(size());
    std::uint32_t known = 0, there = 0;
    for (std::uint32_t b = 0; b < size(); ++b) {
      auto& s = (*seats)[b];
      if (nodes_[b].lives == 0) continue;
      const bool lives = a == b || sees(a, b);
      s.state = {1, lives ? fleet::MemberStatus::alive : fleet::MemberStatus::failed, 1};
      s.zone = static_cast<std::uint8_t>(zone(b));
      ++known, there += lives;
    }
    view.living = there;
    view.reachability = 2 * there > known ? fleet::Reachability::majority
                        : there > 1       ? fleet::Reachability::minority
                                          : fleet::Reachability::alone;
    view.members = std::move(seats);
    nodes_[a].records->on_view_changed(clock(a), view);
    after(a);
  }
}

std::uint64_t RecordFleet::epoch() const {
  const auto& t = options_.terms;
  return static_cast<std::uint64_t>(now().time_since_epoch() / t.term) * t.epochs_per_term;
}

fleet::ReplicatedStore::PutResult RecordFleet::put(std::uint32_t node, fleet::RecordKey key,
                                                   std::string value, Duration life) {
  const auto ends = std::chrono::duration_cast<std::chrono::seconds>(
                        (now() + life).time_since_epoch())
                        .count();
  const auto put = records(node).put(clock(node), key, epoch(), static_cast<std::uint32_t>(ends),
                                     std::move(value));
  after(node);
  return put;
}

fleet::ReplicatedStore::PutResult RecordFleet::erase(std::uint32_t node, fleet::RecordKey key) {
  const auto put = records(node).erase(clock(node), key, epoch());
  after(node);
  return put;
}

void RecordFleet::mark(std::uint32_t node, std::uint8_t space) {
  records(node).write_watermark(clock(node), space, epoch());
  after(node);
}

void RecordFleet::inject(std::uint32_t from, std::uint32_t to, const fleet::Message& message) {
  agenda_.after({}, [this, from, to, b = fleet::encode(message, {})] { arrive(from, to, b); });
}

const RecordFleet::Outcome* RecordFleet::outcome(std::uint32_t node, std::uint64_t ticket) const {
  const auto it = std::ranges::find_if(
      outcomes_, [&](const Outcome& o) { return o.node == node && o.ticket == ticket; });
  return it == outcomes_.end() ? nullptr : &*it;
}

void RecordFleet::arrive(std::uint32_t from, std::uint32_t to, const std::string& bytes) {
  auto& n = nodes_[to];
  if (!n.records) return;
  while (!n.came.empty() && n.came.front() <= now() - 1s) n.came.pop_front();
  n.came.push_back(now());
  n.most_in = std::max<std::uint64_t>(n.most_in, n.came.size());
  if (!network_.receive(now(), to)) return;
  if (n.stalled) {
    if (n.inbox.size() < kMostWaiting) n.inbox.emplace_back(from, bytes);
    return;
  }
  take(from, to, bytes);
  after(to);
}

void RecordFleet::take(std::uint32_t from, std::uint32_t to, const std::string& bytes) {
  const auto read = fleet::decode(
      {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()}, {});
  if (read.error == fleet::DecodeError::none)
    nodes_[to].records->receive(clock(to), id(from), read.message);
}

// What a node has to say goes out, and its next tick is set.
void RecordFleet::after(std::uint32_t node) {
  auto& n = nodes_[node];
  for (const auto& o : n.records->drain_outcomes())
    outcomes_.push_back({node, o.ticket, o.is_replicated, now()});
  for (auto& o : n.records->drain_outgoing()) {
    ++n.sent;
    const auto to = static_cast<std::uint32_t>(o.to);
    fleet::Message message{{id(node), 1, 1, static_cast<std::uint8_t>(zone(node)), o.echo, 0},
                           std::move(o.body)};
    auto bytes = fleet::encode(message, {});
    if (to >= size() || network_.too_long(bytes.size()) || (lost_ && lost_(node, to))) continue;
    for (const Time when : network_.send(now()))
      agenda_.at(when, [this, node, to, bytes] { arrive(node, to, bytes); });
  }
  const Time due = n.records->next_tick_time();
  if (due == Time::max() || due == n.ticks_at) return;
  n.ticks_at = due;
  agenda_.at(due - n.offset, [this, node, due, life = n.lives] {
    if (nodes_[node].lives != life || nodes_[node].ticks_at != due || nodes_[node].stalled) return;
    tick(node);
    after(node);
  });
}

void RecordFleet::tick(std::uint32_t node) {
  auto& n = nodes_[node];
  n.ticks_at = Time::max();
  if (n.records && n.records->next_tick_time() <= clock(node)) n.records->tick(clock(node));
}

bool RecordFleet::run_until(const std::function<bool()>& holds, Duration most, Duration step) {
  const Time end = now() + most;
  while (!holds()) {
    if (now() >= end) return false;
    run_for(std::min(step, end - now()));
  }
  return true;
}

bool RecordFleet::agreed(std::uint8_t space) const {
  const auto of = [&](std::uint32_t n) {
    std::vector<fleet::Record> all;
    records(n).for_each(space, [&](const fleet::Record& r) { all.push_back(r); });
    return all;
  };
  std::optional<std::vector<fleet::Record>> first;
  for (std::uint32_t n = 0; n < size(); ++n) {
    if (!up(n)) continue;
    auto all = of(n);
    if (!first)
      first = std::move(all);
    else if (*first != all)
      return false;
  }
  return true;
}

std::uint32_t RecordFleet::holders(fleet::RecordKey key) const {
  std::uint32_t count = 0;
  for (std::uint32_t n = 0; n < size(); ++n) count += up(n) && records(n).find(key) != nullptr;
  return count;
}

std::uint64_t RecordFleet::most_in() const {
  std::uint64_t most = 0;
  for (const auto& n : nodes_) most = std::max(most, n.most_in);
  return most;
}
std::uint64_t RecordFleet::sent() const {
  std::uint64_t all = 0;
  for (const auto& n : nodes_) all += n.sent;
  return all;
}
void RecordFleet::reset_traffic() {
  for (auto& n : nodes_) n.sent = n.most_in = 0, n.came.clear();
}

}  // namespace petrelrail::world

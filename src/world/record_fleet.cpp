#include "record_fleet.hpp"

#include <algorithm>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;
using fleet::MemberId;

// Arbitrary, but no multiple of a slot or a term.
constexpr Time kStartTime{Duration(1'700'000'000'123'456'789)};
constexpr std::size_t kMaxInbox = 512;  // datagrams in the socket buffer of a stalled node

MemberId id(std::uint32_t n) { return MemberId(static_cast<std::uint16_t>(n)); }

}  // namespace

RecordFleet::RecordFleet(Options options)
    : options_(std::move(options)),
      dice_(mix_hash(options_.seed)),
      agenda_(kStartTime +
              Duration(static_cast<Duration::rep>(mix_hash(options_.seed) % 1'000'000'000))),
      network_(options_.peers, options_.nodes, dice_.stream("peers")),
      nodes_(options_.nodes) {
  options_.config.nodes = options_.nodes;
  auto clock_dice = dice_.stream("clocks");
  for (auto& n : nodes_)
    n.clock_offset = scaled(options_.config.max_clock_skew, clock_dice.between(-0.5, 0.5));
}

void RecordFleet::start_with(std::uint32_t node, const fleet::ReplicatedStore::Snapshot& state) {
  auto& n = nodes_[node];
  const auto seed = dice_.stream("life", mix_hash(node) + ++n.generation).seed();
  n.stalled = false, n.inbox.clear(), n.tick_time = Time::max();
  n.store = std::make_unique<fleet::ReplicatedStore>(options_.config, id(node),
                                                     static_cast<std::uint8_t>(zone(node)), seed);
  n.store->restore(local_time(node), state);
  n.store->start(local_time(node));
  schedule_views();
  drain_outputs(node);
}

void RecordFleet::start_all() {
  for (std::uint32_t n = 0; n < size(); ++n) start(n);
}

void RecordFleet::kill(std::uint32_t node) {
  nodes_[node].store.reset();
  ++nodes_[node].generation;
  schedule_views();
}

void RecordFleet::stall(std::uint32_t node, bool stalled) {
  auto& n = nodes_[node];
  if (!n.store || std::exchange(n.stalled, stalled) == stalled || stalled) return;
  tick(node);
  for (; !n.inbox.empty() && n.store; n.inbox.pop_front())
    deliver(n.inbox.front().first, node, n.inbox.front().second);
  drain_outputs(node);
}

void RecordFleet::set_link_filter(LinkFilter drops) {
  drops_ = std::move(drops);
  schedule_views();
}

// Delivers views once for all changes that occur at the same time.
void RecordFleet::schedule_views() {
  const Time when = now() + options_.view_delay;
  if (std::exchange(view_time_, when) != when) agenda_.at(when, [this] { deliver_views(); });
}

void RecordFleet::deliver_views() {
  const auto reaches = [&](std::uint32_t a, std::uint32_t b) {
    return is_up(b) && (!drops_ || (!drops_(a, b) && !drops_(b, a)));
  };
  for (std::uint32_t a = 0; a < size(); ++a) {
    if (!is_up(a)) continue;
    fleet::MembershipView view;
    auto members = std::make_shared<std::vector<fleet::MembershipView::Member>>(size());
    std::uint32_t known = 0, living = 0;
    for (std::uint32_t b = 0; b < size(); ++b) {
      auto& s = (*members)[b];
      if (nodes_[b].generation == 0) continue;
      const bool is_alive = a == b || reaches(a, b);
      s.state = {1, is_alive ? fleet::MemberStatus::alive : fleet::MemberStatus::failed, 1};
      s.zone = static_cast<std::uint8_t>(zone(b));
      ++known, living += is_alive;
    }
    view.living = living;
    view.reachability = 2 * living > known ? fleet::Reachability::majority
                        : living > 1       ? fleet::Reachability::minority
                                           : fleet::Reachability::alone;
    view.members = std::move(members);
    nodes_[a].store->on_view_changed(local_time(a), view);
    drain_outputs(a);
  }
}

std::uint64_t RecordFleet::epoch() const {
  const auto& config = options_.config;
  return static_cast<std::uint64_t>(now().time_since_epoch() / config.term) *
         config.epochs_per_term;
}

fleet::ReplicatedStore::PutResult RecordFleet::put(std::uint32_t node, fleet::RecordKey key,
                                                   std::string value, Duration ttl) {
  const auto end_unix_s = std::chrono::duration_cast<std::chrono::seconds>(
                              (now() + ttl).time_since_epoch())
                              .count();
  const auto result = store(node).put(local_time(node), key, epoch(),
                                      static_cast<std::uint32_t>(end_unix_s), std::move(value));
  drain_outputs(node);
  return result;
}

fleet::ReplicatedStore::PutResult RecordFleet::erase(std::uint32_t node, fleet::RecordKey key) {
  const auto result = store(node).erase(local_time(node), key, epoch());
  drain_outputs(node);
  return result;
}

void RecordFleet::write_watermark(std::uint32_t node, std::uint8_t space) {
  store(node).write_watermark(local_time(node), space, epoch());
  drain_outputs(node);
}

void RecordFleet::inject(std::uint32_t from, std::uint32_t to, const fleet::Message& message) {
  agenda_.after({}, [this, from, to, b = fleet::encode(message, {})] { on_arrival(from, to, b); });
}

const RecordFleet::Outcome* RecordFleet::outcome(std::uint32_t node, std::uint64_t ticket) const {
  const auto it = std::ranges::find_if(
      outcomes_, [&](const Outcome& o) { return o.node == node && o.ticket == ticket; });
  return it == outcomes_.end() ? nullptr : &*it;
}

void RecordFleet::on_arrival(std::uint32_t from, std::uint32_t to, const std::string& bytes) {
  auto& n = nodes_[to];
  if (!n.store) return;
  while (!n.recent_arrivals.empty() && n.recent_arrivals.front() <= now() - 1s)
    n.recent_arrivals.pop_front();
  n.recent_arrivals.push_back(now());
  n.max_arrivals_per_s = std::max<std::uint64_t>(n.max_arrivals_per_s, n.recent_arrivals.size());
  if (!network_.receive(now(), to)) return;
  if (n.stalled) {
    if (n.inbox.size() < kMaxInbox) n.inbox.emplace_back(from, bytes);
    return;
  }
  deliver(from, to, bytes);
  drain_outputs(to);
}

void RecordFleet::deliver(std::uint32_t from, std::uint32_t to, const std::string& bytes) {
  const auto decoded = fleet::decode(
      {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()}, {});
  if (decoded.error == fleet::DecodeError::none)
    nodes_[to].store->receive(local_time(to), id(from), decoded.message);
}

// Records write outcomes, sends outgoing datagrams and schedules the next tick of a node.
void RecordFleet::drain_outputs(std::uint32_t node) {
  auto& n = nodes_[node];
  for (const auto& o : n.store->drain_outcomes())
    outcomes_.push_back({node, o.ticket, o.is_replicated, now()});
  for (auto& o : n.store->drain_outgoing()) {
    ++n.datagrams_sent;
    const auto to = static_cast<std::uint32_t>(o.to);
    fleet::Message message{{id(node), 1, 1, static_cast<std::uint8_t>(zone(node)), o.echo, 0},
                           std::move(o.body)};
    auto bytes = fleet::encode(message, {});
    if (to >= size() || network_.too_long(bytes.size()) || (drops_ && drops_(node, to))) continue;
    for (const Time when : network_.send(now()))
      agenda_.at(when, [this, node, to, bytes] { on_arrival(node, to, bytes); });
  }
  const Time due = n.store->next_tick_time();
  if (due == Time::max() || due == n.tick_time) return;
  n.tick_time = due;
  agenda_.at(due - n.clock_offset, [this, node, due, generation = n.generation] {
    if (nodes_[node].generation != generation || nodes_[node].tick_time != due ||
        nodes_[node].stalled)
      return;
    tick(node);
    drain_outputs(node);
  });
}

void RecordFleet::tick(std::uint32_t node) {
  auto& n = nodes_[node];
  n.tick_time = Time::max();
  if (n.store && n.store->next_tick_time() <= local_time(node)) n.store->tick(local_time(node));
}

bool RecordFleet::run_until(const std::function<bool()>& condition, Duration timeout,
                            Duration step) {
  const Time end = now() + timeout;
  while (!condition()) {
    if (now() >= end) return false;
    run_for(std::min(step, end - now()));
  }
  return true;
}

bool RecordFleet::stores_agree(std::uint8_t space) const {
  const auto records_of = [&](std::uint32_t n) {
    std::vector<fleet::Record> all;
    store(n).for_each(space, [&](const fleet::Record& r) { all.push_back(r); });
    return all;
  };
  std::optional<std::vector<fleet::Record>> first;
  for (std::uint32_t n = 0; n < size(); ++n) {
    if (!is_up(n)) continue;
    auto all = records_of(n);
    if (!first)
      first = std::move(all);
    else if (*first != all)
      return false;
  }
  return true;
}

std::uint32_t RecordFleet::holder_count(fleet::RecordKey key) const {
  std::uint32_t count = 0;
  for (std::uint32_t n = 0; n < size(); ++n) count += is_up(n) && store(n).find(key) != nullptr;
  return count;
}

std::uint64_t RecordFleet::max_arrivals_per_s() const {
  std::uint64_t most = 0;
  for (const auto& n : nodes_) most = std::max(most, n.max_arrivals_per_s);
  return most;
}
std::uint64_t RecordFleet::datagrams_sent() const {
  std::uint64_t all = 0;
  for (const auto& n : nodes_) all += n.datagrams_sent;
  return all;
}
void RecordFleet::reset_traffic() {
  for (auto& n : nodes_) n.datagrams_sent = n.max_arrivals_per_s = 0, n.recent_arrivals.clear();
}

}  // namespace petrelrail::world

#include "member_fleet.hpp"

#include <algorithm>
#include <numeric>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

// Arbitrary, but no multiple of a round.
constexpr Time kStartTime{Duration(1'700'000'000'123'456'789)};
constexpr std::size_t kMaxInbox = 512;  // datagrams in the socket buffer of a stalled node

std::span<const std::uint8_t> bytes_of(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// Reads the kind from the header alone; bytes that are no valid datagram count as pings.
std::size_t kind_of(const std::string& bytes) {
  constexpr std::size_t kinds = std::variant_size_v<fleet::Body>;
  const auto kind = bytes.size() > 1 ? static_cast<unsigned char>(bytes[1]) & 0x0FU : 0U;
  return kind < kinds ? kind : 0;
}

}  // namespace

MemberFleet::MemberFleet(Options options, StatusCallback on_status_change)
    : options_(std::move(options)),
      on_status_change_(std::move(on_status_change)),
      dice_(mix_hash(options_.seed)),
      agenda_(kStartTime +
              Duration(static_cast<Duration::rep>(mix_hash(options_.seed) % 1'000'000'000))),
      start_time_(agenda_.now()),
      network_(options_.peers, options_.nodes, dice_.stream("peers")),
      nodes_(options_.nodes) {
  options_.config.nodes = options_.nodes;
  options_.config.inbox_per_s = options_.peers.in_per_s;
}

void MemberFleet::start(std::uint32_t node) {
  auto& n = nodes_[node];
  const auto seed = dice_.stream("life", mix_hash(node) + ++n.generation).seed();
  n.stalled = false, n.inbox.clear();
  n.members = std::make_unique<fleet::Membership>(
      options_.config,
      fleet::LocalMember{fleet::MemberId(static_cast<std::uint16_t>(node)),
                         static_cast<std::uint8_t>(zone(node)),
                         static_cast<std::uint16_t>(seed >> 20U), 1},
      seed);
  n.members->start(now());
  drain_outputs(node);
}

void MemberFleet::start_all() {
  for (std::uint32_t n = 0; n < size(); ++n) start(n);
}

void MemberFleet::kill(std::uint32_t node) {
  nodes_[node].members.reset();
  ++nodes_[node].generation;
}

void MemberFleet::leave(std::uint32_t node) {
  if (!is_up(node)) return;
  nodes_[node].members->leave(now());
  drain_outputs(node);
}

void MemberFleet::stall(std::uint32_t node, bool stalled) {
  auto& n = nodes_[node];
  if (!n.members || std::exchange(n.stalled, stalled) == stalled || stalled) return;
  // The node resumes: handles the timer that is due, then the datagrams in its socket buffer, an
  // order that a real process may take as well.
  tick(node);
  for (; !n.inbox.empty() && n.members; n.inbox.pop_front()) {
    const auto& [from, bytes] = n.inbox.front();
    n.members->receive(now(), fleet::MemberId(static_cast<std::uint16_t>(from)), bytes_of(bytes));
  }
  drain_outputs(node);
}

void MemberFleet::inject(std::uint32_t from, std::uint32_t to, std::string bytes) {
  agenda_.after({}, [this, from, to, b = std::move(bytes)] { on_arrival(from, to, b); });
}

void MemberFleet::on_arrival(std::uint32_t from, std::uint32_t to, const std::string& bytes) {
  auto& n = nodes_[to];
  if (!n.members) return;
  while (!n.recent_arrivals.empty() && n.recent_arrivals.front().first <= now() - 1s)
    n.recent_arrivals.pop_front();
  n.recent_arrivals.emplace_back(now(), kind_of(bytes));
  if (datagram_listener_) datagram_listener_(from, to, bytes);
  if (n.recent_arrivals.size() > n.traffic.max_arrivals_per_s) {
    n.traffic.max_arrivals_per_s = n.recent_arrivals.size();
    n.traffic.max_arrivals_by_kind = {};
    for (const auto& [when, kind] : n.recent_arrivals) ++n.traffic.max_arrivals_by_kind[kind];
  }
  if (!network_.receive(now(), to)) return;
  if (n.stalled) {
    if (n.inbox.size() < kMaxInbox) n.inbox.emplace_back(from, bytes);
    return;
  }
  n.members->receive(now(), fleet::MemberId(static_cast<std::uint16_t>(from)), bytes_of(bytes));
  drain_outputs(to);
}

// Reports status changes, sends outgoing datagrams and schedules the next tick of a node.
void MemberFleet::drain_outputs(std::uint32_t node) {
  auto& n = nodes_[node];
  for (const auto& v : n.members->drain_status_changes()) on_status_change_(now(), node, v);
  for (auto& d : n.members->drain_datagrams()) {
    ++n.traffic.sent;
    n.traffic.bytes += d.bytes.size();
    const auto to = static_cast<std::uint32_t>(d.to);
    if (to >= size() || network_.too_long(d.bytes.size()) || (drops_ && drops_(node, to))) continue;
    for (const Time when : network_.send(now()))
      agenda_.at(when, [this, node, to, bytes = d.bytes] { on_arrival(node, to, bytes); });
  }
  const Time due = n.members->next_tick_time();
  if (due >= n.tick_time && n.tick_time > now()) return;
  n.tick_time = due;
  if (due == Time::max()) return;
  agenda_.at(due, [this, node, due, generation = n.generation] {
    if (nodes_[node].generation != generation || nodes_[node].tick_time != due ||
        nodes_[node].stalled)
      return;
    tick(node);
    drain_outputs(node);
  });
}

void MemberFleet::tick(std::uint32_t node) {
  auto& n = nodes_[node];
  n.tick_time = Time::max();
  if (n.members && n.members->next_tick_time() <= now()) n.members->tick(now());
}

void MemberFleet::run_for(Duration span) { agenda_.run_until(now() + span); }

bool MemberFleet::run_until(const std::function<bool()>& condition, Duration timeout,
                            Duration step) {
  const Time end = now() + timeout;
  while (!condition()) {
    if (now() >= end) return false;
    run_for(std::min(step, end - now()));
  }
  return true;
}

std::shared_ptr<const fleet::MembershipView> MemberFleet::view(std::uint32_t node) const {
  return nodes_[node].members->view(now());
}

bool MemberFleet::view_is_accurate(std::uint32_t node) const {
  const auto v = view(node);
  for (std::uint32_t i = 0; i < size(); ++i) {
    const auto& s = (*v->members)[i].state;
    const bool living = s.known() && s.status <= fleet::MemberStatus::suspect;
    if (living != is_up(i)) return false;
    if (living && s.incarnation != membership(i).self().incarnation) return false;
  }
  return true;
}

bool MemberFleet::views_are_accurate() const {
  for (std::uint32_t n = 0; n < size(); ++n)
    if (is_up(n) && !view_is_accurate(n)) return false;
  return true;
}

std::uint64_t MemberFleet::max_arrivals_per_s() const {
  return busiest_traffic().max_arrivals_per_s;
}
MemberFleet::Traffic MemberFleet::busiest_traffic() const {
  return std::ranges::max_element(nodes_, {},
                                  [](const Node& n) { return n.traffic.max_arrivals_per_s; })
      ->traffic;
}
std::uint64_t MemberFleet::bytes_sent() const {
  return std::accumulate(nodes_.begin(), nodes_.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const Node& n) { return sum + n.traffic.bytes; });
}
std::uint64_t MemberFleet::datagrams_sent() const {
  return std::accumulate(nodes_.begin(), nodes_.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const Node& n) { return sum + n.traffic.sent; });
}
void MemberFleet::reset_traffic() {
  for (auto& n : nodes_) n.traffic = {}, n.recent_arrivals.clear();
}

}  // namespace petrelrail::world

#include "member_fleet.hpp"

#include <algorithm>
#include <numeric>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

// Any time that is no multiple of a round serves as the beginning.
constexpr Time kBegins{Duration(1'700'000'000'123'456'789)};
constexpr std::size_t
    kMostWaiting = 512;  // datagrams in the socket's buffer of a node that is stalled

std::span<const std::uint8_t> bytes_of(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// By the header alone; anything else that is no datagram counts among the pings.
std::size_t kind_of(const std::string& bytes) {
  constexpr std::size_t kinds = std::variant_size_v<fleet::Body>;
  const auto kind = bytes.size() > 1 ? static_cast<unsigned char>(bytes[1]) & 0x0FU : 0U;
  return kind < kinds ? kind : 0;
}

}  // namespace

MemberFleet::MemberFleet(Options options, Watch watch)
    : options_(std::move(options)),
      watch_(std::move(watch)),
      dice_(mix_hash(options_.seed)),
      agenda_(kBegins +
              Duration(static_cast<Duration::rep>(mix_hash(options_.seed) % 1'000'000'000))),
      began_(agenda_.now()),
      network_(options_.peers, options_.nodes, dice_.stream("peers")),
      nodes_(options_.nodes) {
  options_.terms.nodes = options_.nodes;
  options_.terms.inbox_per_s = options_.peers.in_per_s;
}

void MemberFleet::start(std::uint32_t node) {
  auto& n = nodes_[node];
  const auto seed = dice_.stream("life", mix_hash(node) + ++n.lives).seed();
  n.stalled = false, n.inbox.clear();
  n.members = std::make_unique<fleet::Membership>(
      options_.terms,
      fleet::LocalMember{fleet::MemberId(static_cast<std::uint16_t>(node)),
                         static_cast<std::uint8_t>(zone(node)),
                         static_cast<std::uint16_t>(seed >> 20U), 1},
      seed);
  n.members->start(now());
  after(node);
}

void MemberFleet::start_all() {
  for (std::uint32_t n = 0; n < size(); ++n) start(n);
}

void MemberFleet::kill(std::uint32_t node) {
  nodes_[node].members.reset();
  ++nodes_[node].lives;
}

void MemberFleet::leave(std::uint32_t node) {
  if (!up(node)) return;
  nodes_[node].members->leave(now());
  after(node);
}

void MemberFleet::stall(std::uint32_t node, bool stalled) {
  auto& n = nodes_[node];
  if (!n.members || std::exchange(n.stalled, stalled) == stalled || stalled) return;
  // It wakes: a timer that was due and what waits in its socket, in the order in which a program
  // may take them.
  tick(node);
  for (; !n.inbox.empty() && n.members; n.inbox.pop_front()) {
    const auto& [from, bytes] = n.inbox.front();
    n.members->receive(now(), fleet::MemberId(static_cast<std::uint16_t>(from)), bytes_of(bytes));
  }
  after(node);
}

void MemberFleet::inject(std::uint32_t from, std::uint32_t to, std::string bytes) {
  agenda_.after({}, [this, from, to, b = std::move(bytes)] { arrive(from, to, b); });
}

void MemberFleet::arrive(std::uint32_t from, std::uint32_t to, const std::string& bytes) {
  auto& n = nodes_[to];
  if (!n.members) return;
  while (!n.came.empty() && n.came.front().first <= now() - 1s) n.came.pop_front();
  n.came.emplace_back(now(), kind_of(bytes));
  if (overheard_) overheard_(from, to, bytes);
  if (n.came.size() > n.traffic.most_in) {
    n.traffic.most_in = n.came.size();
    n.traffic.most_by_kind = {};
    for (const auto& [when, kind] : n.came) ++n.traffic.most_by_kind[kind];
  }
  if (!network_.receive(now(), to)) return;
  if (n.stalled) {
    if (n.inbox.size() < kMostWaiting) n.inbox.emplace_back(from, bytes);
    return;
  }
  n.members->receive(now(), fleet::MemberId(static_cast<std::uint16_t>(from)), bytes_of(bytes));
  after(to);
}

// What a node has to say goes out, and its next tick is set.
void MemberFleet::after(std::uint32_t node) {
  auto& n = nodes_[node];
  for (const auto& v : n.members->drain_status_changes()) watch_(now(), node, v);
  for (auto& d : n.members->drain_datagrams()) {
    ++n.traffic.sent;
    n.traffic.bytes += d.bytes.size();
    const auto to = static_cast<std::uint32_t>(d.to);
    if (to >= size() || network_.too_long(d.bytes.size()) || (lost_ && lost_(node, to))) continue;
    for (const Time when : network_.send(now()))
      agenda_.at(when, [this, node, to, bytes = d.bytes] { arrive(node, to, bytes); });
  }
  const Time due = n.members->next_tick_time();
  if (due >= n.ticks_at && n.ticks_at > now()) return;
  n.ticks_at = due;
  if (due == Time::max()) return;
  agenda_.at(due, [this, node, due, life = n.lives] {
    if (nodes_[node].lives != life || nodes_[node].ticks_at != due || nodes_[node].stalled) return;
    tick(node);
    after(node);
  });
}

void MemberFleet::tick(std::uint32_t node) {
  auto& n = nodes_[node];
  n.ticks_at = Time::max();
  if (n.members && n.members->next_tick_time() <= now()) n.members->tick(now());
}

void MemberFleet::run_for(Duration span) { agenda_.run_until(now() + span); }

bool MemberFleet::run_until(const std::function<bool()>& holds, Duration most, Duration step) {
  const Time end = now() + most;
  while (!holds()) {
    if (now() >= end) return false;
    run_for(std::min(step, end - now()));
  }
  return true;
}

std::shared_ptr<const fleet::MembershipView> MemberFleet::view(std::uint32_t node) const {
  return nodes_[node].members->view(now());
}

bool MemberFleet::sees_all(std::uint32_t node) const {
  const auto v = view(node);
  for (std::uint32_t i = 0; i < size(); ++i) {
    const auto& s = (*v->members)[i].state;
    const bool living = s.known() && s.status <= fleet::MemberStatus::suspect;
    if (living != up(i)) return false;
    if (living && s.incarnation != members(i).self().incarnation) return false;
  }
  return true;
}

bool MemberFleet::agreed() const {
  for (std::uint32_t n = 0; n < size(); ++n)
    if (up(n) && !sees_all(n)) return false;
  return true;
}

std::uint64_t MemberFleet::most_in() const { return worst().most_in; }
MemberFleet::Traffic MemberFleet::worst() const {
  return std::ranges::max_element(nodes_, {}, [](const Node& n) { return n.traffic.most_in; })
      ->traffic;
}
std::uint64_t MemberFleet::bytes() const {
  return std::accumulate(nodes_.begin(), nodes_.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const Node& n) { return sum + n.traffic.bytes; });
}
std::uint64_t MemberFleet::sent() const {
  return std::accumulate(nodes_.begin(), nodes_.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const Node& n) { return sum + n.traffic.sent; });
}
void MemberFleet::reset_traffic() {
  for (auto& n : nodes_) n.traffic = {}, n.came.clear();
}

}  // namespace petrelrail::world

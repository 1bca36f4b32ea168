#include "gossip_transport.hpp"

#include <stdexcept>

#include "common/hash.hpp"
#include "common/time_math.hpp"
#include "facts.hpp"

namespace petrelrail {
namespace {

double ago(Time now, Time then) { return then == Time{} ? -1.0 : seconds(now - then); }

}  // namespace

nlohmann::json to_json(const fleet::LocalMember& s) {
  return {{"life", s.instance_id}, {"incarnation", s.incarnation}};
}

fleet::LocalMember self_of(const nlohmann::json& j, fleet::LocalMember self) {
  self.instance_id = j.at("life").get<std::uint16_t>();
  self.incarnation = j.at("incarnation").get<std::uint32_t>();
  if (self.incarnation == 0) throw std::runtime_error("a member without an incarnation");
  return self;
}

GossipTransport::GossipTransport(asio::io_context& io, Timers& timers, const GossipConfig& config,
                                 std::uint64_t seed, Callbacks& owner)
    : timers_(timers),
      config_(config),
      callbacks_(owner),
      seed_(mix_hash(seed)),
      socket_(io.get_executor()) {
  fleet::validate(config_.terms);
  self_.id = fleet::MemberId(static_cast<std::uint16_t>(config_.index));
  self_.zone = config_.zone;
  self_.instance_id = static_cast<std::uint16_t>(mix_hash(seed_));
  for (std::size_t i = 0; i < config_.addresses.size(); ++i)
    known_.emplace(config_.addresses[i], fleet::MemberId(static_cast<std::uint16_t>(i)));
}

GossipTransport::~GossipTransport() { stop(); }

void GossipTransport::start(const std::optional<fleet::LocalMember>& predecessor) {
  if (started()) return;
  socket_.open(config_.listen.protocol());
  socket_.set_option(asio::socket_base::reuse_address(true));
  try {
    socket_.bind(config_.listen);
  } catch (const boost::system::system_error&) {
    error_code ignored;
    socket_.close(ignored);
    throw;
  }
  socket_.non_blocking(true);
  if (predecessor)
    self_ = *predecessor;
  else if (members_)
    self_ = members_->self();  // it goes on after a successor that has ended
  members_ = std::make_unique<fleet::Membership>(config_.terms, self_, seed_);
  told_version_ = 0;
  members_->start(timers_.now());
  receive();
  act();
}

void GossipTransport::leave() {
  if (!started()) return;
  members_->leave(timers_.now());
  act();
}

void GossipTransport::stop() {
  timers_.cancel(due_);
  error_code ignored;
  socket_.close(ignored);
}

void GossipTransport::receive() {
  socket_.async_receive_from(asio::buffer(space_), sender_,
                             [this](const error_code& failed, std::size_t bytes) {
                               if (failed == asio::error::operation_aborted || !started()) return;
                               // A datagram to one that is gone may come back as an error: it says
                               // nothing of this socket.
                               if (!failed) {
                                 took(bytes);
                                 drain();
                                 act();
                               }
                               receive();
                             });
}

// What waits in the socket comes before anybody is judged for not having answered. Bounded, as
// others may send for ever.
void GossipTransport::drain() {
  for (std::size_t i = 0; i < facts::kDatagramsAtOnce; ++i) {
    error_code none;
    const auto bytes = socket_.receive_from(asio::buffer(space_), sender_, 0, none);
    if (none) return;
    took(bytes);
  }
}

void GossipTransport::took(std::size_t bytes) {
  const auto it = known_.find(sender_);
  if (it == known_.end()) return members_->count_unknown_sender();
  if (const auto other = members_->receive(timers_.now(), it->second, {space_.data(), bytes}))
    callbacks_.on_message(it->second, *other);
}

void GossipTransport::send(fleet::MemberId to, fleet::Body body, std::uint32_t echo) {
  if (started() && fleet::index_of(to) < config_.addresses.size())
    write(members_->seal(to, std::move(body), echo));
}

void GossipTransport::write(const fleet::Membership::Datagram& d) {
  error_code failed;
  socket_.send_to(asio::buffer(d.bytes), config_.addresses[fleet::index_of(d.to)], 0, failed);
  if (failed) ++unsent_;
}

void GossipTransport::tick() {
  drain();
  if (const Time now = timers_.now(); members_->next_tick_time() <= now) members_->tick(now);
  act();
}

void GossipTransport::act() {
  for (const auto& d : members_->drain_datagrams()) write(d);
  for (const auto& v : members_->drain_status_changes()) tell(v);
  timers_.cancel(due_);
  due_ = timers_.at(members_->next_tick_time(), [this] {
    due_.reset();
    tick();
  });
  const auto standing = members_->reachability(timers_.now());
  const bool moved = std::exchange(standing_, standing) != standing;
  if (members_->view_version() == told_version_ && !moved) return;
  told_version_ = members_->view_version();
  const auto v = view();
  if (moved)
    log::warning("members", std::string("this node reaches ") + fleet::name_of(v->reachability),
                 {{"living", std::to_string(v->living)}, {"failed", std::to_string(v->failed)}});
  if (const bool c = members_->has_id_conflict(timers_.now());
      std::exchange(conflicted_, c) != c && c)
    log::warning("members", "another process goes by this node's name");
  callbacks_.on_view_changed(*v);
}

void GossipTransport::tell(const fleet::StatusChange& v) {
  const auto who = std::to_string(fleet::index_of(v.member));
  const auto incarnation = std::to_string(v.incarnation);
  switch (v.status) {
    case fleet::MemberStatus::suspect:
      return log::info("members", "member " + who + " is suspect", {{"incarnation", incarnation}});
    case fleet::MemberStatus::failed:
      return log::warning("members", "member " + who + " has failed",
                          {{"incarnation", incarnation}});
    case fleet::MemberStatus::left:
      return log::info("members", "member " + who + " has left", {{"incarnation", incarnation}});
    case fleet::MemberStatus::alive:
      return log::info("members", "member " + who + (v.returned ? " is back" : " is there"),
                       {{"incarnation", incarnation}});
  }
}

nlohmann::json GossipTransport::to_json() const {
  const Time now = timers_.now();
  const auto v = view();
  const auto rounded = [](double s) {
    return static_cast<double>(static_cast<std::int64_t>(s * 1e3)) / 1e3;
  };
  nlohmann::json members = nlohmann::json::array(), zones = nlohmann::json::array();
  for (std::size_t i = 0; i < v->members->size(); ++i) {
    const auto& s = (*v->members)[i];
    nlohmann::json m = {{"number", i},
                        {"state", s.state.known() ? fleet::name_of(s.state.status) : "unknown"}};
    if (s.state.known()) {
      m["incarnation"] = s.state.incarnation;
      m["zone"] = s.zone < config_.zones.size() ? config_.zones[s.zone] : std::to_string(s.zone);
      m["since_s"] = rounded(ago(now, s.since));
      if (!s.stable) m["settled"] = false;
    }
    members.push_back(std::move(m));
  }
  for (std::size_t z = 0; z < v->zones.size(); ++z)
    zones.push_back({{"zone", z < config_.zones.size() ? config_.zones[z] : std::to_string(z)},
                     {"known", v->zones[z].known},
                     {"living", v->zones[z].living},
                     {"heard_s", rounded(ago(now, v->zones[z].last_heard))}});
  return {{"self", config_.index},
          {"incarnation", members_->self().incarnation},
          {"standing", fleet::name_of(v->reachability)},
          {"version", v->version},
          {"age_s", rounded(ago(now, v->since))},
          {"stale_s", rounded(seconds(v->staleness(now)))},
          {"living", v->living},
          {"suspect", v->suspects},
          {"failed", v->failed},
          {"left", v->left},
          {"unknown", v->unknown},
          {"health", stats().local_health},
          {"zones", std::move(zones)},
          {"members", std::move(members)}};
}

}  // namespace petrelrail

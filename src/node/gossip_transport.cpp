#include "gossip_transport.hpp"

#include <stdexcept>

#include "common/hash.hpp"
#include "common/time_math.hpp"
#include "limits.hpp"

namespace petrelrail {
namespace {

double seconds_since(Time now, Time then) { return then == Time{} ? -1.0 : seconds(now - then); }

}  // namespace

nlohmann::json to_json(const fleet::LocalMember& s) {
  return {{"life", s.instance_id}, {"incarnation", s.incarnation}};
}

fleet::LocalMember self_from_json(const nlohmann::json& j, fleet::LocalMember self) {
  self.instance_id = j.at("life").get<std::uint16_t>();
  self.incarnation = j.at("incarnation").get<std::uint32_t>();
  if (self.incarnation == 0) throw std::runtime_error("incarnation must be above 0");
  return self;
}

GossipTransport::GossipTransport(asio::io_context& io, Timers& timers, const GossipConfig& config,
                                 std::uint64_t seed, Callbacks& callbacks)
    : timers_(timers),
      config_(config),
      callbacks_(callbacks),
      seed_(mix_hash(seed)),
      socket_(io.get_executor()) {
  fleet::validate(config_.terms);
  self_.id = fleet::MemberId(static_cast<std::uint16_t>(config_.index));
  self_.zone = config_.zone;
  self_.instance_id = static_cast<std::uint16_t>(mix_hash(seed_));
  for (std::size_t i = 0; i < config_.addresses.size(); ++i)
    members_by_address_.emplace(config_.addresses[i],
                                fleet::MemberId(static_cast<std::uint16_t>(i)));
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
    self_ = members_->self();  // resumes after a successor has failed
  members_ = std::make_unique<fleet::Membership>(config_.terms, self_, seed_);
  reported_version_ = 0;
  members_->start(timers_.now());
  receive();
  process_output();
}

void GossipTransport::leave() {
  if (!started()) return;
  members_->leave(timers_.now());
  process_output();
}

void GossipTransport::stop() {
  timers_.cancel(timer_);
  error_code ignored;
  socket_.close(ignored);
}

void GossipTransport::receive() {
  socket_.async_receive_from(asio::buffer(receive_buffer_), sender_,
                             [this](const error_code& failed, std::size_t bytes) {
                               if (failed == asio::error::operation_aborted || !started()) return;
                               // An error may stem from a datagram sent to a peer that is gone; it
                               // says nothing about this socket.
                               if (!failed) {
                                 on_datagram(bytes);
                                 drain_socket();
                                 process_output();
                               }
                               receive();
                             });
}

// Reads the datagrams waiting in the socket before the protocol judges that a member has not
// answered. Bounded, as peers may keep sending.
void GossipTransport::drain_socket() {
  for (std::size_t i = 0; i < limits::kMaxDatagramsPerRead; ++i) {
    error_code failed;
    const auto bytes = socket_.receive_from(asio::buffer(receive_buffer_), sender_, 0, failed);
    if (failed) return;
    on_datagram(bytes);
  }
}

void GossipTransport::on_datagram(std::size_t bytes) {
  const auto it = members_by_address_.find(sender_);
  if (it == members_by_address_.end()) return members_->count_unknown_sender();
  if (const auto message = members_->receive(timers_.now(), it->second,
                                             {receive_buffer_.data(), bytes}))
    callbacks_.on_message(it->second, *message);
}

void GossipTransport::send(fleet::MemberId to, fleet::Body body, std::uint32_t echo) {
  if (started() && fleet::index_of(to) < config_.addresses.size())
    write_datagram(members_->seal(to, std::move(body), echo));
}

void GossipTransport::write_datagram(const fleet::Membership::Datagram& d) {
  error_code failed;
  socket_.send_to(asio::buffer(d.bytes), config_.addresses[fleet::index_of(d.to)], 0, failed);
  if (failed) ++unsent_;
}

void GossipTransport::tick() {
  drain_socket();
  if (const Time now = timers_.now(); members_->next_tick_time() <= now) members_->tick(now);
  process_output();
}

void GossipTransport::process_output() {
  for (const auto& d : members_->drain_datagrams()) write_datagram(d);
  for (const auto& verdict : members_->drain_status_changes()) log_status_change(verdict);
  timers_.cancel(timer_);
  timer_ = timers_.at(members_->next_tick_time(), [this] {
    timer_.reset();
    tick();
  });
  const auto standing = members_->reachability(timers_.now());
  const bool standing_changed = std::exchange(standing_, standing) != standing;
  if (members_->view_version() == reported_version_ && !standing_changed) return;
  reported_version_ = members_->view_version();
  const auto current_view = view();
  if (standing_changed)
    log::warning("members",
                 std::string("this node reaches ") + fleet::name_of(current_view->reachability),
                 {{"living", std::to_string(current_view->living)},
                  {"failed", std::to_string(current_view->failed)}});
  if (const bool conflict = members_->has_id_conflict(timers_.now());
      std::exchange(conflicted_, conflict) != conflict && conflict)
    log::warning("members", "another process goes by this node's name");
  callbacks_.on_view_changed(*current_view);
}

void GossipTransport::log_status_change(const fleet::StatusChange& verdict) {
  const auto member = std::to_string(fleet::index_of(verdict.member));
  const auto incarnation = std::to_string(verdict.incarnation);
  switch (verdict.status) {
    case fleet::MemberStatus::suspect:
      return log::info("members", "member " + member + " is suspect",
                       {{"incarnation", incarnation}});
    case fleet::MemberStatus::failed:
      return log::warning("members", "member " + member + " has failed",
                          {{"incarnation", incarnation}});
    case fleet::MemberStatus::left:
      return log::info("members", "member " + member + " has left", {{"incarnation", incarnation}});
    case fleet::MemberStatus::alive:
      return log::info("members",
                       "member " + member + (verdict.returned ? " is back" : " is there"),
                       {{"incarnation", incarnation}});
  }
}

nlohmann::json GossipTransport::to_json() const {
  const Time now = timers_.now();
  const auto current_view = view();
  const auto rounded = [](double s) {
    return static_cast<double>(static_cast<std::int64_t>(s * 1e3)) / 1e3;
  };
  nlohmann::json members = nlohmann::json::array(), zones = nlohmann::json::array();
  for (std::size_t i = 0; i < current_view->members->size(); ++i) {
    const auto& s = (*current_view->members)[i];
    nlohmann::json m = {{"number", i},
                        {"state", s.state.known() ? fleet::name_of(s.state.status) : "unknown"}};
    if (s.state.known()) {
      m["incarnation"] = s.state.incarnation;
      m["zone"] = s.zone < config_.zones.size() ? config_.zones[s.zone] : std::to_string(s.zone);
      m["since_s"] = rounded(seconds_since(now, s.since));
      if (!s.stable) m["settled"] = false;
    }
    members.push_back(std::move(m));
  }
  for (std::size_t z = 0; z < current_view->zones.size(); ++z)
    zones.push_back({{"zone", z < config_.zones.size() ? config_.zones[z] : std::to_string(z)},
                     {"known", current_view->zones[z].known},
                     {"living", current_view->zones[z].living},
                     {"heard_s", rounded(seconds_since(now, current_view->zones[z].last_heard))}});
  return {{"self", config_.index},
          {"incarnation", members_->self().incarnation},
          {"standing", fleet::name_of(current_view->reachability)},
          {"version", current_view->version},
          {"age_s", rounded(seconds_since(now, current_view->since))},
          {"stale_s", rounded(seconds(current_view->staleness(now)))},
          {"living", current_view->living},
          {"suspect", current_view->suspects},
          {"failed", current_view->failed},
          {"left", current_view->left},
          {"unknown", current_view->unknown},
          {"health", stats().local_health},
          {"zones", std::move(zones)},
          {"members", std::move(members)}};
}

}  // namespace petrelrail

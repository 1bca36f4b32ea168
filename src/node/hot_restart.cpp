#include "hot_restart.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cstring>

#include "limits.hpp"

namespace petrelrail {

using nlohmann::json;

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  if (this != &other) {
    Descriptor old(std::exchange(number_, other.release()));
  }
  return *this;
}
Descriptor::~Descriptor() {
  if (number_ >= 0) ::close(number_);
}

// ---- The state as JSON --------------------------------------------------------------------------

namespace {

std::int64_t nanos_of(Time t) { return t.time_since_epoch().count(); }
Time time_of(const json& j) { return Time(Duration(j.get<std::int64_t>())); }

json to_json(const HandoverState::WindowUnits& u) {
  return json::array({u.window, u.held, u.counted, u.correction, nanos_of(u.last_response_time),
                      u.admitted_before_lease, u.exhausted});
}
HandoverState::WindowUnits units_of(const json& j) {
  HandoverState::WindowUnits u;
  auto it = j.begin();
  const auto next = [&]() -> const json& {
    if (it == j.end()) throw std::runtime_error("units are cut short");
    return *it++;
  };
  u.window = next().get<std::int64_t>();
  u.held = next(), u.counted = next(), u.correction = next();
  u.last_response_time = time_of(next());
  u.admitted_before_lease = next(), u.exhausted = next();
  return u;
}

}  // namespace

json to_json(const HandoverState& s) {
  json leases = json::array();
  for (const auto& l : s.leases) {
    json ahead = json::array(), places = json::array();
    for (const auto& u : l.prefetched) ahead.push_back(to_json(u));
    for (const auto t : l.slot_release_times) places.push_back(nanos_of(t));
    leases.push_back({{"customer", l.customer},
                      {"plan", l.plan},
                      {"now", to_json(l.current)},
                      {"ahead", std::move(ahead)},
                      {"asked", l.requested_units},
                      {"pace", l.average_demand},
                      {"tries", l.recent_requests},
                      {"over", l.demand_ratio},
                      {"elsewhere", l.other_gateways_rate},
                      {"tried_at", nanos_of(l.last_request_time)},
                      {"called_at", nanos_of(l.last_call_time)},
                      {"places", std::move(places)}});
  }
  json plans = json::array();
  for (const auto& plan : s.plans) plans.push_back({plan.name, plan.length.count()});
  json state{{"leases", std::move(leases)},
             {"latencies", s.latencies},
             {"quickest_calls", s.fastest_call_times},
             {"call_rate", s.call_rate},
             {"bound", s.concurrency_limit},
             {"answers", s.recent_responses},
             {"arrivals", s.recent_arrivals},
             {"at", nanos_of(s.export_time)},
             {"lost_at", nanos_of(s.counter_reset_time)}};
  if (!plans.empty()) state["plans"] = std::move(plans);
  return state;
}

HandoverState handover_state_from_json(const json& j) {
  HandoverState s;
  for (const auto& e : j.at("leases")) {
    HandoverState::CustomerLease l;
    l.customer = e.at("customer");
    l.plan = e.at("plan");
    l.current = units_of(e.at("now"));
    for (const auto& u : e.at("ahead")) l.prefetched.push_back(units_of(u));
    l.requested_units = e.at("asked"), l.average_demand = e.at("pace"),
    l.recent_requests = e.at("tries");
    l.demand_ratio = e.at("over"), l.other_gateways_rate = e.at("elsewhere");
    l.last_request_time = time_of(e.at("tried_at")), l.last_call_time = time_of(e.at("called_at"));
    for (const auto& t : e.at("places")) l.slot_release_times.push_back(time_of(t));
    s.leases.push_back(std::move(l));
  }
  // A predecessor of an earlier version does not tell its plans.
  if (const auto plans = j.find("plans"); plans != j.end())
    for (const auto& plan : *plans)
      s.plans.push_back({plan.at(0).get<std::string>(), Duration(plan.at(1).get<std::int64_t>())});
  j.at("latencies").get_to(s.latencies);
  j.at("quickest_calls").get_to(s.fastest_call_times);
  s.call_rate = j.at("call_rate"), s.concurrency_limit = j.at("bound");
  s.recent_responses = j.at("answers"), s.recent_arrivals = j.at("arrivals");
  s.export_time = time_of(j.at("at")), s.counter_reset_time = time_of(j.at("lost_at"));
  return s;
}

// ---- The link: JSON lines both ways, and one descriptor -----------------------------------------

class HotRestart::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HotRestart& handover, LocalSocket socket)
      : handover_(&handover), socket_(std::move(socket)) {
    error_code ignored;
    socket_.non_blocking(true, ignored);
  }

  void read() {
    socket_.async_wait(LocalSocket::wait_read,
                       [self = shared_from_this()](const error_code& failed) {
                         if (!self->handover_) return;
                         if (failed || !self->take()) return self->end();
                         if (self->handover_) self->read();
                       });
  }

  void send(const json& message) {
    out_.push_back(message.dump() + "\n");
    if (out_.size() == 1) write();
  }
  // On a link on which nothing was sent yet: the descriptor goes with the line's first byte.
  bool send_with(const json& message, int descriptor) {
    auto text = message.dump() + "\n";
    iovec part{text.data(), text.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> space{};
    msghdr m{};
    m.msg_iov = &part, m.msg_iovlen = 1;
    m.msg_control = space.data(), m.msg_controllen = space.size();
    auto* c = CMSG_FIRSTHDR(&m);
    c->cmsg_level = SOL_SOCKET, c->cmsg_type = SCM_RIGHTS, c->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(c), &descriptor, sizeof descriptor);
    return ::sendmsg(socket_.native_handle(), &m, MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }

  // Small enough for any socket's buffer.
  void dismiss() {
    static constexpr std::string_view words = "{\"replaced\":true}\n";
    ::send(socket_.native_handle(), words.data(), words.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    abandon();
  }
  void end() {
    if (const auto handover = std::exchange(handover_, nullptr)) {
      close();
      handover->on_connection_lost(this);
    }
  }
  void abandon() {
    handover_ = nullptr;
    close();
  }

 private:
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }
  void write() {
    asio::async_write(socket_, asio::buffer(out_.front()),
                      [self = shared_from_this()](const error_code& failed, std::size_t) {
                        if (!self->handover_) return;
                        if (failed) return self->end();
                        self->out_.pop_front();
                        if (!self->out_.empty()) self->write();
                      });
  }

  // False if the link is of no more use.
  bool take() {
    std::array<char, limits::kReadBufferBytes> bytes{};
    iovec part{bytes.data(), bytes.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> space{};
    msghdr m{};
    m.msg_iov = &part, m.msg_iovlen = 1;
    m.msg_control = space.data(), m.msg_controllen = space.size();
    const auto n = ::recvmsg(socket_.native_handle(), &m, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
    if (n < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    for (auto* c = CMSG_FIRSTHDR(&m); c != nullptr; c = CMSG_NXTHDR(&m, c)) {
      if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
      int descriptor = -1;
      std::memcpy(&descriptor, CMSG_DATA(c), sizeof descriptor);
      passed_ = Descriptor(descriptor);
    }
    if (n == 0) return false;
    in_.append(bytes.data(), static_cast<std::size_t>(n));
    for (auto end = in_.find('\n'); end != std::string::npos; end = in_.find('\n')) {
      const auto message = json::parse(in_.substr(0, end), nullptr, false);
      in_.erase(0, end + 1);
      if (!message.is_object()) return false;
      handover_->on_message(message, std::move(passed_));
      if (!handover_) return true;
    }
    return in_.size() <= limits::kMaxJsonLineBytes;
  }

  HotRestart* handover_;  // none: it has ended
  LocalSocket socket_;
  std::string in_;
  Descriptor passed_;
  std::deque<std::string> out_;  // the first one is being written
};

// ---- The two ends -------------------------------------------------------------------------------

HotRestart::HotRestart(asio::io_context& io, Timers& timers, std::string path, Callbacks& owner)
    : io_(io),
      timers_(timers),
      path_(std::move(path)),
      callbacks_(owner),
      acceptor_(io.get_executor()) {
  if (path_.size() >= sizeof(sockaddr_un::sun_path)) {
    log::warning("handover", "the path is too long", {{"path", path_}});
    path_.clear();
  }
}

HotRestart::~HotRestart() {
  timers_.cancel(timeout_);
  timers_.cancel(accept_timer_);
  // First of all: once the link has ended the other process offers itself, on the same path.
  if (acceptor_.is_open() && owns_path()) ::unlink(path_.c_str());
  if (connection_) connection_->abandon();
}

bool HotRestart::connect_to_predecessor() {
  if (path_.empty()) return false;
  LocalSocket socket(io_.get_executor());
  error_code failed;
  socket.open(Local(), failed);
  if (!failed) socket.non_blocking(true, failed);
  // On this machine a connect is done or refused at once.
  if (!failed) socket.connect(Local::endpoint(path_), failed);
  if (failed) return false;
  connection_ = std::make_shared<Connection>(*this, std::move(socket));
  connection_->send({{"hello", limits::kHandoverVersion}});
  connection_->read();
  timeout_ = timers_.after(limits::kHandoverTimeout, [this] {
    timeout_.reset();
    if (connection_) connection_->end();
  });
  return true;
}

void HotRestart::request_state() {
  if (connection_) connection_->send({{"take", true}});
  timers_.cancel(timeout_);
  timeout_ = timers_.after(limits::kHandoverTimeout, [this] {
    timeout_.reset();
    if (connection_) connection_->end();
  });
}

// A socket that a process left behind is of no use to anybody.
void HotRestart::wait_for_successor() {
  if (path_.empty()) return;
  ::unlink(path_.c_str());
  error_code failed;
  acceptor_.open(Local(), failed);
  if (!failed) acceptor_.bind(Local::endpoint(path_), failed);
  if (!failed) ::chmod(path_.c_str(), S_IRUSR | S_IWUSR);
  if (!failed) acceptor_.listen(1, failed);
  struct stat made {};
  if (!failed && ::stat(path_.c_str(), &made) == 0) socket_file_ = {made.st_dev, made.st_ino};
  if (!failed) return accept();
  log::warning("handover", "no successor can come", {{"why", failed.message()}});
  error_code ignored;
  acceptor_.close(ignored);
}

// A process that served beside this one, since this one was silent, may have taken the path for
// itself.
bool HotRestart::owns_path() const {
  struct stat there {};
  return ::lstat(path_.c_str(), &there) == 0 &&
         std::pair<std::uint64_t, std::uint64_t>(there.st_dev, there.st_ino) == socket_file_;
}

void HotRestart::accept() {
  acceptor_.async_accept([this](const error_code& failed, LocalSocket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (failed) {  // no descriptor, say: whoever waits is still there after a moment
      accept_timer_ = timers_.after(limits::kAcceptRetryDelay, [this] {
        accept_timer_.reset();
        accept();
      });
      return;
    }
    // The latest one counts: an earlier one that took nothing has no claim, and is told so.
    if (connection_) std::exchange(connection_, nullptr)->dismiss();
    connection_ = std::make_shared<Connection>(*this, std::move(socket));
    connection_->read();
    accept();
  });
}

void HotRestart::stop_waiting() {
  timers_.cancel(accept_timer_);
  error_code ignored;
  acceptor_.close(ignored);  // the path is the successor's to use
}

void HotRestart::send_message(const json& message) {
  if (connection_) connection_->send(message);
}

void HotRestart::on_message(const json& message, Descriptor passed) {
  const auto link = connection_;
  try {
    if (message.contains("hello") && acceptor_.is_open()) {
      if (message.at("hello") != limits::kHandoverVersion ||
          !link->send_with({{"listener", true}}, callbacks_.listener()))
        link->end();
    } else if (message.contains("take") && acceptor_.is_open()) {
      stop_waiting();
      link->send({{"state", callbacks_.export_state()}});
    } else if (message.contains("listener") && passed) {
      timers_.cancel(timeout_);
      callbacks_.on_listener_received(std::move(passed));
    } else if (message.contains("replaced") && !acceptor_.is_open()) {
      timers_.cancel(timeout_);
      callbacks_.on_replaced();
    } else if (message.contains("state") && !acceptor_.is_open()) {
      timers_.cancel(timeout_);
      callbacks_.on_state_received(message.at("state"));
    } else {
      callbacks_.on_peer_message(message);
    }
  } catch (const std::exception& x) {
    log::warning("handover", x.what());
    link->end();
  }
}

void HotRestart::on_connection_lost(const Connection* link) {
  if (connection_.get() != link) return;
  timers_.cancel(timeout_);
  connection_.reset();
  callbacks_.on_peer_lost();
}

}  // namespace petrelrail

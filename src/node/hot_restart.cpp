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
Time time_from_json(const json& j) { return Time(Duration(j.get<std::int64_t>())); }

json to_json(const HandoverState::WindowUnits& u) {
  return json::array({u.window, u.held, u.counted, u.correction, nanos_of(u.last_response_time),
                      u.admitted_before_lease, u.exhausted});
}
HandoverState::WindowUnits window_units_from_json(const json& j) {
  HandoverState::WindowUnits u;
  auto it = j.begin();
  const auto next = [&]() -> const json& {
    if (it == j.end()) throw std::runtime_error("window units are truncated");
    return *it++;
  };
  u.window = next().get<std::int64_t>();
  u.held = next(), u.counted = next(), u.correction = next();
  u.last_response_time = time_from_json(next());
  u.admitted_before_lease = next(), u.exhausted = next();
  return u;
}

}  // namespace

json to_json(const HandoverState& s) {
  json leases = json::array();
  for (const auto& l : s.leases) {
    json prefetched = json::array(), slots = json::array();
    for (const auto& u : l.prefetched) prefetched.push_back(to_json(u));
    for (const auto t : l.slot_release_times) slots.push_back(nanos_of(t));
    leases.push_back({{"customer", l.customer},
                      {"plan", l.plan},
                      {"now", to_json(l.current)},
                      {"ahead", std::move(prefetched)},
                      {"asked", l.requested_units},
                      {"pace", l.average_demand},
                      {"tries", l.recent_requests},
                      {"over", l.demand_ratio},
                      {"elsewhere", l.other_gateways_rate},
                      {"tried_at", nanos_of(l.last_request_time)},
                      {"called_at", nanos_of(l.last_call_time)},
                      {"places", std::move(slots)}});
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
    l.current = window_units_from_json(e.at("now"));
    for (const auto& u : e.at("ahead")) l.prefetched.push_back(window_units_from_json(u));
    l.requested_units = e.at("asked"), l.average_demand = e.at("pace"),
    l.recent_requests = e.at("tries");
    l.demand_ratio = e.at("over"), l.other_gateways_rate = e.at("elsewhere");
    l.last_request_time = time_from_json(e.at("tried_at")),
    l.last_call_time = time_from_json(e.at("called_at"));
    for (const auto& t : e.at("places")) l.slot_release_times.push_back(time_from_json(t));
    s.leases.push_back(std::move(l));
  }
  // A predecessor of an earlier version sends no plans.
  if (const auto plans = j.find("plans"); plans != j.end())
    for (const auto& plan : *plans)
      s.plans.push_back({plan.at(0).get<std::string>(), Duration(plan.at(1).get<std::int64_t>())});
  j.at("latencies").get_to(s.latencies);
  j.at("quickest_calls").get_to(s.fastest_call_times);
  s.call_rate = j.at("call_rate"), s.concurrency_limit = j.at("bound");
  s.recent_responses = j.at("answers"), s.recent_arrivals = j.at("arrivals");
  s.export_time = time_from_json(j.at("at")),
  s.counter_reset_time = time_from_json(j.at("lost_at"));
  return s;
}

// ---- The connection: JSON lines in both directions, and one descriptor --------------------------

class HotRestart::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HotRestart& owner, LocalSocket socket) : owner_(&owner), socket_(std::move(socket)) {
    error_code ignored;
    socket_.non_blocking(true, ignored);
  }

  void read() {
    socket_.async_wait(LocalSocket::wait_read,
                       [self = shared_from_this()](const error_code& failed) {
                         if (!self->owner_) return;
                         if (failed || !self->receive()) return self->fail();
                         if (self->owner_) self->read();
                       });
  }

  void send(const json& message) {
    output_.push_back(message.dump() + "\n");
    if (output_.size() == 1) write();
  }
  // Must be the first message on the connection: the descriptor travels with the line's first byte.
  bool send_with_descriptor(const json& message, int descriptor) {
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

  // Tells the other process that it was replaced. The message fits into any socket's send buffer.
  void close_replaced() {
    static constexpr std::string_view text = "{\"replaced\":true}\n";
    ::send(socket_.native_handle(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    close_silently();
  }
  // Closes and reports the loss to the owner.
  void fail() {
    if (const auto owner = std::exchange(owner_, nullptr)) {
      close();
      owner->on_connection_lost(this);
    }
  }
  void close_silently() {
    owner_ = nullptr;
    close();
  }

 private:
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }
  void write() {
    asio::async_write(socket_, asio::buffer(output_.front()),
                      [self = shared_from_this()](const error_code& failed, std::size_t) {
                        if (!self->owner_) return;
                        if (failed) return self->fail();
                        self->output_.pop_front();
                        if (!self->output_.empty()) self->write();
                      });
  }

  // Reads and dispatches messages; false if the connection must be closed.
  bool receive() {
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
      received_descriptor_ = Descriptor(descriptor);
    }
    if (n == 0) return false;
    input_.append(bytes.data(), static_cast<std::size_t>(n));
    for (auto end = input_.find('\n'); end != std::string::npos; end = input_.find('\n')) {
      const auto message = json::parse(input_.substr(0, end), nullptr, false);
      input_.erase(0, end + 1);
      if (!message.is_object()) return false;
      owner_->on_message(message, std::move(received_descriptor_));
      if (!owner_) return true;
    }
    return input_.size() <= limits::kMaxJsonLineBytes;
  }

  HotRestart* owner_;  // null once the connection is closed
  LocalSocket socket_;
  std::string input_;
  Descriptor received_descriptor_;
  std::deque<std::string> output_;  // the first one is being written
};

// ---- Serving process and successor --------------------------------------------------------------

HotRestart::HotRestart(asio::io_context& io, Timers& timers, std::string path, Callbacks& owner)
    : io_(io),
      timers_(timers),
      path_(std::move(path)),
      callbacks_(owner),
      acceptor_(io.get_executor()) {
  if (path_.size() >= sizeof(sockaddr_un::sun_path)) {
    log::warning("handover", "the hand-over socket's path is too long", {{"path", path_}});
    path_.clear();
  }
}

HotRestart::~HotRestart() {
  timers_.cancel(timeout_);
  timers_.cancel(accept_timer_);
  // Before the connection is closed: the other process then listens on the same path.
  if (acceptor_.is_open() && owns_path()) ::unlink(path_.c_str());
  if (connection_) connection_->close_silently();
}

bool HotRestart::connect_to_predecessor() {
  if (path_.empty()) return false;
  LocalSocket socket(io_.get_executor());
  error_code failed;
  socket.open(Local(), failed);
  if (!failed) socket.non_blocking(true, failed);
  // A connect to a Unix socket succeeds or fails at once.
  if (!failed) socket.connect(Local::endpoint(path_), failed);
  if (failed) return false;
  connection_ = std::make_shared<Connection>(*this, std::move(socket));
  connection_->send({{"hello", limits::kHandoverVersion}});
  connection_->read();
  timeout_ = timers_.after(limits::kHandoverTimeout, [this] {
    timeout_.reset();
    if (connection_) connection_->fail();
  });
  return true;
}

void HotRestart::request_state() {
  if (connection_) connection_->send({{"take", true}});
  timers_.cancel(timeout_);
  timeout_ = timers_.after(limits::kHandoverTimeout, [this] {
    timeout_.reset();
    if (connection_) connection_->fail();
  });
}

// Replaces a socket file that an earlier process left behind.
void HotRestart::wait_for_successor() {
  if (path_.empty()) return;
  ::unlink(path_.c_str());
  error_code failed;
  acceptor_.open(Local(), failed);
  if (!failed) acceptor_.bind(Local::endpoint(path_), failed);
  if (!failed) ::chmod(path_.c_str(), S_IRUSR | S_IWUSR);
  if (!failed) acceptor_.listen(1, failed);
  struct stat created {};
  if (!failed && ::stat(path_.c_str(), &created) == 0)
    socket_file_ = {created.st_dev, created.st_ino};
  if (!failed) return accept();
  log::warning("handover", "can't open the hand-over socket", {{"why", failed.message()}});
  error_code ignored;
  acceptor_.close(ignored);
}

// False if another process has replaced the socket at the path: a successor starts on its own when
// this process does not respond.
bool HotRestart::owns_path() const {
  struct stat current {};
  return ::lstat(path_.c_str(), &current) == 0 &&
         std::pair<std::uint64_t, std::uint64_t>(current.st_dev, current.st_ino) == socket_file_;
}

void HotRestart::accept() {
  acceptor_.async_accept([this](const error_code& failed, LocalSocket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (failed) {  // for example no descriptor: the successor stays in the queue meanwhile
      accept_timer_ = timers_.after(limits::kAcceptRetryDelay, [this] {
        accept_timer_.reset();
        accept();
      });
      return;
    }
    // The latest successor wins; an earlier one that has not taken over yet is notified.
    if (connection_) std::exchange(connection_, nullptr)->close_replaced();
    connection_ = std::make_shared<Connection>(*this, std::move(socket));
    connection_->read();
    accept();
  });
}

void HotRestart::stop_listening() {
  timers_.cancel(accept_timer_);
  error_code ignored;
  acceptor_.close(ignored);  // the successor reuses the path
}

void HotRestart::send_message(const json& message) {
  if (connection_) connection_->send(message);
}

void HotRestart::on_message(const json& message, Descriptor descriptor) {
  const auto connection = connection_;
  try {
    if (message.contains("hello") && acceptor_.is_open()) {
      if (message.at("hello") != limits::kHandoverVersion ||
          !connection->send_with_descriptor({{"listener", true}}, callbacks_.listener()))
        connection->fail();
    } else if (message.contains("take") && acceptor_.is_open()) {
      stop_listening();
      connection->send({{"state", callbacks_.export_state()}});
    } else if (message.contains("listener") && descriptor) {
      timers_.cancel(timeout_);
      callbacks_.on_listener_received(std::move(descriptor));
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
    connection->fail();
  }
}

void HotRestart::on_connection_lost(const Connection* connection) {
  if (connection_.get() != connection) return;
  timers_.cancel(timeout_);
  connection_.reset();
  callbacks_.on_peer_lost();
}

}  // namespace petrelrail

#include "handover.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cstring>

#include "facts.hpp"

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

// ---- The state as JSON --------------------------------------------------------------------------------------

namespace {

std::int64_t nanos_of(Time t) { return t.time_since_epoch().count(); }
Time time_of(const json& j) { return Time(Duration(j.get<std::int64_t>())); }

json to_json(const Succession::Units& u) {
  return json::array({u.window, u.held, u.added, u.owed, nanos_of(u.answered_at), u.credit, u.empty});
}
Succession::Units units_of(const json& j) {
  Succession::Units u;
  auto it = j.begin();
  const auto next = [&]() -> const json& {
    if (it == j.end()) throw std::runtime_error("units are cut short");
    return *it++;
  };
  u.window = next().get<std::int64_t>();
  u.held = next(), u.added = next(), u.owed = next();
  u.answered_at = time_of(next());
  u.credit = next(), u.empty = next();
  return u;
}

}  // namespace

json to_json(const Succession& s) {
  json leases = json::array();
  for (const auto& l : s.leases) {
    json ahead = json::array(), places = json::array();
    for (const auto& u : l.ahead) ahead.push_back(to_json(u));
    for (const auto t : l.places) places.push_back(nanos_of(t));
    leases.push_back({{"customer", l.customer},
                      {"plan", l.plan},
                      {"now", to_json(l.now)},
                      {"ahead", std::move(ahead)},
                      {"asked", l.asked},
                      {"pace", l.pace},
                      {"tries", l.tries},
                      {"over", l.over},
                      {"elsewhere", l.elsewhere},
                      {"tried_at", nanos_of(l.tried_at)},
                      {"called_at", nanos_of(l.called_at)},
                      {"places", std::move(places)}});
  }
  return {{"leases", std::move(leases)}, {"latencies", s.latencies}, {"quickest_calls", s.quickest_calls},
          {"call_rate", s.call_rate},    {"bound", s.bound},         {"answers", s.answers},
          {"arrivals", s.arrivals},      {"at", nanos_of(s.at)},     {"lost_at", nanos_of(s.lost_at)}};
}

Succession succession_of(const json& j) {
  Succession s;
  for (const auto& e : j.at("leases")) {
    Succession::Lease l;
    l.customer = e.at("customer");
    l.plan = e.at("plan");
    l.now = units_of(e.at("now"));
    for (const auto& u : e.at("ahead")) l.ahead.push_back(units_of(u));
    l.asked = e.at("asked"), l.pace = e.at("pace"), l.tries = e.at("tries");
    l.over = e.at("over"), l.elsewhere = e.at("elsewhere");
    l.tried_at = time_of(e.at("tried_at")), l.called_at = time_of(e.at("called_at"));
    for (const auto& t : e.at("places")) l.places.push_back(time_of(t));
    s.leases.push_back(std::move(l));
  }
  j.at("latencies").get_to(s.latencies);
  j.at("quickest_calls").get_to(s.quickest_calls);
  s.call_rate = j.at("call_rate"), s.bound = j.at("bound");
  s.answers = j.at("answers"), s.arrivals = j.at("arrivals");
  s.at = time_of(j.at("at")), s.lost_at = time_of(j.at("lost_at"));
  return s;
}

// ---- The link: JSON lines both ways, and one descriptor ------------------------------------------------------

class Handover::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(Handover& handover, LocalSocket socket) : handover_(&handover), socket_(std::move(socket)) {
    error_code ignored;
    socket_.non_blocking(true, ignored);
  }

  void read() {
    socket_.async_wait(LocalSocket::wait_read, [self = shared_from_this()](const error_code& failed) {
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
    return ::sendmsg(socket_.native_handle(), &m, MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
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
      handover->lost(this);
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
    std::array<char, facts::kReadSize> bytes{};
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
      handover_->came(message, std::move(passed_));
      if (!handover_) return true;
    }
    return in_.size() <= facts::kMostList;
  }

  Handover* handover_;  // none: it has ended
  LocalSocket socket_;
  std::string in_;
  Descriptor passed_;
  std::deque<std::string> out_;  // the first one is being written
};

// ---- The two ends ---------------------------------------------------------------------------------------------

Handover::Handover(asio::io_context& io, Timers& timers, std::string path, Owner& owner)
    : io_(io), timers_(timers), path_(std::move(path)), owner_(owner), acceptor_(io.get_executor()) {
  if (path_.size() >= sizeof(sockaddr_un::sun_path)) {
    log::warning("handover", "the path is too long", {{"path", path_}});
    path_.clear();
  }
}

Handover::~Handover() {
  timers_.cancel(limit_);
  timers_.cancel(pause_);
  // First of all: once the link has ended the other process offers itself, on the same path.
  if (acceptor_.is_open() && owns_path()) ::unlink(path_.c_str());
  if (link_) link_->abandon();
}

bool Handover::seek() {
  if (path_.empty()) return false;
  LocalSocket socket(io_.get_executor());
  error_code failed;
  socket.open(Local(), failed);
  if (!failed) socket.non_blocking(true, failed);
  // On this machine a connect is done or refused at once.
  if (!failed) socket.connect(Local::endpoint(path_), failed);
  if (failed) return false;
  link_ = std::make_shared<Link>(*this, std::move(socket));
  link_->send({{"hello", facts::kHandoverForm}});
  link_->read();
  limit_ = timers_.after(facts::kHandoverLimit, [this] {
    limit_.reset();
    if (link_) link_->end();
  });
  return true;
}

void Handover::ask_state() {
  if (link_) link_->send({{"take", true}});
  timers_.cancel(limit_);
  limit_ = timers_.after(facts::kHandoverLimit, [this] {
    limit_.reset();
    if (link_) link_->end();
  });
}

// A socket that a process left behind is of no use to anybody.
void Handover::offer() {
  if (path_.empty()) return;
  ::unlink(path_.c_str());
  error_code failed;
  acceptor_.open(Local(), failed);
  if (!failed) acceptor_.bind(Local::endpoint(path_), failed);
  if (!failed) ::chmod(path_.c_str(), S_IRUSR | S_IWUSR);
  if (!failed) acceptor_.listen(1, failed);
  struct stat made {};
  if (!failed && ::stat(path_.c_str(), &made) == 0) bound_ = {made.st_dev, made.st_ino};
  if (!failed) return accept();
  log::warning("handover", "no successor can come", {{"why", failed.message()}});
  error_code ignored;
  acceptor_.close(ignored);
}

// A process that served beside this one, since this one was silent, may have taken the path for itself.
bool Handover::owns_path() const {
  struct stat there {};
  return ::lstat(path_.c_str(), &there) == 0 &&
         std::pair<std::uint64_t, std::uint64_t>(there.st_dev, there.st_ino) == bound_;
}

void Handover::accept() {
  acceptor_.async_accept([this](const error_code& failed, LocalSocket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (failed) {  // no descriptor, say: whoever waits is still there after a moment
      pause_ = timers_.after(facts::kAcceptPause, [this] {
        pause_.reset();
        accept();
      });
      return;
    }
    // The latest one counts: an earlier one that took nothing has no claim, and is told so.
    if (link_) std::exchange(link_, nullptr)->dismiss();
    link_ = std::make_shared<Link>(*this, std::move(socket));
    link_->read();
    accept();
  });
}

void Handover::withdraw() {
  timers_.cancel(pause_);
  error_code ignored;
  acceptor_.close(ignored);  // the path is the successor's to use
}

void Handover::tell(const json& message) {
  if (link_) link_->send(message);
}

void Handover::came(const json& message, Descriptor passed) {
  const auto link = link_;
  try {
    if (message.contains("hello") && acceptor_.is_open()) {
      if (message.at("hello") != facts::kHandoverForm ||
          !link->send_with({{"listener", true}}, owner_.listener()))
        link->end();
    } else if (message.contains("take") && acceptor_.is_open()) {
      withdraw();
      link->send({{"state", owner_.leave_state()}});
    } else if (message.contains("listener") && passed) {
      timers_.cancel(limit_);
      owner_.listener_came(std::move(passed));
    } else if (message.contains("replaced") && !acceptor_.is_open()) {
      timers_.cancel(limit_);
      owner_.replaced();
    } else if (message.contains("state") && !acceptor_.is_open()) {
      timers_.cancel(limit_);
      owner_.state_came(message.at("state"));
    } else {
      owner_.told_by_peer(message);
    }
  } catch (const std::exception& x) {
    log::warning("handover", x.what());
    link->end();
  }
}

void Handover::lost(const Link* link) {
  if (link_.get() != link) return;
  timers_.cancel(limit_);
  link_.reset();
  owner_.peer_lost();
}

}  // namespace petrelrail

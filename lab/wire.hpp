// Sockets of the lab: listeners that can be open, refuse, or let nothing come up, as the world has
// it at the moment.
#pragma once

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "world/simulation.hpp"

namespace petrelrail::lab {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

inline std::string text_of(const Tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

// Ends a connection so that the other side sees a reset.
inline void reset(Tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// What is to be written on a connection, one write at a time. The link that holds it says whether
// it is gone() and hears when it is lost().
class Outbox {
 public:
  void add(std::string_view text) { waiting_ += text; }
  template <class Link>
  void flush(std::shared_ptr<Link> link, Tcp::socket& socket) {
    if (link->gone() || waiting_.empty() || !writing_.empty()) return;
    writing_.swap(waiting_);
    asio::async_write(socket, asio::buffer(writing_),
                      [this, link, &socket](const error_code& failed, std::size_t) {
                        writing_.clear();
                        if (link->gone()) return;
                        if (failed) return link->lost();
                        flush(link, socket);
                      });
  }

 private:
  std::string waiting_, writing_;
};

// One address at which one node reaches one party. It keeps its port for life. `silent`: the queue
// of connections is full, so that the system drops what asks for one, and it never comes up;
// `refused`: nobody listens.
class Port {
 public:
  using Came = std::function<void(Tcp::socket)>;

  Port(asio::io_context& io, const asio::ip::address& at, Came came)
      : io_(io), came_(std::move(came)) {
    open(Tcp::endpoint(at, 0));
    at_ = socket_->local_endpoint();
    listen();
  }
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;

  const Tcp::endpoint& at() const { return at_; }
  std::string text() const { return text_of(at_); }

  void become(world::ConnectResult state) {
    if (state == state_) return;
    const auto before = std::exchange(state_, state);
    error_code ignored;
    if (state == world::ConnectResult::refused) {
      fillers_.clear();
      socket_->close(ignored);
      open(at_);  // holds the port
      return;
    }
    if (before == world::ConnectResult::refused || state == world::ConnectResult::up) {
      fillers_.clear();
      if (before == world::ConnectResult::silent) drain();
      listen();
    }
    if (state == world::ConnectResult::silent) fill();
  }

 private:
  static constexpr int kBacklog = 256;
  static constexpr std::size_t kFillers = 2;

  void open(const Tcp::endpoint& at) {
    socket_.emplace(io_);
    socket_->open(at.protocol());
    socket_->set_option(Tcp::acceptor::reuse_address(true));
    socket_->bind(at);
  }
  void listen() {
    socket_->listen(kBacklog);
    accept();
  }
  void accept() {
    socket_->async_accept([this, life = ++life_](const error_code& failed, Tcp::socket s) {
      if (failed || life != life_) return;
      accept();
      error_code ignored;
      s.set_option(Tcp::no_delay(true), ignored);
      came_(std::move(s));
    });
  }
  void fill() {
    ++life_;
    error_code ignored;
    socket_->cancel(ignored);
    socket_->listen(0, ignored);
    for (std::size_t i = 0; i < kFillers; ++i) {
      // By the system's own call: the library's would wait for what is not to come up.
      auto s = std::make_unique<Tcp::socket>(io_);
      s->open(at_.protocol());
      s->native_non_blocking(true, ignored);
      static_cast<void>(
          ::connect(s->native_handle(), at_.data(), static_cast<socklen_t>(at_.size())));
      fillers_.push_back(std::move(s));
    }
  }

  // What has filled the queue is no party's connection.
  void drain() {
    error_code failed;
    socket_->non_blocking(true, failed);
    while (!failed) socket_->accept(failed).close();
  }

  asio::io_context& io_;
  Came came_;
  std::optional<Tcp::acceptor> socket_;
  Tcp::endpoint at_;
  world::ConnectResult state_ = world::ConnectResult::up;
  std::uint64_t life_ = 0;
  std::list<std::unique_ptr<Tcp::socket>> fillers_;
};

}  // namespace petrelrail::lab

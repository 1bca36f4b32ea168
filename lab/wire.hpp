// Sockets of the lab: an output queue for a connection, and a listener that can accept, refuse or
// silently drop connections according to the simulated network. Used on the lab's single thread.
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

inline std::string host_port(const Tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Closes a connection with a TCP reset (linger time 0).
inline void reset(Tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// Queues bytes for a connection and keeps one write in flight. `Link`, the connection that owns the
// queue, provides is_closed() and on_write_failed().
class OutputQueue {
 public:
  void add(std::string_view text) { waiting_ += text; }
  template <class Link>
  void flush(std::shared_ptr<Link> link, Tcp::socket& socket) {
    if (link->is_closed() || waiting_.empty() || !writing_.empty()) return;
    writing_.swap(waiting_);
    asio::async_write(socket, asio::buffer(writing_),
                      [this, link, &socket](const error_code& failed, std::size_t) {
                        writing_.clear();
                        if (link->is_closed()) return;
                        if (failed) return link->on_write_failed();
                        flush(link, socket);
                      });
  }

 private:
  std::string waiting_, writing_;
};

// A listening address through which one node reaches one simulated process. The port number stays
// the same for the lifetime of the object. In state `silent` the accept queue is full, so that the
// kernel drops SYN packets and connects time out; in state `refused` the socket is bound but does
// not listen.
class Port {
 public:
  using OnAccept = std::function<void(Tcp::socket)>;

  Port(asio::io_context& io, const asio::ip::address& address, OnAccept on_accept)
      : io_(io), on_accept_(std::move(on_accept)) {
    open(Tcp::endpoint(address, 0));
    endpoint_ = socket_->local_endpoint();
    listen();
  }
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;

  const Tcp::endpoint& endpoint() const { return endpoint_; }
  std::string text() const { return host_port(endpoint_); }

  void set_state(world::ConnectResult state) {
    if (state == state_) return;
    const auto previous = std::exchange(state_, state);
    error_code ignored;
    if (state == world::ConnectResult::refused) {
      queue_fillers_.clear();
      socket_->close(ignored);
      open(endpoint_);  // keeps the port number reserved
      return;
    }
    if (previous == world::ConnectResult::refused || state == world::ConnectResult::up) {
      queue_fillers_.clear();
      if (previous == world::ConnectResult::silent) discard_accept_queue();
      listen();
    }
    if (state == world::ConnectResult::silent) fill_accept_queue();
  }

 private:
  static constexpr int kBacklog = 256;
  // Connections that fill an accept queue of backlog 0.
  static constexpr std::size_t kQueueFillers = 2;

  void open(const Tcp::endpoint& endpoint) {
    socket_.emplace(io_);
    socket_->open(endpoint.protocol());
    socket_->set_option(Tcp::acceptor::reuse_address(true));
    socket_->bind(endpoint);
  }
  void listen() {
    socket_->listen(kBacklog);
    accept();
  }
  void accept() {
    socket_->async_accept(
        [this, generation = ++accept_generation_](const error_code& failed, Tcp::socket s) {
          if (failed || generation != accept_generation_) return;
          accept();
          error_code ignored;
          s.set_option(Tcp::no_delay(true), ignored);
          on_accept_(std::move(s));
        });
  }
  void fill_accept_queue() {
    ++accept_generation_;
    error_code ignored;
    socket_->cancel(ignored);
    socket_->listen(0, ignored);
    for (std::size_t i = 0; i < kQueueFillers; ++i) {
      // Calls connect(2) directly: Asio's blocking connect would wait for a handshake that never
      // completes.
      auto s = std::make_unique<Tcp::socket>(io_);
      s->open(endpoint_.protocol());
      s->native_non_blocking(true, ignored);
      static_cast<void>(::connect(s->native_handle(), endpoint_.data(),
                                  static_cast<socklen_t>(endpoint_.size())));
      queue_fillers_.push_back(std::move(s));
    }
  }

  // Closes the filler connections, which belong to no node.
  void discard_accept_queue() {
    error_code failed;
    socket_->non_blocking(true, failed);
    while (!failed) socket_->accept(failed).close();
  }

  asio::io_context& io_;
  OnAccept on_accept_;
  std::optional<Tcp::acceptor> socket_;
  Tcp::endpoint endpoint_;
  world::ConnectResult state_ = world::ConnectResult::up;
  std::uint64_t accept_generation_ = 0;
  std::list<std::unique_ptr<Tcp::socket>> queue_fillers_;
};

}  // namespace petrelrail::lab

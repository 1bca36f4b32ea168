// Scripted TCP peers over loopback sockets, all on the test's own event loop. A test acts, then
// runs the loop until its condition holds. Nothing here starts a thread.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net.hpp"

namespace petrelrail::test {

using namespace std::chrono_literals;

// One end of a connection, accepted or connected. `in` holds the bytes received and not yet
// consumed by message() or line().
class Wire : public std::enable_shared_from_this<Wire> {
 public:
  explicit Wire(Socket s) : socket(std::move(s)) {}

  void read() {
    socket.async_read_some(asio::buffer(space_),
                           [self = shared_from_this()](const error_code& error, std::size_t n) {
                             self->in.append(self->space_.data(), n);
                             if (error)
                               self->ended = true, self->has_error = error != asio::error::eof;
                             if (self->on_data) self->on_data(*self);
                             if (!error) self->read();
                           });
  }
  // Writes the text; with `last`, shuts down the sending side afterwards.
  void send(std::string text, bool last = false) {
    const auto buffer = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket, asio::buffer(*buffer),
                      [self = shared_from_this(), buffer, last](const error_code&, std::size_t) {
                        error_code ignored;
                        if (last) self->socket.shutdown(Socket::shutdown_send, ignored);
                      });
  }
  void close() { close_now(socket); }
  // Closes with a TCP reset, as the other side sees it when the process dies.
  void reset() {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close_now(socket);
  }
  // Consumes the next complete HTTP message; returns "" if none is complete. The body's length is
  // taken from Content-Length alone.
  std::string message() {
    const auto head = in.find("\r\n\r\n");
    if (head == std::string::npos) return {};
    std::size_t length = 0;
    if (const auto at = in.find("Content-Length: "); at < head)
      length = std::stoul(in.substr(at + 16, head - at));
    if (in.size() < head + 4 + length) return {};
    auto result = in.substr(0, head + 4 + length);
    in.erase(0, result.size());
    return result;
  }
  // Consumes the next line, without its CRLF; returns "" if none is complete.
  std::string line() {
    const auto end = in.find("\r\n");
    if (end == std::string::npos) return {};
    auto result = in.substr(0, end);
    in.erase(0, end + 2);
    return result;
  }

  Socket socket;
  std::string in;
  bool ended = false, has_error = false;  // reading stopped; it stopped by another error than EOF
  std::function<void(Wire&)> on_data;

 private:
  std::array<char, 16 * 1024> space_{};
};

// A peer listening on an ephemeral port. `on` is called after each read on an accepted connection.
// With `accepts` false it accepts nothing before accept() is called, and its accept queue is the
// shortest the system gives.
class Peer {
 public:
  Peer(asio::io_context& io, std::function<void(Wire&)> on = {}, bool accepts = true)
      : acceptor_(io.get_executor()), on_(std::move(on)) {
    const Tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen(accepts ? 100 : 0);
    at_ = acceptor_.local_endpoint();
    if (accepts) accept();
  }
  ~Peer() { stop(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void accept() {
    acceptor_.async_accept([this](const error_code& error, Socket s) {
      if (error) return;
      wires.push_back(std::make_shared<Wire>(std::move(s)));
      wires.back()->on_data = on_;
      if (reads_) wires.back()->read();
      accept();
    });
  }
  // Nothing is read from connections that are accepted from now on.
  void accept_without_reading() { reads_ = false; }
  // Acts as a process that dies: closes the listener and resets every connection.
  void stop() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& w : wires) w->on_data = {}, w->reset();
  }
  // Closes the listener; open connections stay.
  void close() {
    error_code ignored;
    acceptor_.close(ignored);
  }
  void on(std::function<void(Wire&)> handler) { on_ = std::move(handler); }
  Tcp::endpoint endpoint() const { return at_; }
  std::string text() const { return "127.0.0.1:" + std::to_string(at_.port()); }

  std::vector<std::shared_ptr<Wire>> wires;

 private:
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
  std::function<void(Wire&)> on_;
  bool reads_ = true;
  Tcp::endpoint at_;
};

struct Loop {
  asio::io_context io{1};

  // Runs the loop until the condition holds; returns false if it does not within the limit.
  bool until(const std::function<bool()>& condition, Duration limit = 30s) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.restart();
      io.run_one_for(50ms);
    }
    return true;
  }
  std::shared_ptr<Wire> connect(const Tcp::endpoint& to) {
    Socket s(io.get_executor());
    s.connect(to);
    const auto w = std::make_shared<Wire>(std::move(s));
    w->read();
    return w;
  }
};

inline std::string http_answer(const std::string& status, const std::string& body = "",
                               const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace petrelrail::test

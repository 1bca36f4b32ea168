// One connection to a price server and what is done on it: an attempt or a probe at a time. Every attempt ends in
// exactly one outcome, and no request is ever written twice by itself.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

#include "clients.hpp"
#include "end_reason.hpp"
#include "net.hpp"
#include "pool.hpp"

namespace petrelrail {

// What is to be done on one connection: an attempt of a request, or a probe if there is no message.
struct Errand {
  RequestId request{};
  std::uint32_t attempt = 0;
  ServerId server{};
  Time began{}, deadline{};
  std::shared_ptr<const ClientRequest> message;
  Time answered{};              // when a long answer began to pass on
  Duration connect{};           // what its connection took to come up; 0: it idled
  Time begin_by = Time::max();  // of the module's Send
  bool whole = false;           // its answer has come whole
};

class Upstream;

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Upstream& upstream, Pool& pool, asio::io_context& io);

  void open(const Tcp::endpoint& to, Errand errand);
  void take(Errand errand);                     // on a connection that idles
  void close(Outcome outcome, AttemptEnd why);  // ends what it is busy with
  void abandon();                               // the same, and nobody is told: its pool ends
  void go_on();                                 // the last piece has been taken
  // While it idles: the other end holds it open and has sent nothing that nobody asked for.
  bool sound();
  Time since() const { return since_; }  // when it began to idle
  Pool::Life life() const { return life_; }
  const std::optional<Errand>& errand() const { return errand_; }

 private:
  enum class Stage { connecting, up, writing, waiting, idle, closed };

  void start();
  void read();
  void on_read(const error_code& failed, std::size_t bytes);
  void broke(AttemptEnd why);
  Outcome unwritten() const { return stray_ ? Outcome::never_sent : Outcome::connect_failed; }
  void go_through();
  void write_more();
  void written();
  void write_failed();
  void finish();
  bool take_bytes();
  void expect_answer();
  bool long_answer() const;
  void hold();
  void begin_stream();
  void expect_more(Outcome otherwise, AttemptEnd why);
  void expect_outcome();
  void write_head(Time now);
  void start_upload();
  void pass_on();
  void pass_on_rest();
  void end(Outcome outcome, AttemptEnd why, Answer answer);

  Upstream& upstream_;
  Pool& pool_;  // it outlives what it holds
  Pool::Life life_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<PieceBody>> parser_;
  std::string head_;  // of the request that is written
  std::string piece_;
  bool writes_ = false;  // a piece of it is being written
  std::optional<Errand> errand_;
  Timers::Handle limit_, hold_;
  Stage stage_ = Stage::connecting;
  bool streams_ = false;              // the answer passes on in pieces
  bool reads_ = false;                // a read is pending
  const char* ahead_ = nullptr;       // where that puts its first byte
  std::size_t passed_ = 0;            // bytes of it
  bool paused_ = false;               // until the client has taken the last one
  Time answered_{};                   // when the answer began to come
  std::optional<AttemptEnd> broken_;  // what ended it while a request was being written
  bool stray_ = false;                // or what came was the answer to another
  Time since_{};
  std::uint64_t heard_ = 0;  // how often the server had been heard of when the request began
};

}  // namespace petrelrail

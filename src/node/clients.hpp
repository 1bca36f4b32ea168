// The clients' side: the listener and the HTTP sessions. What a request means is read here; what becomes of it
// is the node's business.
#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <unordered_set>

#include "asker.hpp"
#include "end_reason.hpp"
#include "net.hpp"
#include "petrelrail/gateway.hpp"
#include "piece_body.hpp"
#include "policy/request_rules.hpp"
#include "upload.hpp"

namespace petrelrail {

namespace http = boost::beast::http;

// A request as it came: what the module is told of it and what goes on to a server.
struct ClientRequest {
  Arrival arrival;  // its number is the node's to give
  Time deadline{};
  http::verb method{};
  std::string target, id, key, content_type, body;
  std::shared_ptr<Upload> upload;            // of a long body, which comes in pieces
  std::shared_ptr<const Settings> settings;  // that it was read under

  std::string_view method_name() const {
    const auto name = http::to_string(method);
    return {name.data(), name.size()};
  }
  // Where a body is usual its length is told even if it is 0.
  bool has_body() const {
    return method == http::verb::post || method == http::verb::put || method == http::verb::options;
  }
  const RequestClass& cls() const {
    return settings->classes.at(static_cast<std::size_t>(arrival.request_class));
  }
};

class Clients;

// One connection. It reads on while a request is out, so that a client that goes away is seen.
class ClientSession final : public Asker, public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(Clients& clients, Socket socket);

  void start();
  // False once the client has closed its connection, also where the loop has not told of that yet and where its close
  // lies behind bytes that are not read for want of room.
  bool waits() override;
  // Of the request that is out.
  void answer(const Answer& answer) override;
  void begin(const AnswerHead& head) override;
  void pass_on(std::string_view piece, std::function<void()> taken) override;
  void end() override;
  void cut_off() override;
  void close(SessionEnd why);
  // Lingering close: the sending side first, then what still comes is read and thrown away, within bounds. A close over
  // unread bytes would be a reset, which takes with it what the client has not read yet.
  void end_politely(SessionEnd why);
  bool lingers() const { return stage_ == Stage::lingering; }
  void make_way(SessionEnd why);
  // Nothing of a request has come and none is out: it can be closed without loss.
  bool idle() const { return stage_ == Stage::reading && !began_; }
  // And the system holds nothing of one either that was not read yet.
  bool untouched() const {
    error_code failed;
    return idle() && (socket_.available(failed) == 0 || failed);
  }
  // No request has come whole yet: a client that connects has one to send.
  bool fresh() const { return fresh_; }
  // What it holds is not taken: nothing, a part of a request, or an answer that was written.
  bool expendable() const { return stage_ == Stage::reading || stage_ == Stage::lingering; }
  bool closed() const { return stage_ == Stage::closed; }
  // When something came last. A client that writes slowly goes on writing; one that stopped does not.
  Time heard() const { return heard_; }
  Time since() const { return since_; }
  void sweep(Time now);

 private:
  enum class Stage { reading, waiting, streaming, writing, lingering, closed };
  using Parser = http::request_parser<PieceBody>;

  void read();
  void on_read(const error_code& failed, std::size_t bytes);
  void parse();
  bool feed();
  void take_request();
  void take_body();
  void reject(http::status status, const std::string& why);  // what can't be parsed ends the session
  void write(const Answer& answer);
  void write_some();
  void on_written();
  void enter(Stage stage);
  Duration request_limit() const;
  void log_unanswered(SessionEnd why) const;
  void refuse_at_once();

  Clients& clients_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string out_, writing_;  // to be written next; being written
  std::size_t written_ = 0;    // of the latter
  std::function<void()> taken_;
  Stage stage_ = Stage::reading;
  Time opened_{}, heard_{};
  Time began_at_{}, paused_at_{};   // of the request; of reading, while its body has no room
  std::shared_ptr<Upload> upload_;  // of a request that is out and has not come whole
  std::size_t came_ = 0;            // bytes since the request began
  Time since_{};                    // of the stage, or of the first byte of a request that has not come whole
  bool fresh_ = true;               // no request has come whole yet
  bool began_ = false;              // a part of a request has come
  bool reads_ = false;              // a read is pending
  bool writes_ = false;             // a write is pending
  bool chunked_ = false;            // how the answer in pieces is framed
  bool framed_ = false;             // by chunks or its length, so that a part shows as one
  bool keep_alive_ = false;         // what the request that is out wants
  bool bare_ = false;               // HEAD: an answer without its body
  bool modern_ = true;              // HTTP/1.1: knows chunks
  std::uint64_t request_ = 0;       // the node's number of it; 0: none
  std::string id_;                  // of the last request
  std::optional<SessionEnd> why_;   // its end, once that has been decided
};

class Clients {
 public:
  struct Owner {
    virtual bool ready() = 0;
    // The number given is the session's way to say later that its client has gone.
    virtual std::uint64_t arrived(ClientRequest request, std::shared_ptr<ClientSession> session) = 0;
    virtual void client_gone(std::uint64_t request) = 0;
    // A session did what the rules turn down.
    virtual void breached(policy::Breach, const std::string& /*request_id*/) {}
    // More sessions than their share, where servers' connections leave or can give up descriptors: whether one
    // could be had, and having it.
    virtual bool could_lend() const { return false; }
    virtual bool lend() { return false; }

   protected:
    ~Owner() = default;
  };

  Clients(asio::io_context& io, Timers& timers, std::shared_ptr<const Settings> settings,
          std::size_t most_sessions, Owner& owner);

  void listen(const Tcp::endpoint& at);
  // The same on a socket that listens already.
  void adopt(int listening);
  int listener() { return acceptor_.native_handle(); }
  // A successor accepts from now on: each connection that is kept ends with its next answer. Or it does so no
  // more, and this process goes on.
  void retire();
  void resume();
  // Requests that come whole from now on are read under these.
  void tune(std::shared_ptr<const Settings> settings) { settings_ = std::move(settings); }
  Tcp::endpoint listens_at() const { return acceptor_.local_endpoint(); }
  // From now on every answer ends its connection, and those without a request are closed. `longest_deadline` is that of the classes
  // of the configuration in force: SIGKILL follows it.
  void drain(Duration longest_deadline);
  bool drained() const;
  // By when the last answers have to leave before SIGKILL; it is known once drain() was called.
  Time last_word() const { return last_word_; }
  void limit(std::size_t most_sessions) { most_sessions_ = most_sessions; }
  std::size_t size() const { return sessions_.size(); }
  std::size_t share() const { return most_sessions_; }
  const Refusals& refusals() const { return refusals_; }
  const SessionEnds& session_ends() const { return session_ends_; }
  std::uint64_t accept_failures() const { return accept_failures_; }
  // Gives up the session that has been silent longest of those that hold nothing that was taken.
  bool make_room();

 private:
  friend class ClientSession;
  using Sessions = std::unordered_set<std::shared_ptr<ClientSession>>;

  void begin();
  void accept();
  void accepted(const error_code& failed, Socket socket);
  void end_in_time(ClientRequest& request) const;
  std::shared_ptr<ClientSession> longest_silent() const;
  void sweep();
  void forget(const std::shared_ptr<ClientSession>& session);
  void may_accept();  // a session has ended, or can be given up now

  asio::io_context& io_;
  Timers& timers_;
  std::shared_ptr<const Settings> settings_;
  std::size_t most_sessions_;
  Owner& owner_;
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
  Sessions sessions_;
  Refusals refusals_;
  SessionEnds session_ends_;
  bool draining_ = false;
  bool retired_ = false;
  bool accepts_ = true;  // an accept is pending, or a timer that starts one
  std::uint64_t accept_failures_ = 0;
  Time last_accept_{};
  Time told_to_end_{}, last_word_ = Time::max();  // when it began to drain, and has to have ended
};

}  // namespace petrelrail

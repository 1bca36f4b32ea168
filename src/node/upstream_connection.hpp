// One connection to a price server. Runs one exchange at a time, an attempt of a request or a
// health check, and reports exactly one outcome for each attempt. Driven by Upstream on the thread
// of the io_context; never writes a request a second time on its own.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

#include "connection_pool.hpp"
#include "end_reason.hpp"
#include "field_limited_parser.hpp"
#include "http_server.hpp"
#include "net.hpp"

namespace petrelrail {

// One use of a connection: an attempt of a request, or a health check if there is no message.
struct UpstreamExchange {
  RequestId request{};
  std::uint32_t attempt = 0;
  EndpointId endpoint{};
  Time started{};   // once a long body is written: since its last byte
  Time deadline{};  // Time::max() until the last byte of a request's long body has arrived
  std::shared_ptr<const ClientRequest> request_message;
  Time response_started{};            // when streaming of the response to the client began
  Duration connect_duration{};        // time to establish the connection; 0: an idle one was reused
  Time start_deadline = Time::max();  // from the Send action: the first byte is written before this
  bool response_complete = false;     // the whole response was received
};

class Upstream;

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(Upstream& upstream, ConnectionPool& pool, asio::io_context& io);

  // Connects, then starts the exchange.
  void open(const Tcp::endpoint& to, UpstreamExchange exchange);
  // Starts an exchange on an idle connection.
  void start_exchange(UpstreamExchange exchange);
  // Closes the connection and ends its exchange, if any, with this outcome.
  void close(AttemptOutcome outcome, AttemptEndReason reason);
  // Closes the connection without reporting an outcome, as its pool is being destroyed.
  void abandon();
  // Called when the client has taken the last chunk: reading resumes.
  void on_chunk_written();
  // Frees buffers that are empty while the client does not take the last chunk.
  void release_spare_while_paused();
  // For an idle connection: whether the server still holds it open and has sent no unsolicited
  // data.
  bool is_usable();
  Time idle_since() const { return idle_since_; }
  ConnectionPool::ServerIncarnation incarnation() const { return incarnation_; }
  const std::optional<UpstreamExchange>& exchange() const { return exchange_; }

 private:
  enum class State { connecting, up, writing, waiting, idle, closed };

  void start();
  void read();
  // Charges what this connection holds.
  void update_memory();
  void on_read(const error_code& failed, std::size_t bytes);
  void on_connection_broken(AttemptEndReason reason);
  AttemptOutcome outcome_before_written() const {
    return unsolicited_input_ ? AttemptOutcome::never_sent : AttemptOutcome::connect_failed;
  }
  void process_input();
  void on_body_changed();
  void write_body_chunk();
  void on_body_written();
  void on_request_written();
  void on_write_failed();
  void on_response_complete();
  bool feed_parser();
  void reset_parser();
  bool should_stream() const;
  void start_hold_timer();
  void start_streaming();
  policy::ResponseLength response_length() const;
  void arm_stall_timer();
  void arm_deadline_timer();
  void arm_body_timer();
  Time body_write_deadline() const;
  void write_head(Time now);
  void start_body_stream();
  void forward_chunk();
  void forward_remaining();
  void complete_exchange(AttemptOutcome outcome, AttemptEndReason reason, Response answer);

  Upstream& upstream_;
  ConnectionPool& pool_;  // outlives its connections
  ConnectionPool::ServerIncarnation incarnation_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<FieldLimitedParser<false>> parser_;
  std::string request_head_;
  std::string body_chunk_;
  bool write_pending_ = false;  // of the head or a chunk of a streamed request body
  Time body_write_time_{};      // when the server last took a part of that body
  std::optional<UpstreamExchange> exchange_;
  Timers::Handle deadline_timer_, hold_timer_;
  State state_ = State::connecting;
  bool streaming_ = false;  // the response is passed on in chunks
  bool read_pending_ = false;
  const char* pending_read_buffer_ = nullptr;  // where the pending read puts its first byte
  std::size_t forwarded_bytes_ = 0;            // of the streamed response
  bool paused_ = false;                        // until the client has taken the last chunk
  Time response_started_{};                    // when the response's head was complete
  Time hold_until_ = Time::max();              // the response is passed on from then on
  Time last_part_time_{};                      // when a part of the response was last passed on
  // Why the connection broke while the request was being written; reported when the write ends.
  std::optional<AttemptEndReason> deferred_end_reason_;
  bool unsolicited_input_ = false;  // the server answered a request that is still being written
  Time idle_since_{};
  // The pool's receive count when the request began, to detect a server that sends nothing at all.
  std::uint64_t receive_count_at_start_ = 0;
  policy::MemoryAccount memory_;
};

}  // namespace petrelrail

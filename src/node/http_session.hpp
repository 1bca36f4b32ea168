// One client connection: reads requests, writes responses, and ends for one of the reasons in
// end_reason.hpp. Created by HttpServer; Node writes the responses through ResponseSink.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "chunk_body.hpp"
#include "end_reason.hpp"
#include "field_limited_parser.hpp"
#include "input_buffer.hpp"
#include "limits.hpp"
#include "net.hpp"
#include "policy/body_arrival.hpp"
#include "policy/client_presence.hpp"
#include "policy/overload_manager.hpp"
#include "policy/receive_progress.hpp"
#include "request_body_stream.hpp"
#include "response_sink.hpp"

namespace petrelrail {

namespace http = boost::beast::http;

class HttpServer;

// Keeps reading while a request is in flight, so that it notices when the client disconnects.
class HttpSession final : public ResponseSink, public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(HttpServer& server, Socket socket);

  void start();
  // Disconnected once the client has closed its connection, even when the event loop has not
  // reported this yet; unknown if the close may be behind input that is not read.
  policy::ClientPresence client_presence() override;
  // The response to the request in flight.
  void send(const Response& response) override;
  void begin_stream(const ResponseHead& head) override;
  void write_chunk(std::string_view chunk, std::function<void()> on_written) override;
  void end_stream() override;
  void abort() override;
  void close(SessionEndReason reason);
  // Shuts down the sending side, then reads and discards input within bounds. Closing a socket with
  // unread bytes would cause a reset, which discards what the client has not read yet.
  void close_lingering(SessionEndReason reason);
  bool is_lingering() const { return state_ == State::lingering; }
  // Closes at once to free the descriptor; a request that is only partly read is answered 503.
  void evict(SessionEndReason reason);
  // No part of a request was read and none is in flight.
  bool is_idle() const { return state_ == State::reading && !request_started_; }
  // Idle, and the socket's receive buffer is empty too: it can be closed without loss.
  bool has_no_unread_input() const { return is_idle() && unread_bytes() == 0; }
  // No request was read completely yet; a client that connects has one to send.
  bool awaits_first_request() const { return awaits_first_request_; }
  // Holds no accepted request: none at all, a part of one, or a response that was written.
  bool is_evictable() const { return state_ == State::reading || state_ == State::lingering; }
  bool is_closed() const { return state_ == State::closed; }
  // When bytes were last received; tells a slow client from one that has stopped.
  Time last_received_time() const { return last_received_time_; }
  Time last_progress_time() const { return last_progress_time_; }
  // Applies the time limits; called every limits::kSessionSweepInterval.
  void sweep(Time now);
  // A part of a request was read, or lies unparsed in the buffer, and it was not accepted.
  bool has_incomplete_request() const {
    return state_ == State::reading && (request_started_ || buffer_.size() > 0);
  }
  // What its incomplete request holds, and how far its client lags.
  policy::IncompleteRequest incomplete_request(std::size_t session_number) const;
  // Gives up the incomplete request to free its memory: answers 503, or closes at once.
  void shed(policy::SheddingReason reason);

 private:
  enum class State { reading, waiting, streaming, writing, lingering, closed };
  using Parser = FieldLimitedParser<true>;

  void read();
  // False while this session's input is left in the socket, see OverloadManager.
  bool may_read();
  // Reads on if reading was stopped, or notices that the client has closed meanwhile.
  void check_paused_reading();
  // Leaves the rest of the input in the socket: of a long body, or behind the request in flight.
  void pause_body();
  void pause_read_ahead();
  // The client has closed its connection.
  void close_for_client();
  // In the socket's receive buffer.
  std::size_t unread_bytes() const;
  // The system reports that the client has closed its connection or broken it.
  bool has_received_close();
  // More input lies unread behind the request in flight than is kept for its client's next ones.
  bool is_far_ahead() const;
  // Reads the input behind the request in flight to its end, as a close may be behind it.
  policy::ClientPresence read_ahead();
  // Discards the input behind the request in flight, whose response ends the session.
  policy::ClientPresence discard_input();
  // Reads and discards up to that much of what was received. Connected: nothing is left.
  policy::ClientPresence discard_received(std::size_t max_bytes);
  policy::ClientPresence confirm_presence();
  // Receives into the buffer what has arrived, at most that much; no read may be pending. Returns
  // the result of recv().
  ssize_t receive_some(std::size_t max_bytes);
  // Charges what this session holds.
  void update_memory();
  void on_read(const error_code& failed, std::size_t bytes);
  void on_received(std::size_t bytes);
  // Reads an incomplete request to the end of what has arrived of it, so that one that has arrived
  // whole is not among those that are given up.
  void read_arrived_input();
  void parse();
  bool feed_parser();
  void on_request_parsed();
  void on_body_data();
  // Whether all that the length of a long body still announces has arrived, read or not.
  bool body_has_arrived() const;
  // Starts the time of a request with a long body once its last byte has arrived.
  void check_last_byte();
  // Notes how far a long body has been read, and tells its stream since when its last byte may lie
  // unread. `is_reading`: what arrives is read at once.
  void observe_body(bool is_reading);
  policy::BodyArrival::Observation body_observation(std::size_t unread_bytes) const;
  // Answers a request whose header is too large or has too many fields.
  void reject_header();
  // Answers a request that can't be parsed, or is too long or too slow, and ends the session.
  void reject(http::status status, const std::string& message);
  void write(const Response& response);
  void write_some();
  void on_response_written();
  void enter(State state);
  Duration request_timeout() const;
  // What was received of the body of the request in flight or being read, without its coding.
  std::size_t body_bytes() const;
  void log_unanswered(SessionEndReason reason) const;
  void reject_immediately();

  HttpServer& server_;
  Socket socket_;
  InputBuffer buffer_;
  std::optional<Parser> parser_;
  std::string pending_output_, write_buffer_;  // to be written next; being written
  std::size_t bytes_written_ = 0;              // of write_buffer_
  std::function<void()> on_chunk_written_;
  State state_ = State::reading;
  Time opened_time_{}, last_received_time_{};
  Time request_started_time_{};
  std::shared_ptr<RequestBodyStream> body_stream_;  // of a forwarded request that is still read
  policy::PresenceTracker presence_;                // while a request is in flight
  bool presence_asked_ = false;                     // of it: its attempt may have begun
  bool start_is_limited_ = false;                   // of body_stream_, see on_start_limited
  bool has_read_all_input_ = false;                 // of body_stream_; a read waits for more
  std::size_t streamed_body_bytes_ = 0;             // handed to body_stream_
  std::size_t request_bytes_ = 0;                   // received since the request began
  policy::ReceiveProgress progress_{limits::kMinBodyBytesPerSecond};  // of the request being read
  // When the state was entered, a request's first byte was read, or bytes were last written.
  Time last_progress_time_{};
  bool awaits_first_request_ = true;
  bool request_started_ = false;    // a part of a request was read
  bool last_byte_arrived_ = false;  // of the request in flight, if its body is long
  bool read_pending_ = false;
  bool reading_paused_ = false;  // see may_read()
  bool write_pending_ = false;
  bool response_is_chunked_ = false;  // a streamed response uses chunked coding
  // By chunks or a length, so that the client can tell when the response is truncated.
  bool response_is_framed_ = false;
  bool keep_alive_ = false;                     // the connection stays open after the response
  bool is_head_request_ = false;                // the response has no body
  bool is_http_1_1_ = true;                     // HTTP/1.1: the client understands chunked coding
  std::uint64_t request_number_ = 0;            // from Callbacks::on_request; 0: none in flight
  std::string request_id_;                      // of the last request
  std::optional<SessionEndReason> end_reason_;  // once it is decided
  policy::MemoryAccount memory_;
};

}  // namespace petrelrail

#include "upstream_connection.hpp"

#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <cstdio>

#include "limits.hpp"
#include "policy/request_state.hpp"
#include "response_writer.hpp"
#include "upstream.hpp"

namespace petrelrail {
namespace {

AttemptOutcome outcome_of(const http::response<ChunkBody>& r) {
  if (r.result() == http::status::ok) return AttemptOutcome::ok;
  const bool rejected = r.result() == http::status::service_unavailable ||
                        r.result() == http::status::gateway_timeout;
  if (rejected && r["X-Not-Processed"] == "1") return AttemptOutcome::overloaded;
  return AttemptOutcome::error;
}

constexpr char kUnwrittenMarker = {};  // no HTTP response begins with this byte

}  // namespace

UpstreamConnection::UpstreamConnection(Upstream& upstream, ConnectionPool& pool,
                                       asio::io_context& io)
    : upstream_(upstream),
      pool_(pool),
      incarnation_(pool.incarnation()),
      socket_(io.get_executor()),
      memory_(upstream.overload_) {}

void UpstreamConnection::open(const Tcp::endpoint& to, UpstreamExchange exchange) {
  exchange_ = std::move(exchange);
  // Establishing the connection is bounded by the connect timeout; the exchange's deadline applies
  // afterwards.
  const auto connect_deadline = exchange_->started + upstream_.connect_timeout_;
  deadline_timer_ = upstream_.timers_.at(
      std::min(connect_deadline, exchange_->deadline),
      [self = shared_from_this(), deadline_first = exchange_->deadline < connect_deadline] {
        self->deadline_timer_.reset();
        // The deadline of the request came before the connect timeout, which is no sign of a faulty
        // server.
        if (deadline_first)
          return self->close(AttemptOutcome::never_sent, AttemptEndReason::deadline_before_connect);
        // The server accepts no connection, so its idle connections are dead as well.
        self->pool_.close_all_idle();
        self->close(AttemptOutcome::connect_failed, AttemptEndReason::connect_timeout);
      });
  socket_.async_connect(to, [self = shared_from_this()](const error_code& failed) {
    if (self->state_ == State::closed) return;
    if (is_local_failure(failed))
      return self->close(AttemptOutcome::never_sent,
                         AttemptEndReason::local_failure);  // not a failure of the server
    if (failed)
      return self->close(AttemptOutcome::connect_failed, AttemptEndReason::connect_failed);
    set_no_delay(self->socket_);
    self->pool_.on_connected();
    self->state_ = State::up;
    self->upstream_.timers_.cancel(self->deadline_timer_);
    self->exchange_->connect_duration = std::max(
        self->upstream_.timers_.now() - self->exchange_->started, Duration(1));
    self->start();
    self->read();
  });
}

void UpstreamConnection::start_exchange(UpstreamExchange exchange) {
  exchange_ = std::move(exchange);
  start();
}

// The event loop reports a close or received bytes with a delay, so this asks the system directly.
// Data that had arrived when the pending read began is no longer in the socket and not yet
// reported; it shows in the buffer of that read.
bool UpstreamConnection::is_usable() {
  const bool already_read = read_pending_ && *pending_read_buffer_ != kUnwrittenMarker;
  char byte = 0;
  const auto peek = [&] {
    return ::recv(socket_.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  };
  const auto n = already_read ? 1 : retry_on_interrupt(peek);
  if (n > 0) pool_.on_unsolicited_data(upstream_.timers_.now(), idle_since_);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Called right before the first byte is written. While the connection was being established the
// client may have disconnected, the deadline passed or the server begun to drain: then nothing is
// written and the connection is kept for other requests, unless it leads to a former incarnation of
// the server.
void UpstreamConnection::start() {
  if (incarnation_ != pool_.incarnation() || !upstream_.can_start(*exchange_))
    return complete_exchange(AttemptOutcome::never_sent, AttemptEndReason::not_started, {});
  const Time now = upstream_.timers_.now();
  if (const auto& message = exchange_->request_message)
    exchange_->deadline = std::min(exchange_->deadline, message->deadline.time());
  write_head(now);
  reset_parser();
  receive_count_at_start_ = pool_.receive_count();
  state_ = State::writing;
  unsolicited_input_ = streaming_ = paused_ = write_pending_ = false;
  deferred_end_reason_.reset();
  response_started_ = {};
  hold_until_ = Time::max();
  if (exchange_->request_message && exchange_->request_message->body_stream)
    return start_body_stream();
  arm_deadline_timer();
  const auto body = exchange_->request_message ? asio::buffer(exchange_->request_message->body)
                                               : asio::const_buffer();
  const std::array<asio::const_buffer, 2> buffers{asio::buffer(request_head_), body};
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](const error_code& failed, std::size_t) {
                      if (self->state_ != State::writing) return;
                      if (failed) return self->on_write_failed();
                      self->on_request_written();
                    });
}

// Formats the request's head. The parts that come from the client have passed a parser before.
void UpstreamConnection::write_head(Time now) {
  request_head_.clear();
  const auto line = [this](std::string_view name, std::string_view value) {
    request_head_.append(name).append(": ").append(value).append("\r\n");
  };
  if (const auto& m = exchange_->request_message) {
    request_head_.append(m->method_name()).append(" ").append(m->target).append(" HTTP/1.1\r\n");
    line("X-Request-ID", m->request_id);
    if (!m->idempotency_key.empty()) line("Idempotency-Key", m->idempotency_key);
    const auto left = std::min(
        {exchange_->deadline - now, m->deadline.time_left(now), m->earliest_deadline() - now});
    line("X-Timeout-Ms",
         std::to_string(std::chrono::ceil<std::chrono::milliseconds>(left).count()));
    if (!m->content_type.empty()) line("Content-Type", m->content_type);
    if (m->body_stream && !m->body_stream->length())
      line("Transfer-Encoding", "chunked");
    else if (m->body_stream || !m->body.empty() || m->has_body())
      line("Content-Length",
           std::to_string(m->body_stream ? *m->body_stream->length() : m->body.size()));
  } else {
    request_head_.append("GET /-/healthy HTTP/1.1\r\n");
  }
  line("Host", "app.svc");
  request_head_.append("\r\n");
}

void UpstreamConnection::arm_deadline_timer() {
  upstream_.timers_.cancel(deadline_timer_);
  deadline_timer_ = upstream_.timers_.at(exchange_->deadline, [self = shared_from_this()] {
    self->deadline_timer_.reset();
    // If the server has sent nothing on any connection for longer than the connect timeout, it may
    // be cut off without a reset, and idle connections would swallow what is written to them.
    const bool is_server_silent = self->receive_count_at_start_ == self->pool_.receive_count() &&
                                  self->exchange_->deadline - self->exchange_->started >=
                                      self->upstream_.connect_timeout_;
    if (is_server_silent) self->pool_.close_all_idle();
    self->close(AttemptOutcome::timeout, AttemptEndReason::timed_out);
  });
}

void UpstreamConnection::on_request_written() {
  if (exchange_->request_message) upstream_.callbacks_.on_attempt_written(*exchange_);
  state_ = State::waiting;
  if (deferred_end_reason_) return on_connection_broken(*deferred_end_reason_);
  if (!read_pending_) process_input();
}

// The write failed before the last byte, so the server has not processed the request.
void UpstreamConnection::on_write_failed() {
  close(outcome_before_written(), deferred_end_reason_.value_or(AttemptEndReason::write_failed));
}

// Streams a long request body as it arrives from the client.
void UpstreamConnection::start_body_stream() {
  auto& upload = *exchange_->request_message->body_stream;
  body_write_time_ = upstream_.timers_.now();
  arm_body_timer();
  upload.set_data_callback([weak = weak_from_this(), request = exchange_->request] {
    const auto self = weak.lock();
    if (self && self->exchange_ && self->exchange_->request == request) self->on_body_changed();
  });
  write_pending_ = true;
  asio::async_write(socket_, asio::buffer(request_head_),
                    [self = shared_from_this()](const error_code& failed, std::size_t) {
                      self->write_pending_ = false;
                      if (self->state_ != State::writing) return;
                      if (failed) return self->on_write_failed();
                      self->write_body_chunk();
                    });
}

Time UpstreamConnection::body_write_deadline() const {
  const auto& message = *exchange_->request_message;
  return policy::body_write_deadline(
      message.deadline, {body_write_time_, message.body_stream->last_byte_hidden_since()},
      limits::kStreamStallTimeout);
}

// Bounds the time until the server has taken the whole body.
void UpstreamConnection::arm_body_timer() {
  upstream_.timers_.cancel(deadline_timer_);
  deadline_timer_ = upstream_.timers_.at(body_write_deadline(), [self = shared_from_this()] {
    self->deadline_timer_.reset();
    if (self->body_write_deadline() > self->upstream_.timers_.now()) return self->arm_body_timer();
    // The server has taken all that came: the client has stopped.
    if (!self->write_pending_)
      return self->close(AttemptOutcome::cancelled, AttemptEndReason::request_body_broken);
    self->close(AttemptOutcome::timeout, AttemptEndReason::timed_out);
  });
}

// Called when more of the body has arrived, or when what is known of its end has changed.
void UpstreamConnection::on_body_changed() {
  if (state_ != State::writing) return;
  arm_body_timer();
  write_body_chunk();
}

void UpstreamConnection::write_body_chunk() {
  if (state_ != State::writing || write_pending_) return;
  auto& upload = *exchange_->request_message->body_stream;
  if (upload.aborted())
    return close(AttemptOutcome::cancelled, AttemptEndReason::request_body_broken);
  body_chunk_ = upload.drain_chunk();
  const bool last = upload.complete() && upload.empty();
  if (!upload.length() && !body_chunk_.empty()) {
    const auto data = std::exchange(body_chunk_, {});
    append_chunk(body_chunk_, data);
  }
  if (!upload.length() && last) body_chunk_.append(kLastChunk);
  update_memory();
  if (body_chunk_.empty() && !last) return;  // the data callback resumes
  write_pending_ = true;
  asio::async_write(socket_, asio::buffer(body_chunk_),
                    [self = shared_from_this(), last](const error_code& failed, std::size_t) {
                      self->write_pending_ = false;
                      if (self->state_ != State::writing) return;
                      if (failed) return self->on_write_failed();
                      if (last) return self->on_body_written();
                      self->body_write_time_ = self->upstream_.timers_.now();
                      self->arm_body_timer();
                      self->write_body_chunk();
                    });
}

// The server starts on the request now; its client has waited since the last byte arrived here.
void UpstreamConnection::on_body_written() {
  body_chunk_ = {};
  exchange_->started = upstream_.timers_.now();
  exchange_->deadline = exchange_->request_message->deadline.time();
  arm_deadline_timer();
  on_request_written();
}

void UpstreamConnection::read() {
  if (state_ == State::closed || std::exchange(read_pending_, true)) return;
  const bool reads_long_chunks = streaming_ && !upstream_.overload_->is_under_pressure();
  const auto space = buffer_.prepare(reads_long_chunks ? limits::kStreamChunkBytes
                                                       : limits::kReadBufferBytes);
  update_memory();
  *static_cast<char*>(space.data()) = kUnwrittenMarker;
  pending_read_buffer_ = static_cast<const char*>(space.data());
  socket_.async_read_some(space,
                          [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
                            self->on_read(failed, bytes);
                          });
}

void UpstreamConnection::on_read(const error_code& failed, std::size_t bytes) {
  read_pending_ = false;
  if (state_ == State::closed) return;
  // An idle connection can only receive its close; anything else is unsolicited data.
  if (state_ == State::idle) {
    if (!failed) pool_.on_unsolicited_data(upstream_.timers_.now(), idle_since_);
    return pool_.close_idle(shared_from_this());
  }
  if (failed) {
    // Only an orderly close ends a response without a length. After a reset it is unknown how much
    // of it is missing.
    error_code eof_error;
    const bool orderly = failed == asio::error::eof && state_ == State::waiting;
    if (orderly && parser_->got_some() && !parser_->is_done()) parser_->put_eof(eof_error);
    if (orderly && !eof_error && parser_->is_done()) return on_response_complete();
    return on_connection_broken(failed == asio::error::eof ? AttemptEndReason::ended_early
                                                           : AttemptEndReason::reset);
  }
  buffer_.commit(bytes);
  pool_.on_data_received();
  // A server processes a request only after its last byte has arrived. On a reused connection,
  // input received before that is not the response to the request being written, and that request
  // never runs if its last byte is withheld.
  unsolicited_input_ = state_ == State::writing && exchange_->connect_duration == Duration{};
  if (unsolicited_input_)
    return pool_.on_unsolicited_data(upstream_.timers_.now(), idle_since_),
           on_connection_broken(AttemptEndReason::unsolicited_data);
  process_input();
}

void UpstreamConnection::process_input() {
  if (!feed_parser()) return on_connection_broken(AttemptEndReason::malformed);
  if (parser_->is_done()) return on_response_complete();
  if (response_started_ == Time{} && parser_->is_header_done()) start_hold_timer();
  if (parser_->is_header_done() && parser_->get().result() != http::status::ok)
    parser_->get().body().clear();
  if (should_stream()) start_streaming();
  if (state_ == State::closed) return;
  if (streaming_) return forward_chunk();
  // A response that arrives before its request is fully written is buffered up to this limit only.
  if (state_ == State::writing && parser_->get().body().size() >= limits::kMaxBufferedResponseBytes)
    return;
  read();
}

void UpstreamConnection::reset_parser() {
  parser_.emplace();
  parser_->header_limit(limits::kMaxHeaderBytes);
  parser_->body_limit(boost::none);
  parser_->eager(true);
}

void UpstreamConnection::update_memory() {
  using policy::MemoryKind;
  memory_.set(MemoryKind::answers,
              sizeof(UpstreamConnection) + buffer_.capacity() +
                  (parser_ ? parser_->get().body().capacity() + parser_->field_bytes() : 0));
  memory_.set(MemoryKind::bodies, body_chunk_.capacity() + request_head_.capacity());
}

void UpstreamConnection::release_spare_while_paused() {
  if (!paused_ || read_pending_) return;
  if (parser_->get().body().empty()) parser_->get().body() = {};
  buffer_.shrink_to_fit();
  update_memory();
}

// Returns false if the input is not a valid HTTP response.
bool UpstreamConnection::feed_parser() {
  error_code parse_error;
  while (!parser_->is_done() && buffer_.size() > 0) {
    buffer_.consume(parser_->put(buffer_.data(), parse_error));
    // The parser does not consume a chunk header or a trailer until it is complete.
    if (parse_error == http::error::need_more) return buffer_.size() < limits::kMaxHeaderBytes;
    if (parse_error) return false;
    // An interim response (1xx) is followed by the final one.
    if (parser_->is_done() &&
        http::to_status_class(parser_->get().result()) == http::status_class::informational)
      reset_parser();
  }
  return true;
}

void UpstreamConnection::start_hold_timer() {
  response_started_ = upstream_.timers_.now();
  hold_until_ = std::min(response_started_ + limits::kMaxResponseBufferTime,
                         exchange_->deadline - limits::kFirstPartMargin);
  hold_timer_ = upstream_.timers_.at(hold_until_, [self = shared_from_this()] {
    self->hold_timer_.reset();
    if (!self->should_stream()) return;
    self->start_streaming();
    if (self->state_ != State::closed) self->forward_chunk();
  });
}

// Whether the received part should be passed on now. A response that is still held back, or of
// which only the head has arrived, may be retried elsewhere if the connection breaks. The body of a
// response that is not passed on is of no use.
bool UpstreamConnection::should_stream() const {
  if (streaming_ || !parser_->is_header_done() || !exchange_->request_message) return false;
  const auto& answer = parser_->get();
  if (answer.body().empty()) return false;
  const auto length = parser_->content_length();
  const auto max_buffered = upstream_.overload_->is_under_pressure()
                                ? limits::kReadBufferBytes
                                : limits::kMaxBufferedResponseBytes;
  return answer.result() == http::status::ok && state_ == State::waiting &&
         (answer.body().size() >= max_buffered || (length && *length > limits::kMaxBodyBytes) ||
          upstream_.timers_.now() >= hold_until_);
}

void UpstreamConnection::start_streaming() {
  const auto length = parser_->content_length();
  ResponseHead head{std::string(parser_->get()[http::field::content_type]), std::nullopt};
  if (length) head.length = *length;
  upstream_.timers_.cancel(deadline_timer_);
  upstream_.timers_.cancel(hold_timer_);
  exchange_->response_started = upstream_.timers_.now();
  streaming_ = true;
  forwarded_bytes_ = 0;
  last_part_time_ = exchange_->response_started;
  const auto self = shared_from_this();
  if (!upstream_.callbacks_.on_stream_started(*exchange_, head))
    close(AttemptOutcome::cancelled, AttemptEndReason::client_disconnected);
}

// Forwards one chunk at a time: the next one is read after the client has taken this one.
void UpstreamConnection::forward_chunk() {
  auto& body = parser_->get().body();
  upstream_.timers_.cancel(deadline_timer_);
  if (body.empty()) return arm_stall_timer(), read();
  paused_ = true;
  forwarded_bytes_ += body.size();
  upstream_.callbacks_.on_stream_chunk(*exchange_, body, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->on_chunk_written();
  });
  body.clear();
  if (upstream_.overload_->is_under_pressure()) release_spare_while_paused();
}

// Passes on the rest that was received of a broken response, so that the client's response ends
// where the server's ended.
void UpstreamConnection::forward_remaining() {
  auto& body = parser_->get().body();
  if (!body.empty()) upstream_.callbacks_.on_stream_chunk(*exchange_, body, nullptr);
  body.clear();
}

void UpstreamConnection::on_chunk_written() {
  if (state_ == State::closed || !std::exchange(paused_, false)) return;
  last_part_time_ = upstream_.timers_.now();
  arm_stall_timer();
  read();
}

policy::ResponseLength UpstreamConnection::response_length() const {
  const auto length = parser_->content_length();
  if ((length ? *length : forwarded_bytes_) > limits::kMaxBodyBytes)
    return policy::ResponseLength::over_limit;
  return length ? policy::ResponseLength::within_limit : policy::ResponseLength::unknown;
}

// A response that is not complete in time is ended, and its client sees it cut off.
void UpstreamConnection::arm_stall_timer() {
  const Time due = policy::response_stall_deadline(
      exchange_->request_message->deadline,
      {response_length(), response_started_, last_part_time_, forwarded_bytes_},
      {limits::kStreamStallTimeout, limits::kMaxResponseLateness, limits::kMaxLatePartInterval,
       limits::kMaxBodyBytes, limits::kMaxTimeToLongResponse});
  upstream_.timers_.cancel(deadline_timer_);
  deadline_timer_ = upstream_.timers_.at(due, [self = shared_from_this()] {
    self->deadline_timer_.reset();
    self->close(AttemptOutcome::reset, AttemptEndReason::stalled);
  });
}

// A broken connection can't be used for the request in flight on it. If the last byte of the
// request was written, the request may have run.
void UpstreamConnection::on_connection_broken(AttemptEndReason reason) {
  if (state_ == State::writing) {
    // How much was written is known when the pending write ends.
    if (exchange_->request_message && exchange_->request_message->body_stream && !write_pending_)
      return close(outcome_before_written(), reason);
    deferred_end_reason_ = reason;
    error_code ignored;
    socket_.cancel(ignored);
    return;
  }
  close(AttemptOutcome::reset, reason);
}

// Bytes after a complete response belong to no request of this connection, so the connection is
// closed.
void UpstreamConnection::on_response_complete() {
  const bool has_trailing_bytes = buffer_.size() > 0;
  if (has_trailing_bytes && exchange_->request_message) {
    const Time now = upstream_.timers_.now();
    pool_.on_unsolicited_data(now, now);
    if (policy::response_disposition(true, has_trailing_bytes, streaming_) ==
        policy::ResponseDisposition::fail)
      return on_connection_broken(AttemptEndReason::trailing_bytes);
  }
  const bool can_reuse = parser_->keep_alive();  // false if the response ends with the connection
  auto response = parser_->release();
  const bool keep = can_reuse && state_ == State::waiting && !has_trailing_bytes;
  const auto outcome = outcome_of(response);
  Response answer{response.result(), {}, std::string(response[http::field::content_type]), {}};
  if (!streaming_) {
    answer.body = std::move(response.body());
  } else if (!response.body().empty()) {
    upstream_.callbacks_.on_stream_chunk(*exchange_, response.body(), nullptr);
  }
  if (!keep) {
    pool_.remove(shared_from_this(), false);
    state_ = State::closed;
    close_now(socket_);
  }
  complete_exchange(
      outcome,
      has_trailing_bytes ? AttemptEndReason::trailing_bytes : AttemptEndReason::response_complete,
      std::move(answer));
  read();
}

// Closes the connection before it reports the outcome, so that two attempts of a request are never
// in flight at once.
void UpstreamConnection::close(AttemptOutcome outcome, AttemptEndReason reason) {
  if (state_ == State::closed) return;
  pool_.remove(shared_from_this(), state_ == State::connecting);
  if (outcome == AttemptOutcome::connect_failed) pool_.on_connect_failed();
  state_ = State::closed;
  close_now(socket_);
  complete_exchange(outcome, reason, {});
}

void UpstreamConnection::abandon() {
  if (state_ == State::closed) return;
  state_ = State::closed;
  upstream_.timers_.cancel(deadline_timer_);
  upstream_.timers_.cancel(hold_timer_);
  close_now(socket_);
  exchange_.reset();
}

void UpstreamConnection::complete_exchange(AttemptOutcome outcome, AttemptEndReason reason,
                                           Response answer) {
  const auto self = shared_from_this();
  upstream_.timers_.cancel(deadline_timer_);
  upstream_.timers_.cancel(hold_timer_);
  if (exchange_ && streaming_ && outcome == AttemptOutcome::reset) forward_remaining();
  if (exchange_)
    exchange_->response_complete = outcome == AttemptOutcome::ok ||
                                   (streaming_ && parser_->is_done());
  const auto exchange = std::exchange(exchange_, std::nullopt);
  if (state_ != State::closed) {
    // A connection that was acquired but not written to has been idle throughout, as its server
    // sees it.
    if (std::exchange(state_, State::idle) != State::idle) idle_since_ = upstream_.timers_.now();
    if (std::exchange(streaming_, false) && !read_pending_) buffer_.shrink_to_fit();
    upstream_.return_idle(self, pool_);
  }
  if (exchange) upstream_.report_end(*exchange, outcome, reason, std::move(answer));
}

}  // namespace petrelrail

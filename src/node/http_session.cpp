#include "http_session.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "http_server.hpp"
#include "limits.hpp"
#include "policy/request_state.hpp"
#include "request_reader.hpp"
#include "response_writer.hpp"

namespace petrelrail {

using std::string_view;

HttpSession::HttpSession(HttpServer& server, Socket socket)
    : server_(server),
      socket_(std::move(socket)),
      opened_time_(server.timers_.now()),
      last_received_time_(opened_time_),
      last_progress_time_(opened_time_),
      memory_(server_.overload_) {}

void HttpSession::start() {
  set_no_delay(socket_);
  read();
}

void HttpSession::enter(State state) {
  state_ = state;
  last_progress_time_ = server_.timers_.now();
}

void HttpSession::read() {
  if (read_pending_ || is_closed()) return;
  const bool keeps_spare = body_stream_ && !server_.overload_->is_under_pressure();
  if (buffer_.size() == 0 && buffer_.capacity() > 2 * limits::kReadBufferBytes && !keeps_spare)
    buffer_.release_spare();
  if (body_stream_ && body_stream_->is_full()) return pause_body();
  if (!may_read()) return pause_read_ahead();
  reading_paused_ = false;
  if (body_stream_) {
    // The time during which the body buffer was full does not count against the client.
    request_started_time_ += body_stream_->resume_reading(server_.timers_.now());
    observe_body(true);
  }
  read_pending_ = true;
  socket_.async_read_some(
      buffer_.prepare(keeps_spare ? limits::kStreamChunkBytes : limits::kReadBufferBytes),
      [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
        self->on_read(failed, bytes);
      });
  update_memory();
}

bool HttpSession::may_read() {
  if (state_ == State::reading || state_ == State::lingering || body_stream_) return true;
  return buffer_.size() < limits::kMaxReadAheadBytes || !keep_alive_;
}

void HttpSession::check_paused_reading() {
  if (!reading_paused_ || read_pending_) return;
  if (may_read()) return read();
  if (has_received_close()) return close_for_client();
  if (is_far_ahead()) discard_input();
}

void HttpSession::pause_read_ahead() {
  if (!std::exchange(reading_paused_, true))
    server_.overload_->count(policy::SheddingReason::input_paused);
  update_memory();
  // Begun now, so that the input is read to its end by the time of the attempt.
  const bool awaits_attempt = request_number_ != 0 && state_ == State::waiting && !presence_asked_;
  if (awaits_attempt && is_far_ahead()) discard_input();
}

void HttpSession::pause_body() {
  update_memory();
  observe_body(false);
  body_stream_->pause_reading(server_.timers_.now());
  if (request_number_ == 0 || body_stream_->consumed() || std::exchange(start_is_limited_, true))
    return;
  server_.callbacks_.on_start_limited(request_number_, presence_.latest_start());
}

std::size_t HttpSession::unread_bytes() const {
  error_code failed;
  const auto bytes = socket_.available(failed);
  return failed ? 0 : bytes;
}

bool HttpSession::is_far_ahead() const {
  return state_ != State::reading && state_ != State::lingering && !body_stream_ &&
         unread_bytes() >= limits::kMaxUnreadInputBytes;
}

policy::ClientPresence HttpSession::read_ahead() {
  static constexpr auto kMaxBytes = limits::kMaxReadAheadBytes + limits::kMaxUnreadInputBytes;
  if (!keep_alive_) return discard_input();
  // A pending read began at an empty socket, or in this turn of the event loop.
  if (read_pending_) return policy::ClientPresence::connected;
  for (auto unread = unread_bytes(); unread > 0; unread = unread_bytes()) {
    if (buffer_.size() + unread > kMaxBytes) return discard_input();
    if (server_.overload_->is_under_pressure())
      return presence_.with_unread_input(server_.timers_.now());
    if (receive_some(unread) <= 0) break;
  }
  update_memory();
  if (!has_received_close()) return confirm_presence();
  close_for_client();
  return policy::ClientPresence::disconnected;
}

policy::ClientPresence HttpSession::discard_input() {
  keep_alive_ = false;
  buffer_.clear();
  const auto presence = discard_received(limits::kMaxDiscardedBytes);
  if (presence == policy::ClientPresence::disconnected) {
    close_for_client();
    return presence;
  }
  read();
  return presence == policy::ClientPresence::connected
             ? confirm_presence()
             : presence_.with_unread_input(server_.timers_.now());
}

ssize_t HttpSession::receive_some(std::size_t max_bytes) {
  const auto space = buffer_.prepare(max_bytes);
  const auto receive = [&] {
    return ::recv(socket_.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
  };
  const auto bytes = retry_on_interrupt(receive);
  if (bytes > 0) on_received(static_cast<std::size_t>(bytes));
  return bytes;
}

policy::ClientPresence HttpSession::confirm_presence() {
  presence_.confirm(server_.timers_.now());
  return policy::ClientPresence::connected;
}

policy::ClientPresence HttpSession::discard_received(std::size_t max_bytes) {
  std::array<char, limits::kReadBufferBytes> unread{};
  for (auto n = max_bytes / unread.size(); n > 0; --n) {
    const auto receive = [&] {
      return ::recv(socket_.native_handle(), unread.data(), unread.size(), MSG_DONTWAIT);
    };
    const auto bytes = retry_on_interrupt(receive);
    if (bytes == 0) return policy::ClientPresence::disconnected;
    if (bytes < 0) return policy::ClientPresence::connected;
  }
  return policy::ClientPresence::unknown;
}

void HttpSession::update_memory() {
  using policy::MemoryKind;
  memory_.set(MemoryKind::input, sizeof(HttpSession) + buffer_.capacity());
  memory_.set(MemoryKind::fields, parser_ ? parser_->field_bytes() : 0);
  memory_.set(MemoryKind::bodies, parser_ ? parser_->get().body().capacity() : 0);
  memory_.set(MemoryKind::answers, pending_output_.capacity() + write_buffer_.capacity());
}

void HttpSession::on_read(const error_code& failed, std::size_t bytes) {
  read_pending_ = false;
  if (is_closed()) return;
  if (failed)
    return close(failed == asio::error::eof ? SessionEndReason::client_closed
                                            : SessionEndReason::read_failed);
  if (body_stream_ && std::exchange(has_read_all_input_, false))
    body_stream_->arrival().observe(server_.timers_.now(), body_observation(0));
  on_received(bytes);
  // Input behind a request that ends the session is discarded.
  if (state_ == State::lingering || (state_ != State::reading && !body_stream_ && !keep_alive_)) {
    buffer_.clear();
    if (bytes < limits::kReadBufferBytes) confirm_presence();
    if (request_bytes_ > limits::kMaxStreamedBodyBytes)
      return close(SessionEndReason::request_too_long);
  }
  if (state_ == State::reading) {
    parse();
    if (server_.overload_->is_under_pressure()) read_arrived_input();
  } else if (body_stream_) {
    on_body_data();
  }
  read();
  server_.shed_incomplete_requests();
}

void HttpSession::on_received(std::size_t bytes) {
  buffer_.commit(bytes);
  last_received_time_ = server_.timers_.now();
  request_bytes_ += bytes;
  progress_.on_received(last_received_time_, bytes);
}

void HttpSession::read_arrived_input() {
  for (std::size_t total = 0; has_incomplete_request() && total < limits::kMaxInputBytesPerTurn;) {
    const auto bytes = receive_some(limits::kReadBufferBytes);
    if (bytes <= 0) return;  // nothing more has arrived; an end or an error shows at the next read
    total += static_cast<std::size_t>(bytes);
    parse();
  }
}

policy::IncompleteRequest HttpSession::incomplete_request(std::size_t session_number) const {
  return {session_number, memory_.total(), progress_.lag(server_.timers_.now())};
}

void HttpSession::parse() {
  if (buffer_.size() == 0) return;
  if (!std::exchange(request_started_, true)) {
    request_started_time_ = last_progress_time_ = server_.timers_.now();
    request_bytes_ = buffer_.size();
    progress_.start(request_started_time_);
    parser_.emplace();
    parser_->header_limit(limits::kMaxHeaderBytes);
    parser_->body_limit(limits::kMaxStreamedBodyBytes);
    parser_->eager(true);
  }
  if (!feed_parser()) return;
  const auto length = parser_->content_length();
  const bool is_long = parser_->is_header_done() &&
                       ((length && *length > limits::kMaxBodyBytes) ||
                        parser_->get().body().size() > limits::kMaxBodyBytes);
  if (parser_->is_done() || is_long) on_request_parsed();
}

// Passes the buffered input to the parser. Returns false after a parse error, which it has
// answered.
bool HttpSession::feed_parser() {
  error_code failed;
  while (!parser_->is_done() && buffer_.size() > 0) {
    const bool had_header = parser_->is_header_done();
    buffer_.consume(parser_->put(buffer_.data(), failed));
    // A chunk's header, or the trailer, is left in the buffer until it is complete.
    if (failed == http::error::need_more && buffer_.size() < limits::kMaxHeaderBytes) return true;
    if (failed == http::error::need_more || failed == http::error::header_limit)
      return reject_header(), false;
    if (failed == http::error::body_limit)
      return reject(http::status::payload_too_large, "the body is too large"), false;
    if (failed) return reject(http::status::bad_request, failed.message()), false;
    if (!had_header && parser_->is_header_done()) {
      const auto& head = parser_->get();
      if (boost::beast::iequals(head[http::field::expect], "100-continue") && !parser_->is_done()) {
        pending_output_ = "HTTP/1.1 100 Continue\r\n\r\n";
        write_some();
      }
    }
  }
  return true;
}

void HttpSession::reject_header() {
  const bool has_too_many_fields = parser_->has_too_many_fields();
  if (has_too_many_fields) server_.overload_->count(policy::SheddingReason::too_many_fields);
  reject(http::status::request_header_fields_too_large,
         has_too_many_fields ? "the header has too many fields" : "the header is too large");
}

// Appends to the body of a request that is already being forwarded.
void HttpSession::on_body_data() {
  if (!feed_parser()) return;
  check_last_byte();
  if (!body_stream_) return;  // the request was answered
  auto& body = parser_->get().body();
  const auto stream = body_stream_;
  if (parser_->is_done()) body_stream_.reset();
  streamed_body_bytes_ += body.size();
  if (!body.empty()) stream->append(std::exchange(body, {}));
  if (body_stream_) return;
  parser_.reset();
  stream->finish();
}

bool HttpSession::body_has_arrived() const {
  if (parser_->is_done()) return true;
  const auto missing = parser_->content_length_remaining();
  return missing && unread_bytes() >= *missing;
}

void HttpSession::check_last_byte() {
  if (!body_stream_ || last_byte_arrived_ || request_number_ == 0 || !body_has_arrived()) return;
  last_byte_arrived_ = true;
  if (parser_->is_done()) body_stream_->arrival().on_end_read(request_bytes_ - buffer_.size());
  body_stream_->set_last_byte_hidden_since(std::nullopt);
  server_.callbacks_.on_request_received(request_number_,
                                         body_stream_->arrival().not_written_until());
  if (body_stream_) body_stream_->on_last_byte();
}

policy::BodyArrival::Observation HttpSession::body_observation(std::size_t unread_bytes) const {
  policy::BodyArrival::Observation observation{request_bytes_, unread_bytes, std::nullopt};
  if (const auto missing = parser_->content_length_remaining())
    observation.missing_bytes = *missing;
  return observation;
}

void HttpSession::observe_body(bool is_reading) {
  if (last_byte_arrived_) return;
  const auto unread = unread_bytes();
  if (unread == 0) confirm_presence();
  body_stream_->arrival().observe(server_.timers_.now(), body_observation(unread));
  has_read_all_input_ = is_reading && unread == 0;
  const bool may_be_hidden = !has_read_all_input_ && !body_stream_->arrival().is_end_out_of_reach();
  body_stream_->set_last_byte_hidden_since(
      may_be_hidden ? std::optional(body_stream_->arrival().not_written_until()) : std::nullopt);
}

void HttpSession::on_request_parsed() {
  const bool is_complete = parser_->is_done();
  auto& head = parser_->get().base();
  ParsedRequest message(is_complete ? http::request_header<>(std::move(head))
                                    : http::request_header<>(head));
  message.body() = std::exchange(parser_->get().body(), {});
  if (is_complete) {
    parser_.reset();
  } else {
    const auto length = parser_->content_length();
    body_stream_ = std::make_shared<RequestBodyStream>(
        length ? std::optional<std::uint64_t>(*length) : std::nullopt,
        policy::MemoryAccount(server_.overload_),
        std::min(request_started_time_, last_received_time_));
    has_read_all_input_ = start_is_limited_ = false;
    body_stream_->set_capacity_callback([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->read();
    });
  }
  const auto stream = body_stream_;
  request_started_ = awaits_first_request_ = last_byte_arrived_ = presence_asked_ = false;
  keep_alive_ = message.keep_alive();
  request_id_.clear();
  is_head_request_ = message.method() == http::verb::head;
  is_http_1_1_ = message.version() >= 11;
  enter(State::waiting);
  presence_.confirm(last_progress_time_);
  const string_view target(message.target().data(), message.target().size());
  if (target == "/-/ready") {
    const bool is_ready = server_.callbacks_.is_ready() && !server_.draining_;
    return write({is_ready ? http::status::ok : http::status::service_unavailable,
                  is_ready ? "ready\n" : "not ready\n",
                  "text/plain",
                  {}});
  }
  try {
    // The last bytes that were received; a request that waited behind an earlier one is among them.
    auto request = read_request(message, server_.settings_, last_received_time_, !is_complete);
    server_.shorten_deadline(request);
    if (request.deadline.time() <= server_.timers_.now())
      throw RequestError(http::status::service_unavailable, "the time of the request is over");
    if (stream) {
      streamed_body_bytes_ = request.body.size();
      stream->append(std::exchange(request.body, {}));
      request.body_stream = stream;
    }
    request_id_ = request.request_id;
    server_.charge_request(request);
    const auto number = server_.callbacks_.on_request(std::move(request), shared_from_this());
    if (state_ == State::waiting) request_number_ = number;
    check_last_byte();
  } catch (const RequestError& x) {
    ++server_.rejected_requests_[static_cast<unsigned>(x.status)];
    write({x.status, std::string(x.what()) + "\n", "text/plain", {}});
  }
}

void HttpSession::reject(http::status status, const std::string& message) {
  ++server_.rejected_requests_[body_stream_ ? 0 : static_cast<unsigned>(status)];
  // The request is already being forwarded, and its body will never be complete.
  if (body_stream_) return close(SessionEndReason::malformed);
  keep_alive_ = false;
  buffer_.clear();
  write({status, message + "\n", "text/plain", {}});
}

void HttpSession::shed(policy::SheddingReason reason) {
  std::string request_id;
  if (parser_) request_id = parser_->get()["X-Request-ID"];
  server_.on_shed(reason, request_id, memory_.total());
  parser_.reset();
  update_memory();
  if (reason == policy::SheddingReason::never_complete)
    return evict(SessionEndReason::memory_needed);
  request_started_ = false;
  reject(http::status::service_unavailable, "the node is short of memory");
}

void HttpSession::send(const Response& response) {
  request_number_ = 0;
  if (state_ == State::waiting) write(response);
}

void HttpSession::write(const Response& response) {
  enter(State::writing);
  if (std::exchange(body_stream_, nullptr))
    parser_.reset(), keep_alive_ = false;  // the rest of the body is discarded
  if (server_.draining_ || server_.accepting_stopped_) keep_alive_ = false;
  pending_output_ += response_head(response.status, response.content_type, response.body.size(),
                                   false, keep_alive_, response.body.size());
  if (response.retry_after > Duration{}) {
    append_retry_after(pending_output_, response.retry_after);
  }
  pending_output_.append("\r\n");
  if (!is_head_request_) pending_output_.append(response.body);
  write_some();
}

void HttpSession::begin_stream(const ResponseHead& head) {
  if (state_ != State::waiting) return;
  enter(State::streaming);
  response_is_chunked_ = !head.length && is_http_1_1_;
  response_is_framed_ = response_is_chunked_ || head.length;
  if (server_.draining_ || server_.accepting_stopped_ || (!head.length && !response_is_chunked_))
    keep_alive_ = false;
  pending_output_ += response_head(http::status::ok, head.content_type, head.length,
                                   response_is_chunked_, keep_alive_) +
                     "\r\n";
}

void HttpSession::write_chunk(string_view chunk, std::function<void()> on_written) {
  if (state_ != State::streaming) return;
  if (response_is_chunked_ && !chunk.empty()) {
    append_chunk(pending_output_, chunk);
  } else {
    pending_output_.append(chunk);
  }
  on_chunk_written_ = std::move(on_written);
  write_some();
}

void HttpSession::end_stream() {
  if (state_ != State::streaming) return;
  request_number_ = 0;
  if (response_is_chunked_) pending_output_.append(kLastChunk);
  enter(State::writing);
  write_some();
}

void HttpSession::abort() {
  request_number_ = 0;
  if (state_ != State::streaming) return;
  keep_alive_ = false;
  end_reason_ = SessionEndReason::response_broken;
  // The client sees that the end is missing; a reset would discard what it has not read yet.
  if (response_is_framed_) {
    enter(State::writing);
    return write_some();
  }
  // Without framing a normal close would mark the end of the response, so the connection is reset.
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close(SessionEndReason::response_broken);
}

void HttpSession::write_some() {
  if (write_pending_ || is_closed()) return;
  if (bytes_written_ == write_buffer_.size()) {
    bytes_written_ = 0;
    write_buffer_.clear();
    if (server_.overload_->is_under_pressure()) write_buffer_ = {};
    std::swap(write_buffer_, pending_output_);
  }
  if (write_buffer_.empty()) {
    if (state_ == State::writing) return on_response_written();
    return update_memory();
  }
  update_memory();
  write_pending_ = true;
  socket_.async_write_some(
      asio::buffer(write_buffer_.data() + bytes_written_, write_buffer_.size() - bytes_written_),
      [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
        self->write_pending_ = false;
        if (self->is_closed()) return;
        if (failed) return self->close(SessionEndReason::write_failed);
        self->last_progress_time_ = self->server_.timers_.now();
        self->bytes_written_ += bytes;
        if (self->bytes_written_ == self->write_buffer_.size() && self->pending_output_.empty())
          if (const auto on_written = std::exchange(self->on_chunk_written_, nullptr)) on_written();
        self->write_some();
      });
}

void HttpSession::on_response_written() {
  write_buffer_ = {};
  if (pending_output_.capacity() > limits::kReadBufferBytes) pending_output_ = {};
  if (!keep_alive_) return close_lingering(SessionEndReason::response_complete);
  enter(State::reading);
  parse();
  read();
  server_.resume_accepting();
}

policy::ClientPresence HttpSession::client_presence() {
  using policy::ClientPresence;
  if (is_closed()) return ClientPresence::disconnected;
  presence_asked_ = true;
  pollfd client{socket_.native_handle(), POLLIN | POLLRDHUP, 0};
  if (retry_on_interrupt([&] { return ::poll(&client, 1, 0); }) <= 0)
    return ClientPresence::connected;  // neither data nor a close
  if ((client.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    close_for_client();
    return ClientPresence::disconnected;
  }
  return body_stream_ ? presence_.with_unread_input(server_.timers_.now()) : read_ahead();
}

// Not at once: a caller may be in the middle of a step.
void HttpSession::close_for_client() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->close(SessionEndReason::client_closed); });
}

bool HttpSession::has_received_close() {
  pollfd client{socket_.native_handle(), POLLRDHUP, 0};
  return retry_on_interrupt([&] { return ::poll(&client, 1, 0); }) > 0;
}

void HttpSession::close_lingering(SessionEndReason reason) {
  if (!end_reason_) end_reason_ = reason;
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  buffer_.clear();
  request_bytes_ = 0;
  enter(State::lingering);
  read();
  server_.resume_accepting();
}

// A request that has begun to arrive, read or not, is answered 503 so that the client may retry it.
// Unread input is read first, because closing with unread bytes would cause a reset.
void HttpSession::evict(SessionEndReason reason) {
  if (!end_reason_) end_reason_ = reason;
  error_code failed;
  if (state_ == State::reading && !has_no_unread_input()) reject_immediately();
  socket_.shutdown(Socket::shutdown_send, failed);
  discard_received(limits::kMaxBodyBytes);
  close(reason);
}

// Writes without waiting: nothing else is being written to this client, and a response this small
// fits into the socket's send buffer.
void HttpSession::reject_immediately() {
  static constexpr auto kStatus = http::status::service_unavailable;
  ++server_.rejected_requests_[static_cast<unsigned>(kStatus)];
  const auto text = response_head(kStatus, "text/plain", 0, false, false) + "\r\n";
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto rest = string_view(text).substr(sent);
    const auto write = [&] {
      return ::send(socket_.native_handle(), rest.data(), rest.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    };
    const auto bytes = retry_on_interrupt(write);
    if (bytes <= 0) return;
    sent += static_cast<std::size_t>(bytes);
  }
}

void HttpSession::close(SessionEndReason reason) {
  if (is_closed()) return;
  const bool is_unanswered = request_number_ != 0 || state_ == State::streaming ||
                             state_ == State::writing;
  const auto end_reason = end_reason_.value_or(reason);
  server_.session_ends_.add(end_reason);
  if (is_unanswered) log_unanswered(end_reason);
  if (const auto violation = policy::check_session_close(is_unanswered,
                                                         is_local_decision(end_reason)))
    server_.callbacks_.on_invariant_violation(*violation, request_id_);
  const auto request = std::exchange(request_number_, 0);
  enter(State::closed);
  close_now(socket_);
  on_chunk_written_ = nullptr;
  const auto self = shared_from_this();
  server_.remove_session(self);
  if (request != 0) server_.callbacks_.on_client_disconnected(request);
  if (const auto stream = std::exchange(body_stream_, nullptr)) stream->abort();
}

// A client that disconnects is normal; any other end without a complete response is a warning.
void HttpSession::log_unanswered(SessionEndReason reason) const {
  if (reason == SessionEndReason::client_closed) {
    if (log::is_request_logging_enabled())
      log::request("clients", "client left", {{"request", request_id_}});
    return;
  }
  log::warning("clients", "connection ended without a whole answer",
               {{"request", request_id_}, {"reason", std::string(name_of(reason))}});
}

void HttpSession::sweep(Time now) {
  check_paused_reading();
  if (pending_output_.empty() && write_pending_) pending_output_ = {}, update_memory();
  check_last_byte();  // it may have arrived while reading is paused
  if (body_stream_ && !read_pending_) observe_body(false);
  if (state_ == State::streaming && !write_pending_) return;  // waits for the server
  if (state_ == State::waiting && body_stream_ && read_pending_ &&
      now - request_started_time_ >= request_timeout())
    return close(SessionEndReason::request_too_slow);
  if (state_ == State::lingering && now - last_progress_time_ < limits::kMaxLingerTime &&
      now - last_received_time_ < limits::kLingerTimeout)
    return;
  const bool is_writing = state_ == State::writing || state_ == State::streaming;
  const auto timeout = is_writing                   ? limits::kWriteTimeout
                       : state_ == State::lingering ? limits::kLingerTimeout
                       : request_started_           ? request_timeout()
                       : awaits_first_request_      ? limits::kHeaderTimeout
                                                    : limits::kClientIdleTimeout;
  // The first request's time counts from the connect, whatever pauses the client makes.
  const Time start = state_ == State::reading && awaits_first_request_ ? opened_time_
                                                                       : last_progress_time_;
  if (state_ == State::waiting || now - start < timeout) return;
  if (state_ == State::reading && request_started_)
    return request_started_ = false,
           reject(http::status::request_timeout, "the request did not come");
  if (state_ == State::reading && !has_no_unread_input()) return;  // received bytes are read first
  if (state_ == State::reading && !awaits_first_request_)
    return close_lingering(SessionEndReason::idle);
  if (state_ == State::reading) ++server_.rejected_requests_[0];  // the client has sent nothing
  evict(is_writing ? SessionEndReason::reader_too_slow : SessionEndReason::request_too_slow);
}

std::size_t HttpSession::body_bytes() const {
  return body_stream_ ? streamed_body_bytes_ : parser_->get().body().size();
}

// Time for a header, plus the time that the bytes received so far take at the minimum body rate.
// Extensions of chunks and trailers, which have no end of their own, count in proportion to the
// body.
Duration HttpSession::request_timeout() const {
  if (!parser_ || !parser_->is_header_done()) return limits::kHeaderTimeout;
  const auto counted = std::min(request_bytes_,
                                limits::kMaxHeaderBytes + limits::kMaxCodingFactor * body_bytes());
  const std::chrono::duration<double> body_time(static_cast<double>(counted) /
                                                limits::kMinBodyBytesPerSecond);
  return limits::kHeaderTimeout + std::chrono::duration_cast<Duration>(body_time);
}

}  // namespace petrelrail

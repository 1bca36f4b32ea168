#include "connection.hpp"

#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <cstdio>

#include "facts.hpp"
#include "policy/request_rules.hpp"
#include "upstream.hpp"

namespace petrelrail {
namespace {

Outcome outcome_of(const http::response<PieceBody>& r) {
  if (r.result() == http::status::ok) return Outcome::ok;
  const bool turned_away = r.result() == http::status::service_unavailable ||
                           r.result() == http::status::gateway_timeout;
  if (turned_away && r["X-Not-Processed"] == "1") return Outcome::full;
  return Outcome::error;
}

constexpr char kNothing = {};  // no answer begins with it

}  // namespace

ServerConnection::ServerConnection(Upstream& upstream, Pool& pool, asio::io_context& io)
    : upstream_(upstream), pool_(pool), life_(pool.life()), socket_(io.get_executor()) {}

void ServerConnection::open(const Tcp::endpoint& to, Errand errand) {
  errand_ = std::move(errand);
  // Until the connection is up the errand may take no longer than a connect may; then it has its own time.
  const auto until = errand_->began + upstream_.connect_timeout_;
  limit_ = upstream_.timers_.at(std::min(until, errand_->deadline),
                                [self = shared_from_this(), late = errand_->deadline < until] {
                                  self->limit_.reset();
                                  // Its own time ran out first: that says nothing of the server.
                                  if (late) return self->close(Outcome::never_sent, AttemptEnd::no_time);
                                  // Nothing comes up there: the connections that idle are dead as well.
                                  self->pool_.drop_stale();
                                  self->close(Outcome::connect_failed, AttemptEnd::connect_timeout);
                                });
  socket_.async_connect(to, [self = shared_from_this()](const error_code& failed) {
    if (self->stage_ == Stage::closed) return;
    if (is_local_failure(failed))
      return self->close(Outcome::never_sent, AttemptEnd::local_failure);  // not the server's fault
    if (failed) return self->close(Outcome::connect_failed, AttemptEnd::connect_failed);
    set_no_delay(self->socket_);
    self->pool_.came_up();
    self->stage_ = Stage::up;
    self->upstream_.timers_.cancel(self->limit_);
    self->errand_->connect = std::max(self->upstream_.timers_.now() - self->errand_->began, Duration(1));
    self->start();
    self->read();
  });
}

void ServerConnection::take(Errand errand) {
  errand_ = std::move(errand);
  start();
}

// The loop tells of an end or of bytes some time after they came: the system is asked. What was there when the read
// began is not in the socket any more, and the loop has not told of it either: it lies where the read puts it.
bool ServerConnection::sound() {
  const bool ahead = reads_ && *ahead_ != kNothing;
  char byte = 0;
  const auto peek = [&] {
    return ::recv(socket_.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  };
  const auto n = ahead ? 1 : uninterrupted(peek);
  if (n > 0) pool_.out_of_turn(upstream_.timers_.now(), since_);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// The moment of the first byte. While the connection came up the client may have gone, the time run out or
// the server been told to drain: then nothing is written, and the connection is kept for others. One that leads to
// a former life of the server is not.
void ServerConnection::start() {
  if (life_ != pool_.life() || !upstream_.may_start(*errand_))
    return end(Outcome::never_sent, AttemptEnd::not_started, {});
  const Time now = upstream_.timers_.now();
  expect_outcome();
  write_head(now);
  expect_answer();
  heard_ = pool_.times_heard();
  stage_ = Stage::writing;
  stray_ = streams_ = paused_ = writes_ = false;
  broken_.reset();
  answered_ = {};
  if (errand_->message && errand_->message->upload) return start_upload();
  const auto body = errand_->message ? asio::buffer(errand_->message->body) : asio::const_buffer();
  const std::array<asio::const_buffer, 2> parts{asio::buffer(head_), body};
  asio::async_write(socket_, parts, [self = shared_from_this()](const error_code& failed, std::size_t) {
    if (self->stage_ != Stage::writing) return;
    if (failed) return self->write_failed();  // it broke before the last byte was written
    self->written();
  });
}

// The head of the request, as text: what of it comes from the client has gone through a parser.
void ServerConnection::write_head(Time now) {
  head_.clear();
  const auto line = [this](std::string_view name, std::string_view value) {
    head_.append(name).append(": ").append(value).append("\r\n");
  };
  if (const auto& m = errand_->message) {
    head_.append(m->method_name()).append(" ").append(m->target).append(" HTTP/1.1\r\n");
    line("X-Request-ID", m->id);
    if (!m->key.empty()) line("Idempotency-Key", m->key);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(errand_->deadline - now).count();
    line("X-Timeout-Ms", std::to_string(left));
    if (!m->content_type.empty()) line("Content-Type", m->content_type);
    if (m->upload && !m->upload->length())
      line("Transfer-Encoding", "chunked");
    else if (m->upload || !m->body.empty() || m->has_body())
      line("Content-Length", std::to_string(m->upload ? *m->upload->length() : m->body.size()));
  } else {
    head_.append("GET /-/healthy HTTP/1.1\r\n");
  }
  line("Host", "app.svc");
  head_.append("\r\n");
}

void ServerConnection::expect_outcome() {
  upstream_.timers_.cancel(limit_);
  limit_ = upstream_.timers_.at(errand_->deadline, [self = shared_from_this()] {
    self->limit_.reset();
    // For longer than a connection may take to come up nothing has come from there, on whatever connection: it may
    // be cut off without a reset, and those that idle would swallow what is written to them.
    const bool silent = self->heard_ == self->pool_.times_heard() &&
                        self->errand_->deadline - self->errand_->began >= self->upstream_.connect_timeout_;
    if (silent) self->pool_.drop_stale();
    self->close(Outcome::timeout, AttemptEnd::timed_out);
  });
}

void ServerConnection::written() {
  if (errand_->message) upstream_.owner_.attempt_written(*errand_);
  stage_ = Stage::waiting;
  if (broken_) return broke(*broken_);
  if (!reads_) go_through();
}

// Before the last byte: the request has surely not run.
void ServerConnection::write_failed() { close(unwritten(), broken_.value_or(AttemptEnd::write_failed)); }

// A long body passes on as it comes from the client. The time of the attempt counts from its last byte.
void ServerConnection::start_upload() {
  auto& upload = *errand_->message->upload;
  expect_more(Outcome::timeout, AttemptEnd::timed_out);
  upload.on_more([weak = weak_from_this(), request = errand_->request] {
    const auto self = weak.lock();
    if (self && self->errand_ && self->errand_->request == request) self->write_more();
  });
  writes_ = true;
  asio::async_write(socket_, asio::buffer(head_),
                    [self = shared_from_this()](const error_code& failed, std::size_t) {
                      self->writes_ = false;
                      if (self->stage_ != Stage::writing) return;
                      if (failed) return self->write_failed();
                      self->write_more();
                    });
}

void ServerConnection::write_more() {
  if (stage_ != Stage::writing || writes_) return;
  auto& upload = *errand_->message->upload;
  if (upload.broken()) return close(Outcome::cancelled, AttemptEnd::body_broke);
  const bool last = upload.whole();
  piece_ = upload.take();
  if (!upload.length() && !piece_.empty()) {
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", piece_.size());
    piece_.insert(0, size.data()).append("\r\n");
  }
  if (!upload.length() && last) piece_.append("0\r\n\r\n");
  if (piece_.empty() && !last) return;  // told when there is more
  writes_ = true;
  asio::async_write(socket_, asio::buffer(piece_),
                    [self = shared_from_this(), last](const error_code& failed, std::size_t) {
                      self->writes_ = false;
                      if (self->stage_ != Stage::writing) return;
                      if (failed) return self->write_failed();
                      if (!last)
                        return self->expect_more(Outcome::timeout, AttemptEnd::timed_out), self->write_more();
                      auto& e = *self->errand_;
                      const Time now = self->upstream_.timers_.now();
                      e.deadline = now + (e.deadline - e.began);
                      e.began = now;
                      self->expect_outcome();
                      self->written();
                    });
}

void ServerConnection::read() {
  if (stage_ == Stage::closed || std::exchange(reads_, true)) return;
  const auto space = buffer_.prepare(streams_ ? facts::kPiece : facts::kReadSize);
  *static_cast<char*>(space.data()) = kNothing;
  ahead_ = static_cast<const char*>(space.data());
  socket_.async_read_some(space, [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
    self->on_read(failed, bytes);
  });
}

void ServerConnection::on_read(const error_code& failed, std::size_t bytes) {
  reads_ = false;
  if (stage_ == Stage::closed) return;
  // On a connection that idles there is nothing to read but its end.
  if (stage_ == Stage::idle) {
    if (!failed) pool_.out_of_turn(upstream_.timers_.now(), since_);
    return pool_.drop_stale(shared_from_this());
  }
  if (failed) {
    // Only an orderly end closes an answer without a length. After a reset nobody knows how much of it is missing.
    error_code ended;
    const bool orderly = failed == asio::error::eof && stage_ == Stage::waiting;
    if (orderly && parser_->got_some() && !parser_->is_done()) parser_->put_eof(ended);
    if (orderly && !ended && parser_->is_done()) return finish();
    return broke(failed == asio::error::eof ? AttemptEnd::ended_early : AttemptEnd::reset);
  }
  buffer_.commit(bytes);
  pool_.heard();
  // A server starts on a request once its last byte has arrived. Where another was answered before, this is no answer
  // to the one that is being written, which never runs if its last byte is kept back.
  stray_ = stage_ == Stage::writing && errand_->connect == Duration{};
  if (stray_) return pool_.out_of_turn(upstream_.timers_.now(), since_), broke(AttemptEnd::out_of_turn);
  go_through();
}

void ServerConnection::go_through() {
  if (!take_bytes()) return broke(AttemptEnd::malformed);
  if (parser_->is_done()) return finish();
  if (answered_ == Time{} && parser_->is_header_done()) hold();
  if (parser_->is_header_done() && parser_->get().result() != http::status::ok) parser_->get().body().clear();
  if (long_answer()) begin_stream();
  if (stage_ == Stage::closed) return;
  if (streams_) return pass_on();
  // An answer that comes before its request is written whole is not read on for long.
  if (stage_ == Stage::writing && parser_->get().body().size() >= facts::kHeldBytes) return;
  read();
}

void ServerConnection::expect_answer() {
  parser_.emplace();
  parser_->header_limit(facts::kMostHeader);
  parser_->body_limit(boost::none);
  parser_->eager(true);
}

// False if what comes is no answer.
bool ServerConnection::take_bytes() {
  error_code wrong;
  while (!parser_->is_done() && buffer_.size() > 0) {
    buffer_.consume(parser_->put(buffer_.data(), wrong));
    // The parser leaves a line of chunks and a trailer where they are until they are whole.
    if (wrong == http::error::need_more) return buffer_.size() < facts::kMostHeader;
    if (wrong) return false;
    // An interim answer (1xx) is followed by the final one.
    if (parser_->is_done() &&
        http::to_status_class(parser_->get().result()) == http::status_class::informational)
      expect_answer();
  }
  return true;
}

void ServerConnection::hold() {
  answered_ = upstream_.timers_.now();
  hold_ = upstream_.timers_.after(facts::kHeldTime, [self = shared_from_this()] {
    self->hold_.reset();
    if (!self->long_answer()) return;
    self->begin_stream();
    if (self->stage_ != Stage::closed) self->pass_on();
  });
}

// Whether the part that has come should pass on now. What is held until then may be tried elsewhere if the
// connection breaks, and so may a head alone. The body of an answer that is not passed on is of no use.
bool ServerConnection::long_answer() const {
  if (streams_ || !parser_->is_header_done() || !errand_->message) return false;
  const auto& answer = parser_->get();
  if (answer.body().empty()) return false;
  const auto length = parser_->content_length();
  return answer.result() == http::status::ok && stage_ == Stage::waiting &&
         (answer.body().size() >= facts::kHeldBytes || (length && *length > facts::kMostBody) ||
          (answered_ != Time{} && upstream_.timers_.now() - answered_ >= facts::kHeldTime));
}

void ServerConnection::begin_stream() {
  const auto length = parser_->content_length();
  AnswerHead head{std::string(parser_->get()[http::field::content_type]), std::nullopt};
  if (length) head.length = *length;
  upstream_.timers_.cancel(limit_);
  upstream_.timers_.cancel(hold_);
  errand_->answered = upstream_.timers_.now();
  streams_ = true;
  passed_ = 0;
  const auto self = shared_from_this();
  if (!upstream_.owner_.stream_began(*errand_, head)) close(Outcome::cancelled, AttemptEnd::client_gone);
}

// One piece at a time: the next is read when the client has taken this one.
void ServerConnection::pass_on() {
  auto& body = parser_->get().body();
  upstream_.timers_.cancel(limit_);
  if (body.empty()) return expect_more(Outcome::reset, AttemptEnd::stalled), read();
  paused_ = true;
  passed_ += body.size();
  upstream_.owner_.stream_piece(*errand_, body, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->go_on();
  });
  body.clear();
}

// What has come of an answer that breaks is its client's: it ends where the server's answer ended.
void ServerConnection::pass_on_rest() {
  auto& body = parser_->get().body();
  if (!body.empty()) upstream_.owner_.stream_piece(*errand_, body, nullptr);
  body.clear();
}

void ServerConnection::go_on() {
  if (stage_ == Stage::closed || !std::exchange(paused_, false)) return;
  expect_more(Outcome::reset, AttemptEnd::stalled);
  read();
}

// A long answer may go on for as long as something of it comes. One of the usual size has the request's time: if it is
// not whole soon after that, its client is told so.
void ServerConnection::expect_more(Outcome otherwise, AttemptEnd why) {
  const Time now = upstream_.timers_.now();
  Time until = now + facts::kStalled;
  const auto length = streams_ ? parser_->content_length() : boost::none;
  if (streams_ && (length ? *length : passed_) <= facts::kMostBody)
    until = std::min(until, std::max(now, errand_->message->deadline + facts::kFinalLate));
  upstream_.timers_.cancel(limit_);
  limit_ = upstream_.timers_.at(until, [self = shared_from_this(), otherwise, why] {
    self->limit_.reset();
    self->close(otherwise, why);
  });
}

// The connection is of no more use while a request is out on it. If its last byte was written it may have run.
void ServerConnection::broke(AttemptEnd why) {
  if (stage_ == Stage::writing) {
    // How much was written shows when the write ends.
    if (errand_->message && errand_->message->upload && !writes_) return close(unwritten(), why);
    broken_ = why;
    error_code ignored;
    socket_.cancel(ignored);
    return;
  }
  close(Outcome::reset, why);
}

// Bytes behind a whole answer belong to no request of this connection, and the connection is of no more use.
void ServerConnection::finish() {
  const bool bytes_behind = buffer_.size() > 0;
  if (bytes_behind && errand_->message) {
    const Time now = upstream_.timers_.now();
    pool_.out_of_turn(now, now);
    if (policy::fate_of_answer(true, bytes_behind, streams_) == policy::AnswerFate::fail)
      return broke(AttemptEnd::trailing_bytes);
  }
  const bool lasts = parser_->keep_alive();  // not where the answer ends with the connection
  auto response = parser_->release();
  const bool keep = lasts && stage_ == Stage::waiting && !bytes_behind;
  const auto outcome = outcome_of(response);
  Answer answer{response.result(), {}, std::string(response[http::field::content_type]), {}};
  if (!streams_) {
    answer.body = std::move(response.body());
  } else if (!response.body().empty()) {
    upstream_.owner_.stream_piece(*errand_, response.body(), nullptr);
  }
  if (!keep) {
    pool_.forget(shared_from_this(), false);
    stage_ = Stage::closed;
    close_now(socket_);
  }
  end(outcome, bytes_behind ? AttemptEnd::trailing_bytes : AttemptEnd::answered, std::move(answer));
  read();
}

// The connection goes first and the outcome after it, so that two attempts are never out at once.
void ServerConnection::close(Outcome outcome, AttemptEnd why) {
  if (stage_ == Stage::closed) return;
  pool_.forget(shared_from_this(), stage_ == Stage::connecting);
  if (outcome == Outcome::connect_failed) pool_.failed_connect();
  stage_ = Stage::closed;
  close_now(socket_);
  end(outcome, why, {});
}

void ServerConnection::abandon() {
  if (stage_ == Stage::closed) return;
  stage_ = Stage::closed;
  upstream_.timers_.cancel(limit_);
  upstream_.timers_.cancel(hold_);
  close_now(socket_);
  errand_.reset();
}

void ServerConnection::end(Outcome outcome, AttemptEnd why, Answer answer) {
  const auto self = shared_from_this();
  upstream_.timers_.cancel(limit_);
  upstream_.timers_.cancel(hold_);
  if (errand_ && streams_ && outcome == Outcome::reset) pass_on_rest();
  if (errand_) errand_->whole = outcome == Outcome::ok || (streams_ && parser_->is_done());
  const auto errand = std::exchange(errand_, std::nullopt);
  if (stage_ != Stage::closed) {
    // One that was taken and not written to idles on, as its server sees it.
    if (std::exchange(stage_, Stage::idle) != Stage::idle) since_ = upstream_.timers_.now();
    upstream_.rest(self, pool_);
  }
  if (errand) upstream_.report(*errand, outcome, why, std::move(answer));
}

}  // namespace petrelrail

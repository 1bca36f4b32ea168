#include "counter_client.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <random>

#include "limits.hpp"

namespace petrelrail {

class CounterClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, Timers& timers, const Tcp::endpoint& address, Duration timeout,
             ResponseCallback on_response, RecoveredCallback on_recovered, std::uint64_t seed)
      : timers_(timers),
        address_(address),
        timeout_(timeout),
        on_response_(std::move(on_response)),
        on_recovered_(std::move(on_recovered)),
        socket_(io.get_executor()),
        random_(seed) {}

  bool has_tried() const { return has_tried_; }

  void connect() {
    state_ = State::connecting;
    const auto number = ++connection_number_;
    // A counter whose machine is lost sends nothing, so the connection attempt itself needs a
    // time-out.
    timer_ = timers_.after(limits::kCounterConnectTimeouts * timeout_, [self = shared_from_this()] {
      self->timer_.reset();
      self->on_connection_lost();
    });
    socket_.async_connect(address_, [self = shared_from_this(), number](const error_code& failed) {
      if (number != self->connection_number_ || self->state_ != State::connecting) return;
      if (failed) return self->on_connection_lost();
      self->has_tried_ = true;
      self->timers_.cancel(self->timer_);
      self->state_ = State::up;
      self->input_.clear();
      self->last_response_time_ = self->timers_.now();
      set_no_delay(self->socket_);
      self->read();
      if (self->unresponsive_) self->ping();
      self->flush();
      self->check_liveness();
    });
  }

  void stop() {
    state_ = State::stopped;
    timers_.cancel(timer_);
    for (auto* calls : {&unsent_, &sent_})
      for (auto& c : *calls) timers_.cancel(c.timer);
    close_now(socket_);
  }

  void add(CounterKey key, double amount, Duration lifetime) {
    if (state_ == State::down) return on_response_({key, CounterOutcome::refused, 0, {}});
    std::array<char, sizeof "18446744073709551615"> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   static_cast<std::uint64_t>(key))
                         .ptr;
    Call c;
    c.key = key;
    enqueue(std::move(c), {digits.data(), end}, amount, lifetime);
  }

  void call(std::string_view key, double amount, Duration lifetime, CallCallback on_response) {
    if (state_ == State::down) return on_response(CounterOutcome::refused, 0);
    Call c;
    c.callback = std::move(on_response);
    enqueue(std::move(c), key, amount, lifetime);
  }

 private:
  enum class State { connecting, up, down, stopped };
  struct Call {
    std::uint64_t number = 0;
    CounterKey key{};
    Time start_time{};
    std::string line;
    CallCallback callback;  // of call(); empty for quota calls
    bool ping = false;
    bool completed = false;  // its caller was called back; the counter's response is only consumed
    std::size_t end = 0;     // offset behind its last byte in the pending write; 0: written
    Timers::Handle timer;
  };

  void enqueue(Call c, std::string_view key, double amount, Duration lifetime) {
    c.number = ++last_call_number_, c.start_time = timers_.now();
    std::array<char, 128> line{};
    const auto lifetime_ms = std::chrono::ceil<std::chrono::milliseconds>(lifetime).count();
    const int n = std::snprintf(
        line.data(), line.size(), "incr %.*s %.9g %lld\r\n", static_cast<int>(key.size()),
        key.data(), amount,
        static_cast<long long>(std::max<decltype(lifetime_ms)>(lifetime_ms, 1)));
    c.line.assign(line.data(), static_cast<std::size_t>(n));
    c.timer = timers_.after(call_timeout(), [self = shared_from_this(), number = c.number] {
      self->on_call_timeout(number);
    });
    unsent_.push_back(std::move(c));
    flush();
  }

  // Time after which a call is given up. The counter imposes no time-out, and a late response is as
  // valid as any. If even the fastest recent responses take longer than the configured timeout, the
  // counter is slow by nature, and calls are given up after the typical latency and half of it
  // again.
  Duration call_timeout() const {
    return std::clamp(typical_latency_ + typical_latency_ / 2, timeout_,
                      limits::kCounterConnectTimeouts * timeout_);
  }
  void update_typical_latency(Duration latency) {
    typical_latency_ = typical_latency_ == Duration{} || latency < typical_latency_
                           ? latency
                           : typical_latency_ +
                                 (latency - typical_latency_) / limits::kRoundTripRiseDivisor;
  }

  void complete(Call& c, CounterOutcome outcome, double total = 0) {
    timers_.cancel(c.timer);
    if (std::exchange(c.completed, true) || c.ping) return;
    if (const auto callback = std::move(c.callback)) return callback(outcome, total);
    on_response_({c.key, outcome, total, timers_.now() - c.start_time});
  }

  // A call that was not written yet is withdrawn and counts as refused; whether one that was
  // written took effect is unknown.
  void on_call_timeout(std::uint64_t number) {
    if (const auto it = std::ranges::find(unsent_, number, &Call::number); it != unsent_.end()) {
      Call c = std::move(*it);
      unsent_.erase(it);
      c.timer.reset();
      return complete(c, CounterOutcome::refused);
    }
    const auto it = std::ranges::find(sent_, number, &Call::number);
    if (it == sent_.end()) return;
    it->timer.reset();
    unresponsive_ = true;
    complete(*it, CounterOutcome::timeout);
  }

  // Sends a ping, which costs the counter nothing and shows whether it responds.
  void ping() {
    Call c;
    c.ping = true, c.number = ++last_call_number_, c.start_time = timers_.now(),
    c.line = "ping\r\n";
    unsent_.push_back(std::move(c));
    flush();
  }

  void flush() {
    if (state_ != State::up || !write_buffer_.empty() || unsent_.empty()) return;
    for (auto& c : unsent_) {
      write_buffer_ += c.line;
      c.end = write_buffer_.size();
      c.line.clear();
      sent_.push_back(std::move(c));
    }
    unsent_.clear();
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      [self = shared_from_this(), number = connection_number_](
                          const error_code& failed, std::size_t bytes) {
                        if (number != self->connection_number_) return;
                        for (auto& c : self->sent_)
                          if (c.end <= bytes) c.end = 0;
                        self->write_buffer_.clear();
                        if (self->state_ != State::up) return;
                        if (failed) return self->on_connection_lost(true);
                        self->flush();
                      });
  }

  void read() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this(), number = connection_number_](
                                const error_code& failed, std::size_t bytes) {
                              if (number != self->connection_number_ || self->state_ != State::up)
                                return;
                              if (failed) return self->on_connection_lost();
                              self->input_.append(self->read_buffer_.data(), bytes);
                              if (!self->process_lines()) return self->on_connection_lost();
                              self->read();
                            });
  }

  // Returns false if the input is not a response to the calls sent: the connection can't be trusted
  // any more.
  bool process_lines() {
    std::size_t begin = 0;
    for (auto end = input_.find("\r\n"); end != std::string::npos;
         end = input_.find("\r\n", begin)) {
      const std::string_view line(input_.data() + begin, end - begin);
      begin = end + 2;
      if (sent_.empty()) return false;
      last_response_time_ = timers_.now();
      backoff_ = {};  // only a response shows that the counter is healthy
      if (std::exchange(unresponsive_, false)) on_recovered_();
      Call c = std::move(sent_.front());
      sent_.pop_front();
      double total = 0;
      if (c.ping ? line == "pong" : line == "busy" || line == "error") {
        complete(c, CounterOutcome::refused);
      } else if (!c.ping && line.starts_with("ok ") && parse_number(line.substr(3), total)) {
        update_typical_latency(timers_.now() - c.start_time);
        complete(c, CounterOutcome::ok, total);
      } else {
        complete(c, CounterOutcome::timeout);
        return false;
      }
    }
    input_.erase(0, begin);
    return input_.size() <= limits::kMaxCounterLineBytes;
  }

  static bool parse_number(std::string_view text, double& value) {
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
    return failed == std::errc{} && end == text.data() + text.size() && std::isfinite(value);
  }

  // The connection was lost or is unusable. Calls of which it is known that they were not fully
  // written did not take effect and count as refused.
  void on_connection_lost(bool write_ended = false) {
    if (state_ == State::stopped || state_ == State::down) return;
    state_ = State::down;
    has_tried_ = unresponsive_ = true;
    ++connection_number_;
    timers_.cancel(timer_);
    close_now(socket_);
    write_buffer_.clear();
    auto sent = std::exchange(sent_, {});
    auto unsent = std::exchange(unsent_, {});
    for (auto& c : sent)
      complete(c, write_ended && c.end > 0 ? CounterOutcome::refused : CounterOutcome::timeout);
    for (auto& c : unsent) complete(c, CounterOutcome::refused);
    backoff_ = std::clamp(2 * backoff_, limits::kMinBackoff, limits::kMaxCounterBackoff);
    const auto delay = std::uniform_int_distribution(backoff_.count() / 2,
                                                     backoff_.count())(random_);
    timer_ = timers_.after(Duration(delay), [self = shared_from_this()] {
      self->timer_.reset();
      self->connect();
    });
  }

  // Checks periodically that the connection is alive, and pings to keep the counter from closing it
  // as idle.
  void check_liveness() {
    const Time now = timers_.now();
    if (!sent_.empty() && now - std::max(last_response_time_, sent_.front().start_time) >
                              limits::kCounterSilenceTimeouts * timeout_)
      return on_connection_lost();
    if (sent_.empty() &&
        (unresponsive_ || now - last_response_time_ > limits::kCounterIdleTimeout / 4))
      ping();
    timer_ = timers_.after(limits::kCounterSilenceTimeouts * timeout_ / 4,
                           [self = shared_from_this()] {
                             self->timer_.reset();
                             self->check_liveness();
                           });
  }

  Timers& timers_;
  Tcp::endpoint address_;
  Duration timeout_;
  // Latency of a response without queueing; 0 before the first response.
  Duration typical_latency_{};
  ResponseCallback on_response_;
  RecoveredCallback on_recovered_;
  Socket socket_;
  State state_ = State::connecting;
  std::uint64_t connection_number_ = 0, last_call_number_ = 0;
  // Calls not yet written; calls written or being written, awaiting a response.
  std::deque<Call> unsent_, sent_;
  std::string write_buffer_, input_;
  std::array<char, limits::kReadBufferBytes> read_buffer_{};
  Timers::Handle timer_;
  Duration backoff_{};
  std::mt19937_64 random_;     // spreads the reconnects of a fleet's nodes over time
  Time last_response_time_{};  // a line; parts of one show nothing
  // Unresponsive: since the last response a call timed out or the connection was lost.
  bool has_tried_ = false, unresponsive_ = false;
};

CounterClient::CounterClient(asio::io_context& io, Timers& timers, const Tcp::endpoint& address,
                             Duration timeout, const ResponseCallback& on_response,
                             const RecoveredCallback& on_recovered, std::uint64_t seed) {
  for (std::size_t i = 0; i < limits::kCounterConnections; ++i) {
    connections_.push_back(std::make_shared<Connection>(io, timers, address, timeout, on_response,
                                                        on_recovered, seed + i));
    connections_.back()->connect();
  }
}

CounterClient::~CounterClient() {
  for (const auto& connection : connections_) connection->stop();
}

void CounterClient::add(CounterKey key, double amount, Duration lifetime) {
  // Quota keys are hashes, so the remainder spreads them evenly.
  connections_[static_cast<std::uint64_t>(key) % connections_.size()]->add(key, amount, lifetime);
}

void CounterClient::call(const std::string& key, double amount, Duration lifetime,
                         CallCallback on_response) {
  connections_[std::hash<std::string>()(key) % connections_.size()]->call(key, amount, lifetime,
                                                                          std::move(on_response));
}

bool CounterClient::has_tried_all() const {
  return std::ranges::all_of(connections_,
                             [](const auto& connection) { return connection->has_tried(); });
}

}  // namespace petrelrail

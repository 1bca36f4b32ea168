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
  Connection(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, Duration timeout,
             ResponseCallback told, RecoveredCallback heard, std::uint64_t seed)
      : timers_(timers),
        at_(at),
        timeout_(timeout),
        told_(std::move(told)),
        heard_again_(std::move(heard)),
        socket_(io.get_executor()),
        random_(seed) {}

  bool tried() const { return tried_; }

  void connect() {
    stage_ = Stage::connecting;
    const auto number = ++life_;
    // Soon: one that was lost with its machine says nothing, and a connection never comes up.
    guard_ = timers_.after(limits::kCounterConnectTimeouts * timeout_, [self = shared_from_this()] {
      self->guard_.reset();
      self->lose();
    });
    socket_.async_connect(at_, [self = shared_from_this(), number](const error_code& failed) {
      if (number != self->life_ || self->stage_ != Stage::connecting) return;
      if (failed) return self->lose();
      self->tried_ = true;
      self->timers_.cancel(self->guard_);
      self->stage_ = Stage::up;
      self->text_.clear();
      self->heard_ = self->timers_.now();
      set_no_delay(self->socket_);
      self->read();
      if (self->silent_) self->ping();
      self->flush();
      self->watch();
    });
  }

  void stop() {
    stage_ = Stage::stopped;
    timers_.cancel(guard_);
    for (auto* calls : {&waiting_, &sent_})
      for (auto& c : *calls) timers_.cancel(c.limit);
    close_now(socket_);
  }

  void add(CounterKey name, double amount, Duration lifetime) {
    if (stage_ == Stage::down) return told_({name, CounterOutcome::refused, 0, {}});
    std::array<char, sizeof "18446744073709551615"> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   static_cast<std::uint64_t>(name))
                         .ptr;
    Call c;
    c.name = name;
    ask(std::move(c), {digits.data(), end}, amount, lifetime);
  }

  void call(std::string_view name, double amount, Duration lifetime, CallCallback told) {
    if (stage_ == Stage::down) return told(CounterOutcome::refused, 0);
    Call c;
    c.other = std::move(told);
    ask(std::move(c), name, amount, lifetime);
  }

 private:
  enum class Stage { connecting, up, down, stopped };
  struct Call {
    std::uint64_t number = 0;
    CounterKey name{};
    Time began{};
    std::string line;
    CallCallback other;  // whom it is for; none: quotas
    bool ping = false;
    bool told = false;  // its caller has an answer; what comes now is only consumed
    std::size_t
        end = 0;  // where its last byte stands in the text that is being written; 0: written
    Timers::Handle limit;
  };

  void ask(Call c, std::string_view name, double amount, Duration lifetime) {
    c.number = ++calls_, c.began = timers_.now();
    std::array<char, 128> line{};
    const auto life = std::chrono::ceil<std::chrono::milliseconds>(lifetime).count();
    const int n = std::snprintf(line.data(), line.size(), "incr %.*s %.9g %lld\r\n",
                                static_cast<int>(name.size()), name.data(), amount,
                                static_cast<long long>(std::max<decltype(life)>(life, 1)));
    c.line.assign(line.data(), static_cast<std::size_t>(n));
    c.limit = timers_.after(
        patience(), [self = shared_from_this(), number = c.number] { self->overdue(number); });
    waiting_.push_back(std::move(c));
    flush();
  }

  // The counter sets its callers no time-out, and a late answer is as true as any. Where even the
  // quickest of late takes longer than the settings' time, it is slow by nature: calls are given up
  // after half as long again.
  Duration patience() const {
    return std::clamp(usual_ + usual_ / 2, timeout_, limits::kCounterConnectTimeouts * timeout_);
  }
  void learn(Duration took) {
    usual_ = usual_ == Duration{} || took < usual_
                 ? took
                 : usual_ + (took - usual_) / limits::kRoundTripRiseDivisor;
  }

  void tell(Call& c, CounterOutcome outcome, double total = 0) {
    timers_.cancel(c.limit);
    if (std::exchange(c.told, true) || c.ping) return;
    if (const auto other = std::move(c.other)) return other(outcome, total);
    told_({c.name, outcome, total, timers_.now() - c.began});
  }

  // A call that was not written is taken back; of one that was, nobody knows.
  void overdue(std::uint64_t number) {
    if (const auto it = std::ranges::find(waiting_, number, &Call::number); it != waiting_.end()) {
      Call c = std::move(*it);
      waiting_.erase(it);
      c.limit.reset();
      return tell(c, CounterOutcome::refused);
    }
    const auto it = std::ranges::find(sent_, number, &Call::number);
    if (it == sent_.end()) return;
    it->limit.reset();
    silent_ = true;
    tell(*it, CounterOutcome::timeout);
  }

  // Costs the counter nothing, and tells whether it is there.
  void ping() {
    Call c;
    c.ping = true, c.number = ++calls_, c.began = timers_.now(), c.line = "ping\r\n";
    waiting_.push_back(std::move(c));
    flush();
  }

  void flush() {
    if (stage_ != Stage::up || !writing_.empty() || waiting_.empty()) return;
    for (auto& c : waiting_) {
      writing_ += c.line;
      c.end = writing_.size();
      c.line.clear();
      sent_.push_back(std::move(c));
    }
    waiting_.clear();
    asio::async_write(
        socket_, asio::buffer(writing_),
        [self = shared_from_this(), number = life_](const error_code& failed, std::size_t bytes) {
          if (number != self->life_) return;
          for (auto& c : self->sent_)
            if (c.end <= bytes) c.end = 0;
          self->writing_.clear();
          if (self->stage_ != Stage::up) return;
          if (failed) return self->lose(true);
          self->flush();
        });
  }

  void read() {
    socket_.async_read_some(asio::buffer(space_), [self = shared_from_this(), number = life_](
                                                      const error_code& failed, std::size_t bytes) {
      if (number != self->life_ || self->stage_ != Stage::up) return;
      if (failed) return self->lose();
      self->text_.append(self->space_.data(), bytes);
      self->heard_ = self->timers_.now();
      if (!self->take_lines()) return self->lose();
      self->read();
    });
  }

  // False if what came is no answer to what was asked: nothing on this connection can be trusted
  // any more.
  bool take_lines() {
    std::size_t begin = 0;
    for (auto end = text_.find("\r\n"); end != std::string::npos; end = text_.find("\r\n", begin)) {
      const std::string_view line(text_.data() + begin, end - begin);
      begin = end + 2;
      if (sent_.empty()) return false;
      backoff_ = {};  // only an answer shows that the counter is well
      if (std::exchange(silent_, false)) heard_again_();
      Call c = std::move(sent_.front());
      sent_.pop_front();
      double total = 0;
      if (c.ping ? line == "pong" : line == "busy" || line == "error") {
        tell(c, CounterOutcome::refused);
      } else if (!c.ping && line.starts_with("ok ") && number(line.substr(3), total)) {
        learn(timers_.now() - c.began);
        tell(c, CounterOutcome::ok, total);
      } else {
        tell(c, CounterOutcome::timeout);
        return false;
      }
    }
    text_.erase(0, begin);
    return text_.size() <= limits::kMaxCounterLineBytes;
  }

  static bool number(std::string_view text, double& value) {
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
    return failed == std::errc{} && end == text.data() + text.size() && std::isfinite(value);
  }

  // The connection is gone or of no use. What is known not to be written whole was not added.
  void lose(bool write_ended = false) {
    if (stage_ == Stage::stopped || stage_ == Stage::down) return;
    stage_ = Stage::down;
    tried_ = silent_ = true;
    ++life_;
    timers_.cancel(guard_);
    close_now(socket_);
    writing_.clear();
    auto sent = std::exchange(sent_, {});
    auto waiting = std::exchange(waiting_, {});
    for (auto& c : sent)
      tell(c, write_ended && c.end > 0 ? CounterOutcome::refused : CounterOutcome::timeout);
    for (auto& c : waiting) tell(c, CounterOutcome::refused);
    backoff_ = std::clamp(2 * backoff_, limits::kMinBackoff, limits::kMaxCounterBackoff);
    const auto wait = std::uniform_int_distribution(backoff_.count() / 2,
                                                    backoff_.count())(random_);
    guard_ = timers_.after(Duration(wait), [self = shared_from_this()] {
      self->guard_.reset();
      self->connect();
    });
  }

  // Looks now and then whether the connection still lives, and keeps it from idling.
  void watch() {
    const Time now = timers_.now();
    if (!sent_.empty() &&
        now - std::max(heard_, sent_.front().began) > limits::kCounterSilenceTimeouts * timeout_)
      return lose();
    if (sent_.empty() && (silent_ || now - heard_ > limits::kCounterIdleTimeout / 4)) ping();
    guard_ = timers_.after(limits::kCounterSilenceTimeouts * timeout_ / 4,
                           [self = shared_from_this()] {
                             self->guard_.reset();
                             self->watch();
                           });
  }

  Timers& timers_;
  Tcp::endpoint at_;
  Duration timeout_;
  Duration usual_{};  // what an answer takes that finds no line, 0 before the first one
  ResponseCallback told_;
  RecoveredCallback heard_again_;
  Socket socket_;
  Stage stage_ = Stage::connecting;
  std::uint64_t life_ = 0, calls_ = 0;  // numbers of connections and of calls
  std::deque<Call> waiting_, sent_;     // not yet written; written or being written
  std::string writing_, text_;
  std::array<char, limits::kReadBufferBytes> space_{};
  Timers::Handle guard_;
  Duration backoff_{};
  std::mt19937_64 random_;  // so that a fleet's nodes do not come back in step
  Time heard_{};
  bool tried_ = false,
       silent_ = false;  // silent: since its last answer a call got none in time, or a connection
                         // ended
};

CounterClient::CounterClient(asio::io_context& io, Timers& timers, const Tcp::endpoint& at,
                             Duration timeout, const ResponseCallback& told,
                             const RecoveredCallback& heard, std::uint64_t seed) {
  for (std::size_t i = 0; i < limits::kCounterConnections; ++i) {
    connections_.push_back(
        std::make_shared<Connection>(io, timers, at, timeout, told, heard, seed + i));
    connections_.back()->connect();
  }
}

CounterClient::~CounterClient() {
  for (const auto& l : connections_) l->stop();
}

void CounterClient::add(CounterKey name, double amount, Duration lifetime) {
  // Names are well mixed.
  connections_[static_cast<std::uint64_t>(name) % connections_.size()]->add(name, amount, lifetime);
}

void CounterClient::call(const std::string& name, double amount, Duration lifetime,
                         CallCallback told) {
  connections_[std::hash<std::string>()(name) % connections_.size()]->call(name, amount, lifetime,
                                                                           std::move(told));
}

bool CounterClient::has_tried_all() const {
  return std::ranges::all_of(connections_, [](const auto& l) { return l->tried(); });
}

}  // namespace petrelrail

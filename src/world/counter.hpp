// Simulates the quota counter of PROTOCOL, "The counter": named totals, to which calls add in order
// of arrival. The caller passes in the time, which must not decrease.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "scenario.hpp"

namespace petrelrail::world {

class Counter {
 public:
  struct Call {
    std::string name;     // 1 to 64 bytes, no spaces
    double amount = 0;    // at most 1e9 either way
    Duration lifetime{};  // of a new total; 1 ms to 60 s
  };
  enum class Mode {
    closed,  // before the run starts: every call is answered `busy`
    serving,
    silent,
    refusing
  };
  struct Answer {
    enum class Kind {
      ok,
      busy,
      malformed,  // without a total
      none,       // no answer is sent
      refused     // the connection is refused
    } kind{};
    double total = 0;  // rounded to seven digits; valid with ok
    Time at{};         // when the answer leaves the counter
  };

  Counter(const CounterConfig& config, RandomStreams random);

  // Parses a line without its CRLF; none if the counter answers it with `error`.
  static std::optional<Call> parse(std::string_view line);
  // The answer as sent, without CRLF, such as `ok 12.5`.
  static std::string format(const Answer& a);
  static double round_to_seven_digits(double total);

  // Handles a call that has arrived whole. Calls are processed in order, so the time and total of
  // the answer follow from the calls before it.
  Answer call(Time now, const Call& call);

  void set_mode(Time now, Mode mode);
  Mode mode() const { return mode_; }
  void set_slowdown(double factor) { slowdown_ = factor; }              // 1: the configured rate
  void set_malformed_share(double share) { malformed_share_ = share; }  // of the answers
  void reset(Time now);                                                 // loses all totals

  std::size_t total_count() const { return totals_.size(); }
  std::uint64_t call_count() const { return call_count_; }

 private:
  struct Total {
    double total = 0;
    Time expires_at{};
  };
  void evict_expired(Time now);

  CounterConfig config_;
  RandomStreams random_;
  Mode mode_ = Mode::closed;
  double slowdown_ = 1, malformed_share_ = 0;
  std::vector<Time> free_at_;  // by partition
  std::unordered_map<std::string, Total> totals_;
  Time last_eviction_{};
  std::uint64_t call_count_ = 0;
};

}  // namespace petrelrail::world

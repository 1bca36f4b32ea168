// The process's log: one line per event on standard error, with time, level, part of the program,
// text and named values, as text or as JSON lines. The text of an event is fixed, so that it can be
// searched for; values vary. The rate of lines is limited: lines beyond it are counted, and the
// count is logged in one line. Not thread-safe: for the thread of the io_context.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace petrelrail::log {

enum class Level { info, warning, error };
enum class Format { text, json };

// Parses "text" or "json"; throws std::invalid_argument for anything else.
Format parse_format(std::string_view text);

struct Value {
  std::string_view name;
  std::string value;
};

// Configures the log of the process. `node` is the node's name in the configuration and is added to
// every JSON line.
void configure(Format format, std::string node = {});

void write(Level level, std::string_view part, std::string_view text,
           std::initializer_list<Value> values = {});
inline void info(std::string_view part, std::string_view text,
                 std::initializer_list<Value> values = {}) {
  write(Level::info, part, text, values);
}
inline void warning(std::string_view part, std::string_view text,
                    std::initializer_list<Value> values = {}) {
  write(Level::warning, part, text, values);
}

// Events of single requests are logged only after set_request_logging(true), and without the rate
// limit. is_request_logging_enabled() lets callers skip formatting values that would not be logged.
void set_request_logging(bool enabled);
bool is_request_logging_enabled();
void request(std::string_view part, std::string_view text,
             std::initializer_list<Value> values = {});

struct Stats {
  std::uint64_t lines = 0, dropped = 0;  // written; dropped by the rate limit
};
Stats stats();

// Token bucket that limits the rate of lines. Time is passed in.
class RateLimiter {
 public:
  RateLimiter(double burst, double per_second)
      : burst_(burst), per_second_(per_second), tokens_(burst) {}
  // Returns whether a line may be written now. `seconds`: the time of any monotonic clock.
  bool try_acquire(double seconds);
  // Returns the number of lines dropped since the last call, and resets it.
  std::uint64_t drain_dropped();

 private:
  double burst_, per_second_, tokens_;
  std::optional<double> last_update_;
  std::uint64_t dropped_ = 0;
};

// Formats a line without its time and level.
std::string format_line(Format format, std::string_view node, std::string_view part,
                        std::string_view text, std::initializer_list<Value> values);

}  // namespace petrelrail::log

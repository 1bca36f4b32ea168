#include "log.hpp"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "limits.hpp"

namespace petrelrail::log {
namespace {

constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
constexpr const char* kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

struct State {
  Format format = Format::text;
  std::string node;
  std::shared_ptr<spdlog::logger> logger;
  RateLimiter limiter{limits::kLogBurstLines, limits::kLogLinesPerSecond};
  bool logs_requests = false;
  Stats stats;

  State() { reset_logger(); }
  void reset_logger() {
    logger = std::make_shared<spdlog::logger>("petrelrail",
                                              std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        format == Format::json ? kJsonPattern : kTextPattern, spdlog::pattern_time_type::utc));
  }
};

State& state() {
  static State s;
  return s;
}

std::string quote_json(std::string_view text) {
  return nlohmann::json(std::string(text))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void write_line(State& s, spdlog::level::level_enum level, std::string_view part,
                std::string_view text, std::initializer_list<Value> values) {
  ++s.stats.lines;
  s.logger->log(level, spdlog::string_view_t(format_line(s.format, s.node, part, text, values)));
}

}  // namespace

Format parse_format(std::string_view text) {
  if (text == "text") return Format::text;
  if (text == "json") return Format::json;
  throw std::invalid_argument("the log is \"text\" or \"json\", not \"" + std::string(text) + "\"");
}

void configure(Format format, std::string node) {
  auto& s = state();
  s.format = format, s.node = std::move(node);
  s.reset_logger();
}

void set_request_logging(bool enabled) { state().logs_requests = enabled; }
bool is_request_logging_enabled() { return state().logs_requests; }

void request(std::string_view part, std::string_view text, std::initializer_list<Value> values) {
  if (auto& s = state(); s.logs_requests) write_line(s, spdlog::level::info, part, text, values);
}

Stats stats() { return state().stats; }

bool RateLimiter::try_acquire(double seconds) {
  if (last_update_)
    tokens_ = std::min(burst_, tokens_ + per_second_ * std::max(0.0, seconds - *last_update_));
  last_update_ = seconds;
  if (tokens_ < 1) {
    ++dropped_;
    return false;
  }
  --tokens_;
  return true;
}

std::uint64_t RateLimiter::drain_dropped() { return std::exchange(dropped_, 0); }

std::string format_line(Format format, std::string_view node, std::string_view part,
                        std::string_view text, std::initializer_list<Value> values) {
  std::string line;
  if (format == Format::json) {
    line.append("\"part\":").append(quote_json(part)).append(",\"text\":").append(quote_json(text));
    if (!node.empty()) line.append(",\"node\":").append(quote_json(node));
    for (const auto& v : values)
      line.append(",").append(quote_json(v.name)).append(":").append(quote_json(v.value));
    return line;
  }
  line.append(part).append(": ");
  // Control characters are replaced, so that an event stays on one line whatever text comes from
  // outside.
  for (const char c : text) line.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
  for (const auto& v : values) {
    const bool needs_no_quotes = !v.value.empty() &&
                                 std::ranges::none_of(v.value, [](unsigned char c) {
                                   return c <= ' ' || c == '"' || c == '=';
                                 });
    line.append(" ").append(v.name).append("=").append(needs_no_quotes ? v.value
                                                                       : quote_json(v.value));
  }
  return line;
}

void write(Level level, std::string_view part, std::string_view text,
           std::initializer_list<Value> values) {
  auto& s = state();
  const auto now = std::chrono::duration<double>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count();
  if (!s.limiter.try_acquire(now)) {
    ++s.stats.dropped;
    return;
  }
  if (const auto dropped = s.limiter.drain_dropped(); dropped > 0)
    write_line(s, spdlog::level::warn, "log", "lines were left out for their rate",
               {{"lines", std::to_string(dropped)}});
  constexpr std::array levels{spdlog::level::info, spdlog::level::warn, spdlog::level::err};
  write_line(s, levels[static_cast<std::size_t>(level)], part, text, values);
}

}  // namespace petrelrail::log

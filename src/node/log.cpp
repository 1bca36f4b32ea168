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

constexpr const char* kText = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
constexpr const char* kJson = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

struct State {
  Form form = Form::text;
  std::string node;
  std::shared_ptr<spdlog::logger> out;
  RateLimiter bound{limits::kLogBurstLines, limits::kLogLinesPerSecond};
  bool requests = false;  // whether events of single requests are written
  Stats figures;

  State() { renew(); }
  void renew() {
    out = std::make_shared<spdlog::logger>("petrelrail",
                                           std::make_shared<spdlog::sinks::stderr_sink_st>());
    out->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        form == Form::json ? kJson : kText, spdlog::pattern_time_type::utc));
  }
};

State& state() {
  static State s;
  return s;
}

std::string in_quotes(std::string_view text) {
  return nlohmann::json(std::string(text))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void put(State& s, spdlog::level::level_enum level, std::string_view part, std::string_view text,
         std::initializer_list<Value> values) {
  ++s.figures.lines;
  s.out->log(level, spdlog::string_view_t(line_of(s.form, s.node, part, text, values)));
}

}  // namespace

Form form_of(std::string_view word) {
  if (word == "text") return Form::text;
  if (word == "json") return Form::json;
  throw std::invalid_argument("the log is \"text\" or \"json\", not \"" + std::string(word) + "\"");
}

void set_up(Form form, std::string node) {
  auto& s = state();
  s.form = form, s.node = std::move(node);
  s.renew();
}

void log_requests(bool wanted) { state().requests = wanted; }
bool follows_requests() { return state().requests; }

void request(std::string_view part, std::string_view text, std::initializer_list<Value> values) {
  if (auto& s = state(); s.requests) put(s, spdlog::level::info, part, text, values);
}

Stats stats() { return state().figures; }

bool RateLimiter::take(double seconds) {
  if (at_) saved_ = std::min(burst_, saved_ + per_second_ * std::max(0.0, seconds - *at_));
  at_ = seconds;
  if (saved_ < 1) {
    ++dropped_;
    return false;
  }
  --saved_;
  return true;
}

std::uint64_t RateLimiter::told() { return std::exchange(dropped_, 0); }

std::string line_of(Form form, std::string_view node, std::string_view part, std::string_view text,
                    std::initializer_list<Value> values) {
  std::string line;
  if (form == Form::json) {
    line.append("\"part\":").append(in_quotes(part)).append(",\"text\":").append(in_quotes(text));
    if (!node.empty()) line.append(",\"node\":").append(in_quotes(node));
    for (const auto& v : values)
      line.append(",").append(in_quotes(v.name)).append(":").append(in_quotes(v.value));
    return line;
  }
  line.append(part).append(": ");
  // One event stays one line, whatever came in from outside.
  for (const char c : text) line.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
  for (const auto& v : values) {
    const bool plain = !v.value.empty() && std::ranges::none_of(v.value, [](unsigned char c) {
      return c <= ' ' || c == '"' || c == '=';
    });
    line.append(" ").append(v.name).append("=").append(plain ? v.value : in_quotes(v.value));
  }
  return line;
}

void write(Level level, std::string_view part, std::string_view text,
           std::initializer_list<Value> values) {
  auto& s = state();
  const auto now = std::chrono::duration<double>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count();
  if (!s.bound.take(now)) {
    ++s.figures.dropped;
    return;
  }
  if (const auto left_out = s.bound.told(); left_out > 0)
    put(s, spdlog::level::warn, "log", "lines were left out for their rate",
        {{"lines", std::to_string(left_out)}});
  constexpr std::array levels{spdlog::level::info, spdlog::level::warn, spdlog::level::err};
  put(s, levels[static_cast<std::size_t>(level)], part, text, values);
}

}  // namespace petrelrail::log

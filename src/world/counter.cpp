#include "counter.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxNameLength = 64;
constexpr double kMaxAmount = 1e9;
constexpr Duration kMaxLifetime = 60s;

Duration milliseconds(double ms) { return from_seconds(ms / 1e3); }

}  // namespace

Counter::Counter(const CounterConfig& config, RandomStreams random)
    : config_(config),
      random_(std::move(random)),
      free_at_(std::max<std::uint32_t>(config.parts, 1)) {}

std::optional<Counter::Call> Counter::parse(std::string_view line) {
  constexpr std::string_view verb = "incr ";
  if (!line.starts_with(verb)) return std::nullopt;
  line.remove_prefix(verb.size());
  const auto first = line.find(' ');
  if (first == std::string_view::npos || first == 0 || first > kMaxNameLength) return std::nullopt;
  const auto second = line.find(' ', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  Call call{std::string(line.substr(0, first)), 0, {}};
  const auto amount = line.substr(first + 1, second - first - 1), life = line.substr(second + 1);
  if (const auto [end, failed] = std::from_chars(amount.data(), amount.data() + amount.size(),
                                                 call.amount);
      failed != std::errc{} || end != amount.data() + amount.size() ||
      !std::isfinite(call.amount) || std::abs(call.amount) > kMaxAmount)
    return std::nullopt;
  std::int64_t ms = 0;
  if (const auto [end, failed] = std::from_chars(life.data(), life.data() + life.size(), ms);
      failed != std::errc{} || end != life.data() + life.size() || ms < 1)
    return std::nullopt;
  call.lifetime = std::chrono::milliseconds(std::min<std::int64_t>(ms, kMaxLifetime / 1ms));
  return call;
}

double Counter::round_to_seven_digits(double total) {
  char text[32];
  std::snprintf(text, sizeof text, "%.7g", total);
  return std::strtod(text, nullptr);
}

std::string Counter::format(const Answer& a) {
  char text[40] = "busy";
  if (a.kind == Answer::Kind::ok) std::snprintf(text, sizeof text, "ok %.7g", a.total);
  if (a.kind == Answer::Kind::malformed) std::snprintf(text, sizeof text, "ok");
  return text;
}

Counter::Answer Counter::call(Time now, const Call& call) {
  ++call_count_;
  switch (mode_) {
    case Mode::silent: return {Answer::Kind::none, 0, now};
    case Mode::refusing: return {Answer::Kind::refused, 0, now};
    case Mode::closed: return {Answer::Kind::busy, 0, now};
    case Mode::serving: break;
  }
  auto& free_at = free_at_[XXH3_64bits(call.name.data(), call.name.size()) % free_at_.size()];
  const Time start = std::max(now, free_at);
  if (start - now > milliseconds(config_.line_ms)) return {Answer::Kind::busy, 0, now};
  free_at = start +
            from_seconds(slowdown_ * static_cast<double>(free_at_.size()) / config_.calls_per_s);
  evict_expired(now);
  auto [it, inserted] = totals_.try_emplace(call.name);
  if (inserted || it->second.expires_at <= start)
    it->second = {0, start + std::min(call.lifetime, kMaxLifetime)};
  it->second.total += call.amount;
  const auto kind = malformed_share_ > 0 && random_.chance(malformed_share_)
                        ? Answer::Kind::malformed
                        : Answer::Kind::ok;
  return {kind, round_to_seven_digits(it->second.total), free_at + milliseconds(config_.call_ms)};
}

void Counter::set_mode(Time now, Mode mode) {
  mode_ = mode;
  for (auto& t : free_at_) t = now;  // empties the queue
}

void Counter::reset(Time) { totals_.clear(); }

// Removes expired totals periodically; call() checks the expiry of its own in any case.
void Counter::evict_expired(Time now) {
  if (now - last_eviction_ < kMaxLifetime / 4) return;
  last_eviction_ = now;
  std::erase_if(totals_, [&](const auto& n) { return n.second.expires_at <= now; });
}

}  // namespace petrelrail::world

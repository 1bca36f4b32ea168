#include "metrics.hpp"

namespace petrelrail {
namespace {

std::string escaped(std::string_view label) {
  std::string text;
  for (const char c : label) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') text += '\\';
    text += c;
  }
  return text;
}

}  // namespace

std::string Metrics::text(const Gauges& now) const {
  std::string text;
  const auto family = [&](const char* name, const char* type) {
    text.append("# TYPE node_").append(name).append(" ").append(type).append("\n");
  };
  const auto single = [&](const char* name, const char* type, std::uint64_t value) {
    family(name, type);
    text.append("node_").append(name).append(" ").append(std::to_string(value)).append("\n");
  };
  family("replies", "counter");
  for (const auto& [name, r] : replies_) {
    const auto line = [&, label = escaped(name)](const char* status, std::uint64_t value) {
      text.append("node_replies{type=\"").append(label).append("\",status=\"").append(status);
      text.append("\"} ").append(std::to_string(value)).append("\n");
    };
    line("success", r.success);
    line("overload", r.overload);
    line("error", r.error);
  }
  single("dispatches", "counter", dispatches_);
  single("concurrent", "gauge", now.concurrent);
  single("targets", "gauge", now.targets);
  single("targets_disabled", "gauge", now.targets_disabled);
  single("sessions", "gauge", now.sessions);
  single("pool_open", "gauge", now.pool.open);
  single("pool_idle", "gauge", now.pool.idle);
  single("pool_connecting", "gauge", now.pool.connecting);
  single("pool_handshakes", "counter", now.pool.handshakes);
  single("pool_reuses", "counter", now.pool.reuses);
  single("pool_stale_drops", "counter", now.pool.stale_drops);
  single("pool_released", "counter", now.pool.released);
  single("pool_failed_connects", "counter", now.pool.failed_connects);
  single("log_lines", "counter", now.log.lines);
  single("log_dropped", "counter", now.log.dropped);
  single("reload_success", "counter", reload_success_);
  single("reload_failure", "counter", reload_failure_);
  return text;
}

}  // namespace petrelrail

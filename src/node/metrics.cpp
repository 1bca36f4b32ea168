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

std::uint64_t milliseconds(Duration d) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

// Puts together the text of /metrics: families, each with its samples. Every name has the prefix
// node_.
class MetricsText {
 public:
  void family(const char* name, const char* type) {
    text_.append("# TYPE node_").append(name).append(" ").append(type).append("\n");
  }
  void counter(const char* name, std::uint64_t value) { single(name, "counter", value); }
  void gauge(const char* name, std::uint64_t value) { single(name, "gauge", value); }
  // One sample of a family, with its labels as they stand in the text.
  void sample(const char* name, const std::string& labels, std::uint64_t value) {
    text_.append("node_").append(name).append("{").append(labels).append("} ");
    text_.append(std::to_string(value)).append("\n");
  }
  void labelled(const char* name, const char* label, std::string_view label_value,
                std::uint64_t value) {
    std::string labels(label);
    labels.append("=\"").append(label_value).append("\"");
    sample(name, labels, value);
  }
  // A family with a sample for each value of an enumeration.
  template <class Names, class Counts>
  void by_name(const char* name, const char* label, const Names& names, const Counts& counts) {
    family(name, "counter");
    for (std::size_t i = 0; i < names.size(); ++i) labelled(name, label, names[i], counts[i]);
  }
  std::string text() { return std::move(text_); }

 private:
  void single(const char* name, const char* type, std::uint64_t value) {
    family(name, type);
    text_.append("node_").append(name).append(" ").append(std::to_string(value)).append("\n");
  }

  std::string text_;
};

void write_pool(MetricsText& out, const PoolStats& pool) {
  out.gauge("pool_open", pool.open);
  out.gauge("pool_idle", pool.idle);
  out.gauge("pool_connecting", pool.connecting);
  out.counter("pool_handshakes", pool.handshakes);
  out.counter("pool_reuses", pool.reuses);
  out.counter("pool_stale_drops", pool.stale_drops);
  out.counter("pool_released", pool.released);
  out.counter("pool_failed_connects", pool.failed_connects);
}

void write_members(MetricsText& out, const GossipTransport& gossip, Time now) {
  const auto view = gossip.view();
  const auto& stats = gossip.stats();
  out.family("members", "gauge");
  out.labelled("members", "state", "living", view->living);
  out.labelled("members", "state", "suspect", view->suspects);
  out.labelled("members", "state", "failed", view->failed);
  out.labelled("members", "state", "left", view->left);
  out.labelled("members", "state", "unknown", view->unknown);
  out.gauge("members_standing", static_cast<std::uint64_t>(view->standing));
  out.counter("members_view_version", view->version);
  out.gauge("members_view_age_ms", milliseconds(now - view->since));
  out.gauge("members_view_stale_ms", milliseconds(view->stale(now)));
  out.gauge("members_health", stats.health);
  out.counter("members_rounds", stats.rounds);
  out.counter("members_probes", stats.probes);
  out.counter("members_probes_failed", stats.probes_failed);
  out.counter("members_relayed", stats.relayed);
  out.counter("members_tables_asked", stats.syncs);
  out.counter("members_datagrams_in", stats.datagrams_in);
  out.counter("members_datagrams_out", stats.datagrams_out);
  out.counter("members_bytes_in", stats.bytes_in);
  out.counter("members_bytes_out", stats.bytes_out);
  out.counter("members_unsent", gossip.unsent());
  out.family("members_drops", "counter");
  for (std::size_t i = 0; i < stats.drops.size(); ++i)
    out.labelled("members_drops", "cause",
                 fleet::Members::name_of(static_cast<fleet::Members::Drop>(i)), stats.drops[i]);
  out.counter("members_refutations", stats.refutations);
  out.counter("members_suspicions", stats.suspicions);
  out.counter("members_failures", stats.failures);
  out.counter("members_returns", stats.returns);
  out.counter("members_stalls", stats.stalls);
  out.counter("members_conflicts", stats.conflicts);
}

void write_leases(MetricsText& out, const ClusterState& state) {
  const auto stats = state.duty_figures();
  out.gauge("duties_held", state.held());
  out.counter("duties_claims", stats.claims);
  out.counter("duties_won", stats.claims_won);
  out.counter("duties_lost", stats.claims_lost);
  out.counter("duties_calls", stats.calls + stats.queries);
  out.counter("duties_timeouts", stats.timeouts);
  out.counter("duties_terms", stats.terms_acquired);
  out.counter("duties_given", stats.transfers_sent);
  out.counter("duties_taken", stats.transfers_accepted);
}

void write_records(MetricsText& out, const ClusterState& state, Time now) {
  const auto& stats = state.kept()->figures();
  out.gauge("records_held", stats.records);
  out.gauge("records_bytes", stats.bytes);
  out.gauge("records_caught_up", state.kept()->caught_up(now) ? 1 : 0);
  out.counter("records_puts", stats.puts);
  out.counter("records_safe", stats.safe);
  out.counter("records_unsafe", stats.unsafe);
  out.counter("records_refused", stats.refused);
  out.counter("records_taken", stats.taken);
  out.counter("records_dropped",
              stats.ended + stats.far + stats.full + stats.no_space + stats.ahead + stats.odd);
}

void write_jobs(MetricsText& out, const JobService& service) {
  const auto& stats = service.stats();
  out.gauge("jobs_here", service.jobs().job_count());
  out.gauge("jobs_answers_bytes", service.jobs().answer_bytes());
  out.counter("jobs_handed_in", stats.handed_in);
  out.family("jobs_lines", "counter");
  out.labelled("jobs_lines", "outcome", "sent", stats.sent);
  out.labelled("jobs_lines", "outcome", "served", stats.served);
  out.labelled("jobs_lines", "outcome", "refused", stats.refused);
  out.labelled("jobs_lines", "outcome", "failed", stats.failed);
  out.labelled("jobs_lines", "outcome", "unknown", stats.unknown);
}

void write_discovery(MetricsText& out, const Discovery::Stats& stats) {
  out.counter("discovery_watches", stats.watches);
  out.counter("discovery_questions", stats.polls);
  out.counter("discovery_lost", stats.lost);
  out.counter("discovery_silent", stats.silent);
  out.counter("discovery_unreadable", stats.unreadable);
  out.family("discovery_malformed", "counter");
  out.labelled("discovery_malformed", "kind", "head", stats.bad_heads);
  out.labelled("discovery_malformed", "kind", "text", stats.bad_documents);
  out.labelled("discovery_malformed", "kind", "list", stats.bad_lists);
  out.labelled("discovery_malformed", "kind", "member", stats.bad_members);
}

void write_statuses(MetricsText& out, const char* name, const StatusCounts& counts) {
  out.family(name, "counter");
  for (const auto& [status, count] : counts)
    out.labelled(name, "status", status == 0 ? "closed" : std::to_string(status), count);
}

}  // namespace

std::string Metrics::text(const Gauges& now) const {
  MetricsText out;
  out.family("replies", "counter");
  for (const auto& [name, counts] : response_counts_) {
    const auto label = "type=\"" + escaped(name) + "\",status=\"";
    out.sample("replies", label + "success\"", counts.success);
    out.sample("replies", label + "overload\"", counts.overload);
    out.sample("replies", label + "error\"", counts.error);
  }
  out.counter("dispatches", forwarded_);
  out.gauge("concurrent", now.concurrent);
  out.gauge("targets", now.endpoints);
  out.gauge("targets_disabled", now.endpoints_avoided);
  out.gauge("sessions", now.sessions);
  out.counter("accept_failures", now.accept_failures);
  write_pool(out, now.pool);
  out.counter("log_lines", now.log.lines);
  out.counter("log_dropped", now.log.dropped);
  if (now.peers != nullptr) write_members(out, *now.peers, now.now);
  if (now.coordination != nullptr) {
    const auto& state = now.coordination->cluster_state();
    write_leases(out, state);
    write_records(out, state, now.now);
    if (const auto* jobs = now.coordination->jobs()) write_jobs(out, *jobs);
  }
  write_discovery(out, now.discovery);
  write_statuses(out, "client_refusals", now.clients);
  write_statuses(out, "control_refusals", now.control);
  out.counter("retries", retries_);
  out.by_name("rule_breaches", "breach", policy::kInvariantViolationNames, invariant_violations_);
  out.by_name("refusals", "cause", kRejectionReasonNames, rejections_.all());
  out.by_name("session_ends", "reason", kSessionEndNames, now.session_ends.all());
  out.by_name("attempt_ends", "reason", kAttemptEndNames, now.attempt_ends.all());
  out.counter("reload_success", reload_success_);
  out.counter("reload_failure", reload_failure_);
  return out.text();
}

}  // namespace petrelrail

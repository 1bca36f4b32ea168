#include "metrics.hpp"

namespace petrelrail {
namespace {

std::string escape_label(std::string_view label) {
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

// Builds the text of /metrics: metric families with their samples. Every name gets the prefix
// node_.
class MetricsText {
 public:
  void family(const char* name, const char* type) {
    text_.append("# TYPE node_").append(name).append(" ").append(type).append("\n");
  }
  void counter(const char* name, std::uint64_t value) { single(name, "counter", value); }
  void gauge(const char* name, std::uint64_t value) { single(name, "gauge", value); }
  // Adds one sample to a family; `labels` are formatted and escaped already.
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
  // Adds a family with one sample for each value of an enumeration.
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
  out.gauge("members_standing", static_cast<std::uint64_t>(view->reachability));
  out.counter("members_view_version", view->version);
  out.gauge("members_view_age_ms", milliseconds(now - view->since));
  out.gauge("members_view_stale_ms", milliseconds(view->staleness(now)));
  out.gauge("members_health", stats.local_health);
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
                 fleet::Membership::name_of(static_cast<fleet::Membership::DropReason>(i)),
                 stats.drops[i]);
  out.counter("members_refutations", stats.refutations);
  out.counter("members_suspicions", stats.suspicions);
  out.counter("members_failures", stats.failures);
  out.counter("members_returns", stats.returns);
  out.counter("members_stalls", stats.stalls);
  out.counter("members_conflicts", stats.conflicts);
}

void write_leases(MetricsText& out, const ClusterState& state) {
  const auto stats = state.lease_stats();
  out.gauge("duties_held", state.held_lease_count());
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
  const auto& stats = state.store()->stats();
  out.gauge("records_held", stats.records);
  out.gauge("records_bytes", stats.bytes);
  out.gauge("records_caught_up", state.store()->caught_up(now) ? 1 : 0);
  out.counter("records_puts", stats.puts);
  out.counter("records_safe", stats.replicated);
  out.counter("records_unsafe", stats.unreplicated);
  out.counter("records_refused", stats.rejected);
  out.counter("records_taken", stats.merged);
  out.counter("records_dropped", stats.expired + stats.too_far + stats.full + stats.no_space +
                                     stats.epoch_ahead + stats.malformed);
}

void write_jobs(MetricsText& out, const JobService& service) {
  const auto& stats = service.stats();
  out.gauge("jobs_here", service.jobs().job_count());
  out.gauge("jobs_answers_bytes", service.jobs().answer_bytes());
  out.counter("jobs_handed_in", stats.submitted);
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

void write_overload(MetricsText& out, const policy::OverloadManager& overload,
                    const TableSizes& tables) {
  out.family("memory_bytes", "gauge");
  for (std::size_t i = 0; i < policy::kMemoryKindNames.size(); ++i)
    out.labelled("memory_bytes", "kind", policy::kMemoryKindNames[i], overload.held()[i]);
  out.gauge("memory_peak_bytes", overload.peak());
  out.gauge("memory_budget_bytes", overload.has_limit() ? overload.budget() : 0);
  out.gauge("overload_stage", static_cast<std::uint64_t>(overload.stage()));
  out.by_name("sheddings", "reason", policy::kSheddingReasonNames, overload.sheddings());
  out.gauge("customers", tables.customers);
  out.counter("customers_evicted", tables.evicted_customers);
}

void write_statuses(MetricsText& out, const char* name, const StatusCounts& counts) {
  out.family(name, "counter");
  for (const auto& [status, count] : counts)
    out.labelled(name, "status", status == 0 ? "closed" : std::to_string(status), count);
}

}  // namespace

std::string Metrics::text(const Gauges& gauges) const {
  MetricsText out;
  out.family("replies", "counter");
  for (const auto& [name, counts] : response_counts_) {
    const auto label = "type=\"" + escape_label(name) + "\",status=\"";
    out.sample("replies", label + "success\"", counts.success);
    out.sample("replies", label + "overload\"", counts.overload);
    out.sample("replies", label + "error\"", counts.error);
  }
  out.counter("dispatches", forwarded_);
  out.gauge("concurrent", gauges.concurrent);
  out.gauge("targets", gauges.endpoints);
  out.gauge("targets_disabled", gauges.endpoints_avoided);
  out.gauge("sessions", gauges.sessions);
  out.counter("accept_failures", gauges.accept_failures);
  write_pool(out, gauges.pool);
  out.counter("log_lines", gauges.log.lines);
  out.counter("log_dropped", gauges.log.dropped);
  if (gauges.peers != nullptr) write_members(out, *gauges.peers, gauges.now);
  if (gauges.coordination != nullptr) {
    const auto& state = gauges.coordination->cluster_state();
    write_leases(out, state);
    write_records(out, state, gauges.now);
    if (const auto* jobs = gauges.coordination->jobs()) write_jobs(out, *jobs);
  }
  write_discovery(out, gauges.discovery);
  write_statuses(out, "client_refusals", gauges.clients);
  write_statuses(out, "control_refusals", gauges.control);
  out.counter("retries", retries_);
  out.by_name("rule_breaches", "breach", policy::kInvariantViolationNames, invariant_violations_);
  out.by_name("refusals", "cause", kRejectionReasonNames, rejections_.all());
  out.by_name("session_ends", "reason", kSessionEndNames, gauges.session_ends.all());
  out.by_name("attempt_ends", "reason", kAttemptEndNames, gauges.attempt_ends.all());
  out.counter("repeats_refused", repeats_refused_);
  write_overload(out, gauges.overload, gauges.tables);
  out.counter("reload_success", reload_success_);
  out.counter("reload_failure", reload_failure_);
  return out.text();
}

}  // namespace petrelrail

#include "coordination.hpp"

#include "facts.hpp"

namespace petrelrail {
namespace {

constexpr std::uint8_t
    kAddresses{};  // space of records, the first: where each node's operators call

ClusterStateConfig with_duties(const CoordinationConfig& c) {
  auto s = c.shared;
  if (c.jobs)
    for (auto& name : JobService::duties()) s.names.push_back(std::move(name));
  return s;
}

}  // namespace

Coordination::Coordination(Timers& timers, const CoordinationConfig& config, std::uint64_t seed,
                           Callbacks& host)
    : timers_(timers),
      config_(config),
      callbacks_(host),
      cluster_state_(timers, with_duties(config), seed, *this) {
  if (config_.jobs)
    jobs_ = std::make_unique<JobService>(timers_, cluster_state_, 0,
                                         static_cast<JobService::Callbacks&>(*this));
}

Coordination::~Coordination() { timers_.cancel(address_timer_); }

void Coordination::start(const nlohmann::json* predecessor) {
  try {
    cluster_state_.start(predecessor);
  } catch (const std::exception& x) {
    log::warning("duties", "what a predecessor left can't be read", {{"why", x.what()}});
    cluster_state_.start(nullptr);
  }
  publish_address();
}

// Told anew before it ends: nobody else writes this node's, so an epoch of the clock's term is its
// own.
void Coordination::publish_address() {
  timers_.cancel(address_timer_);
  if (config_.control.empty() || !cluster_state_.started()) return;
  const Time now = timers_.now();
  const auto ends = std::chrono::ceil<std::chrono::seconds>(
      (now + 2 * facts::kAddressInterval).time_since_epoch());
  cluster_state_.records().put(now, {kAddresses, fleet::index_of(config_.shared.self)},
                               config_.shared.duties.term_at(now) * fleet::kEpochsPerTerm,
                               static_cast<std::uint32_t>(ends.count()), config_.control);
  cluster_state_.on_records_written();
  address_timer_ = timers_.after(facts::kAddressInterval, [this] {
    address_timer_.reset();
    publish_address();
  });
}

std::optional<std::string> Coordination::admin_address_of(fleet::MemberId node) const {
  const auto* r = cluster_state_.kept()->find({kAddresses, fleet::index_of(node)});
  return r != nullptr ? std::optional(r->value) : std::nullopt;
}

bool Coordination::on_admin_request(const AdminServer::AdminRequest& ask,
                                    const AdminServer::AdminCallback& answered) {
  if (ask.path == "/duties") {
    if (ask.method != "GET")
      answered(
          {405, "the method does not go with the path\n", "text/plain; charset=utf-8", "GET", {}});
    else
      answered({200, cluster_state_.to_json().dump() + "\n", "application/json", {}, {}});
    return true;
  }
  return jobs_ && jobs_->on_admin_request(ask, answered);
}

void Coordination::step_down() {
  if (jobs_) jobs_->stop();
  cluster_state_.step_down();
}

nlohmann::json Coordination::export_state() {
  if (jobs_) jobs_->stop();
  return cluster_state_.export_state();
}

void Coordination::send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) {
  callbacks_.send_datagram(to, std::move(body), echo);
}

void Coordination::add_to_counter(const std::string& name, double amount, Duration life,
                                  std::function<void(CounterOutcome, double total)> told) {
  callbacks_.add_to_counter(name, amount, life, std::move(told));
}

void Coordination::send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) {
  callbacks_.send_request(std::move(request), std::move(sink));
}

void Coordination::on_state_changed() {
  auto& records = cluster_state_.records();
  for (const auto& o : records.take_outcomes())
    if (jobs_) jobs_->on_record_outcome(o);
  const auto changes = records.take_changes();
  bool of_jobs = changes.rescan;
  for (const auto& key : changes.keys) of_jobs = of_jobs || key.space == fleet::kJobSpace;
  if (jobs_) jobs_->on_state_changed(of_jobs);
}

}  // namespace petrelrail

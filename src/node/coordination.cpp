#include "coordination.hpp"

#include "limits.hpp"

namespace petrelrail {
namespace {

constexpr std::uint8_t kAdminAddressSpace{};  // record space with the admin addresses of all nodes

ClusterStateConfig with_lease_names(const CoordinationConfig& config) {
  auto state_config = config.cluster_state;
  if (config.jobs)
    for (auto& name : JobService::lease_names())
      state_config.lease_names.push_back(std::move(name));
  return state_config;
}

}  // namespace

Coordination::Coordination(Timers& timers, const CoordinationConfig& config, std::uint64_t seed,
                           Callbacks& callbacks)
    : timers_(timers),
      config_(config),
      callbacks_(callbacks),
      cluster_state_(timers, with_lease_names(config), seed, *this) {
  if (config_.jobs)
    jobs_ = std::make_unique<JobService>(timers_, cluster_state_, 0,
                                         static_cast<JobService::Callbacks&>(*this));
}

Coordination::~Coordination() { timers_.cancel(address_timer_); }

void Coordination::start(const nlohmann::json* predecessor) {
  try {
    cluster_state_.start(predecessor);
  } catch (const std::exception& x) {
    log::warning("duties", "the predecessor's cluster state can't be read", {{"why", x.what()}});
    cluster_state_.start(nullptr);
  }
  publish_address();
}

// Writes this node's admin address to its record and renews it before the record expires. No other
// node writes this record, so the term of the present time serves as the writer's term.
void Coordination::publish_address() {
  timers_.cancel(address_timer_);
  if (config_.admin_address.empty() || !cluster_state_.started()) return;
  const Time now = timers_.now();
  const auto expiry = std::chrono::ceil<std::chrono::seconds>(
      (now + 2 * limits::kAddressPublishInterval).time_since_epoch());
  cluster_state_.mutable_store().put(
      now, {kAdminAddressSpace, fleet::index_of(config_.cluster_state.self)},
      config_.cluster_state.lease.term_at(now) * fleet::kEpochsPerTerm,
      static_cast<std::uint32_t>(expiry.count()), config_.admin_address);
  cluster_state_.on_records_written();
  address_timer_ = timers_.after(limits::kAddressPublishInterval, [this] {
    address_timer_.reset();
    publish_address();
  });
}

std::optional<std::string> Coordination::admin_address_of(fleet::MemberId node) const {
  const auto* record = cluster_state_.store()->find({kAdminAddressSpace, fleet::index_of(node)});
  return record != nullptr ? std::optional(record->value) : std::nullopt;
}

bool Coordination::on_admin_request(const AdminServer::AdminRequest& request,
                                    const AdminServer::AdminCallback& on_response) {
  if (request.path == "/duties") {
    if (request.method != "GET")
      on_response(
          {405, "the method does not go with the path\n", "text/plain; charset=utf-8", "GET", {}});
    else
      on_response({200, cluster_state_.to_json().dump() + "\n", "application/json", {}, {}});
    return true;
  }
  return jobs_ && jobs_->on_admin_request(request, on_response);
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

void Coordination::add_to_counter(const std::string& key, double amount, Duration lifetime,
                                  std::function<void(CounterOutcome, double total)> on_response) {
  callbacks_.add_to_counter(key, amount, lifetime, std::move(on_response));
}

void Coordination::send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) {
  callbacks_.send_request(std::move(request), std::move(sink));
}

void Coordination::on_state_changed() {
  auto& store = cluster_state_.mutable_store();
  for (const auto& o : store.drain_outcomes())
    if (jobs_) jobs_->on_record_outcome(o);
  const auto changes = store.drain_changes();
  bool jobs_changed = changes.rescan;
  for (const auto& key : changes.keys) jobs_changed = jobs_changed || key.space == fleet::kJobSpace;
  if (jobs_) jobs_->on_state_changed(jobs_changed);
}

}  // namespace petrelrail

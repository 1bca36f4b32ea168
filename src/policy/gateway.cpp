// Implements the public class Gateway by forwarding to AdmissionController.
#include "petrelrail/gateway.hpp"

#include "policy/admission_controller.hpp"

namespace petrelrail {

Gateway::Gateway(Settings settings, std::uint64_t seed, const ConnectionView* connections)
    : controller_(std::make_unique<AdmissionController>(std::move(settings), seed, connections)) {}
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
Gateway::~Gateway() = default;
std::vector<Action> Gateway::handle(Time now, const Event& event) {
  return controller_->handle(now, event);
}
TableSizes Gateway::sizes() const { return controller_->sizes(); }
EndpointCounts Gateway::endpoint_counts(Time now) const {
  return controller_->endpoint_counts(now);
}
std::uint32_t Gateway::best_effort_capacity(Time now) {
  return controller_->best_effort_capacity(now);
}
HandoverState Gateway::export_state(Time now) { return controller_->export_state(now); }
void Gateway::resume() { controller_->resume(); }
void Gateway::set_max_customers(std::size_t max_customers) {
  controller_->set_max_customers(max_customers);
}
std::size_t Gateway::max_bytes_per_customer() {
  return policy::QuotaLeaseTable::max_bytes_per_lease();
}

}  // namespace petrelrail

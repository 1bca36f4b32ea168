#include "policy/body_arrival.hpp"

#include <algorithm>

namespace petrelrail::policy {

void BodyArrival::observe(Time now, const Observation& observation) {
  const auto& [read, unread, missing] = observation;
  is_end_out_of_reach_ = missing && *missing > limits_.max_buffered_bytes;
  on_bound({now, unread == 0 ? read : read + unread + limits_.max_send_buffer_bytes}, observation);
  on_read(read);
}

void BodyArrival::on_end_read(std::uint64_t end) {
  if (end > 0) on_read(end - 1);
  bounds_.clear();
}

void BodyArrival::on_bound(const Bound& bound, const Observation& observation) {
  if (const auto& missing = observation.missing_bytes) {
    if (bound.written_bytes < observation.read_bytes + *missing) not_written_until_ = bound.time;
    return;
  }
  // A later bound that is no higher tells more.
  while (!bounds_.empty() && bounds_.back().written_bytes >= bound.written_bytes)
    bounds_.pop_back();
  if (bounds_.size() == kMaxBounds) {
    std::size_t i = 0;
    std::erase_if(bounds_, [&](const Bound&) { return i++ % 2 != 0; });
  }
  bounds_.push_back(bound);
}

// The body did not end within what was read, so that not all of it was written at the time of a
// bound up to there.
void BodyArrival::on_read(std::uint64_t read_bytes) {
  while (!bounds_.empty() && bounds_.front().written_bytes <= read_bytes) {
    not_written_until_ = bounds_.front().time;
    bounds_.pop_front();
  }
}

}  // namespace petrelrail::policy

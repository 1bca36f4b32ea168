// How far a peer has fallen behind the lowest rate at which it may send.
//
// Each byte pays for the time that it takes at that rate, and nothing is paid in advance: after a
// burst the sender is on time, and from then on it falls behind unless more comes. A byte now and
// then pays for next to nothing.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "petrelrail/types.hpp"

namespace petrelrail::policy {

class ReceiveProgress {
 public:
  explicit ReceiveProgress(double min_bytes_per_second)
      : min_bytes_per_second_(min_bytes_per_second) {}

  // A message begins.
  void start(Time now) { paid_until_ = now; }
  void on_received(Time now, std::size_t bytes) {
    const std::chrono::duration<double> time(static_cast<double>(bytes) / min_bytes_per_second_);
    paid_until_ = std::min(now, paid_until_ + std::chrono::duration_cast<Duration>(time));
  }
  // How far the sender is behind.
  Duration lag(Time now) const { return std::max(now - paid_until_, Duration{}); }

 private:
  double min_bytes_per_second_;
  Time paid_until_{};
};

}  // namespace petrelrail::policy

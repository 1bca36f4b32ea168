// The figures that the operators fetch: counters, raised where the thing happens, and their text.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "discovery.hpp"
#include "end_reason.hpp"
#include "log.hpp"
#include "peers.hpp"
#include "policy/request_rules.hpp"
#include "pool.hpp"
#include "together.hpp"

namespace petrelrail {

class Metrics {
 public:
  struct Replies {  // final answers to the requests of one class
    std::uint64_t success = 0, overload = 0, error = 0;
  };
  struct Gauges {  // what is so at the moment of the call
    std::size_t concurrent = 0, targets = 0, targets_disabled = 0, sessions = 0;
    std::uint64_t accept_failures = 0;
    PoolFigures pool{};
    log::Figures log{};
    Time at{};
    const Peers* peers = nullptr;        // none: members are off
    const Together* together = nullptr;  // none: off
    Discovery::Figures discovery{};
    Refusals clients{}, control{};  // of what came malformed
    SessionEnds session_ends{};
    AttemptEnds attempt_ends{};
  };

  // Kept for the life of the process, also when the class is dropped.
  Replies& replies(const std::string& request_class) { return replies_[request_class]; }
  void dispatched() { ++dispatches_; }
  void retried() { ++retries_; }
  void breached(policy::Breach breach) { ++breaches_.at(static_cast<std::size_t>(breach)); }
  void refused(RefusalCause cause) { refusal_causes_.add(cause); }
  void reloaded(bool taken) { ++(taken ? reload_success_ : reload_failure_); }

  std::string text(const Gauges& now) const;

 private:
  std::map<std::string, Replies> replies_;
  RefusalCauses refusal_causes_;
  std::uint64_t retries_ = 0;
  std::array<std::uint64_t, policy::kBreachNames.size()> breaches_{};
  std::uint64_t dispatches_ = 0, reload_success_ = 0, reload_failure_ = 0;
};

}  // namespace petrelrail

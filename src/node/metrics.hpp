// Collects the counters and gauges of the edge node and formats them as the text of /metrics. Owned
// by Node, on the thread of the io_context.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "connection_pool.hpp"
#include "coordination.hpp"
#include "discovery.hpp"
#include "end_reason.hpp"
#include "gossip_transport.hpp"
#include "log.hpp"
#include "policy/overload_manager.hpp"
#include "policy/request_state.hpp"

namespace petrelrail {

class Metrics {
 public:
  struct ResponseCounts {  // final responses to the requests of one class
    std::uint64_t success = 0, overload = 0, error = 0;
  };
  struct Gauges {  // values that are not counted here, read when /metrics is requested
    std::size_t concurrent = 0, endpoints = 0, endpoints_avoided = 0, sessions = 0;
    std::uint64_t accept_failures = 0;
    PoolStats pool{};
    log::Stats log{};
    Time now{};
    const GossipTransport* peers = nullptr;      // null if members are off
    const Coordination* coordination = nullptr;  // null if coordination is off
    Discovery::Stats discovery{};
    StatusCounts clients{}, control{};  // malformed requests, by the status of the response
    SessionEnds session_ends{};
    AttemptEnds attempt_ends{};
    policy::OverloadManager overload{};
    TableSizes tables{};
  };

  // Creates the counts of a class on first use; they are kept for the life of the process, even if
  // the class is removed.
  ResponseCounts& response_counts(const std::string& request_class) {
    return response_counts_[request_class];
  }
  void on_forwarded() { ++forwarded_; }
  void on_retried() { ++retries_; }
  void on_invariant_violation(policy::InvariantViolation violation) {
    ++invariant_violations_.at(static_cast<std::size_t>(violation));
  }
  void on_rejected(RejectionReason reason) { rejections_.add(reason); }
  // A request was refused as one of the same id may have run.
  void on_repeat_refused() { ++repeats_refused_; }
  void on_reload(bool succeeded) { ++(succeeded ? reload_success_ : reload_failure_); }

  std::string text(const Gauges& gauges) const;

 private:
  std::map<std::string, ResponseCounts> response_counts_;
  RejectionReasons rejections_;
  std::uint64_t retries_ = 0, repeats_refused_ = 0;
  std::array<std::uint64_t, policy::kInvariantViolationNames.size()> invariant_violations_{};
  std::uint64_t forwarded_ = 0, reload_success_ = 0, reload_failure_ = 0;
};

}  // namespace petrelrail

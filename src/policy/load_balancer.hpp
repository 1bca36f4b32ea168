// Decides whether this gateway has capacity for one more attempt, and selects the price server.
#pragma once

#include <cstdint>

#include "policy/endpoint_table.hpp"

namespace petrelrail::policy {

struct Selection {
  enum class Kind {
    endpoint,     // forward to this server
    wait,         // no capacity at present
    no_endpoint,  // no usable server
  };
  Kind kind = Kind::no_endpoint;
  EndpointId endpoint{};  // with Kind::endpoint
};

class LoadBalancer {
 public:
  LoadBalancer(DecisionContext& context, EndpointTable& endpoints)
      : context_(context), endpoints_(endpoints) {}

  Selection select(const Request& request);

  // Limit on this gateway's attempts in flight. 0: nothing was forwarded yet.
  double concurrency_limit() const { return concurrency_limit_; }
  void restore_limit(double limit) { concurrency_limit_ = limit; }
  // Adapts the limit to how answers compare with their latency objectives. This prevents queues at
  // the servers that make all answers late. Drawback: with inherently long work, part of the
  // capacity stays unused.
  void on_attempt_ended(const Request& request, const AttemptEnded& event);
  // Number of additional best-effort requests that leave the rest of the limit to other requests.
  std::uint32_t best_effort_capacity();

 private:
  // Result of a walk along the order of preference, up to the subset size.
  struct Candidates {
    std::size_t considered = 0;   // length of the walk
    double healthy_capacity = 0;  // of healthy servers, in warm servers' worth
    double usable_capacity = 0;   // of all usable servers
    bool any_healthy = false;     // a healthy server that the request may go to
    bool any_warm = false;
  };

  Candidates find_candidates(const Request& request) const;
  bool is_selectable(const Request& request, Endpoint& endpoint, const Candidates& candidates,
                     const ConnectionCounts& connections);
  void initialise_limit();
  bool has_capacity(const Request& request);
  double cost_of(const Request& request, const Endpoint& endpoint, bool needs_handshake);

  DecisionContext& context_;
  EndpointTable& endpoints_;
  double concurrency_limit_ = 0;
};

}  // namespace petrelrail::policy

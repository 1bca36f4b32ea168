// State of one request: which attempts are still allowed, and until when.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "petrelrail/events.hpp"
#include "policy/class_snapshot.hpp"
#include "policy/decision_context.hpp"
#include "policy/quota_lease.hpp"
#include "policy/request_deadline.hpp"

namespace petrelrail::policy {

struct Attempt {
  EndpointId endpoint{};
  Time forwarded{};
  double work = 0;  // share of Endpoint::load
  bool outstanding = true;
};

enum class RequestStage { waiting_for_lease, queued, forwarded, ended };

struct Request {
  QuotaRequest quota;
  std::shared_ptr<const ClassSnapshot> classes;  // at its arrival
  ClassIndex class_index{};
  Time first_request_time{};  // estimated arrival of the client's first attempt
  Time arrival_time{};        // of its last byte; while that is missing, of its header
  RequestDeadline deadline;
  Time latest_start = Time::max();    // of any attempt, see StartLimited
  Time timer_deadline = Time::max();  // see RequestTimers
  RequestStage stage = RequestStage::waiting_for_lease;
  // From 0 to 2: capacity that must be free below the concurrency limit; a random part plus one
  // that grows as priority falls.
  double admission_jitter = 0;
  bool may_have_run = false;
  bool body_consumed = false;   // part of the body was forwarded and not kept: no retry is possible
  Time first_run_time{};        // when the first attempt that may have run was forwarded
  EndpointInfo first_endpoint;  // of that attempt
  bool holds_slot = false;      // counted in QuotaLease::slots_in_use
  std::vector<Attempt> attempts;

  Request(DecisionContext& context, const RequestArrived& arrival,
          std::shared_ptr<const ClassSnapshot> class_snapshot);

  RequestId id() const { return quota.id; }
  const RequestClass& request_class() const;
  ClassStatistics& statistics() const;
  std::ptrdiff_t outstanding_attempts() const;
  double expected_latency() const;  // of a successful answer, in seconds

  // The last byte of a request whose body was still arriving is here.
  void on_received(Time now, Duration time_left);

  Time objective_end() const { return first_request_time + request_class().latency_objective; }
  // Returns whether an answer at `now` would be worthless. Saves units for requests whose answer
  // can still be in time.
  bool misses_objective(Time now) const;
  // Whether it can wait for capacity at the price servers.
  bool may_wait() const { return latest_start == Time::max(); }
  // Latest useful time of a first attempt: the answer must still meet the latency objective.
  Time queue_deadline() const;
  // Time by which a further attempt must start to have no second effect at servers that know the
  // first.
  Time retry_deadline() const;
  bool may_retry(Time now) const;
  // Returns whether a retry by the client at that time is harmless, through any gateway and server.
  bool client_may_retry(Time then) const;
  // Returns whether an attempt may go to that server: repeats with an idempotency key stay within
  // the servers that know the key.
  bool may_go_to(const EndpointInfo& endpoint) const;

  void on_attempt_ended(const Attempt& attempt, AttemptOutcome outcome,
                        const EndpointInfo& endpoint);

 private:
  Duration time_since_first_request(const RequestArrived& arrival) const;
};

}  // namespace petrelrail::policy

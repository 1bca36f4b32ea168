// Public interface of petrelrail: class Gateway turns events into actions. Decisions are made in
// src/policy/.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "petrelrail/actions.hpp"
#include "petrelrail/events.hpp"
#include "petrelrail/handover_state.hpp"
#include "petrelrail/settings.hpp"
#include "petrelrail/types.hpp"

namespace petrelrail {

// The host's connections to one price server. Queried while a server is selected, so the counts are
// current; reporting each change as an event would add two events per request.
struct ConnectionCounts {
  std::uint32_t idle = 0;  // healthy; usable without a handshake
  std::uint32_t open = 0;  // all: idle, busy and connecting
};
class ConnectionView {
 public:
  virtual ConnectionCounts connections(EndpointId server) const = 0;

 protected:
  ~ConnectionView() = default;
};

// Sizes of the internal tables, for tests and monitoring.
struct TableSizes {
  std::size_t requests = 0, customers = 0, endpoints = 0, counter_calls = 0, timers = 0;
  std::size_t queued_counter_calls = 0;
  std::uint64_t evicted_customers = 0;  // since the start
};

// Servers in the list, and those of them excluded by operators or by this gateway's own ejections.
struct EndpointCounts {
  std::size_t listed = 0, excluded = 0;
};

// The decisions of one gateway. Owns all its state, reads no clock, does no I/O and starts no
// thread. Calls on one object must not overlap; separate objects are independent. Events are passed
// one by one in the order in which they happened, each with the time at which it is handled; the
// returned actions take effect at that time. The same seed, settings, events and connection counts
// give the same actions. After a restart, create a new object.
//
// The constructor throws what validate() throws. handle() throws only std::bad_alloc: unknown ids,
// late outcomes and unexpected timers are ignored. A host uses every request id once, and passes
// exactly one AttemptEnded, HealthCheckEnded, CounterResponse or TimerDue for each Send,
// CheckHealth, AddToCounter or SetTimer, also for a cancelled attempt.
class Gateway {
 public:
  // `connections` must outlive the object. If it is null, handshakes are not taken into account.
  Gateway(Settings settings, std::uint64_t seed, const ConnectionView* connections = nullptr);
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;
  ~Gateway();

  std::vector<Action> handle(Time now, const Event& event);
  TableSizes sizes() const;
  EndpointCounts endpoint_counts(Time now) const;
  // Number of best-effort requests that can be accepted now beside all others.
  std::uint32_t best_effort_capacity(Time now);
  // Returns the state that a successor needs. This gateway continues, without held units, for
  // requests that still arrive here.
  HandoverState export_state(Time now);
  // Called when the successor has ended: this gateway leases units as before.
  void resume();
  // Bounds the table of customers, see TableSizes; without a call it is not bounded.
  void set_max_customers(std::size_t max_customers);
  // Upper bound of what one customer's entry takes, in bytes.
  static std::size_t max_bytes_per_customer();

 private:
  class AdmissionController;
  std::unique_ptr<AdmissionController> controller_;
};

}  // namespace petrelrail

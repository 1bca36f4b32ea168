// Reservation ledger: admits reservations so that at no minute of the horizon the reserved rates
// exceed the reservable capacity, nor those of a customer its quota (docs/bookings.md). Its state
// follows from configuration and records alone. Single-threaded; does no I/O and reads no clock:
// callers pass Unix time, and the resolver supplies days and time zones.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "datagram.hpp"
#include "reservation.hpp"
#include "step_function.hpp"

namespace petrelrail::fleet {

struct CapacitySchedule {
  std::uint32_t servers = 0;              // configured servers of the tier
  Rate rate_per_server;                   // capacity of one server
  std::uint32_t reservable_permille = 0;  // share of the capacity that can be reserved
  struct Outage {                         // [from, to)
    Minute from, to;
    std::uint32_t servers = 0;  // available during the outage
  };
  std::vector<Outage> planned_outages;
  Rate reservable_rate(std::uint32_t servers_available) const;  // rounded down
};
struct LedgerConfig {
  CapacitySchedule capacity;
  std::map<CustomerId, Rate> quotas;      // customers without an entry can't reserve
  std::uint32_t max_reservations = 2000;  // reservations held
  Minutes idle_timeout{2};          // after it, the rate of an unused reservation is available
  Duration max_clock_difference{};  // between any two nodes
};
// Throws std::invalid_argument that names the invalid field.
void validate(const LedgerConfig& config);

struct ReservationRejection {
  bool by_quota = false;  // the customer's quota is exceeded; else the reservable capacity
  Minute first_conflict;
  Rate available_rate;  // fits in all windows of the request
  struct Start {
    Minutes start_time;   // local time since midnight
    Minute first_window;  // begin of the first window
  };
  std::optional<Start> nearest_start;  // closest start time at which the same recurrence fits
};
struct LedgerResult {
  enum class Outcome : std::uint8_t {
    accepted,
    duplicate,
    rejected,
    content_mismatch,  // the key is in use with another request
    cancelled,
    unknown,
    full,
    unresolved  // a reservation in the ledger can't be resolved by this node's calendar
  };
  Outcome outcome = Outcome::accepted;
  ReservationId id{};
  Minute first_window{};  // begin of the first window
  Date until{};
  std::optional<ReservationRejection> rejection{};  // set if the outcome is `rejected`
  bool is_success() const { return outcome == Outcome::accepted || outcome == Outcome::duplicate; }
};
// A period in which a reservation is granted less than its rate.
struct Preemption {
  ReservationId id{};
  CustomerId customer{};
  Minute from, to;
  Rate reserved, granted;
  bool operator==(const Preemption&) const = default;
};

class ReservationLedger {
 public:
  using Resolver = std::function<ResolvedReservation(
      const ReservationRequest&)>;  // throws std::invalid_argument
  ReservationLedger(LedgerConfig config, Resolver resolve);

  void set_config(LedgerConfig config);
  // Sets the number of servers that discovery lists and that are usable.
  void set_usable_servers(Time now, std::uint32_t servers);

  // Decide on a request. The caller reports success only after the record is replicated to the
  // required copies; otherwise it restores the former record with `apply_record`. These functions
  // throw std::invalid_argument for an invalid request; the ledger is then unchanged, as after any
  // result without success.
  LedgerResult reserve(Time now, std::string_view key, const ReservationRequest& request);
  LedgerResult modify(Time now, ReservationId id, const ReservationRequest& request);
  LedgerResult cancel(Time now, ReservationId id);
  // Replaces the windows of a reservation that another node's calendar resolved differently by the
  // windows that this node's calendar gives.
  LedgerResult reevaluate(Time now, ReservationId id);

  // Value and expiry (Unix seconds) of a reservation's record.
  std::optional<std::string> record_value(ReservationId id) const;
  std::uint32_t record_expiry_unix_s(ReservationId id) const;
  // Replaces the local state of a reservation by the record's; a null record removes it. Throws
  // std::invalid_argument for a value that can't be decoded; the ledger is then unchanged.
  void apply_record(ReservationId id, const Record* record);
  void remove_expired(Time now);

  // Notes that the customer has tasks running or waiting.
  void note_activity(Time now, CustomerId customer);
  // Rate over the whole fleet at which the customer's jobs with a reservation may run.
  Rate granted_rate(Time now, CustomerId customer) const;
  Rate unreserved_rate(Time now) const;  // for jobs without a reservation
  // Returns the preemptions in [from, to), by time. Not for the path of a request: callers ask for
  // a week.
  std::vector<Preemption> find_preemptions(Time now, Minute from, Minute to) const;
  // Returns the reservations that don't fit beside those decided before them, leaving planned
  // outages aside.
  std::vector<ReservationId> find_overcommitted() const;
  // Returns the reservations that this node's calendar resolves differently or not at all.
  std::vector<ReservationId> find_mismatched() const;
  const Reservation* find(ReservationId id) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Reservation reservation;
    std::vector<Window> windows;
    bool is_mismatched = false, is_unresolved = false;
    std::uint32_t expiry_unix_s = 0;
  };
  struct Conflict {
    bool by_quota = false;
    Minute from, to;
    Window window;  // the window of the request that doesn't fit
  };
  struct Grant {
    const Entry* entry;
    Window window;
    Rate granted;
  };
  Entry make_entry(Reservation reservation, const ResolvedReservation& resolved,
                   bool set_fingerprints);
  void insert_entry(Entry entry);
  void remove_entry(ReservationId id);
  void add_windows(const Entry& entry, bool subtract);
  Rate quota_of(CustomerId customer) const;
  StepFunction::Segment capacity_at(Time now, Minute t) const;
  template <class Visit>
  void for_each_segment(Time now, CustomerId customer, const Window& window,
                        const Visit& visit) const;
  std::optional<Conflict> find_conflict(Time now, CustomerId customer,
                                        const std::vector<Window>& windows) const;
  LedgerResult decide(Time now, Reservation reservation);
  ReservationRejection make_rejection(Time now, const Reservation& reservation,
                                      const ResolvedReservation& resolved,
                                      const Conflict& conflict) const;
  std::vector<Grant> grants_at(Time now, Minute t) const;
  std::optional<Minutes> find_shift(Time now, const Reservation& reservation,
                                    const ResolvedReservation& resolved, int direction) const;
  bool has_unresolved() const;

  LedgerConfig config_;
  Resolver resolve_;
  std::map<ReservationId, Entry> entries_;
  std::map<ReservationId, std::uint32_t> cancelled_;  // expiry; the ID is not reused before it
  StepFunction reserved_,
      planned_reduction_;  // the second: reservable rate lost to planned outages
  std::map<CustomerId, StepFunction> reserved_by_customer_;
  std::optional<std::uint32_t> usable_servers_;  // set if fewer than configured
  Time shortage_start_time_{};
  std::map<CustomerId, Time> activity_times_;
};

}  // namespace petrelrail::fleet

// The request classes of one settings version, with the statistics learned per class.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "petrelrail/handover_state.hpp"
#include "petrelrail/settings.hpp"

namespace petrelrail {

// Statistics of a request class, kept under the class's name across settings changes.
struct ClassStatistics {
  double average_latency = 0;    // EWMA over successful answers, in seconds; 0: none yet
  Duration longest_time_left{};  // longest time_left of a first client attempt
};

// Shared by the requests that begin under one settings version. The statistics of a class that a
// later version drops are freed with the last of these requests.
struct ClassSnapshot {
  std::vector<RequestClass> classes;
  std::vector<std::shared_ptr<ClassStatistics>> statistics;  // indexed as `classes`
  std::uint32_t max_attempts = 1;
  double max_weight = 0;  // of a request: priority weight times maximum units

  // Takes over the statistics of classes that have the same name in `previous`, which may be null.
  ClassSnapshot(const Settings& settings, const ClassSnapshot* previous);

  // Returns null if there is no such class.
  std::shared_ptr<ClassStatistics> find_statistics(const std::string& name) const;
  void export_state(HandoverState& state) const;
  void restore(const HandoverState& state) const;
};

}  // namespace petrelrail

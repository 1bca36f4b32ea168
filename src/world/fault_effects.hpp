// Counts what each fault of a run affected: a fault that affected nothing has tested nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "scenario.hpp"

namespace petrelrail::world {

// Counts by index of the fault in the scenario, in the unit of the fault's kind: nodes, servers,
// calls, answers, requests or list entries. Partitions and lost datagrams are not counted.
class FaultEffects {
 public:
  explicit FaultEffects(const std::vector<Fault>& faults) : counts_(faults.size(), 0) {
    for (const auto& fault : faults) kinds_.push_back(fault.kind);
  }

  void begin(std::size_t fault) { active_.insert(fault); }
  void end(std::size_t fault) { active_.erase(fault); }
  void add(std::size_t fault, std::uint64_t count = 1) { counts_.at(fault) += count; }
  // Counts one effect for each active fault of this kind.
  void record(FaultKind kind) {
    for (const auto fault : active_)
      if (kinds_[fault] == kind) add(fault);
  }
  const std::vector<std::uint64_t>& counts() const { return counts_; }

 private:
  std::vector<FaultKind> kinds_;
  std::vector<std::uint64_t> counts_;
  std::set<std::size_t> active_;
};

}  // namespace petrelrail::world

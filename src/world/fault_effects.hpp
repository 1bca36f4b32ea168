// What each fault of a play touched: a fault that touched nothing has shown nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "scenario.hpp"

namespace petrelrail::world {

// Counts by the fault's place in the scenario. Nodes, servers, calls, answers, requests or list
// entries, whatever the fault's kind hits. Cuts and lost datagrams are not counted.
class FaultEffects {
 public:
  explicit FaultEffects(const std::vector<Fault>& faults) : counts_(faults.size(), 0) {
    for (const auto& fault : faults) kinds_.push_back(fault.kind);
  }

  void begin(std::size_t fault) { active_.insert(fault); }
  void end(std::size_t fault) { active_.erase(fault); }
  void add(std::size_t fault, std::uint64_t count = 1) { counts_.at(fault) += count; }
  // Something was touched that all faults of this kind touch while they last.
  void touched(FaultKind kind) {
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

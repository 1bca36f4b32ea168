#include "policy/class_snapshot.hpp"

#include <algorithm>

#include "common/lookup.hpp"

namespace petrelrail {

ClassSnapshot::ClassSnapshot(const Settings& settings, const ClassSnapshot* previous)
    : classes(settings.classes), max_attempts(settings.max_attempts) {
  for (const auto& request_class : classes) {
    max_weight = std::max(max_weight, request_class.priority_weight * settings.max_units);
    const auto known = previous ? previous->find_statistics(request_class.name) : nullptr;
    statistics.push_back(known ? known : std::make_shared<ClassStatistics>());
  }
}

std::shared_ptr<ClassStatistics> ClassSnapshot::find_statistics(const std::string& name) const {
  const auto it = std::ranges::find(classes, name, &RequestClass::name);
  return it == classes.end() ? nullptr : at(statistics, it - classes.begin());
}

void ClassSnapshot::export_state(HandoverState& state) const {
  for (std::size_t i = 0; i < classes.size(); ++i)
    state.latencies.emplace_back(classes[i].name, statistics[i]->average_latency);
}

void ClassSnapshot::restore(const HandoverState& state) const {
  for (const auto& [name, latency] : state.latencies)
    if (const auto known = find_statistics(name)) known->average_latency = latency;
}

}  // namespace petrelrail

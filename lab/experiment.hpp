// One play of a scenario: the world, its carrier, the rules and the figures, and what is written
// down of it.
#pragma once

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "world/rules.hpp"
#include "world/run_stats.hpp"
#include "world/simulation.hpp"

namespace petrelrail::lab {

struct Options {
  world::Scenario scenario;
  std::uint64_t seed = 1;
  bool processes = false;                    // the carrier; else the model
  std::optional<std::filesystem::path> out;  // a folder for events, figures and logs
  std::filesystem::path program;             // of the nodes, for the process carrier
  std::filesystem::path system_faults;       // the library that makes their system calls fail
  bool trace = false;                        // every record of every request goes to the events
  double most_lag_ms = 25;  // 99th percentile of the lab's own lag beyond which a play is void
  std::function<bool()> stopped = [] {
    return false;
  };  // asked now and then: end, and write what there is
  std::function<void(double seconds, const world::RunStats&)> progress =
      [](double, const world::RunStats&) {};
};

struct FaultEffect {
  std::string fault;          // in words
  std::uint64_t touched = 0;  // nodes, servers, calls, answers, requests or entries of lists
};

struct Played {
  nlohmann::json figures;             // as written to figures.json
  std::vector<std::string> failures;  // expectations that don't hold, each with figure and bound
  std::vector<std::string> breaches;  // of rules
  std::vector<std::string>
      node_breaches;         // rules that nodes turned a step down for, as their logs tell
  std::string crash;         // of which node, with its last log lines; empty: none
  std::string void_because;  // the lab itself ran late; empty: it did not
  bool stopped = false;      // by the caller, before its end
  std::vector<FaultEffect> fault_effects;  // by fault of the scenario
  int status() const;                      // of the tool: 0, 1 or 3
};

// What both carriers share: records come in, rules and figures are kept, and in the end the outcome
// is drawn up.
class Recorder {
 public:
  Recorder(const Options& options, Time begin);
  void saw(Time now, const world::Observation& s);
  void began(Time at);  // the clients
  void log(Time now, std::uint32_t node, const std::string& text);
  const world::RunStats& figures() const { return figures_; }
  void views(double agreed) { figures_.set_views_agreed(agreed); }
  // `stopped`: before the end, by the caller or a crash, so that requests whose time is not over
  // are not judged.
  Played finish(Time now, const nlohmann::json& of_the_lab, bool stopped);

 private:
  void write(Time now, const world::Observation& s);
  void event(Time now, nlohmann::json e);

  const Options& options_;
  Time begin_;
  world::InvariantChecker rules_;
  world::RunStats figures_;
  std::size_t breaches_told_ = 0;
  Time passed_at_{};
  std::optional<std::ofstream> events_;
  std::vector<std::unique_ptr<std::ofstream>> logs_;
};

std::vector<FaultEffect> fault_effects_of(const world::Simulation& world);

// Throws std::runtime_error where the play can't begin.
Played play(const Options& options);
Played play_model(const Options& options);
Played play_processes(const Options& options);

}  // namespace petrelrail::lab

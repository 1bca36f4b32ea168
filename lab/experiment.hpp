// Runs one scenario on the model (simulated time) or on real node processes, checks the invariants,
// collects the figures and writes events, figures and logs. Called by the command line, compare and
// the soak test. Single-threaded.
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
  bool processes = false;                    // real node processes instead of the model
  std::optional<std::filesystem::path> out;  // folder for events, figures and logs
  std::filesystem::path program;             // node executable of a run on processes
  std::filesystem::path system_faults;       // library that makes the nodes' system calls fail
  bool trace = false;                        // writes every record of every request to the events
  double max_lag_ms = 25;  // 99th percentile of the lab's own lag above which a run is void
  // Polled during the run; where it returns true, the run ends early and writes what it has.
  std::function<bool()> should_stop = [] { return false; };
  std::function<void(double seconds, const world::RunStats&)> progress =
      [](double, const world::RunStats&) {};
};

struct FaultEffect {
  std::string fault;           // description of the fault
  std::uint64_t affected = 0;  // nodes, servers, calls, answers, requests or list entries
};

struct RunResult {
  nlohmann::json figures;                       // as written to figures.json
  std::vector<std::string> unmet_expectations;  // each with figure and bound
  std::vector<std::string> violations;          // of the rules
  std::vector<std::string>
      node_violations;      // rules for which nodes rejected a step, read from their logs
  std::string crash;        // the node that crashed, with its last log lines; empty: none
  std::string void_reason;  // set where the lab itself ran late; empty: the run is valid
  bool stopped = false;     // ended early by should_stop
  std::vector<FaultEffect> fault_effects;  // in the order of the scenario's faults
  int status() const;                      // exit status of the tool: 0, 1 or 3
};

// Shared by the model and the processes: receives records, checks the rules, collects the figures
// and builds the result.
class Recorder {
 public:
  Recorder(const Options& options, Time begin);
  void record(Time now, const world::Observation& s);
  // Restarts the figures; times are relative to `at`, when the clients begin.
  void set_clients_start(Time at);
  void log(Time now, std::uint32_t node, const std::string& text);
  const world::RunStats& figures() const { return figures_; }
  void set_view_agreement(double agreed) { figures_.set_views_agreed(agreed); }
  // `stopped`: the run ended early, by the caller or a crash; requests whose deadline has not
  // passed are then not judged. `lab_json` goes to the key "lab" of the figures.
  RunResult finish(Time now, const nlohmann::json& lab_json, bool stopped);

 private:
  void write(Time now, const world::Observation& s);
  void write_event(Time now, nlohmann::json e);

  const Options& options_;
  Time begin_;
  world::InvariantChecker rules_;
  world::RunStats figures_;
  std::size_t reported_violations_ = 0;
  Time last_check_time_{};
  std::optional<std::ofstream> events_;
  std::vector<std::unique_ptr<std::ofstream>> logs_;
};

std::vector<FaultEffect> fault_effects_of(const world::Simulation& world);

// Throw std::runtime_error where the run can't start.
RunResult run_scenario(const Options& options);
RunResult run_on_model(const Options& options);
RunResult run_on_processes(const Options& options);

}  // namespace petrelrail::lab

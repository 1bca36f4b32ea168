// Command line of petrelrail-lab, which runs fault scenarios against the edge nodes on a model or
// on real processes and reports the results (docs/lab.md). Parses the arguments, prints the results
// and sets the exit status.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>

#include "compare.hpp"
#include "duty_study.hpp"
#include "experiment.hpp"
#include "jobs_study.hpp"
#include "members_study.hpp"
#include "records_study.hpp"
#include "report.hpp"
#include "scenario_file.hpp"
#include "shadow_study.hpp"
#include "soak.hpp"

namespace {

using namespace petrelrail;
using namespace petrelrail::lab;

// Exit statuses for invalid input and for a failure of the tool.

constexpr int kInvalidInputStatus = 2, kFailureStatus = 3;

// Every third run of a soak has a crowd, if any has one.

constexpr std::uint32_t kCrowdInterval = 3;

// Set by the signal handler.

volatile std::sig_atomic_t is_interrupted = 0;

struct RunArguments {
  std::string scenario, carrier = "model", out, program;
  std::vector<std::string> sets;
  std::optional<std::uint32_t> nodes;
  std::uint64_t seed = 1;
  double max_lag_ms = 25;
  bool trace = false, quiet = false;
};

struct CompareArguments {
  std::string a, b;
  std::uint32_t seeds = 5;
  std::vector<std::string> figures{
      "served_share", "worth",  "g",          "refused_share", "failed_share",  "beyond_share",
      "p50_ms",       "p99_ms", "handshakes", "calls",         "cpu_us_per_try"};
};

struct SoakArguments {
  std::uint64_t first_seed = 1;
  std::uint32_t seeds = 10, nodes = 24, crowd = 0;
  double seconds = 15;
  std::string out, program;
};

struct ReportArguments {
  std::vector<std::string> run_folders;
  std::string page_path = "report.html";
};

std::filesystem::path path_beside_executable(const char* name) {
  std::error_code ignored;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", ignored);
  return self.parent_path() / name;
}

Options make_options(const RunArguments& a) {
  auto sets = a.sets;
  if (a.nodes) sets.push_back("fleet.nodes=" + std::to_string(*a.nodes));
  Options o;
  o.scenario = read_scenario(a.scenario, sets);
  o.seed = a.seed;
  o.processes = a.carrier == "processes";
  if (!a.out.empty()) o.out = a.out;
  o.program = a.program.empty() ? path_beside_executable("petrelrail")
                                : std::filesystem::path(a.program);
  o.trace = a.trace;
  o.max_lag_ms = a.max_lag_ms;
  o.should_stop = [] { return is_interrupted != 0; };
  if (!a.quiet && isatty(STDERR_FILENO) != 0)
    o.progress = [all = o.scenario.fleet.seconds](double at, const world::RunStats& f) {
      const auto c = f.total();
      std::fprintf(stderr,
                   "\r%5.1f of %.0f s  asked %llu  served %llu  refused %llu  failed %llu  rules "
                   "broken %llu ",
                   at, all, static_cast<unsigned long long>(c[world::Count::asked]),
                   static_cast<unsigned long long>(c[world::Count::served]),
                   static_cast<unsigned long long>(c[world::Count::refused]),
                   static_cast<unsigned long long>(c[world::Count::failed]),
                   static_cast<unsigned long long>(c[world::Count::breaches]));
    };
  return o;
}

void print_summary(const RunResult& o) {
  const auto& j = o.figures;
  const auto f = [&](const char* name) { return j["figures"][name].get<double>(); };
  std::printf("%s (%s, %u nodes, %u servers, seed %llu)\n",
              j["scenario"].get<std::string>().c_str(), j["carrier"].get<std::string>().c_str(),
              j["nodes"].get<unsigned>(), j["servers"].get<unsigned>(),
              j["seed"].get<unsigned long long>());
  std::printf(
      "  asked %.0f  served %.0f (%.1f%%)  refused %.0f  failed %.0f  unreachable %.0f  lost "
      "%.0f\n",
      f("asked"), f("served"), 100 * f("served_share"), f("refused"), f("failed"), f("unreachable"),
      f("lost"));
  std::printf(
      "  worth %.3f  worst 10 s %.3f  g %.3f  beyond quota %.0f  p50 %.0f ms  p99 %.0f ms\n",
      f("worth"), f("worst_window"), f("g"), f("beyond"), f("p50_ms"), f("p99_ms"));
  std::printf(
      "  attempts %.0f  handshakes %.0f  counter calls %.0f (%.1f%% unanswered)  datagrams %.0f\n",
      f("attempts"), f("handshakes"), f("calls"), 100 * f("calls_mute_share"), f("datagrams"));
  if (f("cpu_us_per_try") > 0)
    std::printf("  cpu %.0f us a try  memory %.1f MB at most\n", f("cpu_us_per_try"),
                f("memory_mb"));
  for (const auto& b : o.violations) std::printf("%s\n", b.c_str());
  for (const auto& e : o.unmet_expectations) std::printf("%s\n", e.c_str());
  if (!o.void_reason.empty()) std::printf("void: %s\n", o.void_reason.c_str());
  if (o.stopped) std::printf("stopped before its end\n");
  if (!o.crash.empty()) std::printf("%s\n", o.crash.c_str());
}

int run(const RunArguments& a) {
  const auto options = make_options(a);
  const auto outcome = run_scenario(options);
  if (isatty(STDERR_FILENO) != 0) std::fprintf(stderr, "\r%100s\r", "");
  print_summary(outcome);
  if (options.out) std::printf("written to %s\n", options.out->c_str());
  return outcome.status();
}

// Runs the seeds one after another and prints the findings of each.
int soak(const SoakArguments& a) {
  std::uint32_t seeds_run = 0, with_findings = 0, void_seeds = 0;
  for (std::uint32_t i = 0; i < a.seeds && is_interrupted == 0; ++i) {
    Options o;
    const SoakConfig terms{.seed = a.first_seed + i,
                           .nodes = a.nodes,
                           .seconds = a.seconds,
                           .extended = true,
                           .crowd_per_node = i % kCrowdInterval == 0 ? a.crowd : 0};
    o.scenario = soak_scenario(terms);
    o.seed = terms.seed, o.processes = true;
    o.program = a.program.empty() ? path_beside_executable("petrelrail")
                                  : std::filesystem::path(a.program);
    o.system_faults = path_beside_executable("libpetrelrail_system_faults.so");
    if (!a.out.empty()) o.out = std::filesystem::path(a.out) / o.scenario.name;
    o.trace = o.out.has_value();
    o.should_stop = [] { return is_interrupted != 0; };
    const auto result = run_scenario(o);
    print_summary(result);
    std::printf("  effect %s, deadline %.0f ms, wall clock %+.0f s\n",
                o.scenario.clients.effect.c_str(), o.scenario.clients.deadline_ms,
                o.scenario.system.step_s);
    for (const auto& effect : result.fault_effects)
      std::printf("  fault %s: touched %llu\n", effect.fault.c_str(),
                  static_cast<unsigned long long>(effect.affected));
    const auto findings = soak_findings(result);
    for (const auto& f : findings)
      std::printf("  seed %llu: %s\n", static_cast<unsigned long long>(terms.seed), f.c_str());
    const auto void_reasons = soak_void_reasons(result);
    for (const auto& reason : void_reasons)
      std::printf("  seed %llu is void: %s\n", static_cast<unsigned long long>(terms.seed),
                  reason.c_str());
    with_findings += findings.empty() ? 0 : 1;
    void_seeds += void_reasons.empty() ? 0 : 1;
    ++seeds_run;
    std::fflush(stdout);
  }
  std::printf("%u of %u seeds played, %u with findings, %u void\n", seeds_run, a.seeds,
              with_findings, void_seeds);
  return with_findings + void_seeds == 0 && seeds_run == a.seeds ? 0 : 1;
}

// Returns the options of one side of a comparison. `side` is "-" (the scenario unchanged), settings
// KEY=VALUE separated by commas, or the path of a program.
Options parse_side(const RunArguments& arguments, const std::string& side) {
  auto a = arguments;
  if (side.find('=') != std::string::npos) {
    // Commas inside brackets are part of a value.
    std::string set;
    int depth = 0;
    for (const char c : side + ",") {
      depth += (c == '[') - (c == ']');
      if (c == ',' && depth == 0) {
        // The carrier is an option of the run, not a key of the scenario.
        if (set == "carrier=model" || set == "carrier=processes") {
          a.carrier = set.substr(set.find('=') + 1);
          set.clear();
        } else {
          a.sets.push_back(std::exchange(set, {}));
        }
      } else {
        set += c;
      }
    }
  } else if (side != "-") {
    if (a.carrier != "processes")
      throw ScenarioError(side +
                          ": programs are compared with --carrier processes; the model holds the "
                          "modules it was built with");
    if (access(side.c_str(), X_OK) != 0)
      throw ScenarioError(side + ": neither settings KEY=VALUE nor a program that can be run");
    a.program = side;
  }
  a.out.clear();
  return make_options(a);
}

int compare_sides(const RunArguments& a, const CompareArguments& c) {
  const auto known_figures = world::RunStats::names();
  for (const auto& f : c.figures)
    if (std::ranges::find(known_figures, f) == known_figures.end())
      throw ScenarioError("--figure " + f + ": there is no such figure");
  const auto result = compare(parse_side(a, c.a), parse_side(a, c.b), a.seed, c.seeds, c.figures);
  if (isatty(STDERR_FILENO) != 0) std::fprintf(stderr, "\r%100s\r", "");
  std::printf("%s on %s, seeds %llu to %llu, in turn; median (least to most)\nA %s\nB %s\n",
              a.scenario.c_str(), a.carrier.c_str(), static_cast<unsigned long long>(a.seed),
              static_cast<unsigned long long>(a.seed + c.seeds - 1), c.a.c_str(), c.b.c_str());
  std::printf("%-20s %-28s %-28s %s\n", "figure", "A", "B", "B less A, seed by seed");
  const auto text = [](const Spread& s) {
    char spread[64];
    std::snprintf(spread, sizeof spread, "%.4g (%.4g to %.4g)", s.median, s.least, s.most);
    return std::string(spread);
  };
  for (const auto& f : result.rows)
    std::printf("%-20s %-28s %-28s %s\n", f.figure.c_str(), text(f.a).c_str(), text(f.b).c_str(),
                text(f.difference).c_str());
  for (const auto& problem : result.problems) std::printf("%s\n", problem.c_str());
  return result.problems.empty() && !result.stopped ? 0 : 1;
}

int list_scenarios(const std::string& folder) {
  std::vector<std::filesystem::path> paths;
  std::error_code error;
  for (const auto& e : std::filesystem::directory_iterator(folder, error))
    if (e.path().extension() == ".toml") paths.push_back(e.path());
  if (error) throw ScenarioError(folder + ": " + error.message());
  std::ranges::sort(paths);
  for (const auto& path : paths) {
    const auto s = read_scenario(path.string());
    std::printf("%-24s %3u nodes %3u servers %3.0f s  %s\n", s.name.c_str(), s.fleet.nodes,
                s.servers.count, s.fleet.seconds, s.shows.c_str());
  }
  return 0;
}

int print_report(const ReportArguments& r) {
  const auto warning = write_report({r.run_folders.begin(), r.run_folders.end()}, r.page_path);
  if (!warning.empty()) std::cerr << warning << '\n';
  std::printf("%s\n", r.page_path.c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Plays scenarios of faults against the edge nodes and tells what came of it.",
               "petrelrail-lab"};
  app.require_subcommand(1);
  RunArguments run_arguments;
  auto* run_command = app.add_subcommand(
      "run", "play a scenario: exit 0 if rules and expectations hold, 1 if not, 3 after a crash");
  run_command
      ->add_option("scenario", run_arguments.scenario, "a TOML file, as docs/lab.md tells it")
      ->required();
  run_command
      ->add_option("--carrier", run_arguments.carrier,
                   "model (one simulated clock) or processes (real ones over loopback)")
      ->check(CLI::IsMember({"model", "processes"}))
      ->capture_default_str();
  run_command->add_option("--nodes", run_arguments.nodes,
                          "edge nodes, instead of the scenario's number");
  run_command->add_option("--seed", run_arguments.seed, "of all that is drawn")
      ->capture_default_str();
  run_command
      ->add_option("--set", run_arguments.sets,
                   "KEY=VALUE laid over the scenario; may be given again")
      ->allow_extra_args(false);
  run_command->add_option("--out", run_arguments.out,
                          "folder for events.jsonl, figures.json and the nodes' logs");
  run_command->add_option("--program", run_arguments.program,
                          "the edge node to start; by default the one beside this tool");
  run_command->add_flag("--trace", run_arguments.trace,
                        "write every record of every request to events.jsonl");
  run_command->add_flag("--quiet", run_arguments.quiet, "no progress line");
  run_command
      ->add_option("--most-lag-ms", run_arguments.max_lag_ms,
                   "99th percentile of the lab's own lag beyond which a play is void")
      ->capture_default_str();
  CompareArguments compare_arguments;
  auto* compare_command = app.add_subcommand(
      "compare", "play a scenario with A and with B in turn, and tell the differences with spread");
  compare_command
      ->add_option(
          "A", compare_arguments.a,
          "a program (with --carrier processes), settings KEY=VALUE,KEY=VALUE, carrier=model or "
          "carrier=processes, or - for as it is")
      ->required();
  compare_command->add_option("B", compare_arguments.b, "the same")->required();
  compare_command->add_option("--scenario", run_arguments.scenario, "a TOML file")->required();
  compare_command->add_option("--carrier", run_arguments.carrier, "model or processes")
      ->check(CLI::IsMember({"model", "processes"}))
      ->capture_default_str();
  compare_command->add_option("--seeds", compare_arguments.seeds, "how many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  compare_command->add_option("--seed", run_arguments.seed, "the first of them")
      ->capture_default_str();
  compare_command->add_option("--nodes", run_arguments.nodes,
                              "edge nodes, instead of the scenario's number");
  compare_command
      ->add_option("--set", run_arguments.sets, "KEY=VALUE laid over the scenario, on both sides")
      ->allow_extra_args(false);
  compare_command->add_option("--figure", compare_arguments.figures,
                              "which figures; may be given again");
  compare_command
      ->add_option("--most-lag-ms", run_arguments.max_lag_ms,
                   "of the lab itself, beyond which a play is void")
      ->capture_default_str();
  ReportArguments report_arguments;
  auto* report_command = app.add_subcommand("report",
                                            "make one HTML page of the plays in some folders");
  report_command
      ->add_option("plays", report_arguments.run_folders, "folders that run --out has written")
      ->required();
  report_command->add_option("--to", report_arguments.page_path, "the page")->capture_default_str();
  std::string folder = std::filesystem::exists("lab/scenarios")
                           ? "lab/scenarios"
                           : (path_beside_executable("..") / "lab" / "scenarios").string();
  auto* list_command = app.add_subcommand("list",
                                          "list the scenarios of a folder, with what each shows");
  list_command->add_option("folder", folder, "where they are")->capture_default_str();
  auto* check_command = app.add_subcommand(
      "check", "read a scenario and say whether it makes sense: exit 0 or 2");
  check_command->add_option("scenario", run_arguments.scenario, "a TOML file")->required();
  check_command->add_option("--set", run_arguments.sets, "KEY=VALUE laid over the scenario")
      ->allow_extra_args(false);
  SoakArguments soak_arguments;
  auto* soak_command = app.add_subcommand(
      "soak",
      "play random overlapping faults on real processes, by seed: exit 0 if no rule is broken");
  soak_command->add_option("--seed", soak_arguments.first_seed, "the first one")
      ->capture_default_str();
  soak_command->add_option("--seeds", soak_arguments.seeds, "how many")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  soak_command->add_option("--nodes", soak_arguments.nodes, "edge nodes")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  soak_command->add_option("--seconds", soak_arguments.seconds, "that clients ask for")
      ->check(CLI::Range(2.0, 600.0))
      ->capture_default_str();
  soak_command
      ->add_option("--crowd", soak_arguments.crowd,
                   "in every third run, connections to each node that make it hold much")
      ->check(CLI::Range(0, 500))
      ->capture_default_str();
  soak_command->add_option("--out", soak_arguments.out, "folder for each seed's events and logs");
  soak_command->add_option("--program", soak_arguments.program,
                           "the edge node to start; by default the one beside this tool");
  MembersStudy members_options;
  auto* members_command = app.add_subcommand(
      "members",
      "measure membership alone, many seeds of each case: exit "
      "0 if every goal of docs/members.md holds");
  members_command->add_option("--case", members_options.cases,
                              "which; may be given again; by default all");
  members_command->add_option("--seeds", members_options.seeds, "how many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  members_command->add_option("--seed", members_options.first_seed, "the first of them")
      ->capture_default_str();
  members_command->add_option("--nodes", members_options.nodes, "instead of 300")
      ->check(CLI::Range(2, 4096));
  members_command
      ->add_option("--loss", members_options.loss,
                   "share of the datagrams lost, instead of the case's")
      ->check(CLI::Range(0.0, 0.95));
  members_command
      ->add_option("--seconds", members_options.seconds,
                   "how long a case lasts that has no end of its own")
      ->check(CLI::Range(1.0, 1e6));
  members_command->add_flag("--plain", members_options.plain,
                            "SWIM of 2002 at the same pace, to measure against");
  members_command
      ->add_option("--growth", members_options.growth,
                   "instead: a quiet fleet and one killed, with each of these numbers of nodes")
      ->check(CLI::Range(2, 4096));
  members_command->add_option("--plot", members_options.plot,
                              "an SVG file for the growth; needs gnuplot");
  DutyStudy duties_options;
  auto* duties_command = app.add_subcommand(
      "duties", "measure duties alone, or explore every interleaving of a small world");
  duties_command->add_option("--case", duties_options.cases,
                             "which; may be given again; by default all");
  duties_command->add_option("--seeds", duties_options.seeds, "how many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  duties_command->add_option("--seed", duties_options.first_seed, "the first of them")
      ->capture_default_str();
  duties_command->add_option("--nodes", duties_options.nodes, "instead of 300")
      ->check(CLI::Range(2, 4096));
  duties_command
      ->add_option("--loss", duties_options.loss, "share of the words lost, instead of the case's")
      ->check(CLI::Range(0.0, 0.95));
  duties_command
      ->add_option("--seconds", duties_options.seconds,
                   "how long a case lasts that has no end of its own")
      ->check(CLI::Range(1.0, 1e6));
  duties_command->add_flag("--members", duties_options.members,
                           "views by members instead of ones that learn late");
  duties_command->add_option(
      "--growth", duties_options.growth,
      "instead of cases: one held and one killed with these numbers of nodes");
  duties_command->add_flag("--explore", duties_options.explore,
                           "every interleaving of bounded worlds, and what broken variants show");
  duties_command->add_option("--depth", duties_options.depth, "of the explorer: steps at most");
  duties_command->add_option("--states", duties_options.states, "of the explorer: states at most");
  RecordsStudy records_options;
  auto* records_command = app.add_subcommand("records",
                                             "measure records alone, many seeds of each case");
  records_command->add_option("--case", records_options.cases,
                              "which; may be given again; by default all");
  records_command->add_option("--seeds", records_options.seeds, "how many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  records_command->add_option("--seed", records_options.first_seed, "the first of them")
      ->capture_default_str();
  JobsStudy jobs_options;
  auto* jobs_command = app.add_subcommand(
      "jobs", "measure jobs alone: how soon they go on, and all faults for long");
  jobs_command->add_option("--nodes", jobs_options.nodes, "of the recovery plays")
      ->check(CLI::Range(2, 4096))
      ->capture_default_str();
  jobs_command->add_option("--seeds", jobs_options.seeds, "of each")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  jobs_command->add_option("--seed", jobs_options.first_seed, "the first of them")
      ->capture_default_str();
  jobs_command->add_option("--minutes", jobs_options.minutes, "simulated, of all faults")
      ->check(CLI::Range(0.0, 1e6))
      ->capture_default_str();
  jobs_command->add_option("--threads", jobs_options.threads, "plays at once")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  ShadowStudy shadow_options;
  auto* shadow_command = app.add_subcommand("shadow",
                                            "measure the verdicts on a candidate shard map");
  shadow_command->add_option("--case", shadow_options.cases,
                             "which; may be given again; by default all");
  shadow_command->add_option("--maps", shadow_options.maps, "simulated for each case about errors")
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  shadow_command->add_option("--plays", shadow_options.plays, "for each case about time")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  shadow_command->add_option("--seed", shadow_options.first_seed, "the first of them")
      ->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kInvalidInputStatus;
  }
  std::signal(SIGPIPE, SIG_IGN);
  for (const int s : {SIGINT, SIGTERM, SIGHUP}) std::signal(s, [](int) { is_interrupted = 1; });
  try {
    if (run_command->parsed()) return run(run_arguments);
    if (compare_command->parsed()) return compare_sides(run_arguments, compare_arguments);
    if (report_command->parsed()) return print_report(report_arguments);
    if (soak_command->parsed()) return soak(soak_arguments);
    try {
      if (duties_command->parsed()) return duty_study(duties_options);
      if (records_command->parsed()) return records_study(records_options);
      if (jobs_command->parsed()) return jobs_study(jobs_options);
      if (shadow_command->parsed()) return study_shadow(shadow_options);
    } catch (const std::invalid_argument& x) {
      throw ScenarioError(x.what());
    }
    if (members_command->parsed()) {
      try {
        return study_members(members_options);
      } catch (const std::invalid_argument& x) {
        throw ScenarioError(x.what());
      }
    }
    if (list_command->parsed()) return list_scenarios(folder);
    if (check_command->parsed()) {
      const auto s = read_scenario(run_arguments.scenario, run_arguments.sets);
      std::printf("%s: %u nodes, %u servers, %.0f s, %zu faults, %zu expectations\n",
                  run_arguments.scenario.c_str(), s.fleet.nodes, s.servers.count, s.fleet.seconds,
                  s.faults.size(), s.expectations.size());
      return 0;
    }
  } catch (const ScenarioError& x) {
    std::cerr << x.what() << '\n';
    return kInvalidInputStatus;
  } catch (const std::exception& x) {
    std::cerr << "petrelrail-lab: " << x.what() << '\n';
    return kFailureStatus;
  }
  return kInvalidInputStatus;
}

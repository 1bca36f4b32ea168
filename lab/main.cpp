// petrelrail-lab: plays scenarios of faults against the edge nodes and tells what came of it.
// docs/lab.md.
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

constexpr int kBadInput = 2, kCrashed = 3;

volatile std::sig_atomic_t interrupted = 0;

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
  std::uint32_t seeds = 10, nodes = 24;
  double seconds = 15;
  std::string out, program;
};

struct ReportArguments {
  std::vector<std::string> plays;
  std::string to = "report.html";
};

std::filesystem::path beside_this_program(const char* name) {
  std::error_code ignored;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", ignored);
  return self.parent_path() / name;
}

Options options_of(const RunArguments& a) {
  auto sets = a.sets;
  if (a.nodes) sets.push_back("fleet.nodes=" + std::to_string(*a.nodes));
  Options o;
  o.scenario = read_scenario(a.scenario, sets);
  o.seed = a.seed;
  o.processes = a.carrier == "processes";
  if (!a.out.empty()) o.out = a.out;
  o.program = a.program.empty() ? beside_this_program("petrelrail")
                                : std::filesystem::path(a.program);
  o.trace = a.trace;
  o.max_lag_ms = a.max_lag_ms;
  o.should_stop = [] { return interrupted != 0; };
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
  const auto options = options_of(a);
  const auto outcome = run_scenario(options);
  if (isatty(STDERR_FILENO) != 0) std::fprintf(stderr, "\r%100s\r", "");
  print_summary(outcome);
  if (options.out) std::printf("written to %s\n", options.out->c_str());
  return outcome.status();
}

// Plays the seeds one after another; each that finds something is named with what it found.
int soak(const SoakArguments& a) {
  std::uint32_t seeds_played = 0, with_findings = 0, void_seeds = 0;
  for (std::uint32_t i = 0; i < a.seeds && interrupted == 0; ++i) {
    Options o;
    const SoakConfig terms{
        .seed = a.first_seed + i, .nodes = a.nodes, .seconds = a.seconds, .extended = true};
    o.scenario = soak_scenario(terms);
    o.seed = terms.seed, o.processes = true;
    o.program = a.program.empty() ? beside_this_program("petrelrail")
                                  : std::filesystem::path(a.program);
    o.system_faults = beside_this_program("libpetrelrail_system_faults.so");
    if (!a.out.empty()) o.out = std::filesystem::path(a.out) / o.scenario.name;
    o.trace = o.out.has_value();
    o.should_stop = [] { return interrupted != 0; };
    const auto played = run_scenario(o);
    print_summary(played);
    std::printf("  effect %s, deadline %.0f ms, wall clock %+.0f s\n",
                o.scenario.clients.effect.c_str(), o.scenario.clients.deadline_ms,
                o.scenario.system.step_s);
    for (const auto& effect : played.fault_effects)
      std::printf("  fault %s: touched %llu\n", effect.fault.c_str(),
                  static_cast<unsigned long long>(effect.affected));
    const auto findings = soak_findings(played);
    for (const auto& f : findings)
      std::printf("  seed %llu: %s\n", static_cast<unsigned long long>(terms.seed), f.c_str());
    const auto void_reasons = soak_void_reasons(played);
    for (const auto& reason : void_reasons)
      std::printf("  seed %llu is void: %s\n", static_cast<unsigned long long>(terms.seed),
                  reason.c_str());
    with_findings += findings.empty() ? 0 : 1;
    void_seeds += void_reasons.empty() ? 0 : 1;
    ++seeds_played;
    std::fflush(stdout);
  }
  std::printf("%u of %u seeds played, %u with findings, %u void\n", seeds_played, a.seeds,
              with_findings, void_seeds);
  return with_findings + void_seeds == 0 && seeds_played == a.seeds ? 0 : 1;
}

// A side of a comparison: "-" (as it is), settings KEY=VALUE with commas between, or a program.
Options side(const RunArguments& arguments, const std::string& what) {
  auto a = arguments;
  if (what.find('=') != std::string::npos) {
    // Commas inside of brackets belong to a value.
    std::string set;
    int depth = 0;
    for (const char c : what + ",") {
      depth += (c == '[') - (c == ']');
      if (c == ',' && depth == 0) {
        // Not of the scenario: who plays it.
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
  } else if (what != "-") {
    if (a.carrier != "processes")
      throw ScenarioError(what +
                          ": programs are compared with --carrier processes; the model holds the "
                          "modules it was built with");
    if (access(what.c_str(), X_OK) != 0)
      throw ScenarioError(what + ": neither settings KEY=VALUE nor a program that can be run");
    a.program = what;
  }
  a.out.clear();
  return options_of(a);
}

int compare_sides(const RunArguments& a, const CompareArguments& c) {
  const auto known = world::RunStats::names();
  for (const auto& f : c.figures)
    if (std::ranges::find(known, f) == known.end())
      throw ScenarioError("--figure " + f + ": there is no such figure");
  const auto result = compare(side(a, c.a), side(a, c.b), a.seed, c.seeds, c.figures);
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

int list(const std::string& folder) {
  std::vector<std::filesystem::path> found;
  std::error_code failed;
  for (const auto& e : std::filesystem::directory_iterator(folder, failed))
    if (e.path().extension() == ".toml") found.push_back(e.path());
  if (failed) throw ScenarioError(folder + ": " + failed.message());
  std::ranges::sort(found);
  for (const auto& path : found) {
    const auto s = read_scenario(path.string());
    std::printf("%-24s %3u nodes %3u servers %3.0f s  %s\n", s.name.c_str(), s.fleet.nodes,
                s.servers.count, s.fleet.seconds, s.shows.c_str());
  }
  return 0;
}

int report(const ReportArguments& r) {
  const auto missing = write_report({r.plays.begin(), r.plays.end()}, r.to);
  if (!missing.empty()) std::cerr << missing << '\n';
  std::printf("%s\n", r.to.c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Plays scenarios of faults against the edge nodes and tells what came of it.",
               "petrelrail-lab"};
  app.require_subcommand(1);
  RunArguments a;
  auto* run_verb = app.add_subcommand(
      "run", "play a scenario: exit 0 if rules and expectations hold, 1 if not, 3 after a crash");
  run_verb->add_option("scenario", a.scenario, "a TOML file, as docs/lab.md tells it")->required();
  run_verb
      ->add_option("--carrier", a.carrier,
                   "model (one simulated clock) or processes (real ones over loopback)")
      ->check(CLI::IsMember({"model", "processes"}))
      ->capture_default_str();
  run_verb->add_option("--nodes", a.nodes, "edge nodes, instead of the scenario's number");
  run_verb->add_option("--seed", a.seed, "of all that is drawn")->capture_default_str();
  run_verb->add_option("--set", a.sets, "KEY=VALUE laid over the scenario; may be given again")
      ->allow_extra_args(false);
  run_verb->add_option("--out", a.out, "folder for events.jsonl, figures.json and the nodes' logs");
  run_verb->add_option("--program", a.program,
                       "the edge node to start; by default the one beside this tool");
  run_verb->add_flag("--trace", a.trace, "write every record of every request to events.jsonl");
  run_verb->add_flag("--quiet", a.quiet, "no progress line");
  run_verb
      ->add_option("--most-lag-ms", a.max_lag_ms,
                   "99th percentile of the lab's own lag beyond which a play is void")
      ->capture_default_str();
  CompareArguments c;
  auto* compare_verb = app.add_subcommand(
      "compare", "play a scenario with A and with B in turn, and tell the differences with spread");
  compare_verb
      ->add_option(
          "A", c.a,
          "a program (with --carrier processes), settings KEY=VALUE,KEY=VALUE, carrier=model or "
          "carrier=processes, or - for as it is")
      ->required();
  compare_verb->add_option("B", c.b, "the same")->required();
  compare_verb->add_option("--scenario", a.scenario, "a TOML file")->required();
  compare_verb->add_option("--carrier", a.carrier, "model or processes")
      ->check(CLI::IsMember({"model", "processes"}))
      ->capture_default_str();
  compare_verb->add_option("--seeds", c.seeds, "how many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  compare_verb->add_option("--seed", a.seed, "the first of them")->capture_default_str();
  compare_verb->add_option("--nodes", a.nodes, "edge nodes, instead of the scenario's number");
  compare_verb->add_option("--set", a.sets, "KEY=VALUE laid over the scenario, on both sides")
      ->allow_extra_args(false);
  compare_verb->add_option("--figure", c.figures, "which figures; may be given again");
  compare_verb
      ->add_option("--most-lag-ms", a.max_lag_ms, "of the lab itself, beyond which a play is void")
      ->capture_default_str();
  ReportArguments r;
  auto* report_verb = app.add_subcommand("report",
                                         "make one HTML page of the plays in some folders");
  report_verb->add_option("plays", r.plays, "folders that run --out has written")->required();
  report_verb->add_option("--to", r.to, "the page")->capture_default_str();
  std::string folder = std::filesystem::exists("lab/scenarios")
                           ? "lab/scenarios"
                           : (beside_this_program("..") / "lab" / "scenarios").string();
  auto* list_verb = app.add_subcommand("list",
                                       "list the scenarios of a folder, with what each shows");
  list_verb->add_option("folder", folder, "where they are")->capture_default_str();
  auto* check_verb = app.add_subcommand(
      "check", "read a scenario and say whether it makes sense: exit 0 or 2");
  check_verb->add_option("scenario", a.scenario, "a TOML file")->required();
  check_verb->add_option("--set", a.sets, "KEY=VALUE laid over the scenario")
      ->allow_extra_args(false);
  SoakArguments k;
  auto* soak_verb = app.add_subcommand(
      "soak",
      "play random overlapping faults on real processes, by seed: exit 0 if no rule is broken");
  soak_verb->add_option("--seed", k.first_seed, "the first one")->capture_default_str();
  soak_verb->add_option("--seeds", k.seeds, "how many")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  soak_verb->add_option("--nodes", k.nodes, "edge nodes")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  soak_verb->add_option("--seconds", k.seconds, "that clients ask for")
      ->check(CLI::Range(2.0, 600.0))
      ->capture_default_str();
  soak_verb->add_option("--out", k.out, "folder for each seed's events and logs");
  soak_verb->add_option("--program", k.program,
                        "the edge node to start; by default the one beside this tool");
  MembersStudy m;
  auto* members_verb = app.add_subcommand("members",
                                          "measure membership alone, many seeds of each case: exit "
                                          "0 if every goal of docs/members.md holds");
  members_verb->add_option("--case", m.cases, "which; may be given again; by default all");
  members_verb->add_option("--seeds", m.seeds, "how many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  members_verb->add_option("--seed", m.first_seed, "the first of them")->capture_default_str();
  members_verb->add_option("--nodes", m.nodes, "instead of 300")->check(CLI::Range(2, 4096));
  members_verb->add_option("--loss", m.loss, "share of the datagrams lost, instead of the case's")
      ->check(CLI::Range(0.0, 0.95));
  members_verb
      ->add_option("--seconds", m.seconds, "how long a case lasts that has no end of its own")
      ->check(CLI::Range(1.0, 1e6));
  members_verb->add_flag("--plain", m.plain, "SWIM of 2002 at the same pace, to measure against");
  members_verb
      ->add_option("--growth", m.growth,
                   "instead: a quiet fleet and one killed, with each of these numbers of nodes")
      ->check(CLI::Range(2, 4096));
  members_verb->add_option("--plot", m.plot, "an SVG file for the growth; needs gnuplot");
  DutyStudy d;
  auto* duties_verb = app.add_subcommand(
      "duties", "measure duties alone, or explore every interleaving of a small world");
  duties_verb->add_option("--case", d.cases, "which; may be given again; by default all");
  duties_verb->add_option("--seeds", d.seeds, "how many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  duties_verb->add_option("--seed", d.first_seed, "the first of them")->capture_default_str();
  duties_verb->add_option("--nodes", d.nodes, "instead of 300")->check(CLI::Range(2, 4096));
  duties_verb->add_option("--loss", d.loss, "share of the words lost, instead of the case's")
      ->check(CLI::Range(0.0, 0.95));
  duties_verb
      ->add_option("--seconds", d.seconds, "how long a case lasts that has no end of its own")
      ->check(CLI::Range(1.0, 1e6));
  duties_verb->add_flag("--members", d.members, "views by members instead of ones that learn late");
  duties_verb->add_option("--growth", d.growth,
                          "instead of cases: one held and one killed with these numbers of nodes");
  duties_verb->add_flag("--explore", d.explore,
                        "every interleaving of bounded worlds, and what broken variants show");
  duties_verb->add_option("--depth", d.depth, "of the explorer: steps at most");
  duties_verb->add_option("--states", d.states, "of the explorer: states at most");
  RecordsStudy rs;
  auto* records_verb = app.add_subcommand("records",
                                          "measure records alone, many seeds of each case");
  records_verb->add_option("--case", rs.cases, "which; may be given again; by default all");
  records_verb->add_option("--seeds", rs.seeds, "how many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  records_verb->add_option("--seed", rs.first_seed, "the first of them")->capture_default_str();
  JobsStudy js;
  auto* jobs_verb = app.add_subcommand(
      "jobs", "measure jobs alone: how soon they go on, and all faults for long");
  jobs_verb->add_option("--nodes", js.nodes, "of the recovery plays")
      ->check(CLI::Range(2, 4096))
      ->capture_default_str();
  jobs_verb->add_option("--seeds", js.seeds, "of each")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  jobs_verb->add_option("--seed", js.first_seed, "the first of them")->capture_default_str();
  jobs_verb->add_option("--minutes", js.minutes, "simulated, of all faults")
      ->check(CLI::Range(0.0, 1e6))
      ->capture_default_str();
  jobs_verb->add_option("--threads", js.threads, "plays at once")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  ShadowStudy ss;
  auto* shadow_verb = app.add_subcommand("shadow", "measure the verdicts on a candidate shard map");
  shadow_verb->add_option("--case", ss.cases, "which; may be given again; by default all");
  shadow_verb->add_option("--maps", ss.maps, "simulated for each case about errors")
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  shadow_verb->add_option("--plays", ss.plays, "for each case about time")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  shadow_verb->add_option("--seed", ss.first_seed, "the first of them")->capture_default_str();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadInput;
  }
  std::signal(SIGPIPE, SIG_IGN);
  for (const int s : {SIGINT, SIGTERM, SIGHUP}) std::signal(s, [](int) { interrupted = 1; });
  try {
    if (run_verb->parsed()) return run(a);
    if (compare_verb->parsed()) return compare_sides(a, c);
    if (report_verb->parsed()) return report(r);
    if (soak_verb->parsed()) return soak(k);
    try {
      if (duties_verb->parsed()) return duty_study(d);
      if (records_verb->parsed()) return records_study(rs);
      if (jobs_verb->parsed()) return jobs_study(js);
      if (shadow_verb->parsed()) return study_shadow(ss);
    } catch (const std::invalid_argument& x) {
      throw ScenarioError(x.what());
    }
    if (members_verb->parsed()) {
      try {
        return study_members(m);
      } catch (const std::invalid_argument& x) {
        throw ScenarioError(x.what());
      }
    }
    if (list_verb->parsed()) return list(folder);
    if (check_verb->parsed()) {
      const auto s = read_scenario(a.scenario, a.sets);
      std::printf("%s: %u nodes, %u servers, %.0f s, %zu faults, %zu expectations\n",
                  a.scenario.c_str(), s.fleet.nodes, s.servers.count, s.fleet.seconds,
                  s.faults.size(), s.expectations.size());
      return 0;
    }
  } catch (const ScenarioError& x) {
    std::cerr << x.what() << '\n';
    return kBadInput;
  } catch (const std::exception& x) {
    std::cerr << "petrelrail-lab: " << x.what() << '\n';
    return kCrashed;
  }
  return kBadInput;
}

#include "members_study.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <thread>

#include "world/member_cases.hpp"

namespace petrelrail::lab {
namespace {

using namespace world;

struct Spread {
  double least = 0, median = 0, most = 0;
};
Spread compute_spread(std::vector<double> values) {
  std::ranges::sort(values);
  if (values.empty()) return {};
  return {values.front(), values[values.size() / 2], values.back()};
}
double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// Runs the case once for each seed, on all cores. The results do not depend on the number of cores.
std::vector<MemberCaseResult> run_seeds(const MemberCase& c, MemberCaseConfig terms,
                                        std::uint64_t first, std::uint32_t seeds) {
  std::vector<MemberCaseResult> results(seeds);
  std::atomic<std::uint32_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency()); ++w)
    workers.emplace_back([&, terms]() mutable {
      for (std::uint32_t i = next++; i < seeds; i = next++) {
        terms.seed = first + i;
        results[i] = c.run(terms);
      }
    });
  workers.clear();
  return results;
}

struct CaseResults {
  std::vector<MemberCaseResult> runs;
  Spread of(const std::string& figure) const {
    std::vector<double> values;
    for (const auto& p : runs)
      if (const auto it = p.values.find(figure); it != p.values.end()) values.push_back(it->second);
    return compute_spread(values);
  }
  // Percentile over all nodes and runs of the time until a node knows of the change, in seconds.
  double detection_percentile(double fraction) const {
    std::vector<double> all;
    for (const auto& p : runs)
      all.insert(all.end(), p.detection_times_s.begin(), p.detection_times_s.end());
    return percentile(all, fraction);
  }
};

std::string format_number(double x) {
  char t[32];
  std::snprintf(t, sizeof t, "%.4g", x);
  return t;
}

MemberCaseConfig make_terms(const MembersStudy& s, MemberCaseConfig t, bool own_loss = false) {
  if (s.nodes) t.nodes = *s.nodes;
  if (s.loss && !own_loss) t.loss = *s.loss;
  if (s.seconds) t.seconds = *s.seconds;
  t.plain_swim = s.plain;
  return t;
}

int print_cases(const MembersStudy& s) {
  bool all_goals_met = true;
  std::printf(
      "%u seeds from %llu; median (least to most); know: 99th percentile over nodes and seeds\n\n",
      s.seeds, static_cast<unsigned long long>(s.first_seed));
  std::printf(
      "| case | what | know | agree | failed wrongly | of these healthy | most in a second | bytes "
      "out a "
      "second | goals |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& c : member_cases()) {
    if (!s.cases.empty() && std::ranges::find(s.cases, c.name) == s.cases.end()) continue;
    const CaseResults results_of_case{
        run_seeds(c, make_terms(s, c.config, c.has_fixed_loss), s.first_seed, s.seeds)};
    const auto cell = [&](const char* figure) {
      const auto v = results_of_case.of(figure);
      return v.least == v.most ? format_number(v.most)
                               : format_number(v.median) + " (" + format_number(v.least) + " to " +
                                     format_number(v.most) + ")";
    };
    std::string missed_goals;
    for (const auto& g : c.goals) {
      const double worst = g.metric == "know_p99" ? results_of_case.detection_percentile(0.99)
                                                  : results_of_case.of(g.metric).most;
      if (worst > g.at_most)
        missed_goals += (missed_goals.empty() ? "" : ", ") + g.metric + " above " +
                        format_number(g.at_most);
    }
    const bool has_detection = !results_of_case.runs.front().detection_times_s.empty(),
               has_agreement = results_of_case.runs.front().values.contains("agree_s");
    std::printf(
        "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", c.name.c_str(), c.description.c_str(),
        has_detection ? (format_number(results_of_case.detection_percentile(0.99)) + " s").c_str()
                      : "",
        has_agreement ? (cell("agree_s") + " s").c_str() : "", cell("wrong").c_str(),
        cell("wrong_healthy").c_str(), cell("most_in").c_str(), cell("bytes_out_per_s").c_str(),
        missed_goals.empty() ? "hold" : missed_goals.c_str());
    std::fflush(stdout);
    all_goals_met = all_goals_met && missed_goals.empty();
  }
  return all_goals_met ? 0 : 1;
}

// Draws the growth with gnuplot, which reads the data from a temporary file beside `path`.
void draw_growth(const std::string& path, const std::string& data) {
  const auto input = path + ".data";
  std::ofstream(input) << data;
  const auto
      script = "set terminal svg size 900,320 background 'white'; set output '" + path +
               "'; set logscale x; set xlabel 'nodes'; set xtics (10,30,100,300,1000); set yrange "
               "[0:*]; set key outside; "
               "plot '" +
               input +
               "' using 1:2 with linespoints title 'datagrams out a node a second, quiet', '" +
               input +
               "' using 1:3 with linespoints title 's until all know of one killed, median', '" +
               input + "' using 1:4 with linespoints title 's, 99th percentile'";
  std::unique_ptr<FILE, int (*)(FILE*)> gnuplot(popen("gnuplot", "w"), pclose);
  if (!gnuplot) throw std::runtime_error("gnuplot can't be run");
  std::fputs((script + "\n").c_str(), gnuplot.get());
  gnuplot.reset();
  std::remove(input.c_str());
}

int print_growth(const MembersStudy& s) {
  std::string data;
  std::printf(
      "| nodes | datagrams out a second | bytes out a second | know, median | know, 99th "
      "percentile | most "
      "in a second |\n");
  std::printf("| --- | --- | --- | --- | --- | --- |\n");
  for (const auto n : s.growth) {
    auto terms = make_terms(s, {});
    terms.nodes = n, terms.seconds = s.seconds.value_or(60);
    const CaseResults quiet_results{run_seeds(member_case("quiet"), terms, s.first_seed, s.seeds)};
    const CaseResults kill_results{run_seeds(member_case("kill-5"), terms, s.first_seed, s.seeds)};
    const double most = std::max(quiet_results.of("most_in").most, kill_results.of("most_in").most);
    std::printf("| %u | %.2f | %.1f | %.2f s | %.2f s | %.0f |\n", n,
                quiet_results.of("datagrams_out_per_s").median,
                quiet_results.of("bytes_out_per_s").median, kill_results.detection_percentile(0.5),
                kill_results.detection_percentile(0.99), most);
    std::fflush(stdout);
    data += std::to_string(n) + " " +
            format_number(quiet_results.of("datagrams_out_per_s").median) + " " +
            format_number(kill_results.detection_percentile(0.5)) + " " +
            format_number(kill_results.detection_percentile(0.99)) + "\n";
  }
  if (!s.plot.empty()) draw_growth(s.plot, data);
  return 0;
}

}  // namespace

int study_members(const MembersStudy& s) {
  for (const auto& name : s.cases) member_case(name);
  return s.growth.empty() ? print_cases(s) : print_growth(s);
}

}  // namespace petrelrail::lab

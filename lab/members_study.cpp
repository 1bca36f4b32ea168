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
Spread spread(std::vector<double> values) {
  std::ranges::sort(values);
  if (values.empty()) return {};
  return {values.front(), values[values.size() / 2], values.back()};
}
double percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

// One play for each seed, on all cores; the same whatever the cores.
std::vector<MemberCaseResult> play_seeds(const MemberCase& c, MemberCaseConfig terms,
                                         std::uint64_t first, std::uint32_t seeds) {
  std::vector<MemberCaseResult> found(seeds);
  std::atomic<std::uint32_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency()); ++w)
    workers.emplace_back([&, terms]() mutable {
      for (std::uint32_t i = next++; i < seeds; i = next++) {
        terms.seed = first + i;
        found[i] = c.run(terms);
      }
    });
  workers.clear();
  return found;
}

struct Row {
  std::vector<MemberCaseResult> plays;
  Spread of(const std::string& figure) const {
    std::vector<double> values;
    for (const auto& p : plays)
      if (const auto it = p.values.find(figure); it != p.values.end()) values.push_back(it->second);
    return spread(values);
  }
  double know(double part) const {
    std::vector<double> all;
    for (const auto& p : plays)
      all.insert(all.end(), p.detection_times_s.begin(), p.detection_times_s.end());
    return percentile(all, part);
  }
};

std::string text(double x) {
  char t[32];
  std::snprintf(t, sizeof t, "%.4g", x);
  return t;
}

MemberCaseConfig terms_of(const MembersStudy& s, MemberCaseConfig t, bool own_loss = false) {
  if (s.nodes) t.nodes = *s.nodes;
  if (s.loss && !own_loss) t.loss = *s.loss;
  if (s.seconds) t.seconds = *s.seconds;
  t.plain_swim = s.plain;
  return t;
}

int print_cases(const MembersStudy& s) {
  bool holds = true;
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
    const Row row{play_seeds(c, terms_of(s, c.config, c.has_fixed_loss), s.first_seed, s.seeds)};
    const auto cell = [&](const char* figure) {
      const auto v = row.of(figure);
      return v.least == v.most
                 ? text(v.most)
                 : text(v.median) + " (" + text(v.least) + " to " + text(v.most) + ")";
    };
    std::string missed;
    for (const auto& g : c.goals) {
      const double worst = g.metric == "know_p99" ? row.know(0.99) : row.of(g.metric).most;
      if (worst > g.at_most)
        missed += (missed.empty() ? "" : ", ") + g.metric + " above " + text(g.at_most);
    }
    const bool knows = !row.plays.front().detection_times_s.empty(),
               agrees = row.plays.front().values.contains("agree_s");
    std::printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", c.name.c_str(),
                c.description.c_str(), knows ? (text(row.know(0.99)) + " s").c_str() : "",
                agrees ? (cell("agree_s") + " s").c_str() : "", cell("wrong").c_str(),
                cell("wrong_healthy").c_str(), cell("most_in").c_str(),
                cell("bytes_out_per_s").c_str(), missed.empty() ? "hold" : missed.c_str());
    std::fflush(stdout);
    holds = holds && missed.empty();
  }
  return holds ? 0 : 1;
}

// gnuplot draws it; the data stand in the file that it reads.
void draw(const std::string& path, const std::string& data) {
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
    auto terms = terms_of(s, {});
    terms.nodes = n, terms.seconds = s.seconds.value_or(60);
    const Row calm{play_seeds(member_case("quiet"), terms, s.first_seed, s.seeds)};
    const Row kill{play_seeds(member_case("kill-5"), terms, s.first_seed, s.seeds)};
    const double most = std::max(calm.of("most_in").most, kill.of("most_in").most);
    std::printf("| %u | %.2f | %.1f | %.2f s | %.2f s | %.0f |\n", n,
                calm.of("datagrams_out_per_s").median, calm.of("bytes_out_per_s").median,
                kill.know(0.5), kill.know(0.99), most);
    std::fflush(stdout);
    data += std::to_string(n) + " " + text(calm.of("datagrams_out_per_s").median) + " " +
            text(kill.know(0.5)) + " " + text(kill.know(0.99)) + "\n";
  }
  if (!s.plot.empty()) draw(s.plot, data);
  return 0;
}

}  // namespace

int study_members(const MembersStudy& s) {
  for (const auto& name : s.cases) member_case(name);
  return s.growth.empty() ? print_cases(s) : print_growth(s);
}

}  // namespace petrelrail::lab

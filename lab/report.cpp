#include "report.hpp"

#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace petrelrail::lab {
namespace {

using nlohmann::json;

std::string escape_html(const std::string& text) {
  std::string result;
  for (const char c : text) switch (c) {
      case '&': result += "&amp;"; break;
      case '<': result += "&lt;"; break;
      case '>': result += "&gt;"; break;
      case '"': result += "&quot;"; break;
      default: result += c;
    }
  return result;
}

std::string number(double x) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", x);
  return text;
}

json read_figures(const std::filesystem::path& folder) {
  const auto path = folder / "figures.json";
  std::ifstream file(path);
  auto j = json::parse(file, nullptr, false);
  if (!file || j.is_discarded() || !j.contains("by_second"))
    throw std::runtime_error(path.string() + " holds no figures of a play");
  return j;
}

struct Series {
  const char* title;
  std::string key;  // in the counts of one second
};
struct Plot {
  const char* title;
  const char* unit;
  std::vector<Series> series;
};
const std::vector<Plot>& plots() {
  static const std::vector<Plot> all{
      {"Requests",
       "a second",
       {{"asked", "asked"},
        {"served", "served"},
        {"tries refused", "refused"},
        {"tries failed", "failed"},
        {"node unreachable", "unreachable"}}},
      {"Time to a 200", "ms", {{"half within", "p50_ms"}, {"99% within", "p99_ms"}}},
      {"Counter and connections",
       "a second",
       {{"counter calls", "calls"},
        {"of them unanswered", "calls_mute"},
        {"handshakes", "handshakes"},
        {"sent on beyond quotas", "beyond"}}},
  };
  return all;
}

// Returns the plot as SVG, drawn by gnuplot; empty where gnuplot can't be run.
std::string render_svg(const json& run, const Plot& plot) {
  std::string name = (std::filesystem::temp_directory_path() / "petrelrail-plot-XXXXXX").string();
  const int file = mkstemp(name.data());
  if (file < 0) return {};
  close(file);
  std::ostringstream script;
  script << "set terminal svg size 900,300 dynamic font 'sans,11'\nset output '" << name << "'\n"
         << "set xlabel 's'\nset ylabel '" << plot.unit << "'\nset xrange [0:" << run["seconds"]
         << "]\nset yrange [0:*]\n"
         << "set key outside right top\nset grid ytics lc rgb '#dddddd'\nset style fill solid\n$d "
            "<< EOD\n";
  std::size_t second = 0;
  for (const auto& s : run["by_second"]) {
    script << static_cast<double>(second++) + 0.5;
    for (const auto& l : plot.series) script << ' ' << s.value(l.key, 0.0);
    script << '\n';
  }
  script << "EOD\n";
  int object = 0;
  for (const auto& f : run["faults"]) {
    const double at = f["at"], lasts = f["for"];
    ++object;
    if (lasts > 0)
      script << "set object " << object << " rectangle from " << at << ", graph 0 to " << at + lasts
             << ", graph 1 fc rgb '#f4d6d2' fs solid 0.5 noborder behind\n";
    script << "set arrow from " << at << ", graph 0 to " << at
           << ", graph 1 nohead lc rgb '#c0392b'\n";
  }
  script << "plot ";
  for (std::size_t i = 0; i < plot.series.size(); ++i)
    script << (i > 0 ? ", " : "") << "$d using 1:" << i + 2 << " with lines lw 1.6 title '"
           << plot.series[i].title << "'";
  script << '\n';
  FILE* gnuplot = popen("gnuplot 2>/dev/null", "w");
  bool succeeded = gnuplot != nullptr;
  if (succeeded) {
    const auto text = script.str();
    succeeded = std::fwrite(text.data(), 1, text.size(), gnuplot) == text.size();
    succeeded = pclose(gnuplot) == 0 && succeeded;
  }
  std::ostringstream svg;
  svg << std::ifstream(name).rdbuf();
  std::filesystem::remove(name);
  const auto text = svg.str();
  const auto from = text.find("<svg");
  return succeeded && from != std::string::npos ? text.substr(from) : std::string();
}

constexpr const char* kStyle =
    "body{font:15px/1.45 sans-serif;margin:2em "
    "auto;max-width:960px;color:#222}table{border-collapse:collapse;margin:1em 0}"
    "td,th{padding:.2em .8em;border-bottom:1px solid "
    "#ddd;text-align:right}td:first-child,th:first-child{text-align:left}"
    ".bad{color:#b03020}.good{color:#1e7a3c}h2{margin-top:2em}svg{max-width:100%;height:auto}";

// Figures of the table at the head of the page, in its order.
constexpr std::array kReportedFigures{"asked",          "served_share",
                                      "refused_share",  "failed_share",
                                      "late_share",     "lost",
                                      "worth",          "g",
                                      "beyond_share",   "p50_ms",
                                      "p99_ms",         "handshakes_per_try",
                                      "calls_per_s",    "calls_mute_share",
                                      "datagrams",      "most_datagrams_in",
                                      "cpu_us_per_try", "memory_mb",
                                      "breaches"};

}  // namespace

std::string write_report(const std::vector<std::filesystem::path>& run_folders,
                         const std::filesystem::path& page_path) {
  std::vector<json> runs;
  for (const auto& f : run_folders) runs.push_back(read_figures(f));
  std::ostringstream html;
  bool has_all_plots = true;
  html << "<!doctype html>\n<html lang=\"en\"><head><meta "
          "charset=\"utf-8\"><title>petrelrail-lab</title><style>"
       << kStyle
       << "</style></head><body>\n<h1>Plays of the fleet lab</h1>\n<table><tr><th>figure</th>";
  for (const auto& run : runs)
    html << "<th>" << escape_html(run["scenario"]) << "<br>" << escape_html(run["carrier"]) << ", "
         << run["nodes"] << " nodes, seed " << run["seed"] << "</th>";
  html << "</tr>\n";
  for (const char* name : kReportedFigures) {
    html << "<tr><td>" << name << "</td>";
    for (const auto& run : runs)
      html << "<td>" << number(run["figures"].value(name, 0.0)) << "</td>";
    html << "</tr>\n";
  }
  html << "</table>\n";
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const auto& run = runs[i];
    html << "<h2>" << escape_html(run["scenario"]) << " (" << escape_html(run["carrier"]) << ", "
         << run["nodes"] << " nodes, " << run["servers"] << " servers, seed " << run["seed"]
         << ")</h2>\n<p>" << escape_html(run["shows"]) << "</p>\n<ul>\n";
    for (const auto& f : run["faults"]) {
      html << "<li>at " << number(f["at"]) << " s";
      if (f["for"] > 0) html << " for " << number(f["for"]) << " s";
      html << ": " << escape_html(f["what"]) << "</li>\n";
    }
    html << "</ul>\n";
    for (const auto& e : run["expectations"])
      html << "<p class=\"" << (e["holds"] ? "good" : "bad") << "\">"
           << (e["holds"] ? "holds: " : "does not hold: ") << escape_html(e["text"]) << "</p>\n";
    for (const auto& b : run["rules"]) html << "<p class=\"bad\">" << escape_html(b) << "</p>\n";
    for (const auto& plot : plots()) {
      const auto svg = render_svg(run, plot);
      has_all_plots = has_all_plots && !svg.empty();
      if (!svg.empty()) html << "<h3>" << plot.title << "</h3>\n" << svg << '\n';
    }
    html << "<table><tr><th>zone</th><th>asked</th><th>served</th><th>refused</th><th>failed</"
            "th><th>counter "
            "calls</th></tr>\n";
    std::size_t zone = 0;
    for (const auto& z : run["by_zone"])
      html << "<tr><td>" << zone++ << "</td><td>" << z["asked"] << "</td><td>" << z["served"]
           << "</td><td>" << z["refused"] << "</td><td>" << z["failed"] << "</td><td>" << z["calls"]
           << "</td></tr>\n";
    html << "</table>\n";
  }
  html << "</body></html>\n";
  std::ofstream out(page_path);
  out << html.str();
  if (!out.flush()) throw std::runtime_error(page_path.string() + " can't be written");
  return has_all_plots
             ? ""
             : "the page holds no plots: gnuplot can't be run (Debian package gnuplot-nox)";
}

}  // namespace petrelrail::lab

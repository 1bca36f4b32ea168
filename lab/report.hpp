// Writes one self-contained HTML page about one or more runs, with plots over time that mark the
// faults. Draws the plots with gnuplot.
#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace petrelrail::lab {

// Writes the page about the runs whose output is in `run_folders`. Returns a message if the page
// has no plots, else "". Throws std::runtime_error where a folder holds no figures.json of a run or
// the page can't be written.
std::string write_report(const std::vector<std::filesystem::path>& run_folders,
                         const std::filesystem::path& page_path);

}  // namespace petrelrail::lab

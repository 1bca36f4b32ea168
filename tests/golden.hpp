// Golden files: the program's external formats (datagrams, records, hand-over state, metrics,
// messages), recorded once in tests/golden and compared with the current output. With
// PETRELRAIL_RECORD_GOLDEN set the files are rewritten and the test fails, so that a recording is
// never taken for a pass.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>

namespace petrelrail::test {

inline std::filesystem::path golden_path(const std::string& name) {
  return std::filesystem::path(GOLDEN_FOLDER) / name;
}

inline std::string read_golden(const std::string& name) {
  std::ifstream file(golden_path(name), std::ios::binary);
  EXPECT_TRUE(file) << "no golden file " << name;
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void expect_golden(const std::string& name, const std::string& text) {
  if (std::getenv("PETRELRAIL_RECORD_GOLDEN") != nullptr) {
    std::ofstream(golden_path(name), std::ios::binary) << text;
    ADD_FAILURE() << "recorded " << name;
    return;
  }
  EXPECT_EQ(text, read_golden(name)) << "tests/golden/" << name;
}

inline std::string hex_text(const std::string& bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

// Collects the path and type of every value of a document. Only arrays of objects are entered,
// because other arrays may be empty in one run and not in the next. Numbers at the end of a name
// are replaced by N.
inline void collect_paths(const nlohmann::json& value, const std::string& path,
                          std::set<std::string>& paths) {
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) {
      std::string name = key;
      while (!name.empty() && name.back() >= '0' && name.back() <= '9') name.pop_back();
      if (name.size() < key.size()) name += "N";
      collect_paths(inner, path + "/" + name, paths);
    }
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    for (const auto& inner : value) collect_paths(inner, path + "/[]", paths);
  } else {
    paths.insert(path + " " + (value.is_number() ? "number" : value.type_name()));
  }
}

inline std::string paths_of(const nlohmann::json& document) {
  std::set<std::string> paths;
  collect_paths(document, "", paths);
  std::string text;
  for (const auto& path : paths) text += path + "\n";
  return text;
}

}  // namespace petrelrail::test

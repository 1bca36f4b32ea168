// How the lab writes a price server's answer on its connection: framing, number of writes, and
// defects such as truncation or trailing bytes. Encodes text only; process_runtime.cpp writes it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "world/random_streams.hpp"
#include "world/scenario.hpp"

namespace petrelrail::lab {

struct AnswerForm {
  enum class Framing { length, chunked, until_close };
  Framing framing = Framing::length;
  bool has_trailing_bytes = false;  // bytes follow the complete answer
  bool is_truncated = false;        // the connection ends in the middle of the answer
  bool ends_by_reset = false;       // if truncated: by a TCP reset instead of an orderly close
  std::size_t pieces = 1;           // number of writes, with a pause between them
};

// Draws the form of one answer. The simulation decides whether it is truncated.
AnswerForm draw_answer_form(const world::ResponseDeliveryConfig& terms, world::RandomStreams& dice,
                            bool is_truncated);

// Returns the encoded answer, split into the pieces that are written one by one.
std::vector<std::string> encode_answer(const AnswerForm& form, std::string_view status_line,
                                       std::string_view body);

}  // namespace petrelrail::lab

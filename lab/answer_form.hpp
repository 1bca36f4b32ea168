// How a price server's answer goes over its connection: framing, pieces, and what is spoilt about
// it.
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
  bool bytes_behind = false;  // more comes behind the whole answer
  bool breaks = false;        // it is never whole: its connection ends, or is reset, in the middle
  bool by_reset = false;
  std::size_t pieces = 1;  // writes with a pause between
};

// The form of one answer, drawn anew for each. `breaks` is the world's decision.
AnswerForm draw_form(const world::ResponseDeliveryConfig& terms, world::RandomStreams& dice,
                     bool breaks);

// The answer as the pieces in which it is written.
std::vector<std::string> pieces_of(const AnswerForm& form, std::string_view status_line,
                                   std::string_view body);

}  // namespace petrelrail::lab

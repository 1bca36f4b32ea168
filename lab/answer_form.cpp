#include "answer_form.hpp"

#include <cstdio>

namespace petrelrail::lab {
namespace {

constexpr std::string_view kTrailingBytes = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother";
constexpr std::uint64_t kMaxExtraPieces = 4;
// Both the share of the body that a truncated answer lacks and the probability of a reset.
constexpr double kBreakShare = 0.5;

std::string chunked_body(std::string_view body) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  return size + std::string(body) + "\r\n0\r\n\r\n";
}

}  // namespace

AnswerForm draw_answer_form(const world::ResponseDeliveryConfig& terms, world::RandomStreams& dice,
                            bool is_truncated) {
  AnswerForm form;
  if (dice.chance(terms.chunked))
    form.framing = AnswerForm::Framing::chunked;
  else if (dice.chance(terms.until_close))
    form.framing = AnswerForm::Framing::until_close;
  form.has_trailing_bytes = form.framing != AnswerForm::Framing::until_close &&
                            dice.chance(terms.trailing_bytes);
  form.is_truncated = is_truncated;
  // An answer framed by the connection's end would look complete after an orderly close.
  form.ends_by_reset = form.framing == AnswerForm::Framing::until_close || dice.chance(kBreakShare);
  if (dice.chance(terms.fragmented)) form.pieces = 2 + dice.below(kMaxExtraPieces);
  return form;
}

std::vector<std::string> encode_answer(const AnswerForm& form, std::string_view status_line,
                                       std::string_view body) {
  std::string text(status_line);
  switch (form.framing) {
    case AnswerForm::Framing::length:
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
      break;
    case AnswerForm::Framing::chunked:
      text += "Transfer-Encoding: chunked\r\n\r\n" + chunked_body(body);
      break;
    case AnswerForm::Framing::until_close:
      text += "Connection: close\r\n\r\n" + std::string(body);
      break;
  }
  if (form.is_truncated)
    text.resize(text.size() -
                static_cast<std::size_t>(kBreakShare * static_cast<double>(body.size())) - 1);
  else if (form.has_trailing_bytes)
    text += kTrailingBytes;
  std::vector<std::string> pieces;
  const std::size_t size = text.size() / form.pieces + 1;
  for (std::size_t offset = 0; offset < text.size(); offset += size)
    pieces.push_back(text.substr(offset, size));
  return pieces;
}

}  // namespace petrelrail::lab

#include "answer_form.hpp"

#include <cstdio>

namespace petrelrail::lab {
namespace {

constexpr std::string_view kBytesBehind = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother";
constexpr std::uint64_t kMostPieces = 4;
constexpr double kBreakShare = 0.5;  // of its text that has come when an answer breaks

std::string chunked(std::string_view body) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  return size + std::string(body) + "\r\n0\r\n\r\n";
}

}  // namespace

AnswerForm draw_form(const world::ResponseDeliveryConfig& terms, world::RandomStreams& dice,
                     bool breaks) {
  AnswerForm form;
  if (dice.chance(terms.chunked))
    form.framing = AnswerForm::Framing::chunked;
  else if (dice.chance(terms.until_close))
    form.framing = AnswerForm::Framing::until_close;
  form.bytes_behind = form.framing != AnswerForm::Framing::until_close &&
                      dice.chance(terms.trailing_bytes);
  form.breaks = breaks;
  // An orderly end would be the end of an answer that has no other.
  form.by_reset = form.framing == AnswerForm::Framing::until_close || dice.chance(kBreakShare);
  if (dice.chance(terms.fragmented)) form.pieces = 2 + dice.below(kMostPieces);
  return form;
}

std::vector<std::string> pieces_of(const AnswerForm& form, std::string_view status_line,
                                   std::string_view body) {
  std::string text(status_line);
  switch (form.framing) {
    case AnswerForm::Framing::length:
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
      break;
    case AnswerForm::Framing::chunked:
      text += "Transfer-Encoding: chunked\r\n\r\n" + chunked(body);
      break;
    case AnswerForm::Framing::until_close:
      text += "Connection: close\r\n\r\n" + std::string(body);
      break;
  }
  if (form.breaks)
    text.resize(text.size() -
                static_cast<std::size_t>(kBreakShare * static_cast<double>(body.size())) - 1);
  else if (form.bytes_behind)
    text += kBytesBehind;
  std::vector<std::string> pieces;
  const std::size_t size = text.size() / form.pieces + 1;
  for (std::size_t at = 0; at < text.size(); at += size) pieces.push_back(text.substr(at, size));
  return pieces;
}

}  // namespace petrelrail::lab

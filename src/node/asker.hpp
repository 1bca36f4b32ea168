// Who waits for the final answer of a request: a client's session, or a part of the node that asks in a client's name.
#pragma once

#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "petrelrail/gateway.hpp"

namespace petrelrail {

struct Answer {
  boost::beast::http::status status{};
  std::string body, content_type;
  Duration retry_after{};
};

// An answer that passes on in pieces.
struct AnswerHead {
  std::string content_type;
  std::optional<std::uint64_t> length;  // none: not known before its end
};

class Asker {
 public:
  virtual ~Asker() = default;
  // Whether somebody still waits, asked in the moment in which an attempt would be written.
  virtual bool waits() = 0;
  // Just one of these: a whole answer, or one in pieces. The next piece may come when the last one has been taken; an answer
  // that is cut off leaves the asker able to tell.
  virtual void answer(const Answer& answer) = 0;
  virtual void begin(const AnswerHead& head) = 0;
  virtual void pass_on(std::string_view piece, std::function<void()> taken) = 0;
  virtual void end() = 0;
  virtual void cut_off() = 0;
};

}  // namespace petrelrail

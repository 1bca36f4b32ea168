// Interface of the receiver of a request's final response: a client's session, or a part of the
// node that makes requests on a customer's behalf. Node calls it.
#pragma once

#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "petrelrail/gateway.hpp"
#include "policy/client_presence.hpp"

namespace petrelrail {

struct Response {
  boost::beast::http::status status{};
  std::string body, content_type;
  Duration retry_after{};
};

// Of a streamed response.
struct ResponseHead {
  std::string content_type;
  std::optional<std::uint64_t> length;  // none: unknown
};

class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // Whether somebody still waits for the response; checked just before an attempt is written.
  virtual policy::ClientPresence client_presence() = 0;
  // Exactly one response per request: either send(), or begin_stream(), any number of chunks, and
  // end_stream() or abort(). The next chunk may follow once `on_written` was called. After abort()
  // the receiver can tell that the response is truncated.
  virtual void send(const Response& response) = 0;
  virtual void begin_stream(const ResponseHead& head) = 0;
  virtual void write_chunk(std::string_view chunk, std::function<void()> on_written) = 0;
  virtual void end_stream() = 0;
  virtual void abort() = 0;
};

}  // namespace petrelrail

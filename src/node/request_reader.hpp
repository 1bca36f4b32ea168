// Reads a request's method, target and header fields as PROTOCOL, "Clients", defines them. Called
// by HttpSession; framing and parsing of the message are done before.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <memory>
#include <stdexcept>
#include <string>

#include "chunk_body.hpp"
#include "client_request.hpp"

namespace petrelrail {

using ParsedRequest = http::request<ChunkBody>;

// A request that is refused, and the status of the response.
struct RequestError : std::runtime_error {
  RequestError(http::status answer_status, const std::string& message)
      : std::runtime_error(message), status(answer_status) {}
  http::status status;
};

// Moves the body out of `message`, whose last bytes were received at `received`. With
// `body_pending` the rest of the body is still to come, and the request's time does not count yet.
// Throws RequestError, whose text names the field.
ClientRequest read_request(ParsedRequest& message, std::shared_ptr<const Settings> settings,
                           Time received, bool body_pending);

}  // namespace petrelrail

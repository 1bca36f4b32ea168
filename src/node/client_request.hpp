// A client's request as it was read: what the decision module receives of it and what is forwarded
// to a price server.
#pragma once

#include <boost/beast/http/verb.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "petrelrail/events.hpp"
#include "petrelrail/settings.hpp"
#include "policy/overload_manager.hpp"
#include "policy/request_deadline.hpp"
#include "request_body_stream.hpp"

namespace petrelrail {

namespace http = boost::beast::http;

struct ClientRequest {
  RequestArrived arrival;  // Node sets its number and the time that is left
  policy::RequestDeadline deadline;
  http::verb method{};
  std::string target, request_id, idempotency_key, content_type, body;
  std::shared_ptr<RequestBodyStream> body_stream;  // the rest of a long body
  std::shared_ptr<const Settings> settings;        // in force when it was read
  std::optional<policy::MemoryAccount> memory;     // none: not a client's request

  // What it takes without its body.
  std::size_t bytes() const {
    return limits::kRequestOverheadBytes + target.capacity() + request_id.capacity() +
           idempotency_key.capacity() + content_type.capacity();
  }

  std::string_view method_name() const {
    const auto name = http::to_string(method);
    return {name.data(), name.size()};
  }
  // Methods whose Content-Length is sent even if it is 0.
  bool has_body() const {
    return method == http::verb::post || method == http::verb::put || method == http::verb::options;
  }
  // The earliest that the response may be due, as far as this node can tell.
  Time earliest_deadline() const {
    return deadline.earliest_time(body_stream ? body_stream->last_byte_hidden_since()
                                              : std::nullopt);
  }
  const RequestClass& request_class() const {
    return settings->classes.at(static_cast<std::size_t>(arrival.request_class));
  }
};

}  // namespace petrelrail

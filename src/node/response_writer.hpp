// Formats a response's header and chunks as text (RFC 9112). Does no I/O.
#pragma once

#include <boost/beast/http/status.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "petrelrail/types.hpp"

namespace petrelrail {

namespace http = boost::beast::http;

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Status line and header fields without the empty line that ends them. `length` becomes the
// Content-Length; capacity for a body of `reserved_body_bytes` is reserved.
std::string response_head(http::status status, const std::string& content_type,
                          std::optional<std::uint64_t> length, bool chunked, bool keep_alive,
                          std::size_t reserved_body_bytes = 0);
void append_retry_after(std::string& head, Duration retry_after);
// Appends one chunk of a chunked message, preceded by its size.
void append_chunk(std::string& text, std::string_view data);

}  // namespace petrelrail

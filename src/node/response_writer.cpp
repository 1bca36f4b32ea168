#include "response_writer.hpp"

#include <array>
#include <cstdio>

#include "limits.hpp"

namespace petrelrail {

std::string response_head(http::status status, const std::string& content_type,
                          std::optional<std::uint64_t> length, bool chunked, bool keep_alive,
                          std::size_t reserved_body_bytes) {
  std::string head;
  head.reserve(limits::kTypicalHeaderBytes + reserved_body_bytes);  // a single allocation
  head.append("HTTP/1.1 ").append(std::to_string(static_cast<unsigned>(status))).append(" ");
  const auto reason = http::obsolete_reason(status);
  head.append(reason.data(), reason.size()).append("\r\n");
  if (!content_type.empty()) head.append("Content-Type: ").append(content_type).append("\r\n");
  if (length) head.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
  if (chunked) head.append("Transfer-Encoding: chunked\r\n");
  if (!keep_alive) head.append("Connection: close\r\n");
  return head;
}

void append_retry_after(std::string& head, Duration retry_after) {
  std::array<char, 32> text{};
  const auto seconds = std::chrono::duration<double>(retry_after).count();
  std::snprintf(text.data(), text.size(), "%.3f", seconds);
  head.append("Retry-After: ").append(text.data()).append("\r\n");
}

void append_chunk(std::string& text, std::string_view data) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  text.append(size.data()).append(data).append("\r\n");
}

}  // namespace petrelrail

// An HTTP parser that limits the number of header fields, which cost more memory than their bytes
// on the wire, and knows what the fields of a message hold. Trailer fields count too.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstddef>

#include "chunk_body.hpp"
#include "limits.hpp"

namespace petrelrail {

template <bool kIsRequest>
class FieldLimitedParser : public boost::beast::http::parser<kIsRequest, ChunkBody> {
 public:
  bool has_too_many_fields() const { return fields_ > limits::kMaxHeaderFields; }
  // Estimate of the memory that the fields hold.
  std::size_t field_bytes() const { return field_bytes_; }

 private:
  void on_field_impl(boost::beast::http::field name, boost::beast::string_view name_text,
                     boost::beast::string_view value, error_code& failed) override {
    if (++fields_ > limits::kMaxHeaderFields) {
      failed = boost::beast::http::error::header_limit;
      return;
    }
    field_bytes_ += limits::kHeaderFieldOverheadBytes + name_text.size() + value.size();
    this->get().insert(name, name_text, value);
  }

  std::size_t fields_ = 0, field_bytes_ = 0;
};

}  // namespace petrelrail

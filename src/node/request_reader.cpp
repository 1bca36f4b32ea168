#include "request_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <optional>
#include <string_view>

#include "limits.hpp"

namespace petrelrail {
namespace {

using std::string_view;

[[noreturn]] void fail(const std::string& message) {
  throw RequestError(http::status::bad_request, message);
}

template <class Number>
Number number_of(string_view text, const char* name, int base = 10) {
  Number n{};
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (failed != std::errc{} || end != text.data() + text.size())
    fail(std::string(name) + " is not a number");
  return n;
}

string_view trimmed(string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

// The value of the first pair with this key in a list of key=value pairs.
std::optional<string_view> value_of_key(string_view list, char separator, string_view key) {
  while (!list.empty()) {
    const auto part = trimmed(list.substr(0, list.find(separator)));
    list.remove_prefix(std::min(list.size(), list.find(separator)));
    if (!list.empty()) list.remove_prefix(1);
    if (const auto eq = part.find('='); eq != string_view::npos && part.substr(0, eq) == key)
      return part.substr(eq + 1);
  }
  return std::nullopt;
}

// The value of a header field that must be there exactly once and not be empty.
string_view header_value(const ParsedRequest& message, string_view name) {
  const auto [first, last] = message.equal_range({name.data(), name.size()});
  if (first == last) fail(std::string(name) + " is missing");
  if (std::next(first) != last) fail(std::string(name) + " stands there twice");
  const auto v = first->value();
  if (v.empty()) fail(std::string(name) + " is empty");
  return {v.data(), v.size()};
}

template <class Named>
std::uint32_t index_of(const std::vector<Named>& all, string_view name, const char* description) {
  const auto it = std::ranges::find(all, name, &Named::name);
  if (it == all.end()) fail(std::string(description) + " is unknown");
  return static_cast<std::uint32_t>(it - all.begin());
}

CustomerId customer_of(const ParsedRequest& message) {
  const auto value = value_of_key(header_value(message, "Cookie"), ';', "client");
  if (!value || value->size() != limits::kCustomerIdHexDigits) fail("the cookie names no client");
  const auto n = number_of<std::uint64_t>(*value, "the cookie's client", 16);
  if (n >= limits::kCustomerIdEnd) fail("the cookie's client is out of range");
  return CustomerId(n);
}

// X-Quota: the units, and the number and the first index of the gateways among which the customer's
// requests are spread.
void read_quota(const ParsedRequest& message, const Settings& s, RequestArrived& a) {
  const auto list = header_value(message, "X-Quota");
  const auto part = [&](const char* key) {
    const auto value = value_of_key(list, ',', key);
    if (!value) fail(std::string("X-Quota has no ") + key);
    return *value;
  };
  const auto units = part("units");
  char* end = nullptr;
  const std::string text(units);
  if (units.empty() || units.front() < '0' || units.front() > '9')
    fail("X-Quota units is not a number");
  a.units = std::strtod(text.c_str(), &end);
  if (end != text.c_str() + text.size() || !(a.units > 0 && a.units <= s.max_units))
    fail("X-Quota units");
  a.gateways = number_of<std::uint32_t>(part("spread"), "X-Quota spread");
  if (a.gateways == 0 || a.gateways > s.fleet_size) fail("X-Quota spread is out of range");
  if (number_of<std::uint32_t>(part("first"), "X-Quota first") >= s.fleet_size)
    fail("X-Quota first");
}

string_view first_path_segment(string_view target) {
  if (target.empty() || target.front() != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Whether the method, and whether there is an idempotency key, agree with the class's idempotency.
bool matches_idempotency(const RequestClass& c, http::verb method, bool has_key) {
  return method ==
             (c.idempotency == Idempotency::idempotent ? http::verb::get : http::verb::post) &&
         has_key == (c.idempotency == Idempotency::idempotency_key);
}

}  // namespace

ClientRequest read_request(ParsedRequest& message, std::shared_ptr<const Settings> settings,
                           Time received, bool body_pending) {
  ClientRequest r;
  const auto& s = *settings;
  r.settings = std::move(settings);
  const string_view target(message.target().data(), message.target().size());
  const auto path_class = first_path_segment(target);
  if (std::ranges::find(s.classes, path_class, &RequestClass::name) == s.classes.end())
    throw RequestError(http::status::not_found, "no such path");
  auto& a = r.arrival;
  auto cls = index_of(s.classes, header_value(message, "X-Priority-Class"), "the class");
  if (s.classes[cls].name != path_class) fail("the path and X-Priority-Class differ");
  // After a reload a class may be listed twice, with its current and its former idempotency; the
  // request's method and key select between them.
  const bool has_key = message.count("Idempotency-Key") > 0;
  const auto match = std::ranges::find_if(s.classes, [&](const RequestClass& c) {
    return c.name == path_class && matches_idempotency(c, message.method(), has_key);
  });
  if (match != s.classes.end()) cls = static_cast<std::uint32_t>(match - s.classes.begin());
  a.request_class = ClassIndex(cls);
  a.plan = PlanIndex(index_of(s.plans, header_value(message, "X-Plan"), "the plan"));
  a.customer = customer_of(message);
  const auto timeout = number_of<std::uint64_t>(header_value(message, "X-Timeout-Ms"),
                                                "X-Timeout-Ms");
  if (timeout == 0 || timeout > limits::kMaxTimeoutMs) fail("X-Timeout-Ms is out of range");
  a.body_pending = body_pending;
  r.deadline = policy::RequestDeadline::pending(std::chrono::milliseconds(timeout));
  if (!body_pending) r.deadline.on_last_byte(received);
  read_quota(message, s, a);
  if (message.count("X-Retried") > 0) {
    if (header_value(message, "X-Retried") != "1") fail("X-Retried is not 1");
    a.is_retry = true;
  }
  r.request_id = header_value(message, "X-Request-ID");
  if (r.request_id.size() > limits::kMaxIdBytes) fail("X-Request-ID is too long");
  const auto idempotency = s.classes[cls].idempotency;
  if (message.method() !=
      (idempotency == Idempotency::idempotent ? http::verb::get : http::verb::post))
    throw RequestError(http::status::method_not_allowed, "the method does not go with the class");
  if (has_key != (idempotency == Idempotency::idempotency_key))
    fail("Idempotency-Key does not go with the class");
  if (has_key) r.idempotency_key = header_value(message, "Idempotency-Key");
  if (r.idempotency_key.size() > limits::kMaxIdBytes) fail("Idempotency-Key is too long");
  if (idempotency == Idempotency::idempotent && !message.body().empty())
    fail("a body does not go with the class");
  r.method = message.method();
  r.target = target;
  if (const auto it = message.find(http::field::content_type); it != message.end())
    r.content_type = it->value();
  r.body = std::move(message.body());
  return r;
}

}  // namespace petrelrail

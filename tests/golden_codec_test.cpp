// Guards against incompatible changes of formats that other processes and later versions read: each
// encoding is compared with a golden file, and each golden file is decoded by the current code.
#include <array>

#include "fleet/job_codec.hpp"
#include "fleet/membership.hpp"
#include "fleet/reservation.hpp"
#include "fleet/shadow_verdict.hpp"
#include "golden.hpp"
#include "hot_restart.hpp"
#include "settings_json.hpp"
#include "settings_reader.hpp"

namespace petrelrail::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// ---- Hand-over state ----------------------------------------------------------------------------

HandoverState handover_state() {
  HandoverState s;
  HandoverState::CustomerLease lease{CustomerId{7},
                                     PlanIndex{2},
                                     {41, 3.5, 9, 0.25, Time(5h), true, false},
                                     {},
                                     1,
                                     2,
                                     3,
                                     4,
                                     5,
                                     Time(3h),
                                     Time(4h),
                                     {Time(6h), Time(7h)}};
  lease.prefetched.push_back({42, 2, 2, 0, Time::min(), false, true});
  s.leases = {lease, HandoverState::CustomerLease{}};
  s.latencies = {{"a \"class\"", 0.125}};
  s.fastest_call_times = {0.001, 0.002};
  s.call_rate = 90;
  s.concurrency_limit = 12;
  s.recent_responses = 8;
  s.recent_arrivals = 9;
  s.export_time = Time(8h);
  s.counter_reset_time = Time(2h);
  return s;
}

TEST(GoldenHandoverState, IsWrittenAsBefore) {
  expect_golden("handover_state.json", to_json(handover_state()).dump(1) + "\n");
}

TEST(GoldenHandoverState, IsReadBackWhole) {
  const auto golden = json::parse(read_golden("handover_state.json"));
  EXPECT_EQ(to_json(handover_state_from_json(golden)), golden);
}

// ---- Datagrams ----------------------------------------------------------------------------------

fleet::MemberId member(unsigned number) {
  return fleet::MemberId(static_cast<std::uint16_t>(number));
}

std::vector<fleet::MemberEntry> member_entries() {
  return {{member(1), {3, fleet::MemberStatus::alive, 77}, 1, {}},
          {member(2), {4, fleet::MemberStatus::suspect, 0}, 2, {member(5), member(6)}},
          {member(65535), {5, fleet::MemberStatus::failed, 65535}, 31, {}},
          {member(4), {6, fleet::MemberStatus::left, 9}, 0, {}}};
}

fleet::Record record(std::uint64_t number, std::string value, bool deleted = false) {
  return {{4, number}, {77, 5, member(9)}, 1'800'000'000, deleted, std::move(value)};
}

std::vector<fleet::Body> datagram_bodies() {
  return {
      fleet::Ping{member_entries()},
      fleet::Ack{member_entries()},
      fleet::PingRequest{member(8)},
      fleet::IndirectAck{member(8), member_entries()},
      fleet::Nack{member(8)},
      fleet::Gossip{member_entries()},
      fleet::SyncRequest{{1, 2, 65535}},
      fleet::SyncResponse{member_entries()},
      fleet::LeaseAnnouncement{
          {{1, 16, member(4), false}, {0xFFFFFFFF, ~0ULL, member(65535), true}}},
      fleet::RecordUpdate{{record(1, std::string("a\0b", 3)), record(8, "", true), record(2, "")}},
      fleet::RecordAck{{{{4, 1}, {77, 5, member(9)}}, {{255, ~0ULL}, {~0ULL, ~0U, member(65535)}}}},
      fleet::DigestRequest{513, 7, {1, 2, 65535}}};
}

std::string encoded_datagrams(const std::optional<fleet::SealKey>& key) {
  std::string text;
  for (const auto& body : datagram_bodies())
    text += hex_text(fleet::encode({{member(3), 2, 7, 1, 5, 9}, body}, key)) + "\n";
  return text;
}

const std::optional<fleet::SealKey> kSealingKey = fleet::key_of("000102030405060708090a0b0c0d0e0f");

TEST(GoldenDatagrams, OfEachKindAreWrittenAsBefore) {
  ASSERT_EQ(datagram_bodies().size(), std::variant_size_v<fleet::Body>);
  expect_golden("datagrams.txt", encoded_datagrams({}));
  expect_golden("datagrams_sealed.txt", encoded_datagrams(kSealingKey));
}

std::string bytes_of(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return bytes;
}

TEST(GoldenDatagrams, OfEachKindAreReadAndWrittenBackTheSame) {
  std::istringstream lines(read_golden("datagrams_sealed.txt"));
  std::size_t kind = 0;
  for (std::string line; std::getline(lines, line); ++kind) {
    const auto bytes = bytes_of(line);
    const auto read = fleet::decode(
        {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()}, kSealingKey);
    ASSERT_EQ(read.error, fleet::DecodeError::none) << line;
    EXPECT_EQ(read.message.body.index(), kind);
    EXPECT_EQ(hex_text(fleet::encode(read.message, kSealingKey)), line);
  }
  EXPECT_EQ(kind, std::variant_size_v<fleet::Body>);
}

// ---- Records ------------------------------------------------------------------------------------

fleet::JobSpec job_of_range() {
  fleet::JobSpec spec;
  spec.customer = 7;
  spec.prefix = 0x9b1f03aa5c7eULL;
  spec.plan = "p";
  spec.request_class = "read";
  spec.milliunits = 1500;
  spec.path = "/read/{}";
  spec.tasks = fleet::JobRange{1000, 40};
  spec.end_unix_s = 1'800'000'000;
  return spec;
}

fleet::JobSpec job_of_keys() {
  auto spec = job_of_range();
  spec.tasks = std::vector<std::string>{"alpha", "beta", "a-rather-long-key-of-a-line"};
  return spec;
}

std::vector<fleet::TaskState> line_states() {
  std::vector<fleet::TaskState> states(600, fleet::TaskState::idle);
  for (std::size_t i = 0; i < 520; ++i) states[i] = fleet::TaskState(i % fleet::kTaskStates);
  return states;
}

fleet::Reservation reservation() {
  fleet::Reservation b;
  b.id = fleet::make_reservation_id(CustomerId{7}, "nightly");
  b.request.customer = CustomerId{7};
  b.request.rate = {2500};
  b.request.month_end_rate = {5000};
  b.request.time_zone = "Europe/Madrid";
  b.request.calendar = "";
  b.request.rule = "FREQ=WEEKLY;BYDAY=MO,FR";
  b.request.convention = fleet::BusinessDayConvention::following;
  b.request.from = fleet::parse_date("2026-12-07");
  b.request.until = fleet::parse_date("2027-03-01");
  b.request.start_time = fleet::parse_time_of_day("18:30");
  b.request.window_length = fleet::Minutes{90};
  b.request.excluded_dates = {fleet::parse_date("2026-12-25")};
  b.decision_time = std::chrono::sys_seconds(1'796'000'000s);
  b.content_hash = fleet::hash_content(b.request);
  b.windows_fingerprint = 0x01020304;
  b.offsets_fingerprint = 0x0a0b0c0d;
  return b;
}

fleet::ShardStatistics sum() {
  fleet::ShardStatistics s;
  for (std::size_t bin = 0; bin < fleet::kLatencyBins; ++bin) {
    s.candidate.latencies[bin] = static_cast<std::uint32_t>(bin * bin);
    s.control.latencies[bin] = static_cast<std::uint32_t>(300 * bin);
  }
  s.candidate.failed = 3;
  s.candidate.differing = 5;
  s.control.failed = 70'000;
  return s;
}

std::string encoded_sums() {
  const std::vector<fleet::ShardEntry> sums{{0, sum()}, {255, sum()}};
  std::size_t from = 0;
  return fleet::encode_statistics(41, sums, from);
}

TEST(GoldenRecords, OfEachKindAreWrittenAsBefore) {
  std::string text;
  const auto add = [&](const std::string& kind, const std::string& value) {
    text += kind + " " + hex_text(value) + "\n";
  };
  for (const auto& value : fleet::encode(job_of_range())) add("job-range", value);
  for (const auto& value : fleet::encode(job_of_keys())) add("job-keys", value);
  add("job-void", fleet::void_head());
  add("job-states-0", fleet::encode_states(line_states(), 0));
  add("job-states-1", fleet::encode_states(line_states(), 1));
  add("job-marks", fleet::encode(fleet::JobWatermarks{30, 20, 2, true}));
  add("booking", fleet::encode(reservation()));
  add("shadow-sums", encoded_sums());
  add("shadow-verdict", fleet::encode(fleet::PublishedVerdict{41, 7, 2, 33}));
  add("shadow-map-verdict", fleet::encode(fleet::PublishedVerdict{41, fleet::kWholeMap, 1, 34}));
  expect_golden("records.txt", text);
}

// Returns the values recorded for a kind, in the file's order.
std::vector<std::string> golden_records(const std::string& kind) {
  std::vector<std::string> values;
  std::istringstream lines(read_golden("records.txt"));
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with(kind + " ")) values.push_back(bytes_of(line.substr(kind.size() + 1)));
  return values;
}

TEST(GoldenRecords, OfJobsAreReadBackWhole) {
  const auto no_keys = [](std::uint8_t) { return std::optional<std::string>(); };
  EXPECT_EQ(fleet::decode(golden_records("job-range").at(0), no_keys), job_of_range());
  const auto parts = golden_records("job-keys");
  const auto key_part = [&](std::uint8_t part) {
    return std::optional(parts.at(static_cast<std::size_t>(part) - fleet::kFirstKeyPart + 1));
  };
  EXPECT_EQ(fleet::decode(parts.at(0), key_part), job_of_keys());
  std::vector<fleet::TaskState> states(600, fleet::TaskState::idle);
  EXPECT_TRUE(fleet::decode_states(golden_records("job-states-0").at(0), 0, states));
  EXPECT_TRUE(fleet::decode_states(golden_records("job-states-1").at(0), 1, states));
  EXPECT_EQ(states, line_states());
  EXPECT_EQ(fleet::decode_watermarks(golden_records("job-marks").at(0), 40),
            (fleet::JobWatermarks{30, 20, 2, true}));
}

TEST(GoldenRecords, OfBookingsAndShadowTrafficAreReadBackWhole) {
  EXPECT_EQ(fleet::decode_reservation(reservation().id, golden_records("booking").at(0)),
            reservation());
  const auto sums = fleet::decode_statistics(golden_records("shadow-sums").at(0));
  ASSERT_TRUE(sums);
  EXPECT_EQ(sums->version, 41U);
  EXPECT_EQ(sums->shards.at(0).second, sum());
  EXPECT_EQ(fleet::decode_verdict(golden_records("shadow-verdict").at(0)),
            (fleet::PublishedVerdict{41, 7, 2, 33}));
  EXPECT_EQ(fleet::decode_verdict(golden_records("shadow-map-verdict").at(0)),
            (fleet::PublishedVerdict{41, fleet::kWholeMap, 1, 34}));
}

// ---- Invalid settings ---------------------------------------------------------------------------

std::string message_of(const json& settings) {
  try {
    reading::read_settings(settings);
  } catch (const std::exception& error) {
    return error.what();
  }
  return "accepted";
}

// Returns one line for each way in which a single value of the settings can be invalid, with the
// error message.
std::string messages_of_bad_settings() {
  std::string text;
  const auto good = facts();
  const auto add = [&](const std::string& path, const char* change, const json& settings) {
    text += path + " " + change + ": " + message_of(settings) + "\n";
  };
  std::set<std::string> pointers;
  const auto flat = good.flatten();
  for (const auto& [pointer, value] : flat.items()) {
    for (auto part = pointer; !part.empty(); part = part.substr(0, part.rfind('/')))
      pointers.insert(part);
  }
  for (const auto& pointer : pointers) {
    const json::json_pointer at(pointer);
    auto changed = good;
    if (changed[at.parent_pointer()].is_object()) {
      changed[at.parent_pointer()].erase(at.back());
      add(pointer, "missing", changed);
    }
    for (const auto& [change, value] : {std::pair<const char*, json>{"null", nullptr},
                                        {"a string", "sometimes"},
                                        {"an empty string", ""},
                                        {"a path", "a/b"},
                                        {"zero", 0},
                                        {"negative", -1},
                                        {"a fraction", 1.5},
                                        {"huge", INT64_MAX},
                                        {"2^32", 1ULL << 32U},
                                        {"true", true},
                                        {"an empty list", json::array()},
                                        {"an empty object", json::object()}}) {
      changed = good;
      changed[at] = value;
      add(pointer, change, changed);
    }
  }
  for (const auto* list : {"grades", "packages", "zones"}) {
    auto changed = good;
    changed[list].push_back(changed[list][0]);
    add(std::string("/") + list, "twice", changed);
  }
  return text;
}

TEST(GoldenSettings, EachMistakeHasTheMessageOfBefore) {
  expect_golden("bad_settings.txt", messages_of_bad_settings());
}

std::string change_message(const Settings& from, const Settings& to) {
  try {
    validate_change(from, to);
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
  return "accepted";
}

TEST(GoldenSettings, EachChangeThatARunningNodeCannotTakeHasTheMessageOfBefore) {
  const auto read = [](const json& settings) { return reading::read_settings(settings).settings; };
  const auto from = read(facts());
  std::string text;
  for (const auto& [pointer, value] : {std::pair<const char*, json>{"/fleet-size", 3},
                                       {"/index", 1},
                                       {"/az", "z0"},
                                       {"/extra/counter", false},
                                       {"/extra/count-limit-ns", 41000000},
                                       {"/extra/trued-up", true},
                                       {"/packages/0/units-per-s", 5},
                                       {"/grades/0/gain", 2},
                                       {"/ceilings/max-attempts", 2}}) {
    auto to = facts();
    to[json::json_pointer(pointer)] = value;
    text += std::string(pointer) + ": " + change_message(from, read(to)) + "\n";
  }
  expect_golden("settings_changes.txt", text);
}

}  // namespace
}  // namespace petrelrail::test

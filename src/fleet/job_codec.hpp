// The description of a batch job, the states of its tasks, and the encoding of both as replicated
// records of at most kMostValue bytes (docs/jobs.md). Pure functions without I/O or state. The
// decoders reject all bytes that the encoders here can't produce.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "datagram.hpp"
#include "petrelrail/types.hpp"

namespace petrelrail::fleet {

enum class JobId : std::uint64_t {};  // 56 bits
enum class ShardId : std::uint8_t {};

inline constexpr std::uint8_t kJobSpace = 1;  // record space of jobs
inline constexpr std::uint8_t kShards = 16;
// The four hex digits of a task's request ID allow 65,536; the states of 4,000 take 8 records.
inline constexpr std::uint32_t kMaxTasks = 4'000;
inline constexpr std::size_t kMaxPathBytes = 112;  // head and path share one record
inline constexpr std::size_t kMaxKeyBytes = 64;
inline constexpr std::size_t kMaxTotalKeyBytes = 3'000;  // with a length byte per key: 16 records
inline constexpr std::size_t kMaxJobNameBytes = 24;      // of a class's or plan's name
inline constexpr std::uint32_t kMaxMilliunits = 1'000'000;
inline constexpr std::uint32_t kMaxJobSeconds = 7 * 86'400;  // from submission to the end time
inline constexpr std::uint32_t
    kJobRetentionSeconds = 3'600;  // after a job's end time, while its answers can still be fetched

struct JobRange {
  std::uint64_t first = 0;
  std::uint32_t count = 0;
  bool operator==(const JobRange&) const = default;
};
struct JobSpec {
  std::uint64_t customer = 0;  // below 2^33
  std::uint64_t prefix = 0;    // below 2^48: the first 12 digits of each task's request ID
  std::string plan, request_class;
  std::uint32_t milliunits = 1'000;  // of each task
  std::string path;                  // contains {} once
  std::variant<JobRange, std::vector<std::string>> tasks;
  std::uint32_t end_unix_s = 0;

  std::uint32_t task_count() const;
  std::string path_of(std::uint32_t task) const;
  std::uint64_t request_id_of(std::uint32_t task) const { return prefix << 16U | task; }
  bool operator==(const JobSpec&) const = default;
};

// Returns what is invalid, with the field and its limit; nullopt for a valid job. `now` in Unix
// seconds.
std::optional<std::string> validation_error(const JobSpec& spec, std::uint32_t now);

JobId id_of(const JobSpec& spec);
ShardId shard_of(JobId id);

// name_of() and the records keep the order and the names: `in_flight` is "out".
enum class TaskState : std::uint8_t { idle, in_flight, served, failed, unknown, lost, expired };
inline constexpr std::uint8_t kTaskStates = 7;
const char* name_of(TaskState s);
inline bool is_final(TaskState s) { return s != TaskState::idle && s != TaskState::in_flight; }

// Parts of a job: the last byte of a record's number.
inline constexpr std::uint8_t kHeadPart = 0, kFirstKeyPart = 1, kKeyParts = 16,
                              kFirstStatePart = 32, kStateParts = 8, kWatermarkPart = 64;
inline constexpr std::uint32_t kTasksPerPart = 512;
static_assert(kStateParts * kTasksPerPart >= kMaxTasks);
inline RecordKey key_of(JobId id, std::uint8_t part) {
  return {kJobSpace, static_cast<std::uint64_t>(id) << 8U | part};
}
inline JobId job_of(const RecordKey& k) { return JobId(k.number >> 8U); }
inline std::uint8_t part_of(const RecordKey& k) { return static_cast<std::uint8_t>(k.number); }

// Returns the head, followed by the key parts.
std::vector<std::string> encode(const JobSpec& spec);
// Replaces the head of a submission that failed: there is no job, and its prefix is free again.
std::string void_head();
inline bool is_head(const Record& r) {
  return part_of(r.key) == kHeadPart && !r.deleted && r.value != void_head();
}
// Calls `key_part` for the values of key parts as needed. Returns nullopt if a part is missing or
// malformed.
std::optional<JobSpec> decode(
    const std::string& head,
    const std::function<std::optional<std::string>(std::uint8_t part)>& key_part);

// Encodes the states from task part * kTasksPerPart on, without trailing idle tasks.
std::string encode_states(const std::vector<TaskState>& all, std::uint8_t part);
// Writes into `all`; returns false and changes nothing if `value` is malformed.
bool decode_states(const std::string& value, std::uint8_t part, std::vector<TaskState>& all);

struct JobWatermarks {
  std::uint32_t delivered = 0;    // answers of tasks below it may have reached the client
  std::uint32_t confirmed = 0;    // answers of tasks below it have; at most `delivered`
  std::uint32_t rerun_count = 0;  // tasks repeated because their answers were lost
  bool is_finished = false;       // no task is left to run and no answer left to fetch
  bool operator==(const JobWatermarks&) const = default;
};
std::string encode(const JobWatermarks& watermarks);
std::optional<JobWatermarks> decode_watermarks(const std::string& value, std::uint32_t task_count);

}  // namespace petrelrail::fleet

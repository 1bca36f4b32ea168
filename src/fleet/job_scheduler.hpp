// Schedules the batch jobs of one edge node: accepts, runs, recovers, reports and deletes the jobs
// of the shards whose lease it holds (docs/jobs.md). A state machine without I/O, clock, threads or
// randomness: the caller passes in time, and all effects go through JobHost.
#pragma once

#include <bitset>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job_codec.hpp"
#include "petrelrail/settings.hpp"

namespace petrelrail::fleet {

// A valid lease of a shard, held without interruption since `since_epoch`: no other node has acted
// in between.
struct ShardLease {
  std::uint64_t epoch = 0, since_epoch = 0;
};

struct JobTask {
  std::uint64_t token = 0;  // identifies the task in JobScheduler::on_task_complete
  JobId job{};
  std::uint32_t index = 0;
  std::uint64_t request_id = 0;  // X-Request-ID
  std::uint64_t epoch = 0;
  std::uint32_t milliunits = 0;
  const JobSpec* spec = nullptr;  // valid during JobHost::send
};

struct TaskOutcome {
  // `rejected`: did not run. `failed`: a reply that neither serves nor rejects. `unknown`: may have
  // run, or may still run until its time-out.
  enum class Kind : std::uint8_t { served, rejected, failed, unknown } kind{};
  std::string body{};      // if served
  Duration retry_after{};  // if rejected
};

enum class CallId : std::uint64_t {};  // an API call that waits for a reply

struct JobReply {
  enum class Kind : std::uint8_t {
    accepted,     // 202
    answers,      // 200
    removed,      // 200
    redirect,     // 307, to `holder`
    invalid,      // 400
    not_found,    // 404
    conflict,     // 409
    trimmed,      // 410, `next` is the first answer that is left
    unavailable,  // 503
  } kind{};
  struct Answer {
    std::uint32_t task = 0;
    TaskState state{};
    std::string body{};  // if served
  };
  JobId id{};
  std::string message{};  // why the call failed
  std::optional<MemberId> holder{};
  std::vector<Answer> answers{};
  std::uint32_t next = 0;  // the task to fetch from
};

// What JobScheduler needs of the node. The host reports completions through
// JobScheduler::on_write_complete and on_task_complete, once for each token.
class JobHost {
 public:
  virtual std::optional<ShardLease> lease(ShardId shard) = 0;  // valid at present
  virtual std::optional<MemberId> holder(ShardId shard) = 0;   // as far as this node knows
  // Whether this node has all records that previous holders were told are replicated: one of the
  // nodes that acknowledged them has replied, or all of those are known to be dead.
  virtual bool has_all_records(ShardId shard) = 0;
  // Writes a record under an epoch, or deletes it (no value). A write that is reported as not
  // replicated may still become known to other nodes.
  virtual void put(std::uint64_t token, const RecordKey& key, std::uint64_t epoch,
                   std::uint32_t ends, std::optional<std::string> value) = 0;
  virtual std::optional<Record> find(const RecordKey& key) = 0;  // deleted records too
  virtual void for_each_record(const std::function<void(const Record&)>& visit) = 0;  // of jobs
  virtual void send(const JobTask& task) = 0;
  virtual std::uint32_t free_slots() = 0;  // tasks that may be sent now, beside client requests
  virtual std::optional<double> tasks_per_second(JobId job) = 0;  // nullopt: no limit but capacity
  virtual std::optional<Idempotency> idempotency(
      const std::string& request_class) = 0;  // nullopt: no such class
  virtual bool has_plan(const std::string& plan) = 0;
  virtual Duration attempt_timeout(const std::string& request_class) = 0;
  virtual std::uint32_t unix_time(Time now) = 0;
  virtual void reply(CallId call, const JobReply& reply) = 0;

 protected:
  ~JobHost() = default;
};

struct JobConfig {
  std::uint32_t max_active = 16;               // jobs of a node that run at the same time
  std::uint32_t max_jobs_in_shard = 64;        // bounds the records
  std::uint32_t max_in_flight = 16;            // tasks of a job
  std::uint32_t write_ahead_batch = 32;        // tasks recorded at a time, of idempotent classes
  std::uint32_t write_ahead_batch_unsafe = 4;  // of other classes: up to this many may end unknown
  std::uint32_t max_uncertain_runs = 3;      // attempts with unknown outcome of an idempotent task
  std::size_t max_answer_bytes = 64 * 1024;  // of one body (PROTOCOL)
  std::size_t max_job_answer_bytes = 4 * 1024 * 1024;        // not fetched yet, of a job
  std::size_t max_node_answer_bytes = 64 * 1024 * 1024;      // not fetched yet, of all jobs
  std::size_t max_reply_bytes = 1024 * 1024;                 // exceeded by a single larger answer
  Duration write_interval = std::chrono::milliseconds(250);  // of changes that no reply waits for
  Duration max_lease_wait = std::chrono::seconds(5);  // of a call until some node holds the shard
  Duration min_retry_delay = std::chrono::milliseconds(100);  // after a rejection
  bool write_ahead = true;  // false only in tests, to show that the checks detect its absence
};
// Throws std::invalid_argument that names the invalid value.
void validate(const JobConfig& config);

struct JobState {
  enum class Kind : std::uint8_t { waiting, running, paused, done } kind{};
  struct Run {  // consecutive tasks in the same state
    std::uint32_t first = 0, count = 0;
    TaskState state{};
  };
  std::array<std::uint32_t, kTaskStates> counts{};
  std::vector<Run> runs;
  JobWatermarks watermarks;
  bool is_held = false;  // this node runs the job; otherwise the state is read from records
};
const char* name_of(JobState::Kind k);

class JobScheduler {
 public:
  JobScheduler(JobConfig config, JobHost& host);

  // Each call ends with exactly one JobHost::reply, immediately or later.
  void submit(Time now, CallId call, const JobSpec& spec);
  void fetch(Time now, CallId call, JobId id, std::uint32_t from);
  void remove(Time now, CallId call, JobId id);
  // Reads the state from memory or records; nullopt if this node does not know the job.
  std::optional<JobState> state(Time now, JobId id);

  // `replicated`: the required copies of the record exist.
  void on_write_complete(Time now, std::uint64_t token, bool replicated);
  void on_task_complete(Time now, std::uint64_t token, TaskOutcome outcome);
  // Does all work that is due. Call several times per lease term, and when free_slots() grows.
  void tick(Time now);
  // Whether some node must hold the shard: a call waits for that, or the shard has an unfinished
  // job.
  bool needs_lease(ShardId shard) const;

  std::size_t answer_bytes() const { return answer_bytes_; }
  std::uint32_t tasks_in_flight() const { return static_cast<std::uint32_t>(sent_tasks_.size()); }
  std::size_t job_count() const { return jobs_.size(); }

 private:
  struct Job {
    JobSpec spec;
    Idempotency idempotency{};
    std::vector<TaskState> states;
    std::vector<bool> written_ahead;  // replicated records have the task as in flight
    std::map<std::uint32_t, std::uint64_t>
        pending_write_ahead;  // by task, the token of its write; 0: not written yet
    std::map<std::uint32_t, std::string> answers;
    std::map<std::uint32_t, Time> retry_times;              // of idle tasks that wait
    std::map<std::uint32_t, std::uint32_t> uncertain_runs;  // that may have happened
    std::bitset<kStateParts> dirty_parts;
    JobWatermarks watermarks;
    bool watermarks_dirty = false;
    std::optional<JobWatermarks> recorded_watermarks;  // latest replicated under this holder
    std::uint64_t recorded_token = 0;                  // of that write
    // Records read at recovery may have few copies, so the holder writes them again and waits until
    // they are replicated before it sends the first task.
    bool is_recovered = false;
    std::uint64_t recovery = 0;  // ID of its pending reply; 0: none
    std::size_t answer_bytes = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t first_unfinished = 0;
    Time next_write_time{}, next_send_time{};
  };
  struct Shard {
    std::uint64_t since_epoch = 0;
    bool is_loaded = false;  // the jobs of its records are in memory
    Time next_load_time{};   // of jobs whose records are incomplete
    Time last_lease_time{};
    std::set<JobId> incomplete_jobs;
  };
  struct WaitingCall {  // until some node holds the shard
    ShardId shard{};
    Time deadline{};
    std::function<void(Time)> run;
    CallId call{};
    JobId id{};
  };
  struct Write {
    JobId job{};
    std::vector<std::uint32_t> tasks_ahead;  // that it records as in flight
    std::uint64_t pending_reply = 0;         // that waits for it; 0: none
    std::uint8_t part = 0;
    JobWatermarks watermarks{};  // that it writes, for kWatermarkPart
  };
  struct PendingReply {  // waits for writes
    enum class Kind : std::uint8_t { submit_parts, submit_head, recover, fetch, remove } kind{};
    std::vector<CallId> calls;
    JobId id{};
    std::uint32_t open_writes = 0;
    bool has_failed = false;
    JobSpec spec{};
    std::uint32_t from = 0, to = 0;
  };
  struct SentTask {
    JobId job{};
    std::uint32_t index = 0;
  };

  std::optional<ShardLease> use_lease(Time now, ShardId shard);
  void unload(ShardId shard);
  void load_shard(Time now, ShardId shard);
  std::optional<Job> read_records(JobId id, const std::string& head);
  bool load_job(Time now, JobId id, const std::string& head);
  void load_incomplete_jobs(Time now, ShardId shard);
  void restore_tasks(Time now, Job& job);
  template <class F>
  void run_with_lease(Time now, CallId call, JobId id, F run);
  void reply(CallId call, JobId id, JobReply::Kind kind, std::string message);

  void write(JobId id, std::uint8_t part, std::optional<std::string> value, std::uint32_t ends,
             Write w);
  void write_states(Time now, JobId id, Job& job, std::uint8_t part, std::uint64_t pending_reply);
  void write_watermarks(JobId id, Job& job, std::uint64_t pending_reply);
  void write_head(Time now, std::uint64_t pending_reply);
  void recover(Time now, JobId id, Job& job);
  void complete_reply(Time now, std::uint64_t pending_reply);
  void do_submit(Time now, CallId call, const JobSpec& spec);
  void do_fetch(Time now, CallId call, JobId id, std::uint32_t from);
  void do_remove(Time now, CallId call, JobId id);
  void send_answers(CallId call, JobId id, const Job& job, std::uint32_t from, std::uint32_t to);

  void finish_task(JobId id, Job& job, std::uint32_t task, TaskState state);
  void trim(Job& job, std::uint32_t below);
  bool has_answer_space(const Job& job, std::uint32_t task) const;
  bool is_paused(const Job& job) const;
  void expire(Time now, JobId id, Job& job);
  void write_changes(Time now, JobId id, Job& job);
  void run_waiting_calls(Time now);
  void write_ahead(Time now, JobId id, Job& job);
  bool send_next_task(Time now, JobId id, Job& job);
  std::uint32_t write_ahead_batch(const Job& job) const;

  JobConfig config_;
  JobHost& host_;
  std::array<Shard, kShards> shards_;
  std::map<JobId, Job> jobs_;
  std::map<std::uint64_t, Write> writes_;
  std::map<std::uint64_t, PendingReply> pending_replies_;
  std::map<std::uint64_t, SentTask> sent_tasks_;
  std::map<JobId, std::uint64_t> submissions_;  // in progress, by pending reply
  std::set<JobId> unconfirmed_removals_;        // deleted here, but not replicated
  std::vector<std::uint64_t> failed_writes_;    // without a valid lease, reported by tick()
  std::vector<WaitingCall> waiting_calls_;
  std::size_t answer_bytes_ = 0;
  std::uint64_t last_token_ = 0;
  JobId last_first_job_{};  // that the last tick served first
};

}  // namespace petrelrail::fleet

// Jobs: the encoding of their records, the scheduler of one node compared with a simple per-task
// history, and a simulated fleet whose invariants are checked.
#include "fleet/job_scheduler.hpp"

#include <gtest/gtest.h>

#include <random>

#include "world/job_cases.hpp"

namespace petrelrail::fleet::test {
namespace {

constexpr std::uint32_t kNow = 1'800'000'000;

JobSpec spec(std::uint32_t tasks = 20, const std::string& request_class = "lookup") {
  return {77,
          0x9b1f03aa5c7e,
          "team",
          request_class,
          1'000,
          "/" + request_class + "/{}?v=2",
          JobRange{500, tasks},
          kNow + 3'600};
}
JobSpec with_keys(std::vector<std::string> keys) {
  auto s = spec();
  s.tasks = std::move(keys);
  return s;
}
std::optional<JobSpec> decode_parts(const std::vector<std::string>& parts) {
  return decode(parts.front(), [&](std::uint8_t p) -> std::optional<std::string> {
    return p < parts.size() ? std::optional(parts[p]) : std::nullopt;
  });
}

TEST(JobCodec, RoundTripsWithinRecordLimits) {
  std::vector<std::string> keys;
  for (int i = 0; i < 400; ++i) keys.push_back("k" + std::to_string(i * i));
  auto longest = spec(kMaxTasks, std::string(kMaxJobNameBytes, 'c'));
  longest.plan = std::string(kMaxJobNameBytes, 'p');
  longest.path.resize(kMaxPathBytes, 'x');
  longest.tasks = JobRange{~0ULL - kMaxTasks, kMaxTasks};
  for (const auto& s : {spec(), spec(kMaxTasks), longest, with_keys(keys), with_keys({"a"})}) {
    ASSERT_FALSE(validation_error(s, kNow)) << *validation_error(s, kNow);
    const auto parts = encode(s);
    EXPECT_LE(parts.size(), std::holds_alternative<JobRange>(s.tasks) ? 1U : 1U + kKeyParts);
    for (const auto& p : parts) EXPECT_LE(p.size(), kMaxRecordValueBytes);
    EXPECT_EQ(decode_parts(parts), s);
  }
  EXPECT_EQ(spec().path_of(3), "/lookup/503?v=2");
  EXPECT_EQ(spec().request_id_of(3), 0x9b1f03aa5c7e0003U);
}

TEST(JobCodec, ValidationErrorNamesFieldAndLimit) {
  const auto error_after = [](auto change) {
    auto s = spec();
    change(s);
    return validation_error(s, kNow).value_or("none");
  };
  EXPECT_EQ(error_after([](auto&) {}), "none");
  EXPECT_EQ(error_after([](auto& s) {
              s.tasks = JobRange{0, 4'001};
            }),
            "lines: 4001, at most 4000");
  EXPECT_EQ(error_after([](auto& s) { s.tasks = JobRange{0, 0}; }), "lines: must not be empty");
  EXPECT_EQ(error_after([](auto& s) { s.tasks = std::vector(60, std::string(50, 'k')); }),
            "keys: 3060 bytes, at most 3000; use a range or more jobs");
  EXPECT_EQ(error_after([](auto& s) { s.tasks = std::vector<std::string>{"a b"}; }),
            "keys: spaces, controls and # must be escaped");
  EXPECT_EQ(error_after([](auto& s) { s.path = "/lookup/x"; }),
            "path: must contain {} exactly once");
  EXPECT_EQ(error_after([](auto& s) { s.path = "/other/{}"; }), "path: must begin with the class");
  EXPECT_EQ(error_after([](auto& s) { s.prefix = 1ULL << 48U; }), "prefix: 12 hex digits");
  EXPECT_EQ(error_after([](auto& s) { s.customer = 1ULL << 33U; }), "customer: must be below 2^33");
  EXPECT_EQ(error_after([](auto& s) { s.milliunits = 0; }), "units: above 0, at most 1000");
  EXPECT_EQ(error_after([](auto& s) { s.end_unix_s = kNow; }), "ends: is in the past");
  EXPECT_EQ(error_after([](auto& s) { s.end_unix_s = kNow + kMaxJobSeconds + 1; }),
            "ends: at most 7 days ahead");
}

TEST(JobCodec, MalformedBytesAreRejectedOrCanonical) {
  std::mt19937 random(7);
  const auto parts = encode(with_keys({"one", "two", "three"}));
  for (int i = 0; i < 20'000; ++i) {
    auto broken = parts;
    auto& part = broken[random() % broken.size()];
    if (random() % 4 == 0) part.resize(random() % (part.size() + 3));
    for (auto n = random() % 3; n > 0 && !part.empty(); --n)
      part[random() % part.size()] = static_cast<char>(random());
    if (const auto s = decode_parts(broken)) {
      EXPECT_EQ(encode(*s), broken);
    }
    std::string states(random() % 200, '\0');
    for (auto& c : states) c = static_cast<char>(random());
    std::vector<TaskState> all(600, TaskState::idle);
    const auto p = static_cast<std::uint8_t>(random() % kStateParts);
    if (decode_states(states, p, all)) {
      EXPECT_EQ(encode_states(all, p), states);
    }
    if (const auto m = decode_watermarks(states.substr(0, 9), 600)) {
      EXPECT_EQ(encode(*m), states.substr(0, 9));
    }
  }
}

// The host of one node: keeps records across holders; the test decides the outcomes of tasks and
// writes.
struct FakeHost final : JobHost {
  std::optional<ShardLease> lease(ShardId) override { return shard_lease; }
  std::optional<MemberId> holder(ShardId) override { return other_holder; }
  bool has_all_records(ShardId) override { return has_records; }
  void put(std::uint64_t token, const RecordKey& key, std::uint64_t epoch, std::uint32_t ends,
           std::optional<std::string> value) override {
    puts.push_back({token, {key, {epoch, ++sequence, {}}, ends, !value, value.value_or("")}});
  }
  std::optional<Record> find(const RecordKey& key) override {
    const auto it = records.find(key);
    return it == records.end() ? std::nullopt : std::optional(it->second);
  }
  void for_each_record(const std::function<void(const Record&)>& visit) override {
    for (const auto& [k, r] : records) visit(r);
  }
  void send(const JobTask& t) override {
    sent.push_back(t);
    const auto part = static_cast<std::uint8_t>(kFirstStatePart + t.index / kTasksPerPart);
    std::vector<TaskState> all(t.spec->task_count(), TaskState::idle);
    const auto r = find(key_of(t.job, part));
    is_written_ahead = is_written_ahead && r &&
                       decode_states(r->value, part - kFirstStatePart, all) &&
                       all[t.index] == TaskState::in_flight;
  }
  std::uint32_t free_slots() override { return 100; }
  std::optional<double> tasks_per_second(JobId) override { return {}; }
  std::optional<Idempotency> idempotency(const std::string& c) override {
    if (c == "lookup") return Idempotency::idempotent;
    return c == "order" ? std::optional(Idempotency::non_idempotent) : std::nullopt;
  }
  bool has_plan(const std::string& p) override { return p == "team"; }
  Duration attempt_timeout(const std::string&) override { return std::chrono::seconds(1); }
  std::uint32_t unix_time(Time t) override {
    return kNow + static_cast<std::uint32_t>(
                      std::chrono::duration_cast<std::chrono::seconds>(t - Time{}).count());
  }
  void reply(CallId, const JobReply& r) override { replies.push_back(r); }

  struct Put {
    std::uint64_t token;
    Record record;
  };
  std::optional<ShardLease> shard_lease = ShardLease{16, 16};
  std::optional<MemberId> other_holder;
  bool has_records = true, is_written_ahead = true;
  std::uint32_t sequence = 0;
  std::map<RecordKey, Record> records;
  std::vector<Put> puts;
  std::vector<JobTask> sent;
  std::vector<JobReply> replies;
};

struct JobSchedulerTest : testing::Test {
  using Kind = JobReply::Kind;
  FakeHost host;
  Time now{};
  JobConfig config{};
  std::unique_ptr<JobScheduler> scheduler = std::make_unique<JobScheduler>(config, host);

  void complete_writes(bool replicated = true) {
    for (auto& p : std::exchange(host.puts, {})) {
      if (replicated) host.records[p.record.key] = p.record;
      scheduler->on_write_complete(now, p.token, replicated);
    }
  }
  void tick_times(int times = 1) {
    for (; times > 0; --times) {
      now += std::chrono::milliseconds(300);
      scheduler->tick(now);
      complete_writes();
    }
    scheduler->tick(now);
  }
  void complete_tasks(TaskOutcome::Kind kind = TaskOutcome::Kind::served, std::size_t size = 10) {
    for (const auto& t : std::exchange(host.sent, {}))
      scheduler->on_task_complete(
          now, t.token, {kind, std::string(kind == TaskOutcome::Kind::served ? size : 0, 'a'), {}});
  }
  // Replaces the holder by one that starts from the records.
  void next_holder() {
    host.shard_lease = ShardLease{host.shard_lease ? host.shard_lease->epoch + 16 : 160, 0};
    host.shard_lease->since_epoch = host.shard_lease->epoch;
    host.puts.clear(), host.sent.clear();
    scheduler = std::make_unique<JobScheduler>(config, host);
  }
  JobReply last_reply() {
    EXPECT_FALSE(host.replies.empty());
    return host.replies.empty() ? JobReply{} : host.replies.back();
  }
  JobReply submit(const JobSpec& s) {
    scheduler->submit(now, {}, s);
    complete_writes(), complete_writes();
    return last_reply();
  }
  JobReply fetch(std::uint32_t from) {
    scheduler->fetch(now, {}, id_of(spec()), from);
    complete_writes();
    return last_reply();
  }
  std::uint32_t count(TaskState s) {
    const auto state = scheduler->state(now, id_of(spec()));
    return state ? state->counts[static_cast<std::size_t>(s)] : 0;
  }
};

TEST_F(JobSchedulerTest, WritesAheadAndDeliversAnswersOnceReplicated) {
  EXPECT_EQ(submit(spec()).kind, Kind::accepted);
  EXPECT_TRUE(scheduler->needs_lease(shard_of(id_of(spec()))));
  for (int i = 0; i < 5; ++i) tick_times(), complete_tasks();
  EXPECT_TRUE(host.is_written_ahead);
  EXPECT_EQ(count(TaskState::served), 20U);
  const auto before = host.replies.size();
  scheduler->fetch(now, {}, id_of(spec()), 0);
  EXPECT_EQ(host.replies.size(), before);  // not replicated yet
  scheduler->fetch(now, {}, id_of(spec()), 0);
  EXPECT_EQ(host.replies.size(), before);  // nor for a repeated call
  complete_writes(false);
  EXPECT_EQ(last_reply().kind, Kind::unavailable);
  EXPECT_EQ(fetch(0).answers.size(), 20U);
  EXPECT_EQ(fetch(20).answers.size(), 0U);
  EXPECT_EQ(scheduler->answer_bytes(), 0U);
  EXPECT_EQ(fetch(3).kind, Kind::trimmed);
  EXPECT_EQ(last_reply().next, 20U);
  EXPECT_FALSE(scheduler->needs_lease(shard_of(id_of(spec()))));
}

TEST_F(JobSchedulerTest, SubmittedTwiceIsOneJobAndOtherContentConflicts) {
  scheduler->submit(now, {}, spec());
  scheduler->submit(now, {}, spec());
  scheduler->submit(now, {}, spec(21));
  EXPECT_EQ(last_reply().kind, Kind::conflict);
  complete_writes(), complete_writes();
  ASSERT_EQ(host.replies.size(), 3U);
  EXPECT_EQ(last_reply().kind, Kind::accepted);
  EXPECT_EQ(scheduler->job_count(), 1U);
  EXPECT_EQ(submit(spec(19)).message, "this prefix names another job");
  EXPECT_EQ(submit(spec(20, "other")).message, "class: no such class");
}

TEST_F(JobSchedulerTest, SubmissionNotReplicatedIsNotKept) {
  scheduler->submit(now, {}, spec());
  complete_writes(false);
  EXPECT_EQ(last_reply().kind, Kind::unavailable);
  complete_writes();  // of the void head
  next_holder();
  tick_times(3);
  EXPECT_EQ(scheduler->job_count(), 0U);
  EXPECT_TRUE(host.sent.empty());
  EXPECT_EQ(submit(spec()).kind, Kind::accepted);  // the prefix is free
}

TEST_F(JobSchedulerTest, DeletedJobStaysDeleted) {
  submit(spec());
  tick_times();
  scheduler->remove(now, {}, id_of(spec()));
  complete_writes(false);
  EXPECT_EQ(last_reply().kind, Kind::unavailable);
  scheduler->remove(now, {}, id_of(spec()));
  complete_writes();
  EXPECT_EQ(last_reply().kind, Kind::removed);
  host.sent.clear();
  next_holder();
  tick_times(5);
  EXPECT_TRUE(host.sent.empty());
  EXPECT_EQ(submit(spec()).message, "this job was deleted; take another prefix");
}

TEST_F(JobSchedulerTest, NextHolderRepeatsIdempotentTasksAfterTimeout) {
  submit(spec());
  tick_times();
  ASSERT_EQ(host.sent.size(), 16U);
  next_holder();
  tick_times(2);
  for (const auto& t : host.sent)
    EXPECT_GE(t.index, 16U);  // tasks of the previous holder may still be in flight
  tick_times(4);
  EXPECT_EQ(scheduler->tasks_in_flight(), 16U);
  EXPECT_TRUE(host.is_written_ahead);
}

TEST_F(JobSchedulerTest, NonIdempotentTasksThatMayHaveRunEndUnknown) {
  submit(spec(20, "order"));
  tick_times();
  ASSERT_EQ(host.sent.size(), 4U);
  complete_tasks();
  tick_times();  // 4 are recorded as served, the next 4 are in flight
  next_holder();
  tick_times();
  EXPECT_EQ(count(TaskState::lost), 4U);
  EXPECT_EQ(count(TaskState::unknown), 4U);
  for (const auto& t : host.sent) EXPECT_GE(t.index, 8U);
}

TEST_F(JobSchedulerTest, DeliveredTasksRunAgainOnlyWhenFetchedAgain) {
  submit(spec());
  tick_times(), complete_tasks(), tick_times(), complete_tasks(), tick_times();
  ASSERT_EQ(fetch(0).answers.size(), 20U);
  next_holder();
  tick_times(8);
  EXPECT_TRUE(host.sent.empty());
  EXPECT_EQ(fetch(15).answers.size(), 0U);  // the client has only the answers below 15
  tick_times(8);
  EXPECT_EQ(host.sent.size(), 5U);
  complete_tasks();
  EXPECT_EQ(fetch(15).answers.size(), 5U);
  EXPECT_EQ(scheduler->state(now, id_of(spec()))->watermarks.rerun_count, 5U);
}

TEST_F(JobSchedulerTest, HolderThatLostItsLeaseDoesNothing) {
  submit(spec());
  tick_times();
  auto sent_before = host.sent;
  host.shard_lease.reset(), host.other_holder = MemberId(3);
  tick_times(30);
  EXPECT_EQ(host.sent.size(), sent_before.size());
  complete_tasks();  // after the lease was lost: ignored
  EXPECT_EQ(scheduler->job_count(), 0U);
  EXPECT_EQ(scheduler->answer_bytes(), 0U);
  EXPECT_TRUE(host.puts.empty());
  EXPECT_EQ(fetch(0).kind, Kind::redirect);
  EXPECT_EQ(last_reply().holder, MemberId(3));
  host.other_holder.reset();
  scheduler->fetch(now, {}, id_of(spec()), 0);
  tick_times(20);
  EXPECT_EQ(last_reply().message, "no node holds the job's shard yet; retry");
}

TEST_F(JobSchedulerTest, PausesAtAnswerByteLimitAndContinuesAfterFetch) {
  submit(spec(400));
  std::size_t max_bytes = 0;
  for (int i = 0; i < 40; ++i)
    tick_times(), complete_tasks(TaskOutcome::Kind::served, config.max_answer_bytes),
        max_bytes = std::max(max_bytes, scheduler->answer_bytes());
  EXPECT_LE(max_bytes, config.max_job_answer_bytes);
  EXPECT_EQ(scheduler->state(now, id_of(spec()))->kind, JobState::Kind::paused);
  std::uint32_t next = 0;
  for (int i = 0; i < 400 && next < 400; ++i) {
    next = std::max(next, fetch(next).next);
    tick_times(), complete_tasks(TaskOutcome::Kind::served, config.max_answer_bytes);
    ASSERT_LE(scheduler->answer_bytes(), config.max_job_answer_bytes);
  }
  EXPECT_EQ(next, 400U);
}

// A second, simple implementation: records per task what a client and the price servers observe.
TEST_F(JobSchedulerTest, AgreesWithPerTaskHistoryUnderFaults) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const bool is_idempotent = seed % 2;
    const auto s = spec(80, is_idempotent ? "lookup" : "order");
    host = FakeHost{}, now = Time{}, scheduler = std::make_unique<JobScheduler>(config, host);
    struct TaskHistory {
      int run_count = 0;
      bool is_fetched = false, is_in_flight = false;
    };
    std::vector<TaskHistory> history(s.task_count());
    std::vector<std::pair<JobTask, Time>> in_flight;
    ASSERT_EQ(submit(s).kind, Kind::accepted);
    host.replies.clear();
    std::uint32_t next = 0;
    for (int step = 0; step < 3'000 && next < s.task_count(); ++step) {
      now += std::chrono::milliseconds(50);
      scheduler->tick(now);
      for (const auto& t : std::exchange(host.sent, {})) {
        auto& h = history[t.index];
        ASSERT_FALSE(h.is_fetched) << "run after fetch, task " << t.index << " seed " << seed;
        ASSERT_FALSE(h.is_in_flight) << "in flight twice, task " << t.index << " seed " << seed;
        ASSERT_TRUE(is_idempotent || h.run_count == 0)
            << "not idempotent but run twice, task " << t.index << " seed " << seed;
        h.is_in_flight = true;
        in_flight.emplace_back(t, now + std::chrono::milliseconds(50 + random() % 900));
        if (random() % 10 != 0) ++h.run_count;
      }
      std::erase_if(in_flight, [&](const auto& o) {
        if (o.second > now) return false;
        auto& h = history[o.first.index];
        h.is_in_flight = false;
        if (o.first.epoch != host.shard_lease->epoch)
          return true;  // sent by a holder that has failed
        const bool has_run = h.run_count > 0;
        scheduler->on_task_complete(
            now, o.first.token,
            {has_run ? (random() % 9 ? TaskOutcome::Kind::served : TaskOutcome::Kind::unknown)
                     : TaskOutcome::Kind::rejected,
             has_run ? "b" : "",
             {}});
        return true;
      });
      for (auto& p : std::exchange(host.puts, {})) {
        const bool is_replicated = random() % 8 != 0;
        if (is_replicated || random() % 2) {  // a failed write may still have reached the records
          auto& r = host.records[p.record.key];
          if (r.version < p.record.version) r = p.record;
        }
        scheduler->on_write_complete(now, p.token, is_replicated);
      }
      if (random() % 6 == 0) scheduler->fetch(now, {}, id_of(s), next);
      for (const auto& r : std::exchange(host.replies, {})) {
        ASSERT_TRUE(r.kind == Kind::answers || r.kind == Kind::unavailable ||
                    r.kind == Kind::trimmed)
            << r.message;
        if (r.kind != Kind::answers || random() % 10 == 0) continue;  // the reply may be lost
        for (const auto& a : r.answers) history[a.task].is_fetched = true;
        next = std::max(next, r.next);
      }
      if (random() % 60 == 0) next_holder(), now += std::chrono::milliseconds(random() % 4'000);
    }
    EXPECT_EQ(next, s.task_count()) << "seed " << seed;
  }
}

TEST(JobFleet, ViolatesInvariantsOnlyWithoutWriteAhead) {
  std::uint64_t violations = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    world::RandomFaultConfig t;
    t.seed = seed, t.minutes = 2;
    const auto f = world::run_random_faults(t);
    EXPECT_EQ(f.violations.total(), 0U) << f.violations.texts.front();
    EXPECT_EQ(f.unfinished_jobs, 0U);
    EXPECT_GT(f.counts.answers_fetched, 500U);
    t.write_ahead = false;
    violations += world::run_random_faults(t).violations.total();
  }
  EXPECT_GT(violations, 0U);
}

TEST(JobFleet, JobsOfFailedNodeContinueElsewhere) {
  for (const auto fault : {world::HolderFault::kill, world::HolderFault::leave}) {
    const auto r = world::run_recovery_case(fault, 30, 8, 1);
    EXPECT_EQ(r.unrecovered, 0U);
    EXPECT_EQ(r.violations.total(), 0U);
    ASSERT_FALSE(r.recovery_times_s.empty());
    EXPECT_LE(std::ranges::max(r.recovery_times_s), 5);
  }
}

}  // namespace
}  // namespace petrelrail::fleet::test

// Jobs: their records, the holder's state machine against a plain line-by-line history, and the
// fleet's judge.
#include "fleet/jobs.hpp"

#include <gtest/gtest.h>

#include <random>

#include "world/job_cases.hpp"

namespace petrelrail::fleet::test {
namespace {

constexpr std::uint32_t kNow = 1'800'000'000;

JobSpec spec(std::uint32_t lines = 20, const std::string& request_class = "lookup") {
  return {77,
          0x9b1f03aa5c7e,
          "team",
          request_class,
          1'000,
          "/" + request_class + "/{}?v=2",
          JobRange{500, lines},
          kNow + 3'600};
}
JobSpec with_keys(std::vector<std::string> keys) {
  auto s = spec();
  s.lines = std::move(keys);
  return s;
}
std::optional<JobSpec> again(const std::vector<std::string>& parts) {
  return decode(parts.front(), [&](std::uint8_t p) -> std::optional<std::string> {
    return p < parts.size() ? std::optional(parts[p]) : std::nullopt;
  });
}

TEST(JobCodec, WhatIsWrittenIsReadAgainAndIsSmall) {
  std::vector<std::string> keys;
  for (int i = 0; i < 400; ++i) keys.push_back("k" + std::to_string(i * i));
  auto longest = spec(kMostLines, std::string(kMostName, 'c'));
  longest.plan = std::string(kMostName, 'p');
  longest.path.resize(kMostPath, 'x');
  longest.lines = JobRange{~0ULL - kMostLines, kMostLines};
  for (const auto& s : {spec(), spec(kMostLines), longest, with_keys(keys), with_keys({"a"})}) {
    ASSERT_FALSE(fault_of(s, kNow)) << *fault_of(s, kNow);
    const auto parts = encode(s);
    EXPECT_LE(parts.size(), std::holds_alternative<JobRange>(s.lines) ? 1U : 1U + kKeyParts);
    for (const auto& p : parts) EXPECT_LE(p.size(), kMaxRecordValueBytes);
    EXPECT_EQ(again(parts), s);
  }
  EXPECT_EQ(spec().path_of(3), "/lookup/503?v=2");
  EXPECT_EQ(spec().request_of(3), 0x9b1f03aa5c7e0003U);
}

TEST(JobCodec, EachFaultIsNamed) {
  const auto fault = [](auto change) {
    auto s = spec();
    change(s);
    return fault_of(s, kNow).value_or("none");
  };
  EXPECT_EQ(fault([](auto&) {}), "none");
  EXPECT_EQ(fault([](auto& s) { s.lines = JobRange{0, 4'001}; }), "lines: 4001, at most 4000");
  EXPECT_EQ(fault([](auto& s) { s.lines = JobRange{0, 0}; }), "lines: none");
  EXPECT_EQ(fault([](auto& s) { s.lines = std::vector(60, std::string(50, 'k')); }),
            "keys: 3060 bytes, at most 3000; use a range or more jobs");
  EXPECT_EQ(fault([](auto& s) { s.lines = std::vector<std::string>{"a b"}; }),
            "keys: spaces, controls and # must be escaped");
  EXPECT_EQ(fault([](auto& s) { s.path = "/lookup/x"; }), "path: holds {} once");
  EXPECT_EQ(fault([](auto& s) { s.path = "/other/{}"; }), "path: begins with the class");
  EXPECT_EQ(fault([](auto& s) { s.prefix = 1ULL << 48U; }), "prefix: 12 hex digits");
  EXPECT_EQ(fault([](auto& s) { s.customer = 1ULL << 33U; }), "customer: below 2^33");
  EXPECT_EQ(fault([](auto& s) { s.units = 0; }), "units: above 0, at most 1000");
  EXPECT_EQ(fault([](auto& s) { s.ends = kNow; }), "ends: has passed");
  EXPECT_EQ(fault([](auto& s) { s.ends = kNow + kMostSpan + 1; }), "ends: at most 7 days ahead");
}

TEST(JobCodec, HostileBytesAreTurnedDownOrMeanWhatTheySay) {
  std::mt19937 dice(7);
  const auto parts = encode(with_keys({"one", "two", "three"}));
  for (int i = 0; i < 20'000; ++i) {
    auto broken = parts;
    auto& part = broken[dice() % broken.size()];
    if (dice() % 4 == 0) part.resize(dice() % (part.size() + 3));
    for (auto n = dice() % 3; n > 0 && !part.empty(); --n)
      part[dice() % part.size()] = static_cast<char>(dice());
    if (const auto s = again(broken)) {
      EXPECT_EQ(encode(*s), broken);
    }
    std::string states(dice() % 200, '\0');
    for (auto& c : states) c = static_cast<char>(dice());
    std::vector<LineState> all(600, LineState::idle);
    const auto p = static_cast<std::uint8_t>(dice() % kStateParts);
    if (decode_states(states, p, all)) {
      EXPECT_EQ(encode_states(all, p), states);
    }
    if (const auto m = decode_marks(states.substr(0, 9), 600)) {
      EXPECT_EQ(encode(*m), states.substr(0, 9));
    }
  }
}

// One node: records that outlive it, and the outcomes of lines and writes as the test gives them.
struct Host final : JobHost {
  std::optional<JobHold> may_act(ShardId) override { return right; }
  std::optional<MemberId> holder(ShardId) override { return other; }
  bool complete(ShardId) override { return whole; }
  void put(std::uint64_t token, const RecordKey& key, std::uint64_t epoch, std::uint32_t ends,
           std::optional<std::string> value) override {
    puts.push_back({token, {key, {epoch, ++sequence, {}}, ends, !value, value.value_or("")}});
  }
  std::optional<Record> find(const RecordKey& key) override {
    const auto it = records.find(key);
    return it == records.end() ? std::nullopt : std::optional(it->second);
  }
  void each(const std::function<void(const Record&)>& see) override {
    for (const auto& [k, r] : records) see(r);
  }
  void send(const JobLine& l) override {
    lines.push_back(l);
    const auto part = static_cast<std::uint8_t>(kFirstStates + l.line / kLinesInPart);
    std::vector<LineState> all(l.spec->count(), LineState::idle);
    const auto r = find(key_of(l.job, part));
    ahead = ahead && r && decode_states(r->value, part - kFirstStates, all) &&
            all[l.line] == LineState::out;
  }
  std::uint32_t room() override { return 100; }
  std::optional<double> pace(JobId) override { return {}; }
  std::optional<Idempotency> effect(const std::string& c) override {
    if (c == "lookup") return Idempotency::idempotent;
    return c == "order" ? std::optional(Idempotency::non_idempotent) : std::nullopt;
  }
  bool has_plan(const std::string& p) override { return p == "team"; }
  Duration timeout(const std::string&) override { return std::chrono::seconds(1); }
  std::uint32_t unix_time(Time t) override {
    return kNow + static_cast<std::uint32_t>(
                      std::chrono::duration_cast<std::chrono::seconds>(t - Time{}).count());
  }
  void reply(CallId, const JobReply& r) override { replies.push_back(r); }

  struct Put {
    std::uint64_t token;
    Record record;
  };
  std::optional<JobHold> right = JobHold{16, 16};
  std::optional<MemberId> other;
  bool whole = true, ahead = true;
  std::uint32_t sequence = 0;
  std::map<RecordKey, Record> records;
  std::vector<Put> puts;
  std::vector<JobLine> lines;
  std::vector<JobReply> replies;
};

struct JobsOfANode : testing::Test {
  using Kind = JobReply::Kind;
  Host host;
  Time now{};
  JobTerms terms{};
  std::unique_ptr<Jobs> jobs = std::make_unique<Jobs>(terms, host);

  void write(bool safe = true) {
    for (auto& p : std::exchange(host.puts, {})) {
      if (safe) host.records[p.record.key] = p.record;
      jobs->put_ended(now, p.token, safe);
    }
  }
  void turn(int times = 1) {
    for (; times > 0; --times) {
      now += std::chrono::milliseconds(300);
      jobs->tick(now);
      write();
    }
    jobs->tick(now);
  }
  void answer(LineOutcome::Kind kind = LineOutcome::Kind::served, std::size_t size = 10) {
    for (const auto& l : std::exchange(host.lines, {}))
      jobs->line_ended(now, l.token,
                       {kind, std::string(kind == LineOutcome::Kind::served ? size : 0, 'a'), {}});
  }
  // A holder after this one, from what is recorded.
  void next_holder() {
    host.right = JobHold{host.right ? host.right->epoch + 16 : 160, 0};
    host.right->since = host.right->epoch;
    host.puts.clear(), host.lines.clear();
    jobs = std::make_unique<Jobs>(terms, host);
  }
  JobReply last() {
    EXPECT_FALSE(host.replies.empty());
    return host.replies.empty() ? JobReply{} : host.replies.back();
  }
  JobReply hand_in(const JobSpec& s) {
    jobs->hand_in(now, {}, s);
    write(), write();
    return last();
  }
  JobReply fetch(std::uint32_t from) {
    jobs->fetch(now, {}, id_of(spec()), from);
    write();
    return last();
  }
  std::uint32_t count(LineState s) {
    const auto state = jobs->state(now, id_of(spec()));
    return state ? state->counts[static_cast<std::size_t>(s)] : 0;
  }
};

TEST_F(JobsOfANode, RunsWrittenAheadTellsOnceRecordedAndEnds) {
  EXPECT_EQ(hand_in(spec()).kind, Kind::accepted);
  EXPECT_TRUE(jobs->wants(shard_of(id_of(spec()))));
  for (int i = 0; i < 5; ++i) turn(), answer();
  EXPECT_TRUE(host.ahead);
  EXPECT_EQ(count(LineState::served), 20U);
  const auto before = host.replies.size();
  jobs->fetch(now, {}, id_of(spec()), 0);
  EXPECT_EQ(host.replies.size(), before);  // not recorded yet
  jobs->fetch(now, {}, id_of(spec()), 0);
  EXPECT_EQ(host.replies.size(), before);  // nor by what is in memory
  write(false);
  EXPECT_EQ(last().kind, Kind::unavailable);
  EXPECT_EQ(fetch(0).answers.size(), 20U);
  EXPECT_EQ(fetch(20).answers.size(), 0U);
  EXPECT_EQ(jobs->held_bytes(), 0U);
  EXPECT_EQ(fetch(3).kind, Kind::let_go);
  EXPECT_EQ(last().next, 20U);
  EXPECT_FALSE(jobs->wants(shard_of(id_of(spec()))));
}

TEST_F(JobsOfANode, HandedInTwiceIsOneJobAndOtherContentAConflict) {
  jobs->hand_in(now, {}, spec());
  jobs->hand_in(now, {}, spec());
  jobs->hand_in(now, {}, spec(21));
  EXPECT_EQ(last().kind, Kind::conflict);
  write(), write();
  ASSERT_EQ(host.replies.size(), 3U);
  EXPECT_EQ(last().kind, Kind::accepted);
  EXPECT_EQ(jobs->jobs(), 1U);
  EXPECT_EQ(hand_in(spec(19)).text, "this prefix names another job");
  EXPECT_EQ(hand_in(spec(20, "other")).text, "class: no such class");
}

TEST_F(JobsOfANode, WhatIsNotSafeIsNotKept) {
  jobs->hand_in(now, {}, spec());
  write(false);
  EXPECT_EQ(last().kind, Kind::unavailable);
  write();  // that it is none
  next_holder();
  turn(3);
  EXPECT_EQ(jobs->jobs(), 0U);
  EXPECT_TRUE(host.lines.empty());
  EXPECT_EQ(hand_in(spec()).kind, Kind::accepted);  // the prefix is free
}

TEST_F(JobsOfANode, DeletedStaysDeleted) {
  hand_in(spec());
  turn();
  jobs->remove(now, {}, id_of(spec()));
  write(false);
  EXPECT_EQ(last().kind, Kind::unavailable);
  jobs->remove(now, {}, id_of(spec()));
  write();
  EXPECT_EQ(last().kind, Kind::removed);
  host.lines.clear();
  next_holder();
  turn(5);
  EXPECT_TRUE(host.lines.empty());
  EXPECT_EQ(hand_in(spec()).text, "this job was deleted; take another prefix");
}

TEST_F(JobsOfANode, HeirRepeatsOnlyWhatIsSafeAndAfterTheTimeOut) {
  hand_in(spec());
  turn();
  ASSERT_EQ(host.lines.size(), 16U);
  next_holder();
  turn(2);
  for (const auto& l : host.lines) EXPECT_GE(l.line, 16U);  // others may be out still
  turn(4);
  EXPECT_EQ(jobs->lines_out(), 16U);
  EXPECT_TRUE(host.ahead);
}

TEST_F(JobsOfANode, UnsafeLinesThatMayHaveRunEndAsUnknown) {
  hand_in(spec(20, "order"));
  turn();
  ASSERT_EQ(host.lines.size(), 4U);
  answer();
  turn();  // 4 are served and recorded so, the next 4 are out
  next_holder();
  turn();
  EXPECT_EQ(count(LineState::lost), 4U);
  EXPECT_EQ(count(LineState::unknown), 4U);
  for (const auto& l : host.lines) EXPECT_GE(l.line, 8U);
}

TEST_F(JobsOfANode, AnswersToldAreNotRunAgainUnlessAskedFor) {
  hand_in(spec());
  turn(), answer(), turn(), answer(), turn();
  ASSERT_EQ(fetch(0).answers.size(), 20U);
  next_holder();
  turn(8);
  EXPECT_TRUE(host.lines.empty());
  EXPECT_EQ(fetch(15).answers.size(), 0U);  // the client has those below 15 alone
  turn(8);
  EXPECT_EQ(host.lines.size(), 5U);
  answer();
  EXPECT_EQ(fetch(15).answers.size(), 5U);
  EXPECT_EQ(jobs->state(now, id_of(spec()))->marks.rerun, 5U);
}

TEST_F(JobsOfANode, HolderThatWakesDoesNothing) {
  hand_in(spec());
  turn();
  auto old = host.lines;
  host.right.reset(), host.other = MemberId(3);
  turn(30);
  EXPECT_EQ(host.lines.size(), old.size());
  answer();  // comes too late: it counts for nothing
  EXPECT_EQ(jobs->jobs(), 0U);
  EXPECT_EQ(jobs->held_bytes(), 0U);
  EXPECT_TRUE(host.puts.empty());
  EXPECT_EQ(fetch(0).kind, Kind::elsewhere);
  EXPECT_EQ(last().holder, MemberId(3));
  host.other.reset();
  jobs->fetch(now, {}, id_of(spec()), 0);
  turn(20);
  EXPECT_EQ(last().text, "no node holds the job's shard yet; ask again");
}

TEST_F(JobsOfANode, PausesAtTheBoundAndGoesOn) {
  hand_in(spec(400));
  std::size_t most = 0;
  for (int i = 0; i < 40; ++i)
    turn(), answer(LineOutcome::Kind::served, terms.most_answer),
        most = std::max(most, jobs->held_bytes());
  EXPECT_LE(most, terms.most_held);
  EXPECT_EQ(jobs->state(now, id_of(spec()))->kind, JobState::Kind::paused);
  std::uint32_t next = 0;
  for (int i = 0; i < 400 && next < 400; ++i) {
    next = std::max(next, fetch(next).next);
    turn(), answer(LineOutcome::Kind::served, terms.most_answer);
    ASSERT_LE(jobs->held_bytes(), terms.most_held);
  }
  EXPECT_EQ(next, 400U);
}

// The plain second implementation: what a client and an auditor would write down, line by line.
TEST_F(JobsOfANode, AgreesWithALineByLineHistoryUnderFaults) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 dice(seed);
    const bool safe = seed % 2;
    const auto s = spec(80, safe ? "lookup" : "order");
    host = Host{}, now = Time{}, jobs = std::make_unique<Jobs>(terms, host);
    struct Line {
      int ran = 0;
      bool has = false, open = false;
    };
    std::vector<Line> history(s.count());
    std::vector<std::pair<JobLine, Time>> out;
    ASSERT_EQ(hand_in(s).kind, Kind::accepted);
    host.replies.clear();
    std::uint32_t next = 0;
    for (int step = 0; step < 3'000 && next < s.count(); ++step) {
      now += std::chrono::milliseconds(50);
      jobs->tick(now);
      for (const auto& l : std::exchange(host.lines, {})) {
        auto& h = history[l.line];
        ASSERT_FALSE(h.has) << "fetched, line " << l.line << " seed " << seed;
        ASSERT_FALSE(h.open) << "out twice, line " << l.line << " seed " << seed;
        ASSERT_TRUE(safe || h.ran == 0) << "not safe, line " << l.line << " seed " << seed;
        h.open = true;
        out.emplace_back(l, now + std::chrono::milliseconds(50 + dice() % 900));
        if (dice() % 10 != 0) ++h.ran;
      }
      std::erase_if(out, [&](const auto& o) {
        if (o.second > now) return false;
        auto& h = history[o.first.line];
        h.open = false;
        if (o.first.epoch != host.right->epoch)
          return true;  // it went out at a holder that is dead
        const bool ran = h.ran > 0;
        jobs->line_ended(
            now, o.first.token,
            {ran ? (dice() % 9 ? LineOutcome::Kind::served : LineOutcome::Kind::unknown)
                 : LineOutcome::Kind::refused,
             ran ? "b" : "",
             {}});
        return true;
      });
      for (auto& p : std::exchange(host.puts, {})) {
        const bool is_safe = dice() % 8 != 0;
        if (is_safe || dice() % 2) {  // not safe may be known all the same
          auto& r = host.records[p.record.key];
          if (r.version < p.record.version) r = p.record;
        }
        jobs->put_ended(now, p.token, is_safe);
      }
      if (dice() % 6 == 0) jobs->fetch(now, {}, id_of(s), next);
      for (const auto& r : std::exchange(host.replies, {})) {
        ASSERT_TRUE(r.kind == Kind::answers || r.kind == Kind::unavailable ||
                    r.kind == Kind::let_go)
            << r.text;
        if (r.kind != Kind::answers || dice() % 10 == 0) continue;  // or lost on its way
        for (const auto& a : r.answers) history[a.line].has = true;
        next = std::max(next, r.next);
      }
      if (dice() % 60 == 0) next_holder(), now += std::chrono::milliseconds(dice() % 4'000);
    }
    EXPECT_EQ(next, s.count()) << "seed " << seed;
  }
}

TEST(JobFleet, NoBreachUnderAllFaultsAndWithoutWriteAheadThereIs) {
  std::uint64_t found = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    world::FaultTerms t;
    t.seed = seed, t.minutes = 2;
    const auto f = world::play_faults(t);
    EXPECT_EQ(f.breaches.sum(), 0U) << f.breaches.words.front();
    EXPECT_EQ(f.stuck, 0U);
    EXPECT_GT(f.counts.fetched, 500U);
    t.write_ahead = false;
    found += world::play_faults(t).breaches.sum();
  }
  EXPECT_GT(found, 0U);
}

TEST(JobFleet, JobsOfADeadNodeGoOn) {
  for (const auto fault : {world::HolderFault::kill, world::HolderFault::leave}) {
    const auto r = world::play_recovery(fault, 30, 8, 1);
    EXPECT_EQ(r.never, 0U);
    EXPECT_EQ(r.breaches.sum(), 0U);
    ASSERT_FALSE(r.seconds.empty());
    EXPECT_LE(std::ranges::max(r.seconds), 5);
  }
}

}  // namespace
}  // namespace petrelrail::fleet::test

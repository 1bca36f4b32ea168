#include "jobs.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace petrelrail::fleet {

const char* name_of(JobState::Kind k) {
  constexpr std::array<const char*, 4> names{"waiting", "running", "paused", "done"};
  return names.at(static_cast<std::size_t>(k));
}

void validate(const JobTerms& t) {
  const auto need = [](bool holds, const char* what) {
    if (!holds) throw std::invalid_argument(what);
  };
  need(t.most_active > 0, "most_active: above 0");
  need(t.most_in_shard > 0, "most_in_shard: above 0");
  need(t.most_out > 0, "most_out: above 0");
  need(t.batch > 0 && t.batch_unsafe > 0, "batch: above 0");
  need(t.tries > 0, "tries: above 0");
  need(t.most_held >= 2 * t.most_answer, "most_held: two answers at least");
  need(t.most_held_all >= t.most_held, "most_held_all: what one job may hold at least");
  need(t.write_every > Duration{} && t.waits > Duration{} && t.again > Duration{},
       "times: above 0");
}

Jobs::Jobs(JobTerms terms, JobHost& host) : terms_(terms), host_(host) { validate(terms_); }

// The right to act, with memory that belongs to it: what was in memory under an earlier one is
// dropped.
std::optional<JobHold> Jobs::hold(Time now, ShardId shard) {
  const auto right = host_.may_act(shard);
  auto& s = shards_[static_cast<std::size_t>(shard)];
  if (!right) return {};
  if (s.since != right->since) {
    drop(shard);
    s.since = right->since;
    s.read = false;
  }
  if (!s.read) {
    if (!host_.complete(shard)) return {};
    s.read = true;
    read(now, shard);
  }
  return right;
}

void Jobs::drop(ShardId shard) {
  std::erase_if(jobs_, [&](const auto& j) {
    if (shard_of(j.first) != shard) return false;
    held_all_ -= j.second.held;
    return true;
  });
  const auto of_shard = [&](const auto& x) { return shard_of(x.second.job) == shard; };
  std::erase_if(sent_, of_shard);
  std::erase_if(writes_, of_shard);
  std::erase_if(half_removed_, [&](JobId id) { return shard_of(id) == shard; });
  std::erase_if(coming_, [&](const auto& c) { return shard_of(c.first) == shard; });
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (shard_of(it->second.id) != shard) {
      ++it;
      continue;
    }
    const auto ended = std::move(it->second);
    it = pending_.erase(it);
    for (const auto c : ended.calls)
      fail(c, ended.id, JobReply::Kind::unavailable, "the job's holder has changed; ask again");
  }
  shards_[static_cast<std::size_t>(shard)].unread.clear();
}

void Jobs::read(Time now, ShardId shard) {
  auto& s = shards_[static_cast<std::size_t>(shard)];
  std::vector<std::pair<JobId, std::string>> heads;
  host_.each([&](const Record& r) {
    if (is_head(r) && shard_of(job_of(r.key)) == shard) heads.emplace_back(job_of(r.key), r.value);
  });
  for (const auto& [id, head] : heads)
    if (!jobs_.contains(id) && !read_job(now, id, head)) s.unread.insert(id);
  s.unread_at = now + terms_.write_every;
}

std::optional<Jobs::Job> Jobs::load(JobId id, const std::string& head) {
  const auto value = [&](std::uint8_t part) -> std::optional<std::string> {
    const auto r = host_.find(key_of(id, part));
    return r && !r->deleted ? std::optional(r->value) : std::nullopt;
  };
  auto spec = decode(head, value);
  if (!spec) return {};
  Job job;
  job.spec = std::move(*spec);
  job.effect = host_.effect(job.spec.request_class).value_or(Idempotency::non_idempotent);
  const auto lines = job.spec.count();
  job.states.assign(lines, LineState::idle);
  for (std::uint8_t p = 0; p < kStateParts; ++p)
    if (const auto v = value(kFirstStates + p); v && !decode_states(*v, p, job.states)) return {};
  if (const auto v = value(kMarksPart)) {
    const auto marks = decode_marks(*v, lines);
    if (!marks) return {};
    job.marks = *marks;
  }
  job.marked.assign(lines, false);
  return job;
}

bool Jobs::read_job(Time now, JobId id, const std::string& head) {
  auto job = load(id, head);
  if (!job) return false;
  take_up(now, *job);
  jobs_.emplace(id, std::move(*job));
  return true;
}

// Heads whose parts had not come, or whose deletion was not safe.
void Jobs::read_rest(Time now, ShardId shard) {
  auto& s = shards_[static_cast<std::size_t>(shard)];
  if (s.unread.empty() || now < s.unread_at) return;
  s.unread_at = now + terms_.write_every;
  std::erase_if(s.unread, [&](JobId id) {
    const auto head = host_.find(key_of(id, kHeadPart));
    return !head || !is_head(*head) || jobs_.contains(id) || read_job(now, id, head->value);
  });
}

// What the records say, as a heir goes on with it.
void Jobs::take_up(Time now, Job& job) {
  const auto again = now +
                     host_.timeout(
                         job.spec.request_class);  // no attempt of the last holder is out then
  const bool repeat = job.effect == Idempotency::idempotent;
  for (std::uint32_t i = 0; i < job.states.size(); ++i) {
    auto& s = job.states[i];
    if (i < job.marks.told) {
      if (!ended(s)) s = repeat ? LineState::served : LineState::unknown;  // it was told of
      continue;
    }
    if (s == LineState::out) {
      if (repeat) {
        s = LineState::idle;
        job.marked[i] = true;
        job.waits[i] = again;
      } else {
        s = LineState::unknown;
        job.dirty.set(i / kLinesInPart);
      }
    } else if (s == LineState::served) {
      s = repeat ? LineState::idle : LineState::lost;
      if (repeat) ++job.marks.rerun, job.marks_dirty = true;
      job.dirty.set(i / kLinesInPart);
    }
  }
  while (job.front < job.states.size() && ended(job.states[job.front])) ++job.front;
}

void Jobs::fail(CallId call, JobId id, JobReply::Kind kind, std::string text) {
  JobReply r;
  r.kind = kind, r.id = id, r.text = std::move(text);
  if (kind == JobReply::Kind::elsewhere) r.holder = host_.holder(shard_of(id));
  host_.reply(call, r);
}

template <class F>
void Jobs::when_held(Time now, CallId call, JobId id, F run) {
  if (hold(now, shard_of(id))) return run(now);
  if (host_.holder(shard_of(id)))
    return fail(call, id, JobReply::Kind::elsewhere, "another node holds it");
  waiting_.push_back({shard_of(id), now + terms_.waits, std::move(run), call, id});
}

void Jobs::hand_in(Time now, CallId call, const JobSpec& spec) {
  const auto id = id_of(spec);
  if (auto fault = fault_of(spec, host_.unix_time(now)))
    return fail(call, id, JobReply::Kind::bad, std::move(*fault));
  if (!host_.effect(spec.request_class))
    return fail(call, id, JobReply::Kind::bad, "class: no such class");
  if (!host_.has_plan(spec.plan)) return fail(call, id, JobReply::Kind::bad, "plan: no such plan");
  when_held(now, call, id, [this, call, spec](Time t) { do_hand_in(t, call, spec); });
}
void Jobs::fetch(Time now, CallId call, JobId id, std::uint32_t from) {
  when_held(now, call, id, [this, call, id, from](Time t) { do_fetch(t, call, id, from); });
}
void Jobs::remove(Time now, CallId call, JobId id) {
  when_held(now, call, id, [this, call, id](Time t) { do_remove(t, call, id); });
}

void Jobs::do_hand_in(Time now, CallId call, const JobSpec& spec) {
  const auto id = id_of(spec);
  if (const auto it = jobs_.find(id); it != jobs_.end()) {
    if (it->second.spec != spec)
      return fail(call, id, JobReply::Kind::conflict, "this prefix names another job");
    if (it->second.ours) return fail(call, id, JobReply::Kind::accepted, {});
    adopt(now, id, it->second);
    pending_.at(it->second.adopting).calls.push_back(call);
    return;
  }
  if (const auto it = coming_.find(id); it != coming_.end()) {
    auto& p = pending_.at(it->second);
    if (p.spec != spec)
      return fail(call, id, JobReply::Kind::conflict, "this prefix names another job");
    p.calls.push_back(call);
    return;
  }
  const auto shard = shard_of(id);
  if (const auto head = host_.find(key_of(id, kHeadPart)); head && head->deleted)
    return fail(call, id, JobReply::Kind::conflict, "this job was deleted; take another prefix");
  if (shards_[static_cast<std::size_t>(shard)].unread.contains(id))
    return fail(call, id, JobReply::Kind::unavailable, "the job is not whole here yet; ask again");
  const auto same = [&](const auto& j) { return shard_of(j.first) == shard; };
  const auto there = std::ranges::count_if(jobs_, same) + std::ranges::count_if(coming_, same);
  if (there >= terms_.most_in_shard)
    return fail(call, id, JobReply::Kind::unavailable,
                "jobs: " + std::to_string(there) + " in this shard, at most " +
                    std::to_string(terms_.most_in_shard));
  const auto number = ++last_token_;
  Pending p;
  p.kind = Pending::Kind::head_next, p.calls = {call}, p.id = id, p.spec = spec;
  coming_[id] = number;
  const auto parts = encode(spec);
  p.writes = static_cast<std::uint32_t>(parts.size() - 1);
  pending_.emplace(number, std::move(p));
  for (std::size_t i = 1; i < parts.size(); ++i)
    write(id, static_cast<std::uint8_t>(kFirstKeys + i - 1), parts[i], spec.ends + kToldAfter,
          {id, {}, number, 0});
  if (parts.size() == 1) write_head(now, number);
}

void Jobs::write_head(Time, std::uint64_t number) {
  auto& p = pending_.at(number);
  p.kind = Pending::Kind::hand_in, p.writes = 1;
  write(p.id, kHeadPart, encode(p.spec).front(), p.spec.ends + kToldAfter,
        {p.id, {}, number, kHeadPart});
}

void Jobs::adopt(Time now, JobId id, Job& job) {
  if (job.ours || job.adopting) return;
  const auto number = job.adopting = ++last_token_;
  Pending p;
  p.kind = Pending::Kind::adopt, p.id = id, p.writes = 1;
  pending_.emplace(number, std::move(p));
  write(id, kHeadPart, encode(job.spec).front(), job.spec.ends + kToldAfter,
        {id, {}, number, kHeadPart, {}});
  for (std::uint8_t part = 0; part < kStateParts; ++part)
    if (!encode_states(job.states, part).empty() || job.dirty[part])
      write_states(now, id, job, part, number);
  write_marks(id, job, number);
}

void Jobs::do_remove(Time, CallId call, JobId id) {
  const auto head = host_.find(key_of(id, kHeadPart));
  if (head && head->deleted && !half_removed_.contains(id))
    return fail(call, id, JobReply::Kind::removed, {});
  if (coming_.contains(id))
    return fail(call, id, JobReply::Kind::unavailable, "it is being handed in; ask again");
  if (!head || (!head->deleted && !is_head(*head)))
    return fail(call, id, JobReply::Kind::unknown, "no such job is known here");
  // From here on it does not run here, whether or not all come to know of it.
  if (const auto it = jobs_.find(id); it != jobs_.end()) {
    held_all_ -= it->second.held;
    jobs_.erase(it);
  }
  std::erase_if(sent_, [&](const auto& s) { return s.second.job == id; });
  half_removed_.insert(id);
  const auto number = ++last_token_;
  Pending p;
  p.kind = Pending::Kind::remove, p.calls = {call}, p.id = id, p.writes = 1;
  pending_.emplace(number, std::move(p));
  write(id, kHeadPart, {}, head->expiry_unix_s, {id, {}, number, kHeadPart});
}

void Jobs::do_fetch(Time now, CallId call, JobId id, std::uint32_t from) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    const auto head = host_.find(key_of(id, kHeadPart));
    if (head && is_head(*head))
      return fail(call, id, JobReply::Kind::unavailable,
                  "the job is not whole here yet; ask again");
    return fail(call, id, JobReply::Kind::unknown,
                head && head->deleted ? "this job was deleted" : "no such job is known here");
  }
  auto& job = it->second;
  if (from < job.marks.confirmed) {
    JobReply r;
    r.kind = JobReply::Kind::let_go, r.id = id, r.next = job.marks.confirmed;
    r.text = "answers below " + std::to_string(r.next) + " were fetched and let go";
    return host_.reply(call, r);
  }
  if (from > job.marks.told)
    return fail(call, id, JobReply::Kind::bad,
                "from: " + std::to_string(from) + ", answers were handed out below " +
                    std::to_string(job.marks.told));
  const auto before = job.marks;
  // What died with its holder and the client now asks for: it never got it.
  for (auto i = from; i < job.marks.told; ++i) {
    if (job.states[i] != LineState::served || job.answers.contains(i)) continue;
    const bool repeat = job.effect == Idempotency::idempotent;
    job.states[i] = repeat ? LineState::idle : LineState::lost;
    job.dirty.set(i / kLinesInPart);
    if (repeat) ++job.marks.rerun;
  }
  let_go(job, from);
  job.front = std::min(job.front, from);
  while (job.front < job.states.size() && ended(job.states[job.front])) ++job.front;
  auto to = from;
  for (std::size_t bytes = 0; to < job.front; ++to) {
    const auto a = job.answers.find(to);
    bytes += a == job.answers.end() ? 1 : a->second.size();
    if (to > from && bytes > terms_.most_told) break;
  }
  job.marks.confirmed = std::max(job.marks.confirmed, from);
  // Lines that run again are below what was told: they are told anew.
  job.marks.told = job.front < job.marks.told ? std::max(to, from) : std::max(job.marks.told, to);
  job.marks.over = from == job.states.size();
  // Not by what is in memory: a write of it may be on its way, or have failed.
  if (job.marks == job.recorded) return tell(call, id, job, from, to);
  const auto number = ++last_token_;
  Pending p;
  p.kind = Pending::Kind::fetch, p.calls = {call}, p.id = id, p.from = from, p.to = to;
  pending_.emplace(number, std::move(p));
  for (std::uint8_t part = 0; part < kStateParts; ++part)
    if (job.dirty[part] && part * kLinesInPart < std::max(to, before.told))
      write_states(now, id, job, part, number);
  write_marks(id, job, number);
}

void Jobs::tell(CallId call, JobId id, const Job& job, std::uint32_t from, std::uint32_t to) {
  JobReply r;
  r.kind = JobReply::Kind::answers, r.id = id, r.next = to;
  for (auto i = from; i < to; ++i) {
    const auto a = job.answers.find(i);
    if (job.states[i] == LineState::served && a == job.answers.end())
      return fail(call, id, JobReply::Kind::unavailable,
                  "answers have been let go meanwhile; ask again");
    r.answers.push_back({i, job.states[i], a == job.answers.end() ? std::string{} : a->second});
  }
  host_.reply(call, r);
}

// A reply whose writes have all ended.
void Jobs::settle(Time now, std::uint64_t number) {
  const auto it = pending_.find(number);
  if (it == pending_.end() || it->second.writes > 0) return;
  if (it->second.kind == Pending::Kind::head_next && !it->second.failed)
    return write_head(now, number);
  const auto p = std::move(it->second);
  pending_.erase(it);
  const bool held = hold(now, shard_of(p.id)).has_value();
  if (p.kind == Pending::Kind::head_next || p.kind == Pending::Kind::hand_in) {
    coming_.erase(p.id);
    if (p.failed || !held) {
      // Nothing is kept: whoever has got the head learns that it is none.
      if (held && p.kind == Pending::Kind::hand_in)
        write(p.id, kHeadPart, void_head(), p.spec.ends + kToldAfter, {});
      for (const auto c : p.calls)
        fail(c, p.id, JobReply::Kind::unavailable, "could not be made safe; hand it in again");
      return;
    }
    if (!jobs_.contains(p.id) && !read_job(now, p.id, encode(p.spec).front()))
      shards_[static_cast<std::size_t>(shard_of(p.id))].unread.insert(p.id);
    else
      jobs_.at(p.id).ours = true;
    for (const auto c : p.calls) fail(c, p.id, JobReply::Kind::accepted, {});
    return;
  }
  if (p.kind == Pending::Kind::adopt) {
    if (const auto job = jobs_.find(p.id); job != jobs_.end()) {
      job->second.adopting = 0;
      job->second.ours = !p.failed && held;
    }
    for (const auto c : p.calls)
      if (p.failed || !held)
        fail(c, p.id, JobReply::Kind::unavailable, "could not be made safe; hand it in again");
      else
        fail(c, p.id, JobReply::Kind::accepted, {});
    return;
  }
  const auto call = p.calls.front();
  if (p.failed || !held)
    return fail(call, p.id, JobReply::Kind::unavailable, "could not be recorded; ask again");
  if (p.kind == Pending::Kind::remove) {
    half_removed_.erase(p.id);
    for (std::uint8_t part = kFirstStates; part < kFirstStates + kStateParts; ++part)
      if (host_.find(key_of(p.id, part)))
        write(p.id, part, {}, host_.unix_time(now) + kToldAfter, {});
    return fail(call, p.id, JobReply::Kind::removed, {});
  }
  const auto job = jobs_.find(p.id);
  if (job == jobs_.end()) return fail(call, p.id, JobReply::Kind::unknown, "this job was deleted");
  tell(call, p.id, job->second, p.from, p.to);
}

}  // namespace petrelrail::fleet

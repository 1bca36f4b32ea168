// Members of JobScheduler that load the jobs of a shard from records, serve API calls, and reply
// once their writes are replicated.
#include "job_scheduler.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace petrelrail::fleet {

const char* name_of(JobState::Kind k) {
  constexpr std::array<const char*, 4> names{"waiting", "running", "paused", "done"};
  return names.at(static_cast<std::size_t>(k));
}

void validate(const JobConfig& c) {
  const auto require = [](bool condition, const char* message) {
    if (!condition) throw std::invalid_argument(message);
  };
  require(c.max_active > 0, "max_active must be above 0");
  require(c.max_jobs_in_shard > 0, "max_jobs_in_shard must be above 0");
  require(c.max_in_flight > 0, "max_in_flight must be above 0");
  require(c.write_ahead_batch > 0 && c.write_ahead_batch_unsafe > 0,
          "write_ahead_batch and write_ahead_batch_unsafe must be above 0");
  require(c.max_uncertain_runs > 0, "max_uncertain_runs must be above 0");
  require(c.max_job_answer_bytes >= 2 * c.max_answer_bytes,
          "max_job_answer_bytes must allow at least two answers");
  require(c.max_node_answer_bytes >= c.max_job_answer_bytes,
          "max_node_answer_bytes must be at least max_job_answer_bytes");
  require(c.write_interval > Duration{} && c.max_lease_wait > Duration{} &&
              c.min_retry_delay > Duration{},
          "write_interval, max_lease_wait and min_retry_delay must be above 0");
}

JobScheduler::JobScheduler(JobConfig config, JobHost& host) : config_(config), host_(host) {
  validate(config_);
}

// Returns the shard's valid lease once its jobs are loaded. Jobs loaded under an earlier,
// interrupted lease are unloaded first.
std::optional<ShardLease> JobScheduler::use_lease(Time now, ShardId shard) {
  const auto lease = host_.lease(shard);
  auto& s = shards_[static_cast<std::size_t>(shard)];
  if (!lease) return {};
  if (s.since_epoch != lease->since_epoch) {
    unload(shard);
    s.since_epoch = lease->since_epoch;
    s.is_loaded = false;
  }
  if (!s.is_loaded) {
    if (!host_.has_all_records(shard)) return {};
    s.is_loaded = true;
    load_shard(now, shard);
  }
  return lease;
}

void JobScheduler::unload(ShardId shard) {
  std::erase_if(jobs_, [&](const auto& j) {
    if (shard_of(j.first) != shard) return false;
    answer_bytes_ -= j.second.answer_bytes;
    return true;
  });
  const auto is_of_shard = [&](const auto& x) { return shard_of(x.second.job) == shard; };
  std::erase_if(sent_tasks_, is_of_shard);
  std::erase_if(writes_, is_of_shard);
  std::erase_if(unconfirmed_removals_, [&](JobId id) { return shard_of(id) == shard; });
  std::erase_if(submissions_, [&](const auto& c) { return shard_of(c.first) == shard; });
  for (auto it = pending_replies_.begin(); it != pending_replies_.end();) {
    if (shard_of(it->second.id) != shard) {
      ++it;
      continue;
    }
    const auto dropped = std::move(it->second);
    it = pending_replies_.erase(it);
    for (const auto c : dropped.calls)
      reply(c, dropped.id, JobReply::Kind::unavailable, "the job's holder has changed; retry");
  }
  shards_[static_cast<std::size_t>(shard)].incomplete_jobs.clear();
}

void JobScheduler::load_shard(Time now, ShardId shard) {
  auto& s = shards_[static_cast<std::size_t>(shard)];
  std::vector<std::pair<JobId, std::string>> heads;
  host_.for_each_record([&](const Record& r) {
    if (is_head(r) && shard_of(job_of(r.key)) == shard) heads.emplace_back(job_of(r.key), r.value);
  });
  for (const auto& [id, head] : heads)
    if (!jobs_.contains(id) && !load_job(now, id, head)) s.incomplete_jobs.insert(id);
  s.next_load_time = now + config_.write_interval;
}

std::optional<JobScheduler::Job> JobScheduler::read_records(JobId id, const std::string& head) {
  const auto value = [&](std::uint8_t part) -> std::optional<std::string> {
    const auto r = host_.find(key_of(id, part));
    return r && !r->deleted ? std::optional(r->value) : std::nullopt;
  };
  auto spec = decode(head, value);
  if (!spec) return {};
  Job job;
  job.spec = std::move(*spec);
  job.idempotency = host_.idempotency(job.spec.request_class).value_or(Idempotency::non_idempotent);
  const auto task_count = job.spec.task_count();
  job.states.assign(task_count, TaskState::idle);
  for (std::uint8_t p = 0; p < kStateParts; ++p)
    if (const auto v = value(kFirstStatePart + p); v && !decode_states(*v, p, job.states))
      return {};
  if (const auto v = value(kWatermarkPart)) {
    const auto watermarks = decode_watermarks(*v, task_count);
    if (!watermarks) return {};
    job.watermarks = *watermarks;
  }
  job.written_ahead.assign(task_count, false);
  return job;
}

bool JobScheduler::load_job(Time now, JobId id, const std::string& head) {
  auto job = read_records(id, head);
  if (!job) return false;
  restore_tasks(now, *job);
  jobs_.emplace(id, std::move(*job));
  return true;
}

// Loads jobs whose head arrived before their other parts, or whose deletion was not replicated.
void JobScheduler::load_incomplete_jobs(Time now, ShardId shard) {
  auto& s = shards_[static_cast<std::size_t>(shard)];
  if (s.incomplete_jobs.empty() || now < s.next_load_time) return;
  s.next_load_time = now + config_.write_interval;
  std::erase_if(s.incomplete_jobs, [&](JobId id) {
    const auto head = host_.find(key_of(id, kHeadPart));
    return !head || !is_head(*head) || jobs_.contains(id) || load_job(now, id, head->value);
  });
}

// Decides how this holder continues each task, from the state that the previous holder recorded.
void JobScheduler::restore_tasks(Time now, Job& job) {
  const auto retry_time = now + host_.attempt_timeout(
                                    job.spec.request_class);  // by then no attempt of the previous
                                                              // holder is in flight
  const bool is_repeatable = job.idempotency == Idempotency::idempotent;
  for (std::uint32_t i = 0; i < job.states.size(); ++i) {
    auto& s = job.states[i];
    if (i < job.watermarks.delivered) {
      if (!is_final(s))
        s = is_repeatable ? TaskState::served : TaskState::unknown;  // its outcome was delivered
      continue;
    }
    if (s == TaskState::in_flight) {
      if (is_repeatable) {
        s = TaskState::idle;
        job.written_ahead[i] = true;
        job.retry_times[i] = retry_time;
      } else {
        s = TaskState::unknown;
        job.dirty_parts.set(i / kTasksPerPart);
      }
    } else if (s == TaskState::served) {
      s = is_repeatable ? TaskState::idle : TaskState::lost;
      if (is_repeatable) ++job.watermarks.rerun_count, job.watermarks_dirty = true;
      job.dirty_parts.set(i / kTasksPerPart);
    }
  }
  while (job.first_unfinished < job.states.size() && is_final(job.states[job.first_unfinished]))
    ++job.first_unfinished;
}

void JobScheduler::reply(CallId call, JobId id, JobReply::Kind kind, std::string message) {
  JobReply r;
  r.kind = kind, r.id = id, r.message = std::move(message);
  if (kind == JobReply::Kind::redirect) r.holder = host_.holder(shard_of(id));
  host_.reply(call, r);
}

template <class F>
void JobScheduler::run_with_lease(Time now, CallId call, JobId id, F run) {
  if (use_lease(now, shard_of(id))) return run(now);
  if (host_.holder(shard_of(id)))
    return reply(call, id, JobReply::Kind::redirect, "another node holds the job's shard");
  waiting_calls_.push_back({shard_of(id), now + config_.max_lease_wait, std::move(run), call, id});
}

void JobScheduler::submit(Time now, CallId call, const JobSpec& spec) {
  const auto id = id_of(spec);
  if (auto error = validation_error(spec, host_.unix_time(now)))
    return reply(call, id, JobReply::Kind::invalid, std::move(*error));
  if (!host_.idempotency(spec.request_class))
    return reply(call, id, JobReply::Kind::invalid, "class: no such class");
  if (!host_.has_plan(spec.plan))
    return reply(call, id, JobReply::Kind::invalid, "plan: no such plan");
  run_with_lease(now, call, id, [this, call, spec](Time t) { do_submit(t, call, spec); });
}
void JobScheduler::fetch(Time now, CallId call, JobId id, std::uint32_t from) {
  run_with_lease(now, call, id, [this, call, id, from](Time t) { do_fetch(t, call, id, from); });
}
void JobScheduler::remove(Time now, CallId call, JobId id) {
  run_with_lease(now, call, id, [this, call, id](Time t) { do_remove(t, call, id); });
}

void JobScheduler::do_submit(Time now, CallId call, const JobSpec& spec) {
  const auto id = id_of(spec);
  if (const auto it = jobs_.find(id); it != jobs_.end()) {
    if (it->second.spec != spec)
      return reply(call, id, JobReply::Kind::conflict, "this prefix names another job");
    if (it->second.is_recovered) return reply(call, id, JobReply::Kind::accepted, {});
    recover(now, id, it->second);
    pending_replies_.at(it->second.recovery).calls.push_back(call);
    return;
  }
  if (const auto it = submissions_.find(id); it != submissions_.end()) {
    auto& p = pending_replies_.at(it->second);
    if (p.spec != spec)
      return reply(call, id, JobReply::Kind::conflict, "this prefix names another job");
    p.calls.push_back(call);
    return;
  }
  const auto shard = shard_of(id);
  if (const auto head = host_.find(key_of(id, kHeadPart)); head && head->deleted)
    return reply(call, id, JobReply::Kind::conflict, "this job was deleted; take another prefix");
  if (shards_[static_cast<std::size_t>(shard)].incomplete_jobs.contains(id))
    return reply(call, id, JobReply::Kind::unavailable,
                 "this node has not received all records of the job yet; retry");
  const auto is_in_shard = [&](const auto& j) { return shard_of(j.first) == shard; };
  const auto count = std::ranges::count_if(jobs_, is_in_shard) +
                     std::ranges::count_if(submissions_, is_in_shard);
  if (count >= config_.max_jobs_in_shard)
    return reply(call, id, JobReply::Kind::unavailable,
                 "jobs: " + std::to_string(count) + " in this shard, at most " +
                     std::to_string(config_.max_jobs_in_shard));
  const auto pending_reply = ++last_token_;
  PendingReply p;
  p.kind = PendingReply::Kind::submit_parts, p.calls = {call}, p.id = id, p.spec = spec;
  submissions_[id] = pending_reply;
  const auto parts = encode(spec);
  p.open_writes = static_cast<std::uint32_t>(parts.size() - 1);
  pending_replies_.emplace(pending_reply, std::move(p));
  for (std::size_t i = 1; i < parts.size(); ++i)
    write(id, static_cast<std::uint8_t>(kFirstKeyPart + i - 1), parts[i],
          spec.end_unix_s + kJobRetentionSeconds, {id, {}, pending_reply, 0});
  if (parts.size() == 1) write_head(now, pending_reply);
}

void JobScheduler::write_head(Time, std::uint64_t pending_reply) {
  auto& p = pending_replies_.at(pending_reply);
  p.kind = PendingReply::Kind::submit_head, p.open_writes = 1;
  write(p.id, kHeadPart, encode(p.spec).front(), p.spec.end_unix_s + kJobRetentionSeconds,
        {p.id, {}, pending_reply, kHeadPart});
}

void JobScheduler::recover(Time now, JobId id, Job& job) {
  if (job.is_recovered || job.recovery) return;
  const auto pending_reply = job.recovery = ++last_token_;
  PendingReply p;
  p.kind = PendingReply::Kind::recover, p.id = id, p.open_writes = 1;
  pending_replies_.emplace(pending_reply, std::move(p));
  write(id, kHeadPart, encode(job.spec).front(), job.spec.end_unix_s + kJobRetentionSeconds,
        {id, {}, pending_reply, kHeadPart, {}});
  for (std::uint8_t part = 0; part < kStateParts; ++part)
    if (!encode_states(job.states, part).empty() || job.dirty_parts[part])
      write_states(now, id, job, part, pending_reply);
  write_watermarks(id, job, pending_reply);
}

void JobScheduler::do_remove(Time, CallId call, JobId id) {
  const auto head = host_.find(key_of(id, kHeadPart));
  if (head && head->deleted && !unconfirmed_removals_.contains(id))
    return reply(call, id, JobReply::Kind::removed, {});
  if (submissions_.contains(id))
    return reply(call, id, JobReply::Kind::unavailable, "the job is still being submitted; retry");
  if (!head || (!head->deleted && !is_head(*head)))
    return reply(call, id, JobReply::Kind::not_found, "no such job is known here");
  // From here on the job does not run on this node, whether or not the deletion is replicated.
  if (const auto it = jobs_.find(id); it != jobs_.end()) {
    answer_bytes_ -= it->second.answer_bytes;
    jobs_.erase(it);
  }
  std::erase_if(sent_tasks_, [&](const auto& s) { return s.second.job == id; });
  unconfirmed_removals_.insert(id);
  const auto pending_reply = ++last_token_;
  PendingReply p;
  p.kind = PendingReply::Kind::remove, p.calls = {call}, p.id = id, p.open_writes = 1;
  pending_replies_.emplace(pending_reply, std::move(p));
  write(id, kHeadPart, {}, head->expiry_unix_s, {id, {}, pending_reply, kHeadPart});
}

void JobScheduler::do_fetch(Time now, CallId call, JobId id, std::uint32_t from) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    const auto head = host_.find(key_of(id, kHeadPart));
    if (head && is_head(*head))
      return reply(call, id, JobReply::Kind::unavailable,
                   "this node has not received all records of the job yet; retry");
    return reply(call, id, JobReply::Kind::not_found,
                 head && head->deleted ? "this job was deleted" : "no such job is known here");
  }
  auto& job = it->second;
  if (from < job.watermarks.confirmed) {
    JobReply r;
    r.kind = JobReply::Kind::trimmed, r.id = id, r.next = job.watermarks.confirmed;
    r.message = "answers below " + std::to_string(r.next) + " were fetched and let go";
    return host_.reply(call, r);
  }
  if (from > job.watermarks.delivered)
    return reply(call, id, JobReply::Kind::invalid,
                 "from: " + std::to_string(from) + " is above the delivery watermark " +
                     std::to_string(job.watermarks.delivered));
  const auto before = job.watermarks;
  // The client fetches answers that were lost with the previous holder, so it never received them.
  for (auto i = from; i < job.watermarks.delivered; ++i) {
    if (job.states[i] != TaskState::served || job.answers.contains(i)) continue;
    const bool is_repeatable = job.idempotency == Idempotency::idempotent;
    job.states[i] = is_repeatable ? TaskState::idle : TaskState::lost;
    job.dirty_parts.set(i / kTasksPerPart);
    if (is_repeatable) ++job.watermarks.rerun_count;
  }
  trim(job, from);
  job.first_unfinished = std::min(job.first_unfinished, from);
  while (job.first_unfinished < job.states.size() && is_final(job.states[job.first_unfinished]))
    ++job.first_unfinished;
  auto to = from;
  for (std::size_t bytes = 0; to < job.first_unfinished; ++to) {
    const auto a = job.answers.find(to);
    bytes += a == job.answers.end() ? 1 : a->second.size();
    if (to > from && bytes > config_.max_reply_bytes) break;
  }
  job.watermarks.confirmed = std::max(job.watermarks.confirmed, from);
  // Tasks that run again are below the delivery watermark; it falls back so that their answers are
  // delivered again.
  job.watermarks.delivered = job.first_unfinished < job.watermarks.delivered
                                 ? std::max(to, from)
                                 : std::max(job.watermarks.delivered, to);
  job.watermarks.is_finished = from == job.states.size();
  // Compares with the replicated watermarks, not those in memory, whose write may be pending or
  // have failed.
  if (job.watermarks == job.recorded_watermarks) return send_answers(call, id, job, from, to);
  const auto pending_reply = ++last_token_;
  PendingReply p;
  p.kind = PendingReply::Kind::fetch, p.calls = {call}, p.id = id, p.from = from, p.to = to;
  pending_replies_.emplace(pending_reply, std::move(p));
  for (std::uint8_t part = 0; part < kStateParts; ++part)
    if (job.dirty_parts[part] && part * kTasksPerPart < std::max(to, before.delivered))
      write_states(now, id, job, part, pending_reply);
  write_watermarks(id, job, pending_reply);
}

void JobScheduler::send_answers(CallId call, JobId id, const Job& job, std::uint32_t from,
                                std::uint32_t to) {
  JobReply r;
  r.kind = JobReply::Kind::answers, r.id = id, r.next = to;
  for (auto i = from; i < to; ++i) {
    const auto a = job.answers.find(i);
    if (job.states[i] == TaskState::served && a == job.answers.end())
      return reply(call, id, JobReply::Kind::unavailable,
                   "answers were removed in the meantime; retry");
    r.answers.push_back({i, job.states[i], a == job.answers.end() ? std::string{} : a->second});
  }
  host_.reply(call, r);
}

// Replies once all writes of the reply have ended.
void JobScheduler::complete_reply(Time now, std::uint64_t pending_reply) {
  const auto it = pending_replies_.find(pending_reply);
  if (it == pending_replies_.end() || it->second.open_writes > 0) return;
  if (it->second.kind == PendingReply::Kind::submit_parts && !it->second.has_failed)
    return write_head(now, pending_reply);
  const auto p = std::move(it->second);
  pending_replies_.erase(it);
  const bool held = use_lease(now, shard_of(p.id)).has_value();
  if (p.kind == PendingReply::Kind::submit_parts || p.kind == PendingReply::Kind::submit_head) {
    submissions_.erase(p.id);
    if (p.has_failed || !held) {
      // Nothing is kept; nodes that received the head learn that it is void.
      if (held && p.kind == PendingReply::Kind::submit_head)
        write(p.id, kHeadPart, void_head(), p.spec.end_unix_s + kJobRetentionSeconds, {});
      for (const auto c : p.calls)
        reply(c, p.id, JobReply::Kind::unavailable,
              "the job could not be replicated; submit it again");
      return;
    }
    if (!jobs_.contains(p.id) && !load_job(now, p.id, encode(p.spec).front()))
      shards_[static_cast<std::size_t>(shard_of(p.id))].incomplete_jobs.insert(p.id);
    else
      jobs_.at(p.id).is_recovered = true;
    for (const auto c : p.calls) reply(c, p.id, JobReply::Kind::accepted, {});
    return;
  }
  if (p.kind == PendingReply::Kind::recover) {
    if (const auto job = jobs_.find(p.id); job != jobs_.end()) {
      job->second.recovery = 0;
      job->second.is_recovered = !p.has_failed && held;
    }
    for (const auto c : p.calls)
      if (p.has_failed || !held)
        reply(c, p.id, JobReply::Kind::unavailable,
              "the job could not be replicated; submit it again");
      else
        reply(c, p.id, JobReply::Kind::accepted, {});
    return;
  }
  const auto call = p.calls.front();
  if (p.has_failed || !held)
    return reply(call, p.id, JobReply::Kind::unavailable,
                 "the change could not be replicated; retry");
  if (p.kind == PendingReply::Kind::remove) {
    unconfirmed_removals_.erase(p.id);
    for (std::uint8_t part = kFirstStatePart; part < kFirstStatePart + kStateParts; ++part)
      if (host_.find(key_of(p.id, part)))
        write(p.id, part, {}, host_.unix_time(now) + kJobRetentionSeconds, {});
    return reply(call, p.id, JobReply::Kind::removed, {});
  }
  const auto job = jobs_.find(p.id);
  if (job == jobs_.end())
    return reply(call, p.id, JobReply::Kind::not_found, "this job was deleted");
  send_answers(call, p.id, job->second, p.from, p.to);
}

}  // namespace petrelrail::fleet

// Members of JobScheduler that run the tasks of held jobs, write their records, and do timed work.
#include <algorithm>
#include <utility>

#include "job_scheduler.hpp"

namespace petrelrail::fleet {
namespace {

// The time by which a job behind its rate limit may catch up at once, because ticks are coarse.
constexpr Duration kCatchUp = std::chrono::milliseconds(100);

}  // namespace

void JobScheduler::write(JobId id, std::uint8_t part, std::optional<std::string> value,
                         std::uint32_t ends, Write w) {
  const auto token = ++last_token_;
  writes_.emplace(token, std::move(w));
  if (const auto lease = host_.lease(shard_of(id)))
    host_.put(token, key_of(id, part), lease->epoch, ends, std::move(value));
  else
    failed_writes_.push_back(token);
}

void JobScheduler::write_states(Time now, JobId id, Job& job, std::uint8_t part,
                                std::uint64_t pending_reply) {
  auto states = job.states;
  Write w{id, {}, pending_reply, static_cast<std::uint8_t>(kFirstStatePart + part)};
  const auto end = std::min<std::size_t>(states.size(), (part + std::size_t{1}) * kTasksPerPart);
  for (auto i = part * std::size_t{kTasksPerPart}; i < end; ++i) {
    const auto m = job.pending_write_ahead.find(static_cast<std::uint32_t>(i));
    if (states[i] != TaskState::idle ||
        !(job.written_ahead[i] || m != job.pending_write_ahead.end()))
      continue;
    states[i] = TaskState::in_flight;
    if (m == job.pending_write_ahead.end() || m->second != 0) continue;
    m->second = last_token_ + 1;  // the token of this write
    w.tasks_ahead.push_back(m->first);
  }
  job.dirty_parts.reset(part);
  job.next_write_time = now + config_.write_interval;
  if (pending_reply) ++pending_replies_.at(pending_reply).open_writes;
  write(id, w.part, encode_states(states, part), job.spec.end_unix_s + kJobRetentionSeconds,
        std::move(w));
}

void JobScheduler::write_watermarks(JobId id, Job& job, std::uint64_t pending_reply) {
  job.watermarks_dirty = false;
  if (pending_reply) ++pending_replies_.at(pending_reply).open_writes;
  write(id, kWatermarkPart, encode(job.watermarks), job.spec.end_unix_s + kJobRetentionSeconds,
        {id, {}, pending_reply, kWatermarkPart, job.watermarks});
}

void JobScheduler::on_write_complete(Time now, std::uint64_t token, bool replicated) {
  const auto it = writes_.find(token);
  if (it == writes_.end()) return;
  const auto w = std::move(it->second);
  writes_.erase(it);
  if (const auto j = jobs_.find(w.job); j != jobs_.end()) {
    auto& job = j->second;
    for (const auto i : w.tasks_ahead) {
      // Only the task's own write counts: a later one may have recorded another state since.
      const auto m = job.pending_write_ahead.find(i);
      if (m == job.pending_write_ahead.end() || m->second != token) continue;
      job.pending_write_ahead.erase(m);
      if (replicated && job.states[i] == TaskState::idle) job.written_ahead[i] = true;
    }
    if (!replicated && w.part >= kFirstStatePart && w.part < kFirstStatePart + kStateParts)
      job.dirty_parts.set(w.part - kFirstStatePart);
    if (w.part == kWatermarkPart && !replicated) job.watermarks_dirty = true;
    if (w.part == kWatermarkPart && replicated && token > job.recorded_token)
      job.recorded_watermarks = w.watermarks, job.recorded_token = token;
  }
  if (const auto p = pending_replies_.find(w.pending_reply); p != pending_replies_.end()) {
    --p->second.open_writes;
    p->second.has_failed = p->second.has_failed || !replicated;
    complete_reply(now, w.pending_reply);
  }
}

void JobScheduler::on_task_complete(Time now, std::uint64_t token, TaskOutcome outcome) {
  const auto it = sent_tasks_.find(token);
  if (it == sent_tasks_.end()) return;
  const auto sent = it->second;
  sent_tasks_.erase(it);
  const auto j = jobs_.find(sent.job);
  if (j == jobs_.end()) return;
  auto& job = j->second;
  --job.in_flight;
  const auto retry_after = [&](Duration delay) {
    job.states[sent.index] = TaskState::idle;  // still recorded as in flight
    job.retry_times[sent.index] = now + std::max(delay, config_.min_retry_delay);
  };
  switch (outcome.kind) {
    case TaskOutcome::Kind::served:
      if (outcome.body.size() > config_.max_answer_bytes)
        return finish_task(sent.job, job, sent.index, TaskState::failed);
      job.answer_bytes += outcome.body.size();
      answer_bytes_ += outcome.body.size();
      job.answers[sent.index] = std::move(outcome.body);
      return finish_task(sent.job, job, sent.index, TaskState::served);
    case TaskOutcome::Kind::rejected: return retry_after(outcome.retry_after);
    case TaskOutcome::Kind::failed:
      return finish_task(sent.job, job, sent.index, TaskState::failed);
    case TaskOutcome::Kind::unknown:
      // The attempt may still run until its time-out; after that the task may be sent again.
      if (job.idempotency == Idempotency::idempotent &&
          ++job.uncertain_runs[sent.index] < config_.max_uncertain_runs)
        return retry_after(host_.attempt_timeout(job.spec.request_class));
      return finish_task(sent.job, job, sent.index, TaskState::unknown);
  }
}

void JobScheduler::finish_task(JobId, Job& job, std::uint32_t task, TaskState state) {
  job.states[task] = state;
  job.dirty_parts.set(task / kTasksPerPart);
  job.uncertain_runs.erase(task);
  while (job.first_unfinished < job.states.size() && is_final(job.states[job.first_unfinished]))
    ++job.first_unfinished;
}

void JobScheduler::trim(Job& job, std::uint32_t below) {
  const auto end = job.answers.lower_bound(below);
  for (auto a = job.answers.begin(); a != end; ++a) {
    job.answer_bytes -= a->second.size();
    answer_bytes_ -= a->second.size();
  }
  job.answers.erase(job.answers.begin(), end);
}

// Space for an answer is reserved before its task is sent. One answer's space stays free for the
// first unfinished task: without its answer the client could not fetch any further ones.
bool JobScheduler::has_answer_space(const Job& job, std::uint32_t task) const {
  const auto needed = job.answer_bytes +
                      (std::size_t{job.in_flight} + 1) * config_.max_answer_bytes;
  if (task == job.first_unfinished) return needed <= config_.max_job_answer_bytes;
  return needed + config_.max_answer_bytes <= config_.max_job_answer_bytes &&
         answer_bytes_ + (sent_tasks_.size() + 1) * config_.max_answer_bytes <=
             config_.max_node_answer_bytes;
}

// Whether no task can be sent until the client fetches answers.
bool JobScheduler::is_paused(const Job& job) const {
  for (auto i = job.first_unfinished; i < job.states.size(); ++i)
    if (job.states[i] == TaskState::idle) return job.in_flight == 0 && !has_answer_space(job, i);
  return false;
}

std::uint32_t JobScheduler::write_ahead_batch(const Job& job) const {
  return job.idempotency == Idempotency::idempotent ? config_.write_ahead_batch
                                                    : config_.write_ahead_batch_unsafe;
}

void JobScheduler::expire(Time now, JobId id, Job& job) {
  if (job.first_unfinished == job.states.size() || host_.unix_time(now) < job.spec.end_unix_s)
    return;
  for (auto i = job.first_unfinished; i < job.states.size(); ++i)
    if (job.states[i] == TaskState::idle) finish_task(id, job, i, TaskState::expired);
  job.retry_times.clear();
}

// Keeps the next batch of tasks recorded as in flight before they are sent. Writes when half of the
// batch is missing, so that sending does not wait for writes, or when the next task is missing.
void JobScheduler::write_ahead(Time now, JobId id, Job& job) {
  if (!job.pending_write_ahead.empty()) return;
  const auto batch = write_ahead_batch(job);
  std::vector<std::uint32_t> unwritten;
  std::uint32_t seen = 0;
  bool is_first_unwritten = false;
  for (auto i = job.first_unfinished; i < job.states.size() && seen < batch; ++i) {
    if (job.states[i] != TaskState::idle) continue;
    if (!job.written_ahead[i]) {
      is_first_unwritten = is_first_unwritten || seen == 0;
      unwritten.push_back(i);
    }
    ++seen;
  }
  if (!is_first_unwritten && unwritten.size() < (batch + 1) / 2) return;
  std::bitset<kStateParts> parts;
  for (const auto i : unwritten) {
    job.pending_write_ahead[i] = 0;
    parts.set(i / kTasksPerPart);
  }
  for (std::uint8_t p = 0; p < kStateParts; ++p)
    if (parts[p]) write_states(now, id, job, p, 0);
}

bool JobScheduler::send_next_task(Time now, JobId id, Job& job) {
  if (!job.is_recovered || job.first_unfinished == job.states.size() ||
      job.in_flight >= config_.max_in_flight || host_.free_slots() == 0)
    return false;
  const auto rate = host_.tasks_per_second(id);
  if (rate && (*rate <= 0 || now < job.next_send_time)) return false;
  for (auto i = job.first_unfinished; i < job.states.size(); ++i) {
    if (job.states[i] != TaskState::idle) continue;
    if (!job.written_ahead[i] && config_.write_ahead) {
      if (job.pending_write_ahead.contains(i)) continue;
      return false;
    }
    if (const auto w = job.retry_times.find(i); w != job.retry_times.end()) {
      if (now < w->second) continue;
      job.retry_times.erase(w);
    }
    if (!has_answer_space(job, i)) return false;
    const auto lease = host_.lease(shard_of(id));
    if (!lease) return false;
    const auto token = ++last_token_;
    job.written_ahead[i] = true, job.pending_write_ahead.erase(i);
    job.states[i] = TaskState::in_flight;
    ++job.in_flight;
    sent_tasks_[token] = {id, i};
    if (rate)
      job.next_send_time = std::max(job.next_send_time, now - kCatchUp) +
                           Duration(static_cast<Duration::rep>(1e9 / *rate));
    host_.send(
        {token, id, i, job.spec.request_id_of(i), lease->epoch, job.spec.milliunits, &job.spec});
    return true;
  }
  return false;
}

void JobScheduler::write_changes(Time now, JobId id, Job& job) {
  if (now < job.next_write_time) return;
  for (std::uint8_t p = 0; p < kStateParts; ++p)
    if (job.dirty_parts[p]) write_states(now, id, job, p, 0);
  if (job.watermarks_dirty) write_watermarks(id, job, 0);
}

void JobScheduler::run_waiting_calls(Time now) {
  auto waiting = std::move(waiting_calls_);
  waiting_calls_.clear();
  for (auto& w : waiting) {
    if (use_lease(now, w.shard)) {
      w.run(now);
    } else if (!host_.lease(w.shard) && host_.holder(w.shard)) {
      reply(w.call, w.id, JobReply::Kind::redirect, "another node holds the job's shard");
    } else if (now >= w.deadline) {
      reply(w.call, w.id, JobReply::Kind::unavailable, "no node holds the job's shard yet; retry");
    } else {
      waiting_calls_.push_back(std::move(w));
    }
  }
}

void JobScheduler::tick(Time now) {
  std::bitset<kShards> leased;
  for (std::uint8_t i = 0; i < kShards; ++i) {
    auto& s = shards_[i];
    if (use_lease(now, ShardId(i))) {
      leased.set(i);
      s.last_lease_time = now;
      load_incomplete_jobs(now, ShardId(i));
    } else if (s.is_loaded && now - s.last_lease_time > config_.max_lease_wait) {
      unload(ShardId(i));  // another node holds its jobs by now
      s.is_loaded = false;
    }
  }
  for (const auto token : std::exchange(failed_writes_, {})) on_write_complete(now, token, false);
  run_waiting_calls(now);

  // The jobs that run, in rotation: starts after the job that the last tick served first.
  std::vector<JobId> active;
  std::vector<JobId> order;
  for (auto it = jobs_.upper_bound(last_first_job_); it != jobs_.end(); ++it)
    order.push_back(it->first);
  for (auto it = jobs_.begin(); it != jobs_.upper_bound(last_first_job_); ++it)
    order.push_back(it->first);
  const auto unix_now = host_.unix_time(now);
  for (const auto id : order) {
    if (!leased[static_cast<std::size_t>(shard_of(id))]) continue;
    auto& job = jobs_.at(id);
    if (unix_now >= job.spec.end_unix_s + kJobRetentionSeconds) {
      answer_bytes_ -= job.answer_bytes;
      std::erase_if(sent_tasks_, [&](const auto& s) { return s.second.job == id; });
      jobs_.erase(id);
      continue;
    }
    expire(now, id, job);
    write_changes(now, id, job);
    if (job.first_unfinished < job.states.size() && !is_paused(job)) active.push_back(id);
  }
  // Jobs that have begun take precedence, so that at most max_active jobs are under way.
  const auto has_begun = [&](JobId id) {
    return jobs_.at(id).first_unfinished > 0 || jobs_.at(id).in_flight > 0;
  };
  std::ranges::stable_partition(active, has_begun);
  if (active.size() > config_.max_active) active.resize(config_.max_active);
  if (!active.empty()) last_first_job_ = active.front();
  for (const auto id : active) {
    recover(now, id, jobs_.at(id));
    write_ahead(now, id, jobs_.at(id));
  }
  for (bool sent_any = true; sent_any;) {
    sent_any = false;
    for (const auto id : active) sent_any = send_next_task(now, id, jobs_.at(id)) || sent_any;
  }
}

bool JobScheduler::needs_lease(ShardId shard) const {
  if (std::ranges::any_of(waiting_calls_, [&](const auto& w) { return w.shard == shard; }))
    return true;
  bool is_needed = false;
  host_.for_each_record([&](const Record& r) {
    if (is_needed || !is_head(r) || shard_of(job_of(r.key)) != shard) return;
    const auto record = host_.find(key_of(job_of(r.key), kWatermarkPart));
    const auto watermarks = record && !record->deleted ? decode_watermarks(record->value, kMaxTasks)
                                                       : std::nullopt;
    is_needed = !watermarks || !watermarks->is_finished;
  });
  return is_needed;
}

std::optional<JobState> JobScheduler::state(Time now, JobId id) {
  const bool held = use_lease(now, shard_of(id)).has_value();
  const auto it = jobs_.find(id);
  std::optional<Job> recorded;
  if (!held || it == jobs_.end()) {
    const auto head = host_.find(key_of(id, kHeadPart));
    if (!head || !is_head(*head)) return {};
    recorded = read_records(id, head->value);
    if (!recorded) return {};
  }
  const Job& job = recorded ? *recorded : it->second;
  JobState s;
  s.is_held = !recorded;
  s.watermarks = job.watermarks;
  for (std::uint32_t i = 0; i < job.states.size(); ++i) {
    const auto state = job.states[i];
    ++s.counts[static_cast<std::size_t>(state)];
    if (s.runs.empty() || s.runs.back().state != state)
      s.runs.push_back({i, 1, state});
    else
      ++s.runs.back().count;
  }
  const auto unfinished = s.counts[static_cast<std::size_t>(TaskState::idle)] +
                          s.counts[static_cast<std::size_t>(TaskState::in_flight)];
  s.kind = unfinished == 0         ? JobState::Kind::done
           : recorded              ? JobState::Kind::waiting
           : is_paused(it->second) ? JobState::Kind::paused
                                   : JobState::Kind::running;
  return s;
}

}  // namespace petrelrail::fleet

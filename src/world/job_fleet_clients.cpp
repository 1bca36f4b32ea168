// JobFleet: clients, price servers and the invariant checks of every task.
#include <algorithm>

#include "job_fleet_participants.hpp"

namespace petrelrail::world {

using fleet::JobReply;

// ---- Clients

std::uint32_t JobFleet::submit_job(std::uint32_t tasks, bool twice) {
  fleet::JobSpec s;
  const auto n = clients_.size() + 1;
  s.customer = 1'000 + n % 7;
  s.prefix = mix_hash(options_.seed * 1'000'003 + n) >> 16U;
  s.plan = "team";
  s.request_class = dice_.chance(0.6) ? "lookup" : "order";
  s.path = "/" + s.request_class + "/{}?as=batch";
  if (dice_.chance(0.7)) {
    s.tasks = fleet::JobRange{1'000 * n, tasks};
  } else {
    std::vector<std::string> keys;
    for (std::uint32_t i = 0; i < std::min(tasks, 400U); ++i)
      keys.push_back("k" + std::to_string(i * 7));
    s.tasks = std::move(keys);
  }
  s.end_unix_s = kStartUnixS + static_cast<std::uint32_t>(seconds(now().time_since_epoch())) +
                 86'400;
  return submit_job(std::move(s), twice);
}

std::uint32_t JobFleet::submit_job(fleet::JobSpec spec, bool twice) {
  const auto job = static_cast<std::uint32_t>(clients_.size());
  auto c = std::make_unique<Client>();
  c->id = fleet::id_of(spec);
  const auto tasks = spec.task_count();
  c->answers.resize(tasks), c->has_outcome.resize(tasks), c->runs.resize(tasks);
  c->spec = std::move(spec);
  by_id_.try_emplace(c->id, job);
  clients_.push_back(std::move(c));
  ++counts_.jobs_submitted;
  step_client(job);
  if (twice)
    if (const auto other = random_node()) call_node(job, *other);
  return job;
}

void JobFleet::delete_job(std::uint32_t job) { clients_[job]->deleting = true; }
bool JobFleet::is_accepted(std::uint32_t job) const { return clients_[job]->accepted; }
bool JobFleet::is_finished(std::uint32_t job) const { return clients_[job]->finished; }
std::uint32_t JobFleet::open_job_count() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(clients_, [](const auto& c) { return !c->finished; }));
}
fleet::JobId JobFleet::id_of(std::uint32_t job) const { return clients_[job]->id; }
std::vector<std::optional<std::string>> JobFleet::answers(std::uint32_t job) const {
  return clients_[job]->answers;
}

std::optional<std::uint32_t> JobFleet::random_node() {
  for (int attempt = 0; attempt < 8; ++attempt) {
    const auto n = static_cast<std::uint32_t>(dice_.below(options_.nodes));
    if (is_up(n) && !nodes_[n]->is_isolated) return n;
  }
  return {};
}

void JobFleet::step_client(std::uint32_t client) {
  auto& c = *clients_[client];
  if (c.finished) return;
  if (c.open_call_id && now() - c.call_time > from_seconds(kCallTimeoutS))
    c.open_call_id = 0, c.node.reset();
  if (!c.open_call_id) {
    if (!c.node || !is_up(*c.node)) c.node = random_node();
    if (c.node) {
      call_node(client, *c.node);
      c.open_call_id = last_call_id_;
      c.call_time = now();
    }
  }
  agenda_.after(from_seconds(dice_.between(0.4, 0.8)), [this, client] { step_client(client); });
}

void JobFleet::call_node(std::uint32_t client, std::uint32_t n) {
  auto& c = *clients_[client];
  const auto call_id = ++last_call_id_ << kClientBits | client;
  enum class Operation { submit, remove, fetch } operation = Operation::fetch;
  if (!c.accepted)
    operation = Operation::submit;
  else if (c.deleting)
    operation = Operation::remove;
  agenda_.after(network_delay(), [this, client, n, call_id, operation, from = c.next_task] {
    if (!is_up(n) || nodes_[n]->is_isolated) return;
    deliver(n, nodes_[n]->generation, [this, client, n, call_id, operation, from] {
      auto& x = *nodes_[n];
      const auto& job = *clients_[client];
      ++x.open_calls;
      const auto id = fleet::CallId(call_id);
      switch (operation) {
        case Operation::submit: return x.jobs->submit(now(), id, job.spec);
        case Operation::remove: return x.jobs->remove(now(), id, job.id);
        case Operation::fetch: return x.jobs->fetch(now(), id, job.id, from);
      }
    });
  });
}

void JobFleet::on_reply(std::uint32_t client, std::uint32_t, std::uint64_t call_id,
                        const JobReply& r) {
  auto& c = *clients_[client];
  if (c.finished) return;
  if (call_id >> kClientBits == c.open_call_id) c.open_call_id = 0;
  const auto name = "job " + std::to_string(client);
  switch (r.kind) {
    case JobReply::Kind::accepted: c.accepted = true; return;
    case JobReply::Kind::redirect:
      if (r.holder) c.node = static_cast<std::uint32_t>(*r.holder);
      return;
    case JobReply::Kind::unavailable: c.node = random_node(); return;
    case JobReply::Kind::removed: c.deleted = c.finished = true; return;
    case JobReply::Kind::conflict: c.conflict = c.finished = true; return;
    case JobReply::Kind::not_found:
    case JobReply::Kind::trimmed:
    case JobReply::Kind::invalid:
      c.finished = true;
      return add_violation(violations_.lost_jobs, name + ": " + r.message);
    case JobReply::Kind::answers: break;
  }
  for (const auto& a : r.answers) {
    if (c.has_outcome[a.task]) continue;
    c.has_outcome[a.task] = true;
    ++counts_.answers_fetched;
    if (a.state == fleet::TaskState::served)
      c.answers[a.task] = a.body;
    else if (a.state != fleet::TaskState::failed)
      ++counts_.unknown_outcomes;
  }
  c.next_task = std::max(c.next_task, r.next);
  if (r.answers.empty() && r.next == c.spec.task_count()) {
    c.finished = true, ++counts_.jobs_finished;
    recovery_starts_.erase(client);
  }
}

// ---- Tasks

void JobFleet::check_task(std::uint32_t n, const fleet::JobTask& task, Client& c) {
  const auto describe = [&](const char* violation) {
    return std::string(violation) + ": line " + std::to_string(task.index) + " of " +
           c.spec.request_class + " by node " + std::to_string(n) + ", epoch " +
           std::to_string(task.epoch);
  };
  auto& shard = shards_[static_cast<std::size_t>(fleet::shard_of(task.job))];
  if (task.epoch < shard.last_sent_epoch)
    add_violation(violations_.older_epoch, describe("older epoch"));
  shard.last_sent_epoch = std::max(shard.last_sent_epoch, task.epoch);
  if (task.index >= c.spec.task_count() || *task.spec != c.spec ||
      task.request_id != (c.spec.prefix << 16U | task.index))
    return add_violation(violations_.unknown_tasks, describe("not submitted by a client"));
  if (c.deleted) add_violation(violations_.run_after_delete, describe("run after delete"));
  if (c.has_outcome[task.index])
    add_violation(violations_.rerun_after_fetch, describe("run again after fetch"));
  for (const auto& r : c.runs[task.index]) {
    if (r.end_time > now())
      add_violation(violations_.concurrent_runs, describe("in flight from two nodes"));
    if (r.is_executed && c.is_non_idempotent())
      add_violation(violations_.unsafe_reruns, describe("non-idempotent task run again"));
  }
  if (!c.runs[task.index].empty() && c.runs[task.index].back().is_executed) ++counts_.reruns;
}

void JobFleet::run_task(std::uint32_t n, const fleet::JobTask& task) {
  ++counts_.tasks_sent;
  using Kind = fleet::TaskOutcome::Kind;
  const auto timeout = nodes_[n]->attempt_timeout({});
  const auto it = by_id_.find(task.job);
  if (it == by_id_.end())
    return add_violation(violations_.unknown_tasks, "task of a job that no client submitted");
  auto& c = *clients_[it->second];
  check_task(n, task, c);
  const bool is_connected = !nodes_[n]->is_isolated;
  if (is_connected)
    if (const auto start = recovery_starts_.find(it->second);
        start != recovery_starts_.end() && holder_of(it->second) == n) {
      recoveries_.push_back(petrelrail::seconds(now() - start->second));
      recovery_starts_.erase(start);
    }
  Kind kind = Kind::served;
  Duration latency = from_seconds(dice_.lognormal(options_.mean_task_s, 1));
  bool is_executed = is_connected;
  const double random = dice_.uniform();
  if (!is_connected) {
    kind = Kind::unknown, latency = timeout;
  } else if (random < options_.rejected_share) {
    kind = Kind::rejected, is_executed = false, latency = from_seconds(0.002);
  } else if (random < options_.rejected_share + options_.failed_share) {
    kind = Kind::failed;
  } else if (random < options_.rejected_share + options_.failed_share + options_.reset_share) {
    kind = Kind::unknown, is_executed = dice_.chance(0.5);
  }
  if (latency > timeout) kind = Kind::unknown, latency = timeout;
  if (task.index < c.runs.size()) c.runs[task.index].push_back({n, now() + latency, is_executed});
  const auto generation = nodes_[n]->generation;
  fleet::TaskOutcome outcome{kind, {}, from_seconds(kind == Kind::rejected ? 0.2 : 0)};
  if (kind == Kind::served) outcome.body = "answer to " + c.spec.path_of(task.index);
  agenda_.after(latency, [this, n, generation, token = task.token, outcome] {
    auto answer = outcome;
    if (nodes_[n]->is_isolated) answer = {Kind::unknown, {}, {}};
    deliver(n, generation,
            [this, n, token, answer] { nodes_[n]->jobs->on_task_complete(now(), token, answer); });
  });
}

void JobFleet::measure_recovery(std::uint32_t n) {
  for (std::uint32_t j = 0; j < clients_.size(); ++j)
    if (const auto& c = *clients_[j]; c.accepted && !c.finished && !c.deleting && holder_of(j) == n)
      if (std::ranges::any_of(c.runs, [](const auto& r) { return r.empty(); }) &&
          std::ranges::any_of(c.runs, [](const auto& r) { return !r.empty(); }))
        recovery_starts_.try_emplace(j, now());
}

}  // namespace petrelrail::world

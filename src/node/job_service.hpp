// Runs batch jobs on this node: serves the /jobs paths of the admin server, sends the tasks of jobs
// as client requests, and connects the scheduler in src/fleet/jobs, which decides, to leases and
// records. Owned by Coordination, on the thread of the io_context. See docs/jobs.md.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "admin_server.hpp"
#include "cluster_state.hpp"
#include "fleet/job_scheduler.hpp"
#include "http_server.hpp"
#include "response_sink.hpp"

namespace petrelrail {

class JobService : private fleet::JobHost {
 public:
  struct Callbacks {
    // Sends a job's request as if it came from its client; the response goes to `sink`.
    virtual void send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) = 0;
    // How many requests may be in flight now in addition to those of clients.
    virtual std::uint32_t best_effort_capacity() = 0;
    virtual std::shared_ptr<const Settings> current_settings() const = 0;
    // The address of a node's admin server, if known.
    virtual std::optional<std::string> admin_address_of(fleet::MemberId node) const = 0;

   protected:
    ~Callbacks() = default;
  };
  // Jobs submitted here, and tasks by outcome.
  struct Stats {
    std::uint64_t submitted = 0, sent = 0, served = 0, refused = 0, failed = 0, unknown = 0;
  };

  // The lease of shard s has the index `first_lease` + s.
  JobService(Timers& timers, ClusterState& cluster_state, std::size_t first_lease,
             Callbacks& callbacks);
  ~JobService();
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  // The names of the leases, one for each shard.

  static std::vector<std::string> lease_names();
  // Handles a request to the admin server. Returns false if the path is not below /jobs.
  bool on_admin_request(const AdminServer::AdminRequest& request,
                        const AdminServer::AdminCallback& on_response);
  // Called when leases may have changed; `records_changed`: job records have.
  void on_state_changed(bool records_changed);
  // Called with the outcome of a write. Returns false if this service did not start the write.
  bool on_record_outcome(const fleet::ReplicatedStore::Outcome& outcome);
  // Called before this process ends: sends no further tasks.
  void stop() { stopped_ = true; }

  const Stats& stats() const { return stats_; }
  const fleet::JobScheduler& jobs() const { return jobs_; }

 private:
  class TaskSink;

  std::optional<fleet::ShardLease> lease(fleet::ShardId shard) override;
  std::optional<fleet::MemberId> holder(fleet::ShardId shard) override;
  bool has_all_records(fleet::ShardId shard) override;
  void put(std::uint64_t token, const fleet::RecordKey& key, std::uint64_t epoch,
           std::uint32_t ends, std::optional<std::string> value) override;
  std::optional<fleet::Record> find(const fleet::RecordKey& key) override;
  void for_each_record(const std::function<void(const fleet::Record&)>& see) override;
  void send(const fleet::JobTask& line) override;
  std::uint32_t free_slots() override;
  std::optional<double> tasks_per_second(fleet::JobId job) override;
  std::optional<Idempotency> idempotency(const std::string& request_class) override;
  bool has_plan(const std::string& plan) override;
  Duration attempt_timeout(const std::string& request_class) override;
  std::uint32_t unix_time(Time now) override;
  void reply(fleet::CallId call, const fleet::JobReply& reply) override;

  std::size_t lease_of(fleet::ShardId s) const {
    return first_lease_ + static_cast<std::size_t>(s);
  }
  const RequestClass* class_of(const std::string& name) const;
  fleet::CallId add_call(const AdminServer::AdminRequest& request,
                         const AdminServer::AdminCallback& on_response);
  void submit(const AdminServer::AdminRequest& request,
              const AdminServer::AdminCallback& on_response);
  AdminServer::AdminResponse describe(fleet::JobId id, const fleet::JobState& state) const;
  void on_task_ended(std::uint64_t token, fleet::TaskOutcome outcome);
  void run();
  void arm_timer();

  struct PendingCall {
    AdminServer::AdminCallback on_response;
    std::string path;  // with the query, for a Location header
  };

  Timers& timers_;
  ClusterState& cluster_state_;
  std::size_t first_lease_;
  Callbacks& callbacks_;
  // Settings during a call into jobs_, and for class_of().
  std::shared_ptr<const Settings> settings_;
  std::unordered_map<std::uint64_t, std::uint64_t> writes_;  // tokens by ticket
  // Events not yet passed to jobs_: tokens of rejected writes, outcomes of writes and of tasks.
  std::vector<std::uint64_t> rejected_writes_;
  std::vector<std::pair<std::uint64_t, bool>> write_outcomes_;
  std::vector<std::pair<std::uint64_t, fleet::TaskOutcome>> task_outcomes_;
  std::map<std::uint64_t, PendingCall> calls_;
  std::map<std::uint64_t, std::shared_ptr<TaskSink>> tasks_;  // in flight, by token
  // A shard's lease is kept until this time after the shard's last use.
  std::array<Time, fleet::kShards> keep_lease_until_{};
  std::uint64_t last_call_id_ = 0;
  bool stopped_ = false, running_ = false, has_written_ = false;
  Timers::Handle timer_;
  Stats stats_;
  fleet::JobScheduler jobs_;
};

// Parses the body of POST /jobs. Throws reading::FieldError, naming the field.
fleet::JobSpec parse_job(const std::string& body);

}  // namespace petrelrail

// Batch jobs of this node: calls on the control address, lines sent in the client's name, records
// and rights. What is decided is decided in src/fleet/jobs; docs/jobs.md.
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
    // Sends a request that a client asked for through a job; its outcome goes to the asker.
    virtual void send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) = 0;
    // Requests beyond those of clients that may be open now.
    virtual std::uint32_t best_effort_capacity() = 0;
    virtual std::shared_ptr<const Settings> current_settings() const = 0;
    // Where a node's operators call; none: not known.
    virtual std::optional<std::string> admin_address_of(fleet::MemberId node) const = 0;

   protected:
    ~Callbacks() = default;
  };
  struct Stats {
    std::uint64_t handed_in = 0, sent = 0, served = 0, refused = 0, failed = 0, unknown = 0;
  };

  // The duty of shard s is `first_duty` + s.
  JobService(Timers& timers, ClusterState& shared, std::size_t first_duty, Callbacks& owner);
  ~JobService();
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  static std::vector<std::string> duties();
  // A call on the control address; false: its path is none of jobs'.
  bool on_admin_request(const AdminServer::AdminRequest& ask,
                        const AdminServer::AdminCallback& answered);
  // Rights may have changed; `records`: records of jobs have.
  void on_state_changed(bool records);
  // An outcome of Shared's records; false: it is not this desk's.
  bool on_record_outcome(const fleet::Records::Outcome& o);
  // This process leaves: it sends no further lines.
  void stop() { stopped_ = true; }

  const Stats& stats() const { return stats_; }
  const fleet::JobScheduler& jobs() const { return jobs_; }

 private:
  class Line;

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

  std::size_t duty(fleet::ShardId s) const { return first_duty_ + static_cast<std::size_t>(s); }
  const RequestClass* class_of(const std::string& name) const;
  fleet::CallId wait(const AdminServer::AdminRequest& ask,
                     const AdminServer::AdminCallback& answered);
  void hand_in(const AdminServer::AdminRequest& ask, const AdminServer::AdminCallback& answered);
  AdminServer::AdminResponse described(fleet::JobId id, const fleet::JobState& state) const;
  void line_ended(std::uint64_t token, fleet::TaskOutcome outcome);
  void run();
  void arm();

  struct Waiting {
    AdminServer::AdminCallback answered;
    std::string path;  // with its query, for a Location
  };

  Timers& timers_;
  ClusterState& shared_;
  std::size_t first_duty_;
  Callbacks& callbacks_;
  std::shared_ptr<const Settings> settings_;  // while a call into jobs_ lasts, and for class_of()
  std::unordered_map<std::uint64_t, std::uint64_t> writes_;  // tokens by ticket
  // What came and is not told yet: tokens of writes that were turned down, of writes, of lines.
  std::vector<std::uint64_t> refused_;
  std::vector<std::pair<std::uint64_t, bool>> outcomes_;
  std::vector<std::pair<std::uint64_t, fleet::TaskOutcome>> ended_;
  std::map<std::uint64_t, Waiting> calls_;
  std::map<std::uint64_t, std::shared_ptr<Line>> lines_;  // that are out, by token
  std::array<Time, fleet::kShards>
      wanted_until_{};  // a shard is kept for a while after its last use
  std::uint64_t last_call_ = 0;
  bool stopped_ = false, running_ = false, wrote_ = false;
  Timers::Handle due_;
  Stats stats_;
  fleet::JobScheduler jobs_;
};

// A job as POST /jobs has it. Throws reading::FieldError, naming the field.
fleet::JobSpec job_of(const std::string& body);

}  // namespace petrelrail

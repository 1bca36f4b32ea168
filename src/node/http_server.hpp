// The client listener and its sessions: accepts up to a bound, evicts sessions without an accepted
// request when descriptors are short, and drains before SIGKILL. Owned by Node and used on the
// thread of the io_context; it does not decide about requests.
#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <memory>
#include <string>
#include <unordered_set>

#include "client_request.hpp"
#include "end_reason.hpp"
#include "http_session.hpp"
#include "net.hpp"
#include "policy/overload_manager.hpp"
#include "policy/request_state.hpp"
#include "policy/transition_log.hpp"

namespace petrelrail {

class HttpServer {
 public:
  struct Callbacks {
    virtual bool is_ready() = 0;
    // Returns the request's number, with which on_client_disconnected is called later.
    virtual std::uint64_t on_request(ClientRequest request,
                                     std::shared_ptr<HttpSession> session) = 0;
    // The last byte of a request has arrived whose body is forwarded while it arrives. The client
    // had not written it before `not_written_until`.
    virtual void on_request_received(std::uint64_t request, Time not_written_until) = 0;
    // The rest of a request's body is left unread, so that its client may have disconnected unseen
    // from `latest_start` on.
    virtual void on_start_limited(std::uint64_t /*request*/, Time /*latest_start*/) {}
    virtual void on_client_disconnected(std::uint64_t request) = 0;
    // A session was about to break a guarantee to its client.
    virtual void on_invariant_violation(policy::InvariantViolation,
                                        const std::string& /*request_id*/) {}
    // Whether a descriptor from the price servers' share can be used for one more session, and
    // taking it, if need be by closing an idle server connection.
    virtual bool can_lend_descriptor() const { return false; }
    virtual bool lend_descriptor() { return false; }

   protected:
    ~Callbacks() = default;
  };

  HttpServer(asio::io_context& io, Timers& timers, std::shared_ptr<const Settings> settings,
             std::size_t max_sessions, std::shared_ptr<policy::OverloadManager> overload,
             Callbacks& owner);

  void listen(const Tcp::endpoint& at);
  // Accepts on a socket that already listens, and takes ownership of it.
  void adopt(int listening_socket);
  int listener() { return acceptor_.native_handle(); }
  // Leaves accepting to a successor: each open connection ends with its next response.
  void stop_accepting();
  // Accepts again after the successor has ended.
  void resume();
  // Applies to requests that are parsed from now on.
  void set_settings(std::shared_ptr<const Settings> settings) { settings_ = std::move(settings); }
  Tcp::endpoint listen_address() const { return acceptor_.local_endpoint(); }
  // From now on each response ends its connection, and idle connections are closed.
  // `longest_deadline` is the longest of the configured classes; the time of SIGKILL depends on it.
  void drain(Duration longest_deadline);
  bool drained() const;
  // When the last responses must be written, before SIGKILL; Time::max() before drain().
  Time drain_deadline() const { return drain_deadline_; }
  void set_max_sessions(std::size_t max_sessions) { max_sessions_ = max_sessions; }
  std::size_t size() const { return sessions_.size(); }
  std::size_t max_sessions() const { return max_sessions_; }
  const StatusCounts& rejected_requests() const { return rejected_requests_; }
  const SessionEnds& session_ends() const { return session_ends_; }
  std::uint64_t accept_failures() const { return accept_failures_; }
  // Evicts a session without an accepted request, see eviction_candidate(); false if there is none.
  bool evict_idle();

 private:
  friend class HttpSession;
  using Sessions = std::unordered_set<std::shared_ptr<HttpSession>>;

  void start_listening();
  void accept();
  void on_accepted(const error_code& failed, Socket socket);
  void shorten_deadline(ClientRequest& request) const;
  std::shared_ptr<HttpSession> eviction_candidate() const;
  void sweep();
  // Throws RequestError if the request can't be accepted for want of memory, else charges it.
  void charge_request(ClientRequest& request);
  // Gives up incomplete requests while the node is short of memory.
  void shed_incomplete_requests();
  // Returns false if there is nothing to give up. What a session holds is not freed completely, so
  // that one call may not be enough.
  bool shed_victims();
  void on_shed(policy::SheddingReason reason, const std::string& request_id, std::size_t bytes);
  void log_stage();
  void remove_session(const std::shared_ptr<HttpSession>& session);
  void resume_accepting();  // called when a session has ended or has become evictable

  asio::io_context& io_;
  Timers& timers_;
  std::shared_ptr<const Settings> settings_;
  std::size_t max_sessions_;
  std::shared_ptr<policy::OverloadManager> overload_;
  policy::TransitionLog<policy::OverloadStage> stage_log_{policy::OverloadStage::normal};
  bool logs_next_shedding_ = true;  // the first one after a change of the stage
  Callbacks& callbacks_;
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
  Sessions sessions_;
  StatusCounts rejected_requests_;
  SessionEnds session_ends_;
  bool draining_ = false;
  bool accepting_stopped_ = false;
  bool accept_pending_ = true;  // an accept is pending, or a timer that will start one
  std::uint64_t accept_failures_ = 0;
  Time last_accept_time_{};
  Time drain_started_time_{}, drain_deadline_ = Time::max();
};

}  // namespace petrelrail

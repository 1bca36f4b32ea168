// Child processes of the lab and of the tests that run real nodes. The kernel kills a child when
// its parent ends for any reason (PR_SET_PDEATHSIG). Not thread-safe.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace petrelrail::lab {

class Child {
 public:
  struct Usage {
    double cpu_s = 0, memory_mb = 0;
  };
  struct LaunchOptions {
    std::filesystem::path program;
    std::map<std::string, std::string> environment;  // complete; nothing is inherited
    std::filesystem::path log;                       // standard output and error are appended
    std::uint64_t max_descriptors = 1024;            // RLIMIT_NOFILE
  };

  // Throws std::system_error if fork() fails. If the program can't be executed, the child exits
  // with status 127.
  explicit Child(const LaunchOptions& options);
  ~Child();  // kills the process if it is still running, and reaps it
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  pid_t pid() const { return pid_; }
  void signal(int number) const;
  void kill_and_wait();  // sends SIGKILL and reaps the process
  // Returns the wait status once the process has ended. Does not block.
  std::optional<int> poll_wait_status();
  // Processor time since the start and resident memory; zeros after the end.
  Usage usage() const;

 private:
  pid_t pid_ = 0;
  std::optional<int> status_;
};

// Returns a text such as "exit status 1" or "signal 11".
std::string describe_wait_status(int wait_status);
// Returns at most `lines` lines from the end of a file, each indented by two spaces.
std::string last_lines(const std::filesystem::path& file, std::size_t lines);

}  // namespace petrelrail::lab

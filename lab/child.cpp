#include "child.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <deque>
#include <fstream>
#include <sstream>
#include <system_error>

namespace petrelrail::lab {
namespace {

constexpr int kExecFailedStatus = 127, kFirstInheritedDescriptor = 3, kMaxDescriptor = 65536;

}  // namespace

Child::Child(const LaunchOptions& options) {
  // Everything that allocates memory happens before the fork.
  std::vector<std::string> variables;
  for (const auto& [name, value] : options.environment) variables.push_back(name + "=" + value);
  std::vector<char*> environment;
  for (auto& v : variables) environment.push_back(v.data());
  environment.push_back(nullptr);
  std::string program = options.program.string(), log = options.log.string();
  std::vector<char*> arguments{program.data(), nullptr};
  const rlimit limit{options.max_descriptors, options.max_descriptors};
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kExecFailedStatus);  // the parent ended before prctl()
  setpgid(0, 0);                                      // the terminal sends SIGINT to the lab alone
  const int log_descriptor = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  const int null_descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC);
  if (log_descriptor >= 0) dup2(log_descriptor, STDOUT_FILENO), dup2(log_descriptor, STDERR_FILENO);
  if (null_descriptor >= 0) dup2(null_descriptor, STDIN_FILENO);
  if (close_range(kFirstInheritedDescriptor, kMaxDescriptor, 0) != 0)
    for (int fd = kFirstInheritedDescriptor; fd < static_cast<int>(options.max_descriptors); ++fd)
      close(fd);
  setrlimit(RLIMIT_NOFILE, &limit);
  for (const int s : {SIGINT, SIGTERM, SIGHUP, SIGPIPE}) std::signal(s, SIG_DFL);
  execve(program.c_str(), arguments.data(), environment.data());
  _exit(kExecFailedStatus);
}

Child::~Child() { kill_and_wait(); }

void Child::signal(int number) const {
  if (!status_) kill(pid_, number);
}

void Child::kill_and_wait() {
  if (status_) return;
  kill(pid_, SIGKILL);
  int status = 0;
  while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) continue;
  status_ = status;
}

std::optional<int> Child::poll_wait_status() {
  int status = 0;
  if (!status_ && waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
  return status_;
}

Child::Usage Child::usage() const {
  Usage usage;
  if (status_) return usage;
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
  std::string text;
  std::getline(stat, text);
  const auto name_end = text.rfind(')');
  if (name_end == std::string::npos) return usage;
  std::istringstream fields(text.substr(name_end + 2));
  std::string field;
  double ticks = 0, pages = 0;
  for (int i = 3; fields >> field; ++i) {  // proc(5): utime 14, stime 15, rss 24
    if (i == 14 || i == 15) ticks += std::stod(field);
    if (i == 24) pages = std::stod(field);
  }
  usage.cpu_s = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.memory_mb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return usage;
}

std::string describe_wait_status(int wait_status) {
  if (WIFSIGNALED(wait_status)) return "signal " + std::to_string(WTERMSIG(wait_status));
  return "exit status " + std::to_string(WEXITSTATUS(wait_status));
}

std::string last_lines(const std::filesystem::path& file, std::size_t lines) {
  std::ifstream in(file);
  std::deque<std::string> kept;
  for (std::string line; std::getline(in, line);) {
    kept.push_back(line);
    if (kept.size() > lines) kept.pop_front();
  }
  std::string text;
  for (const auto& l : kept) text += "  " + l + "\n";
  return text;
}

}  // namespace petrelrail::lab

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

constexpr int kNoProgram = 127, kLeastFree = 3, kMostOpen = 65536;

}  // namespace

Child::Child(const Plan& plan) {
  // All that the child needs is made before the fork.
  std::vector<std::string> variables;
  for (const auto& [name, value] : plan.variables) variables.push_back(name + "=" + value);
  std::vector<char*> environment;
  for (auto& v : variables) environment.push_back(v.data());
  environment.push_back(nullptr);
  std::string program = plan.program.string(), log = plan.log.string();
  std::vector<char*> arguments{program.data(), nullptr};
  const rlimit limit{plan.descriptors, plan.descriptors};
  const pid_t parent = getpid();
  id_ = fork();
  if (id_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (id_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kNoProgram);  // it ended in between
  setpgid(0, 0);                               // Ctrl-C is the lab's to deal with
  const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  const int none = open("/dev/null", O_RDONLY | O_CLOEXEC);
  if (out >= 0) dup2(out, STDOUT_FILENO), dup2(out, STDERR_FILENO);
  if (none >= 0) dup2(none, STDIN_FILENO);
  if (close_range(kLeastFree, kMostOpen, 0) != 0)
    for (int fd = kLeastFree; fd < static_cast<int>(plan.descriptors); ++fd) close(fd);
  setrlimit(RLIMIT_NOFILE, &limit);
  for (const int s : {SIGINT, SIGTERM, SIGHUP, SIGPIPE}) std::signal(s, SIG_DFL);
  execve(program.c_str(), arguments.data(), environment.data());
  _exit(kNoProgram);
}

Child::~Child() { kill_now(); }

void Child::signal(int number) const {
  if (!status_) kill(id_, number);
}

void Child::kill_now() {
  if (status_) return;
  kill(id_, SIGKILL);
  int status = 0;
  while (waitpid(id_, &status, 0) < 0 && errno == EINTR) continue;
  status_ = status;
}

std::optional<int> Child::ended() {
  int status = 0;
  if (!status_ && waitpid(id_, &status, WNOHANG) == id_) status_ = status;
  return status_;
}

Child::Usage Child::usage() const {
  Usage u;
  if (status_) return u;
  std::ifstream stat("/proc/" + std::to_string(id_) + "/stat");
  std::string text;
  std::getline(stat, text);
  const auto name_ends = text.rfind(')');
  if (name_ends == std::string::npos) return u;
  std::istringstream fields(text.substr(name_ends + 2));
  std::string field;
  double ticks = 0, pages = 0;
  for (int i = 3; fields >> field; ++i) {  // proc(5): utime 14, stime 15, rss 24
    if (i == 14 || i == 15) ticks += std::stod(field);
    if (i == 24) pages = std::stod(field);
  }
  u.cpu_s = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  u.memory_mb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return u;
}

std::string end_in_words(int wait_status) {
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

#include "tests/scenarios/runner/process.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Scenario
{

namespace
{

constexpr int ReadyTimeoutMs = 20'000;
constexpr int LocalAddressColumn = 1;
constexpr int InodeColumn = 9;

std::string readLine(int pipe)
{
    std::string line;
    char byte = 0;
    pollfd ready { pipe, POLLIN, 0 };
    while (poll(&ready, 1, ReadyTimeoutMs) > 0 && read(pipe, &byte, 1) == 1 && byte != '\n') {
        line.push_back(byte);
    }
    return line;
}

// Returns the inode of the TCP socket with this local port, read from /proc/net/tcp.
std::string findSocketInode(std::uint16_t port)
{
    char pattern[8];
    std::snprintf(pattern, sizeof pattern, ":%04X", port);
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        std::istringstream columns(line);
        std::string column;
        std::string local;
        for (int i = 0; i <= InodeColumn && columns >> column; ++i) {
            if (i == LocalAddressColumn) {
                local = column;
            }
        }
        if (local.ends_with(pattern) && column != "0") {
            return column;
        }
    }
    return {};
}

} // namespace

Process::Process(std::string name, const std::vector<std::string> &arguments, const std::string &logFile)
    : m_name(std::move(name))
{
    int pipes[2];
    if (pipe2(pipes, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::vector<char *> argv;
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // Kills the child if the runner dies.
        dup2(pipes[1], STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(argv[0], argv.data());
        _exit(127);
    }
    close(pipes[1]);
    close(log);
    m_readyLine = readLine(pipes[0]);
    close(pipes[0]);
    if (!m_readyLine.starts_with("ready")) {
        throw std::runtime_error(m_name + " did not become ready; see " + logFile);
    }
}

Process::~Process()
{
    if (!m_hasExited) {
        signal(SIGCONT);
        signal(SIGKILL);
        reap(true);
    }
}

std::uint16_t Process::readyNumber(const std::string &key) const
{
    const std::size_t at = m_readyLine.find(key + "=");
    return at == std::string::npos ? 0 : static_cast<std::uint16_t>(std::atoi(m_readyLine.c_str() + at + key.size() + 1));
}

void Process::signal(int number)
{
    if (!m_hasExited) {
        kill(m_pid, number);
    }
}

void Process::reap(bool isBlocking)
{
    int status = 0;
    if (!m_hasExited && waitpid(m_pid, &status, isBlocking ? 0 : WNOHANG) == m_pid) {
        m_hasExited = true;
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
}

bool Process::isRunning()
{
    reap(false);
    return !m_hasExited;
}

bool Process::waitForExit(double seconds)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (isRunning()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

pid_t findProcessByPort(std::uint16_t port, const std::vector<pid_t> &pids)
{
    const std::string inode = findSocketInode(port);
    if (inode.empty()) {
        return -1;
    }
    const std::string pattern = "socket:[" + inode + "]";
    for (const pid_t pid : pids) {
        std::error_code ignored;
        for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ignored)) {
            if (std::filesystem::read_symlink(entry.path(), ignored).string() == pattern) {
                return pid;
            }
        }
    }
    return -1;
}

} // namespace Scenario

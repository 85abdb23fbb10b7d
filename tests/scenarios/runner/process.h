#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Scenario
{

/** A child process whose first line of output says that it is ready; killed at the end of the scenario. */
class Process
{
public:
    /** Starts @p arguments with its log in @p logFile and waits for the line. Throws std::runtime_error when it does not come. */
    Process(std::string name, const std::vector<std::string> &arguments, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    const std::string &name() const
    {
        return m_name;
    }
    pid_t pid() const
    {
        return m_pid;
    }
    /** The number behind "@p key=" in the ready line. */
    std::uint16_t readyNumber(const std::string &key) const;
    void signal(int number);
    bool isRunning();
    /** Waits for the end; false when it does not come within @p seconds. The exit code is then in exitCode(). */
    bool waitForExit(double seconds);
    /** -1 while it runs or when a signal ended it. */
    int exitCode() const
    {
        return m_exitCode;
    }

private:
    void reap(bool isBlocking);

    std::string m_name;
    pid_t m_pid = -1;
    std::string m_readyLine;
    int m_exitCode = -1;
    bool m_hasExited = false;
};

/** The process of this machine that holds the TCP socket with local port @p port, among @p pids; -1 when none does. */
pid_t findProcessByPort(std::uint16_t port, const std::vector<pid_t> &pids);

} // namespace Scenario

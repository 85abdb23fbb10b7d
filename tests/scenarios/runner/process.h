#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Scenario
{

/** A child process that prints a ready line first. It is killed when the object is destroyed. */
class Process
{
public:
    /** Starts @p arguments with stderr appended to @p logFile. Throws std::runtime_error if the ready line does not arrive in time. */
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
    /** Returns the number after "@p key=" in the ready line; 0 if it is missing. */
    std::uint16_t readyNumber(const std::string &key) const;
    void signal(int number);
    bool isRunning();
    /** Waits up to @p seconds for the process to exit and returns whether it did. exitCode() is valid afterwards. */
    bool waitForExit(double seconds);
    /** Returns -1 while the process runs or if a signal ended it. */
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

/** Returns the process among @p pids that has a TCP socket with local port @p port open; -1 if there is none. */
pid_t findProcessByPort(std::uint16_t port, const std::vector<pid_t> &pids);

} // namespace Scenario

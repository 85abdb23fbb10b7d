#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace FaultProxy
{

/** The faults that a proxy causes. All are off initially; each field may change at any time. */
struct Faults
{
    /** Delay of each block of a stream, or of each datagram. */
    std::atomic<int> delayMs { 0 };
    /** Resets a connection after this many bytes of the answer; -1 means never. */
    std::atomic<std::int64_t> cutAnswerAfter { -1 };
    /** Resets a connection after this many bytes of the request; -1 means never. */
    std::atomic<std::int64_t> cutRequestAfter { -1 };
    /** Nothing is passed on, and no error is signalled. */
    std::atomic<bool> isBlackHole { false };
    /** The connection to the target is closed, or not opened, while the one to the caller stays open. */
    std::atomic<bool> isHalfOpen { false };
    /** Connections are reset. */
    std::atomic<bool> isReset { false };
    /** Limit in bytes per second; 0 means no limit. */
    std::atomic<int> maxBytesPerSecond { 0 };
    /** Percentages of datagrams that are lost, duplicated, or held back behind later ones. */
    std::atomic<int> lossPercent { 0 };
    std::atomic<int> duplicatePercent { 0 };
    std::atomic<int> reorderPercent { 0 };

    /** Turns all faults off. */
    void clear();
};

/** Which named processes cannot reach which others. Shared by all proxies of a scenario. */
class Partition
{
public:
    void block(const std::string &from, const std::string &to);
    void clear();
    bool isBlocked(const std::string &from, const std::string &to) const;

private:
    mutable std::mutex m_mutex;
    std::set<std::pair<std::string, std::string>> m_blocked;
};

} // namespace FaultProxy

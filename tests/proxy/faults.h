#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace FaultProxy
{

/** What a proxy does to what passes. Everything is off at first; each field may change at any time. */
struct Faults
{
    /** Delay of each part or datagram. */
    std::atomic<int> delayMs { 0 };
    /** Ends a connection after so many bytes of answer; -1 never. */
    std::atomic<std::int64_t> cutAnswerAfter { -1 };
    /** Ends a connection after so many bytes of request; -1 never. */
    std::atomic<std::int64_t> cutRequestAfter { -1 };
    /** Nothing passes, and nothing tells so. */
    std::atomic<bool> isBlackHole { false };
    /** The far side is closed while the near side stays open. */
    std::atomic<bool> isHalfOpen { false };
    /** Connections are reset. */
    std::atomic<bool> isReset { false };
    /** Bytes a second; 0 is no limit. */
    std::atomic<int> maxBytesPerSecond { 0 };
    /** Datagrams lost, doubled and held back behind later ones, in percent. */
    std::atomic<int> lossPercent { 0 };
    std::atomic<int> duplicatePercent { 0 };
    std::atomic<int> reorderPercent { 0 };

    /** Everything off again. */
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

#pragma once

#include "core/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <memory>

namespace ApricotStep
{

/** Bodies up to this size are small: they may use memory that large ones leave to them. */
inline constexpr std::size_t SmallBodyBytes = std::size_t(64) << 10U;

/** How the connections of clients and the bodies of their requests share memory. All in bytes. */
struct RequestMemoryLimits
{
    /** Connections and bodies together. */
    std::size_t total = std::size_t(64) << 20U;
    /** What bodies leave to connections, whether they use it or not. */
    std::size_t leftToConnections = std::size_t(32) << 20U;
    /** What connections leave to bodies. */
    std::size_t leftToBodies = std::size_t(16) << 20U;
    /** What large bodies leave to small ones. */
    std::size_t leftToSmallBodies = std::size_t(8) << 20U;

    /** The shares of @p total. */
    static RequestMemoryLimits of(std::size_t total);
    /** The limits of a process that may use @p memoryBytes in all. Answers in progress have @p answerBytes of it. */
    static RequestMemoryLimits ofProcess(std::size_t memoryBytes, std::size_t answerBytes);
};

class RequestMemory;

/**
 * The memory of one body, from before it arrives until the last holder has released it. Thread-safe.
 *
 * While the body arrives, its reservation may be taken back if others need the memory.
 */
class BodyReservation
{
public:
    ~BodyReservation();
    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

    /** Reserves @p bytes in all instead. Returns false if there is not enough memory; then nothing has changed. */
    bool resize(std::size_t bytes);
    /** @p bytes of the body have arrived so far. */
    void onArrived(std::size_t bytes);
    /** The body is complete: keeps only what it needs, and cannot be taken back any more. */
    void onComplete(std::size_t bytes);
    /** Whether the request is to end so that others get its memory. */
    bool isTakenBack() const;

private:
    friend class RequestMemory;
    explicit BodyReservation(std::shared_ptr<RequestMemory> memory)
        : m_memory(std::move(memory))
    {
    }
    /** Whether the body will not be whole in time, by what has arrived since the last check. */
    bool isBehind(Time now);

    // Guarded by the mutex of the memory.
    std::shared_ptr<RequestMemory> m_memory;
    std::size_t m_bytes = 0;
    std::size_t m_arrived = 0;
    Time m_deadline;
    Time m_checkedAt;
    std::size_t m_arrivedAtCheck = 0;
    bool m_isTakenBack = false;
};

/**
 * Shares memory between the connections of clients and the bodies of their requests. Thread-safe.
 *
 * Each of the two can use what the other does not, but for the part that is left to the other at any time. A body is reserved as a whole
 * before its first byte is kept, so that bodies that have begun to arrive can be completed. When there is not enough memory, new bodies are
 * refused, and those that arrive too slowly to be whole in time lose their reservations.
 */
class RequestMemory : public std::enable_shared_from_this<RequestMemory>
{
public:
    explicit RequestMemory(const RequestMemoryLimits &limits)
        : m_limits(limits)
    {
    }

    bool hasRoomForConnection(std::size_t bytes) const;
    void onConnectionOpened(std::size_t bytes);
    void onConnectionClosed(std::size_t bytes);
    /** Reserves @p bytes for a body that has to arrive until @p deadline. Returns null if there is not enough memory. */
    std::shared_ptr<BodyReservation> reserve(std::size_t bytes, Time deadline, Time now);
    /** Takes reservations back if memory has been lacking since the last call. To be called at regular intervals. */
    void takeBack(Time now);
    std::size_t bodyBytes() const;
    std::size_t connectionBytes() const;

private:
    friend class BodyReservation;
    bool fits(std::size_t from, std::size_t to) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const RequestMemoryLimits m_limits;
    mutable absl::Mutex m_mutex;
    std::size_t m_connectionBytes ABSL_GUARDED_BY(m_mutex) = 0;
    std::size_t m_bodyBytes ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_hasLacked ABSL_GUARDED_BY(m_mutex) = false;
    /** Bodies that are still arriving. */
    absl::flat_hash_set<BodyReservation *> m_arriving ABSL_GUARDED_BY(m_mutex);
};

} // namespace ApricotStep

#include "coordination/requestmemory.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr std::size_t MinProgramBytes = 32'000'000;
// The program and what it knows of the fleet use at most one part in so many of the memory of the process, or MinProgramBytes.
constexpr std::size_t ProgramDivisor = 4;
constexpr std::size_t ConnectionDivisor = 2;
constexpr std::size_t BodyDivisor = 4;
constexpr std::size_t SmallBodyDivisor = 8;
// Shorter spans do not show how fast a body arrives.
constexpr Duration MinCheckInterval { 1000 };

} // namespace

RequestMemoryLimits RequestMemoryLimits::of(std::size_t total)
{
    return { total, total / ConnectionDivisor, total / BodyDivisor, total / SmallBodyDivisor };
}

RequestMemoryLimits RequestMemoryLimits::ofProcess(std::size_t memoryBytes, std::size_t answerBytes)
{
    const std::size_t others = std::max(MinProgramBytes, memoryBytes / ProgramDivisor) + answerBytes;
    // A process with less than it needs still gets a part, since it could serve nobody otherwise.
    return of(std::max(memoryBytes - std::min(memoryBytes, others), memoryBytes / ProgramDivisor));
}

BodyReservation::~BodyReservation()
{
    const absl::MutexLock lock(&m_memory->m_mutex);
    m_memory->m_bodyBytes -= m_bytes;
    m_memory->m_arriving.erase(this);
}

bool BodyReservation::resize(std::size_t bytes)
{
    const absl::MutexLock lock(&m_memory->m_mutex);
    if (!m_memory->fits(m_bytes, bytes)) {
        m_memory->m_hasLacked = true;
        return false;
    }
    m_memory->m_bodyBytes = m_memory->m_bodyBytes - m_bytes + bytes;
    m_bytes = bytes;
    return true;
}

void BodyReservation::onArrived(std::size_t bytes)
{
    const absl::MutexLock lock(&m_memory->m_mutex);
    m_arrived = bytes;
}

void BodyReservation::onComplete(std::size_t bytes)
{
    const absl::MutexLock lock(&m_memory->m_mutex);
    m_memory->m_bodyBytes = m_memory->m_bodyBytes - m_bytes + bytes;
    m_bytes = bytes;
    m_memory->m_arriving.erase(this);
}

bool BodyReservation::isTakenBack() const
{
    const absl::MutexLock lock(&m_memory->m_mutex);
    return m_isTakenBack;
}

bool BodyReservation::isBehind(Time now)
{
    const Duration span = now - m_checkedAt;
    if (span < MinCheckInterval) {
        return false;
    }
    const auto missing = static_cast<double>(std::max<std::size_t>(m_bytes - std::min(m_bytes, m_arrived), 1));
    const double rate = static_cast<double>(m_arrived - m_arrivedAtCheck) / span.toSeconds();
    m_checkedAt = now;
    m_arrivedAtCheck = m_arrived;
    return rate * std::max((m_deadline - now).toSeconds(), 0.0) < missing;
}

bool RequestMemory::fits(std::size_t from, std::size_t to) const
{
    if (to <= from) {
        return true;
    }
    const std::size_t connections = std::max(m_connectionBytes, m_limits.leftToConnections);
    const std::size_t available = m_limits.total - std::min(m_limits.total, connections);
    const std::size_t leftToOthers = to > SmallBodyBytes ? m_limits.leftToSmallBodies : 0;
    return m_bodyBytes - from + to + leftToOthers <= available;
}

bool RequestMemory::hasRoomForConnection(std::size_t bytes) const
{
    const absl::MutexLock lock(&m_mutex);
    return m_connectionBytes + bytes + std::max(m_bodyBytes, m_limits.leftToBodies) <= m_limits.total;
}

void RequestMemory::onConnectionOpened(std::size_t bytes)
{
    const absl::MutexLock lock(&m_mutex);
    m_connectionBytes += bytes;
}

void RequestMemory::onConnectionClosed(std::size_t bytes)
{
    const absl::MutexLock lock(&m_mutex);
    m_connectionBytes -= bytes;
}

std::shared_ptr<BodyReservation> RequestMemory::reserve(std::size_t bytes, Time deadline, Time now)
{
    std::shared_ptr<BodyReservation> reservation(new BodyReservation(shared_from_this()));
    const absl::MutexLock lock(&m_mutex);
    if (!fits(0, bytes)) {
        m_hasLacked = true;
        return nullptr;
    }
    m_bodyBytes += bytes;
    reservation->m_bytes = bytes;
    reservation->m_deadline = deadline;
    reservation->m_checkedAt = now;
    m_arriving.insert(reservation.get());
    return reservation;
}

void RequestMemory::takeBack(Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!m_hasLacked) {
        return;
    }
    m_hasLacked = false;
    for (BodyReservation *reservation : m_arriving) {
        reservation->m_isTakenBack = reservation->m_isTakenBack || reservation->isBehind(now);
    }
}

std::size_t RequestMemory::bodyBytes() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_bodyBytes;
}

std::size_t RequestMemory::connectionBytes() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_connectionBytes;
}

} // namespace ApricotStep

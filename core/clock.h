#pragma once

#include <compare>
#include <cstdint>

namespace ApricotStep
{

/** A span of time in whole milliseconds; may be negative. */
class Duration
{
public:
    constexpr Duration() = default;
    constexpr explicit Duration(std::int64_t milliseconds)
        : m_milliseconds(milliseconds)
    {
    }
    static constexpr Duration seconds(std::int64_t count)
    {
        return Duration(count * 1000);
    }

    constexpr std::int64_t milliseconds() const
    {
        return m_milliseconds;
    }
    constexpr double toSeconds() const
    {
        return static_cast<double>(m_milliseconds) / 1000.0;
    }
    constexpr auto operator<=>(const Duration &) const = default;
    constexpr Duration operator+(Duration other) const
    {
        return Duration(m_milliseconds + other.m_milliseconds);
    }
    constexpr Duration operator-(Duration other) const
    {
        return Duration(m_milliseconds - other.m_milliseconds);
    }
    constexpr Duration operator*(std::int64_t factor) const
    {
        return Duration(m_milliseconds * factor);
    }

private:
    std::int64_t m_milliseconds = 0;
};

/** A point in time in milliseconds. Times of different clocks must not be compared. */
class Time
{
public:
    constexpr Time() = default;
    constexpr explicit Time(std::int64_t milliseconds)
        : m_milliseconds(milliseconds)
    {
    }
    static constexpr Time never()
    {
        return Time(INT64_MAX / 2);
    }

    constexpr std::int64_t milliseconds() const
    {
        return m_milliseconds;
    }
    constexpr auto operator<=>(const Time &) const = default;
    constexpr Time operator+(Duration span) const
    {
        return Time(m_milliseconds + span.milliseconds());
    }
    constexpr Time operator-(Duration span) const
    {
        return Time(m_milliseconds - span.milliseconds());
    }
    constexpr Duration operator-(Time other) const
    {
        return Duration(m_milliseconds - other.m_milliseconds);
    }

private:
    std::int64_t m_milliseconds = 0;
};

/** Source of time. Decision modules take the time as an argument; only the code that connects them holds a clock. */
class Clock
{
public:
    virtual ~Clock() = default;
    /** Monotonic time since an arbitrary start; includes the time for which the process was paused. */
    virtual Time now() const = 0;
    /** Wall-clock time since the Unix epoch, for values that other processes read. May jump in either direction. */
    virtual Time wallTime() const = 0;
};

/** The clocks of the operating system. */
class SystemClock final : public Clock
{
public:
    Time now() const override;
    Time wallTime() const override;
};

/** A clock that only advance() moves, for tests and virtual time. */
class ManualClock final : public Clock
{
public:
    Time now() const override
    {
        return m_now;
    }
    Time wallTime() const override
    {
        return m_now;
    }
    void advance(Duration span)
    {
        m_now = m_now + span;
    }

private:
    Time m_now { 1 };
};

} // namespace ApricotStep

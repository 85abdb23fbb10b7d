#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ApricotStep
{

/**
 * Splits a text/event-stream into whole events, counts them and keeps the id of the last one.
 *
 * An upstream may fail in the middle of an event. If a caller received part of an event and then the remaining stream from another
 * upstream, it would read the output of two runs joined in one event. So only whole events may be passed on.
 */
class EventSplitter
{
public:
    /** Appends @p bytes and returns the events that are now complete, byte for byte. */
    std::string push(std::string_view bytes);
    /** The bytes received after the last whole event. */
    const std::string &partialEvent() const
    {
        return m_partialEvent;
    }
    /** Whether the bytes so far end inside an event. Blank lines after an event belong to none. */
    bool isInsideEvent() const
    {
        return m_partialEvent.find_first_not_of("\r\n") != std::string::npos;
    }
    /** Discards the bytes received after the last whole event. */
    void discardPartialEvent()
    {
        m_partialEvent = std::string(); // Returns its memory, which may be much.
    }
    /** The id of the last whole event that had one; empty if none had. */
    const std::string &lastId() const
    {
        return m_lastId;
    }
    /** The number of whole events with data. Comments and events without data, which keep a connection alive, do not count. */
    std::uint64_t count() const
    {
        return m_count;
    }

private:
    void recordEvents(std::string_view events);

    std::string m_partialEvent;
    std::string m_lastId;
    std::uint64_t m_count = 0;
};

} // namespace ApricotStep

#pragma once

#include <string>
#include <string_view>

namespace ApricotStep
{

/** The number of events in @p events, which consists of whole events. Further blank lines after an event are none. */
int countEvents(std::string_view events);

/**
 * Splits a text/event-stream into whole events and keeps the id of the last one.
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

private:
    void recordLastId(std::string_view events);

    std::string m_partialEvent;
    std::string m_lastId;
};

} // namespace ApricotStep

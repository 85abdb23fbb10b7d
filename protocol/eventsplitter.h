#pragma once

#include <string>
#include <string_view>

namespace ApricotStep
{

/**
 * Cuts a text/event-stream into whole events and remembers the id of the last one.
 *
 * An upstream may break off in the middle of an event. A caller who got half of one and then the rest of the stream from another upstream
 * would read two runs joined in one event, so only whole events may go on.
 */
class EventSplitter
{
public:
    /** Takes in @p bytes and returns the whole events that they complete, byte for byte. */
    std::string push(std::string_view bytes);
    /** What came after the last whole event. */
    const std::string &partialEvent() const
    {
        return m_partialEvent;
    }
    /** Drops what came after the last whole event. */
    void discardPartialEvent()
    {
        m_partialEvent.clear();
    }
    /** The id field of the last whole event that had one; empty when none had. */
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

#include "protocol/eventsplitter.h"

namespace ApricotStep
{

std::string EventSplitter::push(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    // An event ends with an empty line. Lines end with LF or CRLF.
    std::size_t end = std::string::npos;
    for (const std::string_view delimiter : { "\n\n", "\n\r\n" }) {
        const std::size_t at = m_partialEvent.rfind(delimiter);
        if (at != std::string::npos && (end == std::string::npos || at + delimiter.size() > end)) {
            end = at + delimiter.size();
        }
    }
    if (end == std::string::npos) {
        return {};
    }
    std::string wholeEvents = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    recordLastId(wholeEvents);
    return wholeEvents;
}

void EventSplitter::recordLastId(std::string_view events)
{
    constexpr std::string_view Field = "id:";
    std::size_t begin = 0;
    while (begin < events.size()) {
        const std::size_t end = events.find('\n', begin);
        std::string_view line = events.substr(begin, end - begin);
        if (line.starts_with(Field)) {
            line.remove_prefix(Field.size());
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            m_lastId = std::string(line.substr(0, line.find('\r')));
        }
        begin = end == std::string_view::npos ? events.size() : end + 1;
    }
}

} // namespace ApricotStep

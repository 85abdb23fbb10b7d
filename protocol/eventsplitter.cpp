#include "protocol/eventsplitter.h"

#include <algorithm>

namespace ApricotStep
{

std::string EventSplitter::push(std::string_view bytes)
{
    // An event ends with an empty line. Lines end with LF or CRLF. Only a delimiter that ends in the new bytes can be new.
    constexpr std::string_view LongestDelimiter = "\n\r\n";
    const std::size_t searchFrom = m_partialEvent.size() - std::min(m_partialEvent.size(), LongestDelimiter.size() - 1);
    m_partialEvent.append(bytes);
    const std::string_view searched = std::string_view(m_partialEvent).substr(searchFrom);
    if (searched.find('\n') == std::string_view::npos) {
        return {};
    }
    std::size_t end = 0;
    for (const std::string_view delimiter : { std::string_view("\n\n"), LongestDelimiter }) {
        const std::size_t at = searched.rfind(delimiter);
        if (at != std::string_view::npos) {
            end = std::max(end, searchFrom + at + delimiter.size());
        }
    }
    if (end == 0) {
        return {};
    }
    std::string wholeEvents = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    recordEvents(wholeEvents);
    return wholeEvents;
}

void EventSplitter::recordEvents(std::string_view events)
{
    constexpr std::string_view Field = "id:";
    bool hasData = false;
    std::size_t begin = 0;
    while (begin < events.size()) {
        const std::size_t end = events.find('\n', begin);
        std::string_view line = events.substr(begin, end - begin);
        if (line.starts_with(Field)) {
            line.remove_prefix(Field.size());
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            m_lastId = std::string(line.substr(0, line.find('\r')));
        } else if (line.starts_with("data:")) {
            hasData = true;
        } else if (line.empty() || line == "\r") {
            m_count += hasData ? 1 : 0;
            hasData = false;
        }
        begin = end == std::string_view::npos ? events.size() : end + 1;
    }
}

} // namespace ApricotStep

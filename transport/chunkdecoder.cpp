#include "transport/chunkdecoder.h"

#include "transport/httpfields.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

void skipBlanks(std::string_view &text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
}

bool takeToken(std::string_view &text)
{
    std::size_t size = 0;
    while (size < text.size() && isToken(text.substr(size, 1))) {
        ++size;
    }
    text.remove_prefix(size);
    return size > 0;
}

// The caller has checked that the text holds no control characters.
bool takeQuotedString(std::string_view &text)
{
    for (std::size_t i = 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            text.remove_prefix(i + 1);
            return true;
        }
    }
    return false;
}

bool takeExtension(std::string_view &text)
{
    skipBlanks(text);
    if (!text.starts_with(';')) {
        return false;
    }
    text.remove_prefix(1);
    skipBlanks(text);
    if (!takeToken(text)) {
        return false;
    }
    std::string_view value = text;
    skipBlanks(value);
    if (!value.starts_with('=')) {
        return true;
    }
    value.remove_prefix(1);
    skipBlanks(value);
    text = value;
    return text.starts_with('"') ? takeQuotedString(text) : takeToken(text);
}

bool areExtensions(std::string_view text)
{
    if (!isFieldText(text)) {
        return false;
    }
    while (!text.empty()) {
        if (!takeExtension(text)) {
            return false;
        }
    }
    return true;
}

} // namespace

bool ChunkDecoder::decode(std::string_view &data, std::string_view &part)
{
    part = {};
    while (!data.empty() && !isComplete()) {
        if (m_state == State::Data) {
            part = data.substr(0, std::min<std::uint64_t>(m_bytesLeft, data.size()));
            data.remove_prefix(part.size());
            m_bytesLeft -= part.size();
            m_state = m_bytesLeft == 0 ? State::DataEnd : State::Data;
            return true;
        }
        const bool isLineComplete = readLine(data);
        if (m_line.size() > MaxLineBytes) {
            return false;
        }
        if (!isLineComplete) {
            return true;
        }
        std::string_view line(m_line);
        line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
        if (!onLine(line)) {
            return false;
        }
        m_line.clear();
    }
    return true;
}

bool ChunkDecoder::readLine(std::string_view &data)
{
    const std::size_t lineEnd = data.find('\n');
    const std::size_t size = lineEnd == std::string_view::npos ? data.size() : lineEnd + 1;
    m_line.append(data.substr(0, size));
    data.remove_prefix(size);
    return lineEnd != std::string_view::npos;
}

bool ChunkDecoder::onLine(std::string_view line)
{
    switch (m_state) {
    case State::SizeLine:
        return onSizeLine(line);
    case State::DataEnd:
        m_state = State::SizeLine;
        return line.empty();
    case State::Trailer:
        return onTrailerLine(line);
    case State::Data:
    case State::Complete:
        break;
    }
    return false;
}

bool ChunkDecoder::onSizeLine(std::string_view line)
{
    std::size_t digits = 0;
    while (digits < line.size() && absl::ascii_isxdigit(static_cast<unsigned char>(line[digits]))) {
        ++digits;
    }
    if (digits == 0 || !absl::SimpleHexAtoi(std::string(line.substr(0, digits)), &m_bytesLeft) || !areExtensions(line.substr(digits))) {
        return false;
    }
    m_state = m_bytesLeft == 0 ? State::Trailer : State::Data;
    return true;
}

bool ChunkDecoder::onTrailerLine(std::string_view line)
{
    if (line.empty()) {
        m_state = State::Complete;
        return true;
    }
    m_trailerBytes += line.size();
    return m_trailerBytes <= MaxTrailerBytes && parseField(line).has_value();
}

} // namespace ApricotStep

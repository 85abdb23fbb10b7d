#include "transport/answerreader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr int FirstStatus = 100;
constexpr int LastStatus = 599;
constexpr int FirstFinalStatus = 200;
// Answers to a request to change the protocol, which the client never makes.
constexpr int SwitchingProtocolsStatus = 101;
constexpr int NoContentStatus = 204;
constexpr int NotModifiedStatus = 304;

/** Reads the next part of a body, depending on its framing. */
struct BodyPartReader
{
    std::string_view &data;
    std::string &buffer;

    std::optional<std::string_view> operator()(NoBody &) const
    {
        return std::string_view();
    }
    std::optional<std::string_view> operator()(BodyOfLength &framing) const
    {
        const std::string_view part = data.substr(0, std::min<std::uint64_t>(framing.bytesLeft, data.size()));
        framing.bytesLeft -= part.size();
        data.remove_prefix(part.size());
        return part;
    }
    std::optional<std::string_view> operator()(BodyUntilClose &) const
    {
        return std::exchange(data, {});
    }
    // Mostly one chunk arrives at a time, and is not copied.
    std::optional<std::string_view> operator()(ChunkDecoder &framing) const
    {
        std::string_view first;
        buffer.clear();
        for (;;) {
            std::string_view part;
            if (!framing.decode(data, part)) {
                return std::nullopt;
            }
            if (first.empty()) {
                first = part;
            } else if (!part.empty()) {
                buffer.append(buffer.empty() ? first : std::string_view()).append(part);
            }
            if (data.empty() || framing.isComplete()) {
                return buffer.empty() ? first : std::string_view(buffer);
            }
        }
    }
};

struct IsCompleteVisitor
{
    bool operator()(const NoBody &) const
    {
        return true;
    }
    bool operator()(const BodyOfLength &framing) const
    {
        return framing.bytesLeft == 0;
    }
    bool operator()(const BodyUntilClose &) const
    {
        return false;
    }
    bool operator()(const ChunkDecoder &framing) const
    {
        return framing.isComplete();
    }
};

} // namespace

AnswerReader::AnswerReader(bool isToHead)
    : m_isToHead(isToHead)
{
}

bool AnswerReader::fail(std::string reason)
{
    if (m_error.empty()) {
        m_error = std::move(reason);
    }
    return false;
}

bool AnswerReader::readHeadLine(std::string_view line)
{
    m_headBytes += line.size();
    if (m_headBytes > MaxHeadBytes) {
        return fail(absl::StrCat("the head of the answer is longer than ", MaxHeadBytes, " bytes"));
    }
    if (!line.ends_with('\n')) {
        return fail("a line of the answer's head has no end");
    }
    line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
    switch (m_part) {
    case Part::StatusLine:
        return onStatusLine(line);
    case Part::Fields:
        return line.empty() ? onHeadEnd() : onField(line);
    case Part::Body:
        break;
    }
    return fail("a line of a head follows the end of the answer's head");
}

// HTTP/1.1 200 OK. The reason may be missing, and the blank before it.
bool AnswerReader::onStatusLine(std::string_view line)
{
    constexpr std::string_view Version = "HTTP/1.";
    constexpr std::size_t StatusAt = Version.size() + 2;
    constexpr std::size_t StatusDigits = 3;
    constexpr std::size_t MinSize = StatusAt + StatusDigits;
    const auto isDigit = [line](std::size_t at) { return absl::ascii_isdigit(static_cast<unsigned char>(line[at])); };
    const bool hasForm = line.size() >= MinSize && line.starts_with(Version) && isDigit(Version.size()) && line[StatusAt - 1] == ' '
        && isDigit(StatusAt) && isDigit(StatusAt + 1) && isDigit(StatusAt + 2)
        && (line.size() == MinSize || (line[MinSize] == ' ' && isFieldText(line.substr(MinSize))));
    if (!hasForm) {
        return fail("the answer does not begin with a status line");
    }
    m_status = (line[StatusAt] - '0') * 100 + (line[StatusAt + 1] - '0') * 10 + (line[StatusAt + 2] - '0');
    if (m_status < FirstStatus || m_status > LastStatus || m_status == SwitchingProtocolsStatus) {
        return fail("the answer has no valid status");
    }
    m_isHttp10 = line[Version.size()] == '0';
    m_headers.clear();
    m_part = Part::Fields;
    return true;
}

bool AnswerReader::onField(std::string_view line)
{
    const auto field = parseField(line);
    if (!field) {
        return fail("a line of the answer's head is no header field");
    }
    m_headers.emplace_back(absl::AsciiStrToLower(std::string(field->first)), std::string(field->second));
    return true;
}

bool AnswerReader::onHeadEnd()
{
    if (!readFraming()) {
        return fail("the head of the answer states no valid length or coding of the body");
    }
    m_part = m_status < FirstFinalStatus ? Part::StatusLine : Part::Body;
    return true;
}

// Fields that stand twice count as one with both values, separated by a comma (RFC 9110, section 5.3).
std::vector<std::string> AnswerReader::listedValues(std::string_view name) const
{
    std::vector<std::string> values;
    for (const auto &[fieldName, value] : m_headers) {
        if (fieldName == name) {
            for (const std::string &element : std::vector<std::string>(absl::StrSplit(value, ','))) {
                values.emplace_back(trimBlanks(element));
            }
        }
    }
    return values;
}

bool AnswerReader::hasBody() const
{
    return m_status >= FirstFinalStatus && m_status != NoContentStatus && m_status != NotModifiedStatus && !m_isToHead;
}

bool AnswerReader::readFraming()
{
    const std::vector<std::string> lengths = listedValues("content-length");
    const std::vector<std::string> codings = listedValues("transfer-encoding");
    const std::uint64_t length = lengths.empty() ? 0 : parseContentLength(lengths.front()).value_or(0);
    for (const std::string &value : lengths) {
        if (parseContentLength(value) != length) {
            return false;
        }
    }
    if (!codings.empty() && (codings.size() > 1 || !absl::EqualsIgnoreCase(codings.front(), "chunked") || !lengths.empty() || m_isHttp10)) {
        return false;
    }
    if (!hasBody()) {
        const bool mayAnnounceBody = m_isToHead || m_status == NotModifiedStatus;
        m_framing = NoBody();
        return mayAnnounceBody || (length == 0 && codings.empty());
    }
    if (!codings.empty()) {
        m_framing = ChunkDecoder();
    } else if (!lengths.empty()) {
        m_framing = BodyOfLength { length };
    } else {
        m_framing = BodyUntilClose();
    }
    return true;
}

std::optional<std::string_view> AnswerReader::readBody(std::string_view data, std::string &buffer)
{
    if (!isHeadComplete()) {
        fail("a body precedes the end of the answer's head");
        return std::nullopt;
    }
    const auto part = std::visit(BodyPartReader { data, buffer }, m_framing);
    if (!part) {
        fail("the chunks of the answer's body are malformed");
    }
    m_hasExcess = m_hasExcess || !data.empty();
    return part;
}

bool AnswerReader::isBodyComplete() const
{
    return isHeadComplete() && std::visit(IsCompleteVisitor(), m_framing);
}

} // namespace ApricotStep

#pragma once

#include "transport/chunkdecoder.h"
#include "transport/httpfields.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ApricotStep
{

struct NoBody
{
};

struct BodyOfLength
{
    std::uint64_t bytesLeft = 0;
};

/** The end of the connection is the end of the body. */
struct BodyUntilClose
{
};

/** How the end of a body is found (RFC 9112, section 6.3). */
using BodyFraming = std::variant<NoBody, BodyOfLength, ChunkDecoder, BodyUntilClose>;

/**
 * Reads the answer to one request, strictly by the grammar of RFC 9110 and RFC 9112. A receiver that guesses what a malformed answer means
 * may take other bytes for its body than the server sent. Does no I/O.
 */
class AnswerReader
{
public:
    /** All heads of an answer together: interim ones and the final one. */
    static constexpr std::size_t MaxHeadBytes = 256U << 10U;

    /** @p isToHead: the answer is one to a HEAD request, which has no body whatever its head says. */
    explicit AnswerReader(bool isToHead = false);

    /** Reads a line of a head, with its line end. Returns false if the answer is malformed. */
    bool readHeadLine(std::string_view line);
    /**
     * Reads what follows the final head. Returns the part of the body in it, which is valid as long as @p data and @p buffer are
     * unchanged; nothing if the answer is malformed.
     */
    std::optional<std::string_view> readBody(std::string_view data, std::string &buffer);

    /** The final head has been read up to its end. */
    bool isHeadComplete() const
    {
        return m_part == Part::Body;
    }
    /** All of the body has been read. Never true of a body that ends with its connection. */
    bool isBodyComplete() const;
    bool endsWithConnection() const
    {
        return std::holds_alternative<BodyUntilClose>(m_framing);
    }
    /** Bytes followed that do not belong to the answer. */
    bool hasExcess() const
    {
        return m_hasExcess;
    }
    /** Status of the final answer; 0 before its head is complete. */
    int status() const
    {
        return isHeadComplete() ? m_status : 0;
    }
    /** Fields of the head, with names in lower case. */
    const HttpHeaders &headers() const
    {
        return m_headers;
    }
    /** Why the answer is malformed; empty if it is not. */
    const std::string &error() const
    {
        return m_error;
    }

private:
    enum class Part {
        StatusLine,
        Fields,
        Body,
    };

    bool fail(std::string reason);
    bool onStatusLine(std::string_view line);
    bool onField(std::string_view line);
    bool onHeadEnd();
    /** Determines m_framing. Returns false if the head is ambiguous or contradicts itself. */
    bool readFraming();
    bool hasBody() const;
    std::vector<std::string> listedValues(std::string_view name) const;

    Part m_part = Part::StatusLine;
    bool m_isToHead = false;
    bool m_isHttp10 = false;
    bool m_hasExcess = false;
    int m_status = 0;
    std::size_t m_headBytes = 0;
    HttpHeaders m_headers;
    BodyFraming m_framing = NoBody();
    std::string m_error;
};

} // namespace ApricotStep

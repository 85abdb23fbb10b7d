#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** Decodes a body in chunks, strictly by the grammar of RFC 9112, section 7.1. Does no I/O. */
class ChunkDecoder
{
public:
    /** Longest line around the chunks: a size with its extensions, or a trailer field. */
    static constexpr std::size_t MaxLineBytes = 8U << 10U;
    static constexpr std::size_t MaxTrailerBytes = 64U << 10U;

    /**
     * Decodes the next received bytes and takes them off the front of @p data. Stops after each part of the body, which @p part then refers
     * to, and at the end of the last chunk's trailers, which may be followed by bytes that do not belong to the body. Returns false if the
     * chunks are malformed.
     */
    bool decode(std::string_view &data, std::string_view &part);
    bool isComplete() const
    {
        return m_state == State::Complete;
    }

private:
    enum class State {
        SizeLine,
        Data,
        DataEnd,
        Trailer,
        Complete,
    };

    /** Takes @p data up to the end of the line. Returns whether the line is complete. */
    bool readLine(std::string_view &data);
    bool onLine(std::string_view line);
    bool onSizeLine(std::string_view line);
    bool onTrailerLine(std::string_view line);

    State m_state = State::SizeLine;
    /** The beginning of the line in progress. */
    std::string m_line;
    std::uint64_t m_bytesLeft = 0;
    std::size_t m_trailerBytes = 0;
};

} // namespace ApricotStep

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** Serialises numbers in little-endian byte order, and texts with a length byte before them. */
class ByteWriter
{
public:
    template<typename T>
    void number(T value)
    {
        for (std::size_t i = 0; i < sizeof value; ++i) {
            m_bytes.push_back(static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * i)) & 0xff));
        }
    }
    /** Truncates @p value to 255 bytes. */
    void text(std::string_view value)
    {
        value = value.substr(0, 255);
        number(static_cast<std::uint8_t>(value.size()));
        m_bytes.append(value);
    }
    std::string &bytes()
    {
        return m_bytes;
    }

private:
    std::string m_bytes;
};

/** Reads the output of a ByteWriter. Reading past the end returns zeros and empty texts, and makes isGood() false. */
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : m_remaining(bytes)
    {
    }

    template<typename T>
    T number()
    {
        if (m_remaining.size() < sizeof(T)) {
            m_isGood = false;
            return 0;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(T); ++i) {
            value |= std::uint64_t { static_cast<std::uint8_t>(m_remaining[i]) } << (8 * i);
        }
        m_remaining.remove_prefix(sizeof(T));
        return static_cast<T>(value);
    }
    std::string text()
    {
        const std::size_t size = number<std::uint8_t>();
        if (m_remaining.size() < size) {
            m_isGood = false;
            return {};
        }
        std::string value(m_remaining.substr(0, size));
        m_remaining.remove_prefix(size);
        return value;
    }
    bool isGood() const
    {
        return m_isGood;
    }
    bool isAtEnd() const
    {
        return m_remaining.empty();
    }

private:
    std::string_view m_remaining;
    bool m_isGood = true;
};

} // namespace ApricotStep

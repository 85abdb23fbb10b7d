#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace ApricotStep
{

/** Bytes that arrive in parts. Grows in place: large contents are neither copied nor held twice while they grow. */
class ByteBuffer
{
public:
    ByteBuffer() = default;
    ByteBuffer(ByteBuffer &&other) noexcept;
    ByteBuffer &operator=(ByteBuffer &&other) noexcept;
    ~ByteBuffer();

    /** Provides room for @p bytes in all. Room that is not used takes no memory. */
    void reserve(std::size_t bytes);
    void append(std::string_view data);
    std::size_t size() const
    {
        return m_size;
    }
    std::string_view view() const
    {
        return { m_data, m_size };
    }

private:
    char *m_data = nullptr;
    std::size_t m_size = 0;
    std::size_t m_capacity = 0;
};

/** Bytes that do not change. Copies share them, and the last copy frees them. */
class SharedBytes
{
public:
    SharedBytes() = default;
    // NOLINTBEGIN(google-explicit-constructor): texts are used in their place.
    SharedBytes(std::string text);
    SharedBytes(const char *text);
    // NOLINTEND(google-explicit-constructor)
    /** @p owner is released with the last copy. May be null. */
    SharedBytes(ByteBuffer buffer, std::shared_ptr<const void> owner);

    std::string_view view() const
    {
        return m_view;
    }
    operator std::string_view() const // NOLINT(google-explicit-constructor)
    {
        return m_view;
    }
    std::size_t size() const
    {
        return m_view.size();
    }
    bool empty() const
    {
        return m_view.empty();
    }
    friend bool operator==(const SharedBytes &a, const SharedBytes &b)
    {
        return a.m_view == b.m_view;
    }

private:
    std::shared_ptr<const void> m_owner;
    std::string_view m_view;
};

} // namespace ApricotStep

#include "core/sharedbytes.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>

namespace ApricotStep
{

namespace
{

struct OwnedBuffer
{
    ByteBuffer buffer;
    std::shared_ptr<const void> owner;
};

} // namespace

ByteBuffer::ByteBuffer(ByteBuffer &&other) noexcept
    : m_data(std::exchange(other.m_data, nullptr))
    , m_size(std::exchange(other.m_size, 0))
    , m_capacity(std::exchange(other.m_capacity, 0))
{
}

ByteBuffer &ByteBuffer::operator=(ByteBuffer &&other) noexcept
{
    std::swap(m_data, other.m_data);
    std::swap(m_size, other.m_size);
    std::swap(m_capacity, other.m_capacity);
    return *this;
}

ByteBuffer::~ByteBuffer()
{
    std::free(m_data); // NOLINT(cppcoreguidelines-no-malloc): see reserve().
}

void ByteBuffer::reserve(std::size_t bytes)
{
    if (bytes <= m_capacity) {
        return;
    }
    // Unlike new, realloc() extends a large block without a copy, and the system backs only the pages that are written.
    auto *data = static_cast<char *>(std::realloc(m_data, bytes)); // NOLINT(cppcoreguidelines-no-malloc)
    if (data == nullptr) {
        throw std::bad_alloc();
    }
    m_data = data;
    m_capacity = bytes;
}

void ByteBuffer::append(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    if (m_size + data.size() > m_capacity) {
        reserve(std::max(m_size + data.size(), m_capacity * 2));
    }
    std::memcpy(m_data + m_size, data.data(), data.size());
    m_size += data.size();
}

SharedBytes::SharedBytes(std::string text)
{
    if (!text.empty()) {
        const auto owned = std::make_shared<const std::string>(std::move(text));
        m_view = *owned;
        m_owner = owned;
    }
}

SharedBytes::SharedBytes(const char *text)
    : SharedBytes(std::string(text))
{
}

SharedBytes::SharedBytes(ByteBuffer buffer, std::shared_ptr<const void> owner)
{
    const auto owned = std::make_shared<const OwnedBuffer>(OwnedBuffer { std::move(buffer), std::move(owner) });
    m_view = owned->buffer.view();
    m_owner = owned;
}

} // namespace ApricotStep

#include "state/sharedindex.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr std::size_t BlockSize = 256;
constexpr std::size_t MaxBlockSize = 2 * BlockSize;

} // namespace

SharedIndex SharedIndex::build(std::vector<std::uint64_t> values)
{
    std::sort(values.begin(), values.end());
    SharedIndex index;
    for (std::size_t begin = 0; begin < values.size(); begin += BlockSize) {
        const std::size_t end = std::min(begin + BlockSize, values.size());
        index.m_blocks.push_back(std::make_shared<Block>(
            values.begin() + static_cast<std::ptrdiff_t>(begin), values.begin() + static_cast<std::ptrdiff_t>(end)));
    }
    return index;
}

std::size_t SharedIndex::blockOf(std::uint64_t value) const
{
    const auto after = std::upper_bound(
        m_blocks.begin(), m_blocks.end(), value, [](std::uint64_t wanted, const auto &block) { return wanted < block->front(); });
    return after == m_blocks.begin() ? 0 : static_cast<std::size_t>(after - m_blocks.begin()) - 1;
}

void SharedIndex::insert(std::uint64_t value)
{
    if (m_blocks.empty()) {
        m_blocks.push_back(std::make_shared<Block>(1, value));
        return;
    }
    const std::size_t at = blockOf(value);
    Block changed = *m_blocks[at];
    const auto position = std::lower_bound(changed.begin(), changed.end(), value);
    if (position != changed.end() && *position == value) {
        return;
    }
    changed.insert(position, value);
    if (changed.size() > MaxBlockSize) {
        const auto middle = changed.begin() + static_cast<std::ptrdiff_t>(changed.size() / 2);
        m_blocks.insert(m_blocks.begin() + static_cast<std::ptrdiff_t>(at) + 1, std::make_shared<Block>(middle, changed.end()));
        changed.erase(middle, changed.end());
    }
    changed.shrink_to_fit();
    m_blocks[at] = std::make_shared<Block>(std::move(changed));
}

void SharedIndex::erase(std::uint64_t value)
{
    if (m_blocks.empty()) {
        return;
    }
    const std::size_t at = blockOf(value);
    Block changed = *m_blocks[at];
    const auto position = std::lower_bound(changed.begin(), changed.end(), value);
    if (position == changed.end() || *position != value) {
        return;
    }
    changed.erase(position);
    if (changed.empty()) {
        m_blocks.erase(m_blocks.begin() + static_cast<std::ptrdiff_t>(at));
    } else {
        m_blocks[at] = std::make_shared<Block>(std::move(changed));
    }
}

std::size_t SharedIndex::estimateCount(std::uint64_t first, std::uint64_t last) const
{
    if (m_blocks.empty()) {
        return 0;
    }
    const std::size_t begin = blockOf(first);
    const std::size_t end = blockOf(last);
    if (begin != end) {
        return (end - begin) * BlockSize;
    }
    const Block &block = *m_blocks[begin];
    const auto from = std::lower_bound(block.begin(), block.end(), first);
    return static_cast<std::size_t>(std::upper_bound(from, block.end(), last) - from);
}

void SharedIndex::visit(std::uint64_t first, std::uint64_t last, const std::function<bool(std::uint64_t)> &visit) const
{
    for (std::size_t at = m_blocks.empty() ? 0 : blockOf(first); at < m_blocks.size(); ++at) {
        const Block &block = *m_blocks[at];
        for (auto value = std::lower_bound(block.begin(), block.end(), first); value != block.end(); ++value) {
            if (*value > last || !visit(*value)) {
                return;
            }
        }
    }
}

} // namespace ApricotStep

#include "state/recordtable.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr std::uint32_t BlockSize = 64;

} // namespace

RecordTable RecordTable::build(const std::vector<std::string> &texts)
{
    RecordTable table;
    for (std::size_t begin = 0; begin < texts.size(); begin += BlockSize) {
        Block block;
        const std::size_t end = std::min(begin + BlockSize, texts.size());
        std::size_t bytes = 0;
        for (std::size_t i = begin; i < end; ++i) {
            bytes += texts[i].size();
        }
        block.text.reserve(bytes);
        block.ends.reserve(end - begin);
        for (std::size_t i = begin; i < end; ++i) {
            block.text += texts[i];
            block.ends.push_back(static_cast<std::uint32_t>(block.text.size()));
        }
        table.m_blocks.push_back(std::make_shared<Block>(std::move(block)));
    }
    table.m_end = static_cast<std::uint32_t>(texts.size());
    return table;
}

std::uint32_t RecordTable::add(std::string_view text)
{
    if (!m_free.empty()) {
        const std::uint32_t number = m_free.back();
        m_free.pop_back();
        replace(number, text);
        return number;
    }
    if (m_end % BlockSize == 0) {
        m_blocks.push_back(std::make_shared<Block>());
    }
    const std::uint32_t number = m_end++;
    replace(number, text);
    return number;
}

void RecordTable::replace(std::uint32_t number, std::string_view text)
{
    const std::shared_ptr<const Block> old = m_blocks[number / BlockSize];
    const std::uint32_t indexInBlock = number % BlockSize;
    Block changed;
    const std::size_t count = std::max<std::size_t>(old->ends.size(), indexInBlock + 1);
    changed.ends.reserve(count);
    std::uint32_t begin = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t end = i < old->ends.size() ? old->ends[i] : begin;
        changed.text += i == indexInBlock ? text : std::string_view(old->text).substr(begin, end - begin);
        changed.ends.push_back(static_cast<std::uint32_t>(changed.text.size()));
        begin = end;
    }
    changed.text.shrink_to_fit();
    m_blocks[number / BlockSize] = std::make_shared<Block>(std::move(changed));
}

void RecordTable::remove(std::uint32_t number)
{
    replace(number, {});
    m_free.push_back(number);
}

std::string_view RecordTable::at(std::uint32_t number) const
{
    const Block &block = *m_blocks[number / BlockSize];
    const std::uint32_t indexInBlock = number % BlockSize;
    const std::uint32_t begin = indexInBlock == 0 ? 0 : block.ends[indexInBlock - 1];
    return std::string_view(block.text).substr(begin, block.ends[indexInBlock] - begin);
}

std::size_t RecordTable::size() const
{
    return m_end - m_free.size();
}

std::uint32_t RecordTable::end() const
{
    return m_end;
}

} // namespace ApricotStep

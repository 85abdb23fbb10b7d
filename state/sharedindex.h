#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace ApricotStep
{

/**
 * A sorted set of 64-bit numbers whose copies share their blocks. A copy costs one pointer per block, and a change copies only the affected
 * block. Older copies stay as they are.
 */
class SharedIndex
{
public:
    static SharedIndex build(std::vector<std::uint64_t> values);

    void insert(std::uint64_t value);
    /** Does nothing if the set does not contain @p value. */
    void erase(std::uint64_t value);

    /** Estimates how many values are in [first, last]: exact within one block, otherwise from the number of blocks without reading them. */
    std::size_t estimateCount(std::uint64_t first, std::uint64_t last) const;
    /** Calls @p visit for each value in [first, last] in ascending order, until it returns false. */
    void visit(std::uint64_t first, std::uint64_t last, const std::function<bool(std::uint64_t)> &visit) const;

private:
    using Block = std::vector<std::uint64_t>;

    // Index of the block that holds the value or would hold it: the last one whose first value is not greater, or the first block.
    std::size_t blockOf(std::uint64_t value) const;

    // No block is empty. Values ascend within and across blocks.
    std::vector<std::shared_ptr<const Block>> m_blocks;
};

} // namespace ApricotStep

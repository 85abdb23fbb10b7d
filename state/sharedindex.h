#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace ApricotStep
{

/**
 * A sorted set of 64-bit numbers whose copies share their blocks: a copy costs a pointer a block, a change the one block that it falls
 * into. Readers of an older copy are not disturbed.
 */
class SharedIndex
{
public:
    static SharedIndex build(std::vector<std::uint64_t> values);

    void insert(std::uint64_t value);
    /** Nothing happens when it is not there. */
    void erase(std::uint64_t value);

    /** About how many values lie in [first, last]: exact within a block, else told by the number of blocks, without reading them. */
    std::size_t estimateCount(std::uint64_t first, std::uint64_t last) const;
    /** Calls @p visit for each value in [first, last], ascending, until it returns false. */
    void visit(std::uint64_t first, std::uint64_t last, const std::function<bool(std::uint64_t)> &visit) const;

private:
    using Block = std::vector<std::uint64_t>;

    // The block that holds or would hold the value: the last one that starts at or below it.
    std::size_t blockOf(std::uint64_t value) const;

    // None is empty; all ascending.
    std::vector<std::shared_ptr<const Block>> m_blocks;
};

} // namespace ApricotStep

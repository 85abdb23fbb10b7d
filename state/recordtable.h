#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/**
 * Short texts under numbers, packed into blocks that copies of the table share. A change copies the one block that it falls into.
 * A number that was freed is given out again.
 */
class RecordTable
{
public:
    /** Adds a text, at most 64 KB, and returns its number. */
    std::uint32_t add(std::string_view text);
    /** Replaces the text under a number that add() returned. */
    void replace(std::uint32_t number, std::string_view text);
    void remove(std::uint32_t number);

    /** Valid as long as this table or a copy of it with the same text lives. Empty when there is none. */
    std::string_view at(std::uint32_t number) const;
    std::size_t size() const;
    /** Numbers lie below this. */
    std::uint32_t end() const;

    /** A table of @p texts, whose numbers follow their order. */
    static RecordTable build(const std::vector<std::string> &texts);

private:
    struct Block
    {
        std::string text;
        // Where each text ends.
        std::vector<std::uint32_t> ends;
    };

    std::vector<std::shared_ptr<const Block>> m_blocks;
    std::vector<std::uint32_t> m_free;
    std::uint32_t m_end = 0;
};

} // namespace ApricotStep

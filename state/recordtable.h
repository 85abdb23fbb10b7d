#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/**
 * A table of short texts that are addressed by number, packed into blocks that copies of the table share. A change copies only the block
 * that holds the record. The numbers of removed records are reused.
 */
class RecordTable
{
public:
    /** Adds a text of at most 64 KB and returns its number. */
    std::uint32_t add(std::string_view text);
    /** Replaces the text of a record; @p number was returned by add(). */
    void replace(std::uint32_t number, std::string_view text);
    void remove(std::uint32_t number);

    /** The text of a record; empty if it was removed. Valid as long as this table or a copy of it is alive and shares the block. */
    std::string_view at(std::uint32_t number) const;
    std::size_t size() const;
    /** All record numbers are below this. */
    std::uint32_t end() const;

    /** Creates a table of @p texts, numbered in their order from 0. */
    static RecordTable build(const std::vector<std::string> &texts);

private:
    struct Block
    {
        std::string text;
        // End offsets of the texts.
        std::vector<std::uint32_t> ends;
    };

    std::vector<std::shared_ptr<const Block>> m_blocks;
    std::vector<std::uint32_t> m_free;
    std::uint32_t m_end = 0;
};

} // namespace ApricotStep

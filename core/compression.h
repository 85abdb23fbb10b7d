#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** Compresses @p data in the zlib format (RFC 1950), for speed rather than size. */
std::string compress(std::string_view data);
/**
 * Restores what compress() returned. Errors: BadRequest if @p compressed is damaged or incomplete, or if the result would be larger than
 * @p maxBytes, so that a forged message cannot exhaust the memory.
 */
Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace ApricotStep

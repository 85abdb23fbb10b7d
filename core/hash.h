#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** XXH3 with the fleet's fixed seed: all nodes must compute the same value, so the seed never changes. */
std::uint64_t stableHash(std::string_view text);

/** Hash of an ordered pair; (ab, c) and (a, bc) differ. */
std::uint64_t stableHash(std::string_view first, std::string_view second);

/** One hash from two, in either order; for pairs that are hashed many times over, where a text hash for each pair costs too much. */
inline std::uint64_t mixHashes(std::uint64_t a, std::uint64_t b)
{
    // The finalizer of SplitMix64: each bit of the input flips each bit of the output with a chance of a half.
    std::uint64_t mixed = a ^ b;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

/** SHA-256 of @p text as 64 lower-case hexadecimal digits. */
std::string sha256Hex(std::string_view text);

/** HMAC-SHA256 of @p text under @p secret, the first 16 bytes as 32 lower-case hexadecimal digits. */
std::string hmacHex(std::string_view secret, std::string_view text);

/** Compares in time that does not depend on where the texts differ. */
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace ApricotStep

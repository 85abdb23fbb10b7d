#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ApricotStep
{

/** XXH3 with a fixed seed. The seed never changes, since all nodes of the fleet must compute the same values. */
std::uint64_t stableHash(std::string_view text);

/** Hash of an ordered pair; (ab, c) and (a, bc) have different hashes. */
std::uint64_t stableHash(std::string_view first, std::string_view second);

/**
 * Combines two hashes; their order does not matter. For pairs that are hashed very often, where hashing a text for each pair would cost too
 * much.
 */
inline std::uint64_t mixHashes(std::uint64_t a, std::uint64_t b)
{
    // The finalizer of SplitMix64: flipping one input bit flips each output bit with probability 1/2.
    std::uint64_t mixed = a ^ b;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

/** SHA-256 of @p text as 64 lower-case hexadecimal digits. */
std::string sha256Hex(std::string_view text);

/** SHA-256 of a text that is given in parts. */
class Sha256
{
public:
    Sha256();
    ~Sha256();

    void update(std::string_view part);
    /** The hash of all parts, as sha256Hex(). To be called once. */
    std::string hex();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** HMAC-SHA256 of @p text under @p secret, the first 16 bytes as 32 lower-case hexadecimal digits. */
std::string hmacHex(std::string_view secret, std::string_view text);

/** Compares in a time that does not depend on the position of the first difference. */
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace ApricotStep

#include "core/hash.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace ApricotStep
{

namespace
{

constexpr std::uint64_t FleetSeed = 0x6170726963'6f74ULL;
constexpr std::size_t TruncatedMacBytes = 16;

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        hex.push_back(Digits[bytes[i] >> 4]);
        hex.push_back(Digits[bytes[i] & 15]);
    }
    return hex;
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), FleetSeed);
}

std::uint64_t stableHash(std::string_view first, std::string_view second)
{
    return XXH3_64bits_withSeed(second.data(), second.size(), stableHash(first));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

struct Sha256::Private
{
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context { EVP_MD_CTX_new(), &EVP_MD_CTX_free };
};

Sha256::Sha256()
    : d(std::make_unique<Private>())
{
    EVP_DigestInit_ex(d->context.get(), EVP_sha256(), nullptr);
}

Sha256::~Sha256() = default;

void Sha256::update(std::string_view part)
{
    EVP_DigestUpdate(d->context.get(), part.data(), part.size());
}

std::string Sha256::hex()
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    EVP_DigestFinal_ex(d->context.get(), digest.data(), nullptr);
    return toHex(digest.data(), digest.size());
}

std::string hmacHex(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(),
        digest.data(), &length);
    return toHex(digest.data(), TruncatedMacBytes);
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace ApricotStep

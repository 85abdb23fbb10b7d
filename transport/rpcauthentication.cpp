#include "transport/rpcauthentication.h"

#include "core/hash.h"

#include <array>
#include <cstdio>
#include <random>

namespace ApricotStep
{

namespace
{

constexpr int NonceWords = 4;

std::string proof(const std::string &secret, const char *role, const std::string &clientNonce, const std::string &serverNonce)
{
    return hmacHex(secret, std::string("node rpc ") + role + '\n' + clientNonce + '\n' + serverNonce);
}

} // namespace

std::string newNonce()
{
    std::random_device random;
    std::string nonce;
    for (int i = 0; i < NonceWords; ++i) {
        std::array<char, 9> word {};
        std::snprintf(word.data(), word.size(), "%08x", random()); // NOLINT(cert-err33-c): the buffer fits 8 digits
        nonce += word.data();
    }
    return nonce;
}

std::string serverProof(const std::string &secret, const std::string &clientNonce, const std::string &serverNonce)
{
    return proof(secret, "server", clientNonce, serverNonce);
}

std::string clientProof(const std::string &secret, const std::string &clientNonce, const std::string &serverNonce)
{
    return proof(secret, "client", clientNonce, serverNonce);
}

} // namespace ApricotStep

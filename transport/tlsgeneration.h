#pragma once

#include "transport/tlscredentials.h"

#include <array>
#include <gnutls/abstract.h>

namespace ApricotStep
{

/** One certificate chain and its key, as GnuTLS holds them. Internal to transport. */
struct TlsCredentials::Generation
{
    static constexpr unsigned int MaxChain = 16;

    Generation() = default;
    Generation(const Generation &) = delete;
    Generation &operator=(const Generation &) = delete;
    ~Generation();

    std::array<gnutls_pcert_st, MaxChain> chain {};
    unsigned int chainLength = 0;
    gnutls_privkey_t key = nullptr;
};

} // namespace ApricotStep

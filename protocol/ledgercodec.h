#pragma once

#include "coordination/ledger.h"
#include "core/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** A part of a sealed ledger on its way. */
struct LedgerBatch
{
    SealedLedger part;
    /** Records before this batch; 0 begins anew. */
    std::size_t first = 0;
    /** Records in all batches. */
    std::size_t count = 0;
};

/** @p ledger in batches of about @p batchBytes at most, but of one record at least; one empty batch when it has none. */
std::vector<std::string> encodeLedger(const SealedLedger &ledger, std::size_t batchBytes);
/** Errors: BadRequest. */
Result<LedgerBatch> decodeLedgerBatch(std::string_view bytes);

} // namespace ApricotStep

#pragma once

#include "coordination/ledger.h"
#include "core/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** One of the batches in which a sealed ledger is transferred. */
struct LedgerBatch
{
    /** The ledger with only the records of this batch. */
    SealedLedger part;
    /** Number of records in the batches before this one; 0 starts the transfer again. */
    std::size_t first = 0;
    /** Number of records in all batches. */
    std::size_t count = 0;
};

/** Encodes @p ledger in batches of at most about @p batchBytes, with at least one record each; one empty batch if it has no records. */
std::vector<std::string> encodeLedger(const SealedLedger &ledger, std::size_t batchBytes);
/** Errors: BadRequest. */
Result<LedgerBatch> decodeLedgerBatch(std::string_view bytes);

} // namespace ApricotStep

#include "main/errorspage.h"

#include "core/errors.h"

namespace ApricotStep
{

std::string errorsPage()
{
    std::string page =
        "# Errors\n\nWritten by `apricotstep errors-page`; the table in core/errors.cpp is the source.\n\n"
        "Every refusal is a JSON body in the OpenAI error shape, `{\"error\":{...}}`, with `code` (below), `message`, `not_run`, `retry`\n"
        "and, where they help, `retry_after_ms` (also as `Retry-After` in seconds), `address` (the right node), `idempotency_key` and\n"
        "`request_id`. A streamed answer that breaks off ends with `event: error` and the same body, and its connection closes without\n"
        "the final chunk.\n\n"
        "- `not_run` true: nothing ran and nothing will. Sending again is safe.\n"
        "- `not_run` false: it may have run. Sending again without its idempotency key may run it twice.\n"
        "- `retry`: `never`; `same_request` (at once); `after_delay` (wait `retry_after_ms`, with jitter); `other_node` (another address "
        "of\n"
        "  the answer to `/v1/address`, or `address`); `same_key` (the same request with `idempotency_key`).\n\n"
        "| code | HTTP status | not_run | retry | meaning |\n|---|---|---|---|---|\n";
    for (const ErrorAnswer *row = errorAnswersBegin(); row != errorAnswersEnd(); ++row) {
        page += "| `" + std::string(row->code) + "` | " + std::to_string(row->httpStatus) + " | "
            + (row->runState == RunState::NotRun ? "true" : "false") + " | `" + std::string(retryAdviceName(row->retry)) + "` | "
            + std::string(row->description) + " |\n";
    }
    return page;
}

} // namespace ApricotStep

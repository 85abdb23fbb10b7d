#include "coordination/fleetmessage.h"

#include <algorithm>

namespace ApricotStep
{

void addUse(std::vector<AdapterUse> &uses, const AdapterUse &use)
{
    const auto at = std::find_if(uses.begin(), uses.end(), [&use](const AdapterUse &other) {
        return other.adapter == use.adapter && other.engine == use.engine && other.model == use.model
            && other.hasOverloadedCopies == use.hasOverloadedCopies && other.software == use.software;
    });
    if (at == uses.end()) {
        uses.push_back(use);
        return;
    }
    at->count += use.count;
    at->latencySlack = at->waiting == 0 ? use.latencySlack : std::max(at->latencySlack, use.latencySlack);
    at->waiting += use.waiting;
}

} // namespace ApricotStep

#include "coordination/requestcontent.h"

namespace ApricotStep
{

std::vector<ContentDigest> elementsOf(const RequestContent &content)
{
    return { content.request };
}

} // namespace ApricotStep

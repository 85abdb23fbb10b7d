#include "coordination/requestcontent.h"

#include "core/hash.h"

namespace ApricotStep
{

std::vector<ContentElement> elementsOf(const RequestContent &content)
{
    std::vector<ContentElement> elements { { content.request, ContentElement::Kind::Request } };
    for (const ContentDigest part : content.parts) {
        elements.push_back({ part, ContentElement::Kind::Part });
        elements.push_back({ ContentDigest(mixHashes(part.value(), content.adapter.value())), ContentElement::Kind::PartOnAdapter });
    }
    return elements;
}

} // namespace ApricotStep

#pragma once

#include "state/catalog.h"

namespace ApricotStep
{

/** The change that makes @p next of @p old; its versions are those of the two. */
CatalogDelta catalogDifference(const CatalogContent &old, const CatalogContent &next);

/** True when @p delta changes nothing but the version. */
bool isEmpty(const CatalogDelta &delta);

} // namespace ApricotStep

#pragma once

#include "state/catalog.h"

namespace ApricotStep
{

/** Returns the delta that turns @p old into @p next. */
CatalogDelta catalogDifference(const CatalogContent &old, const CatalogContent &next);

/** Returns whether @p delta changes nothing but the version. */
bool isEmpty(const CatalogDelta &delta);

} // namespace ApricotStep

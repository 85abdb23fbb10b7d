#pragma once

#include <string>

namespace ApricotStep
{

/** Returns the table of all errors as a Markdown page (docs/ERRORS.md). */
std::string errorsPage();

} // namespace ApricotStep

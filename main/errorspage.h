#pragma once

#include <string>

namespace ApricotStep
{

/** The closed table of errors as a Markdown page (docs/ERRORS.md). */
std::string errorsPage();

} // namespace ApricotStep

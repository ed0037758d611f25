#pragma once

#include "figure.h"

#include <ostream>
#include <span>

namespace report {

/// Writes the figures as Markdown: a section for each measure, a row for each site and fault, a column for
/// each policy.
void writeTables(std::ostream& output, std::span<const Figure> figures);

} // namespace report

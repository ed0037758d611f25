#pragma once

#include <cyclamendrift/schema/schema_problem.h>

#include <cyclamendrift.pb.h>

#include <cstdint>
#include <vector>

namespace cyclamendrift {

/// Least connections to a slot that a database can be served with: one for traffic and one for control at
/// each of its two homes.
inline constexpr std::uint32_t minConnectionCap = 4;

/// Everything that is wrong with a schema as a whole: names, references, duplicates, ranges, connection
/// budgets and key hashes. Empty when it may be put in force.
///
///     if (const auto problems = validateSchema(schema); !problems.empty())
///         std::cerr << joinProblems(problems);
[[nodiscard]] std::vector<SchemaProblem> validateSchema(const api::Schema& schema);

} // namespace cyclamendrift

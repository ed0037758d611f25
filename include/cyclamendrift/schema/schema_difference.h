#pragma once

#include <cyclamendrift.pb.h>

#include <string>
#include <vector>

namespace cyclamendrift {

/// What differs between two schemas, one line for each difference, for an operator whose change lost to
/// another's. Empty when they are equal.
///
///     schemaDifference(before, after); // { "team hospitals: burst 100 -> 200", "key k7: removed" }
[[nodiscard]] std::vector<std::string> schemaDifference(const api::Schema& before, const api::Schema& after);

} // namespace cyclamendrift

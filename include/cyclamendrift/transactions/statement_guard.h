#pragma once

#include <string_view>

namespace cyclamendrift {

/// Whether a caller must not send the statement through execute(), because it begins or ends a transaction or
/// changes the state of the database session, which the next user of the connection would inherit. Looks at
/// the first keyword only.
///
///     isSessionControlStatement("/* x */ COMMIT"); // true
///     isSessionControlStatement("UPDATE beds SET free = 0"); // false
[[nodiscard]] bool isSessionControlStatement(std::string_view sql);

} // namespace cyclamendrift

#pragma once

#include <string_view>

namespace cyclamendrift {

/// True for a statement that a caller must not send through execute(): one that begins or ends a transaction,
/// or changes the state of the session, which the next user of the connection would inherit.
///
///     isSessionControlStatement("/* x */ COMMIT"); // true
///     isSessionControlStatement("UPDATE beds SET free = 0"); // false
[[nodiscard]] bool isSessionControlStatement(std::string_view sql);

} // namespace cyclamendrift

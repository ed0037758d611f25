#pragma once

#include <string_view>

namespace cyclamendrift {

/// True for a statement that a caller must not send through execute(): one that begins or ends a transaction,
/// or changes the state of the session, which the next user of the connection would inherit.
///
///     controlsSession("/* x */ COMMIT"); // true
///     controlsSession("UPDATE beds SET free = 0"); // false
[[nodiscard]] bool controlsSession(std::string_view sql);

} // namespace cyclamendrift

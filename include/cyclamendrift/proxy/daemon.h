#pragma once

#include <cyclamendrift/proxy/proxy.h>

namespace cyclamendrift {

/// Exit codes of cyclamendriftd.
enum class DaemonExit : int {
    /// Ended gracefully: everything that was accepted was answered.
    Graceful = 0,
    /// Could not start, say because a port is taken.
    NotStarted = 1,
    /// Wrong arguments or settings.
    BadSettings = 2,
    /// Ended before everything was answered: by a second signal, or because draining took too long.
    Cut = 3,
};

/// Runs a proxy until SIGTERM or SIGINT. The first signal drains it, a second one ends it at once.
[[nodiscard]] DaemonExit runDaemon(Proxy::Options options);

} // namespace cyclamendrift

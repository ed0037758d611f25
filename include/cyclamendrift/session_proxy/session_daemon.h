#pragma once

#include <cyclamendrift/platform/store.h>
#include <cyclamendrift/proxy/daemon.h>
#include <cyclamendrift/session_proxy/ports.h>
#include <cyclamendrift/settings/session_settings.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cyclamendrift {

/// The ports that an adapter provides.
struct SessionPorts {
    std::unique_ptr<CallerPort> callers;
    std::unique_ptr<UpstreamPort> upstreams;
    std::unique_ptr<Store> store;
    std::unique_ptr<LeadershipPort> leadership;
    std::unique_ptr<PlatformFormat> format;
};

/// Options of a SessionDaemon.
struct SessionDaemonOptions {
    SessionSettings settings;
    /// Reads the settings again; throws SettingsError.
    std::function<SessionSettings()> reload;
    /// Creates the ports: callers and upstreams on the traffic context, the others on the control context.
    std::function<SessionPorts(asio::io_context& traffic, asio::io_context& control, const SessionSettings&)>
        makePorts;
};

/// A session proxy: one thread for traffic and one for control.
class SessionDaemon {
public:
    /// Binds its ports; throws Error when one is not available.
    explicit SessionDaemon(SessionDaemonOptions options);
    ~SessionDaemon();
    SessionDaemon(const SessionDaemon&) = delete;
    SessionDaemon& operator=(const SessionDaemon&) = delete;

    /// Serves until a shutdown by drain() is complete.
    [[nodiscard]] DaemonExit run();
    /// Begins a graceful shutdown; a second call ends it at once. May be called from any thread.
    void drain();
    /// Reads the settings again. May be called from any thread.
    void reload();

private:
    struct State;
    std::unique_ptr<State> state;
};

/// Runs a session proxy until SIGTERM or SIGINT, which drain it; a second one ends it at once. SIGHUP reads
/// the settings again.
[[nodiscard]] DaemonExit runSessionDaemon(SessionDaemonOptions options);

} // namespace cyclamendrift

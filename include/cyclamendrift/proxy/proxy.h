#pragma once

#include <cyclamendrift/proxy/proxy_dependencies.h>
#include <cyclamendrift/settings/settings.h>

#include <cstdint>
#include <memory>

namespace cyclamendrift {

/// One whole proxy: its fleet, the homes of databases, and the ports for callers, operators and siblings. One
/// thread keeps the control state, others carry traffic.
///
///     Proxy proxy { { .settings = settings, .dependencies = daemonDependencies(settings) } };
///     proxy.wait();
class Proxy {
public:
    struct Options {
        Settings settings;
        ProxyDependencies dependencies;
    };

    /// Starts everything; throws CallerError or SiblingError when a port can't be had.
    explicit Proxy(Options options);
    /// Ends at once when it has not ended before.
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    [[nodiscard]] std::uint16_t callersPort() const noexcept;
    [[nodiscard]] std::uint16_t operatorsPort() const noexcept;
    [[nodiscard]] std::uint16_t siblingsPort() const noexcept;

    /// Begins a graceful shutdown: refuses what is new, answers what was accepted, then ends. May be called
    /// from any thread.
    void drain();

    /// Ends at once. May be called from any thread.
    void stop();

    /// Returns when it has ended; true when everything accepted had been answered by then.
    [[nodiscard]] bool wait();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace cyclamendrift

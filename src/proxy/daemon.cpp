#include <cyclamendrift/proxy/daemon.h>

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <google/protobuf/stubs/logging.h>

#include <csignal>
#include <thread>
#include <utility>

namespace cyclamendrift {

namespace {

/// Turns signals into a drain and then into an end.
class SignalHandler {
public:
    SignalHandler(asio::io_context& context, Proxy& proxy)
        : signals(context, SIGTERM, SIGINT)
        , proxy(proxy)
    {
        this->wait();
    }

private:
    void wait()
    {
        this->signals.async_wait([this](const asio::error_code& error, int) {
            if (!error)
                this->received();
        });
    }

    void received()
    {
        if (std::exchange(this->draining, true)) {
            logEvent(LogLevel::Warn, "stopping_at_once");
            this->proxy.stop();
            return;
        }
        logEvent(LogLevel::Info, "draining");
        this->proxy.drain();
        this->wait();
    }

    asio::signal_set signals;
    Proxy& proxy;
    bool draining = false;
};

void logStart(const Settings& settings, const Proxy& proxy)
{
    logEvent(LogLevel::Info, "started",
        { { "vm", settings.vm.name.string() }, { "availability_zone", settings.vm.zone.string() },
            { "callers_port", std::to_string(proxy.callersPort()) },
            { "operators_port", std::to_string(proxy.operatorsPort()) },
            { "siblings_port", std::to_string(proxy.siblingsPort()) } });
}

DaemonExit serve(Proxy::Options options)
{
    const auto settings = options.settings;
    try {
        Proxy proxy { std::move(options) };
        logStart(settings, proxy);
        asio::io_context signalContext;
        const SignalHandler handler { signalContext, proxy };
        std::thread signalThread { [&signalContext] { signalContext.run(); } };
        const bool whole = proxy.wait();
        signalContext.stop();
        signalThread.join();
        logEvent(LogLevel::Info, "ended", { { "whole", whole ? "true" : "false" } });
        return whole ? DaemonExit::Graceful : DaemonExit::Cut;
    } catch (const Error& error) {
        logEvent(LogLevel::Error, "not_started", { { "reason", error.what() } });
        return DaemonExit::NotStarted;
    }
}

} // namespace

DaemonExit runDaemon(Proxy::Options options)
{
    // A peer that closes its end must end one write with an error, not this process with a signal.
    std::signal(SIGPIPE, SIG_IGN);
    // protobuf would write to standard error about what callers send.
    google::protobuf::SetLogHandler(nullptr);
    openLog(options.settings.log);
    const auto exit = serve(std::move(options));
    flushLog();
    return exit;
}

} // namespace cyclamendrift

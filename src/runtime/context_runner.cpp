#include <cyclamendrift/runtime/context_runner.h>

#include <cyclamendrift/telemetry/event_log.h>

#include <exception>
#include <string>

namespace cyclamendrift {

void runContext(asio::io_context& context, std::string_view thread)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception& error) {
            // Ending the process would cut all of its sessions because of one event.
            logEvent(LogLevel::Error, "handler_failed",
                { { "thread", std::string { thread } }, { "reason", error.what() } });
        }
    }
}

} // namespace cyclamendrift

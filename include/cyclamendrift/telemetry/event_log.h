#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Log lines for changes of state, as `event=name key=value …`. What happens to every request is counted in
/// metrics and not logged. Never pass a key's secret or a statement's text.
namespace cyclamendrift {

/// How grave a line is.
enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// One `key=value` of a line.
struct LogField {
    std::string_view key;
    std::string value;
};

/// Where lines go, and from which level on.
struct LogOptions {
    LogLevel level = LogLevel::Info;
    /// A path, or "-" for standard output.
    std::string file = "-";
};

/// Opens the log; lines written before are dropped. Throws Error when the file can't be written.
void openLog(const LogOptions& options);

/// Writes one line; may be called from any thread, and waits for no reader of the log. Lines that find no
/// room because the reader stalls are counted, and the count is told once there is room again.
///
///     logEvent(LogLevel::Info, "home_started", { { "database", name.path() } });
void logEvent(LogLevel level, std::string_view event, const std::vector<LogField>& fields = {});

/// Waits a moment until everything logged so far is written; to be called before a process ends.
void flushLog();

/// Ends the process with everything logged so far written out. The logging library waits for its threads when
/// static objects are destroyed; where one of them is stuck the process would stay until it is killed.
[[noreturn]] void endProcess(int exitCode);

/// The line that logEvent writes, without time and level. Values with spaces or quotes are quoted.
[[nodiscard]] std::string formatEvent(std::string_view event, const std::vector<LogField>& fields);

} // namespace cyclamendrift

#include <cyclamendrift/telemetry/event_log.h>

#include <cyclamendrift/core/error.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/nullappender.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace cyclamendrift {

namespace {

constexpr auto linePattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";

log4cplus::Logger eventLogger()
{
    static const log4cplus::Initializer initializer;
    static const auto logger = [] {
        auto made = log4cplus::Logger::getInstance("cyclamendrift");
        // Without any appender log4cplus would write a complaint of its own.
        made.addAppender(log4cplus::SharedAppenderPtr { new log4cplus::NullAppender });
        made.setAdditivity(false);
        return made;
    }();
    return logger;
}

log4cplus::LogLevel convert(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr makeAppender(const std::string& file)
{
    constexpr bool toStandardError = false;
    constexpr bool flushEachLine = true;
    if (file == "-")
        return log4cplus::SharedAppenderPtr { new log4cplus::ConsoleAppender(
            toStandardError, flushEachLine) };
    const auto appender = log4cplus::helpers::SharedObjectPtr<log4cplus::FileAppender> {
        new log4cplus::FileAppender(file, std::ios_base::app, flushEachLine)
    };
    return log4cplus::SharedAppenderPtr { appender.get() };
}

bool isPlain(char letter) noexcept
{
    return letter > ' ' && letter < '\x7f' && letter != '"' && letter != '\\' && letter != '=';
}

std::string quoted(std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain))
        return std::string { value };
    std::string text = "\"";
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            text += '\\';
        // A line break in a value would look like a line of its own.
        text += letter == '\n' || letter == '\r' ? ' ' : letter;
    }
    return text + '"';
}

} // namespace

void openLog(const LogOptions& options)
{
    auto logger = eventLogger();
    logger.removeAllAppenders();
    auto appender = makeAppender(options.file);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
    logger.addAppender(appender);
    logger.setLogLevel(convert(options.level));
    logger.setAdditivity(false);
}

void logEvent(LogLevel level, std::string_view event, const std::vector<LogField>& fields)
{
    const auto logger = eventLogger();
    if (logger.isEnabledFor(convert(level)))
        logger.log(convert(level), formatEvent(event, fields), nullptr, 0);
}

void endProcess(int exitCode)
{
    // Every line is flushed as it is written.
    std::cout.flush();
    std::_Exit(exitCode);
}

std::string formatEvent(std::string_view event, const std::vector<LogField>& fields)
{
    std::string line = "event=" + std::string { event };
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=' + quoted(field.value);
    }
    return line;
}

} // namespace cyclamendrift

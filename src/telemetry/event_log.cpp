#include <cyclamendrift/telemetry/event_log.h>

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/telemetry/line_queue.h>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/nullappender.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>

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

/// Hands lines to a LineQueue. The library's own asynchronous appender makes its callers wait when its queue
/// is full, which is just what must not happen.
class QueueAppender final : public log4cplus::Appender {
public:
    explicit QueueAppender(std::shared_ptr<LineQueue> queue)
        : queue(std::move(queue))
    {
    }
    ~QueueAppender() override { this->destructorImpl(); }
    QueueAppender(const QueueAppender&) = delete;
    QueueAppender& operator=(const QueueAppender&) = delete;

    void close() override { this->closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const auto leftOut = this->queue->takeLeftOut();
        std::string text;
        if (leftOut > 0) {
            const log4cplus::spi::InternalLoggingEvent told { event.getLoggerName(),
                log4cplus::WARN_LOG_LEVEL,
                cyclamendrift::formatEvent("lines_lost", { { "count", std::to_string(leftOut) } }), __FILE__,
                __LINE__ };
            text = this->textOf(told);
        }
        text += this->textOf(event);
        // A line without room is counted by the queue, and told with the next one that has room.
        static_cast<void>(this->queue->put(text, leftOut + 1));
    }

private:
    [[nodiscard]] std::string textOf(const log4cplus::spi::InternalLoggingEvent& event)
    {
        std::ostringstream text;
        this->layout->formatAndAppend(text, event);
        return text.str();
    }

    std::shared_ptr<LineQueue> queue;
};

/// Where lines go now; kept here as well, so that the end of the process can wait for what is left.
struct OpenQueue {
    std::mutex mutex;
    std::shared_ptr<LineQueue> queue;
};

OpenQueue& openQueue()
{
    static OpenQueue open;
    return open;
}

std::shared_ptr<LineQueue> makeQueue(const std::string& file)
{
    if (file == "-")
        return std::make_shared<LineQueue>(
            LineQueue::Options { .write = [](std::string_view text) { std::cout << text << std::flush; } });
    const auto stream = std::make_shared<std::ofstream>(file, std::ios::app);
    if (!*stream)
        throw Error { "the log can't be written to " + file };
    return std::make_shared<LineQueue>(
        LineQueue::Options { .write = [stream](std::string_view text) { *stream << text << std::flush; } });
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
    const auto queue = makeQueue(options.file);
    {
        auto& open = openQueue();
        const std::lock_guard lock { open.mutex };
        open.queue = queue;
    }
    log4cplus::SharedAppenderPtr appender { new QueueAppender { queue } };
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

void flushLog()
{
    // A reader that stalls must not keep the process from ending.
    constexpr Duration patience = std::chrono::milliseconds { 300 };
    std::shared_ptr<LineQueue> queue;
    {
        auto& open = openQueue();
        const std::lock_guard lock { open.mutex };
        queue = open.queue;
    }
    if (queue)
        static_cast<void>(queue->flush(patience));
}

void endProcess(int exitCode)
{
    flushLog();
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

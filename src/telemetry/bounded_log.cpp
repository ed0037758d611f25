#include <cyclamendrift/telemetry/bounded_log.h>

namespace cyclamendrift {

void BoundedLog::write(std::string_view event, const Fields& fields, Instant now)
{
    if (const auto count = this->lines.takeLeftOut(event, now))
        logEvent(LogLevel::Warn, "lines_left_out",
            { { "of", std::string { event } }, { "count", std::to_string(*count) } });
    if (!this->lines.take(event, now))
        return;
    std::vector<LogField> written;
    written.reserve(fields.size());
    for (const auto& [key, value] : fields)
        written.push_back({ key, value });
    logEvent(LogLevel::Info, event, written);
}

} // namespace cyclamendrift

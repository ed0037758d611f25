#pragma once

#include <cyclamendrift/telemetry/event_log.h>
#include <cyclamendrift/telemetry/line_budget.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// Writes log lines of which there may be very many, a bounded number per second for each event. Lines that
/// were left out are counted in a line of their own.
class BoundedLog {
public:
    using Fields = std::vector<std::pair<std::string, std::string>>;

    explicit BoundedLog(std::uint64_t linesPerSecond) noexcept
        : lines(linesPerSecond)
    {
    }

    void write(std::string_view event, const Fields& fields, Instant now);

private:
    LineBudget lines;
};

} // namespace cyclamendrift

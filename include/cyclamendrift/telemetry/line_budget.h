#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// Bounds how many log lines of one event are written in a second. Under overload every refused request would
/// have its line, and writing them takes the processor's time from the requests; the first ones of a second
/// tell the cause.
///
///     if (budget.take("refused", now))
///         logEvent(...);
class LineBudget {
public:
    explicit LineBudget(std::uint64_t linesPerSecond) noexcept
        : linesPerSecond(linesPerSecond)
    {
    }

    /// True when one more line of the event may be written in this second.
    [[nodiscard]] bool take(std::string_view event, Instant now);

    /// How many lines of an event were left out in the last second that is over, told once; empty for none.
    [[nodiscard]] std::optional<std::uint64_t> takeLeftOut(std::string_view event, Instant now);

private:
    struct Second {
        Instant since = Instant::min();
        std::uint64_t written = 0;
        std::uint64_t leftOut = 0;
        std::uint64_t leftOutBefore = 0;
    };

    [[nodiscard]] Second& current(std::string_view event, Instant now);

    std::uint64_t linesPerSecond;
    std::map<std::string, Second, std::less<>> seconds;
};

} // namespace cyclamendrift

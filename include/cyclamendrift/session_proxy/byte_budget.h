#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>

namespace cyclamendrift {

/// Bytes that may be sent at a rate. What goes beyond it is to be sent later: a link that is full makes
/// answers time out, and those who asked ask for the same again.
///
///     if (budget.take(answer.size(), now)) send(answer);
class ByteBudget {
public:
    /// `bytesPerSecond` is above 0.
    explicit ByteBudget(double bytesPerSecond) noexcept
        : bytesPerSecond(bytesPerSecond)
    {
    }

    /// Takes bytes out unless those of before have used the budget up. One large amount may go beyond it.
    [[nodiscard]] bool take(std::size_t bytes, Instant now) noexcept;

private:
    double bytesPerSecond;
    double level = 0;
    Instant accruedAt = Instant::min();
};

} // namespace cyclamendrift

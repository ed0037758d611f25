#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>

namespace cyclamendrift {

/// Limits the rate at which bytes are sent. On a saturated link answers time out and are requested again, so
/// what exceeds the rate is better sent later.
///
///     if (budget.take(answer.size(), now)) send(answer);
class ByteBudget {
public:
    /// `bytesPerSecond` is above 0.
    explicit ByteBudget(double bytesPerSecond) noexcept
        : bytesPerSecond(bytesPerSecond)
    {
    }

    /// Deducts `bytes` unless the budget is used up; a single amount may exceed what is left.
    [[nodiscard]] bool take(std::size_t bytes, Instant now) noexcept;

private:
    double bytesPerSecond;
    double level = 0;
    Instant accruedAt = Instant::min();
};

} // namespace cyclamendrift

#include <cyclamendrift/session_proxy/byte_budget.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// The amount that accrues in this time may be sent at once; about the time limit of a sibling's request.
constexpr std::chrono::duration<double> burst { 0.1 };

} // namespace

bool ByteBudget::take(std::size_t bytes, Instant now) noexcept
{
    const auto most = this->bytesPerSecond * burst.count();
    if (this->accruedAt == Instant::min()) {
        this->level = most;
    } else {
        const std::chrono::duration<double> elapsed = now - this->accruedAt;
        this->level = std::min(most, this->level + elapsed.count() * this->bytesPerSecond);
    }
    this->accruedAt = now;
    if (this->level <= 0)
        return false;
    this->level -= static_cast<double>(bytes);
    return true;
}

} // namespace cyclamendrift

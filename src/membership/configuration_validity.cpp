#include <cyclamendrift/membership/configuration_validity.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Covers the time until a statement that was admitted at the last moment has been answered.
constexpr Duration answerMargin = std::chrono::milliseconds { 250 };

bool isPlausible(Instant at, Instant now) noexcept { return at > Instant {} && at <= now; }

} // namespace

ConfigurationValidity::ConfigurationValidity(Options options) noexcept
    : options(options)
{
}

void ConfigurationValidity::confirmed(Instant at, Instant now) noexcept
{
    if (isPlausible(at, now))
        this->lastConfirmation = std::max(this->lastConfirmation, at);
}

void ConfigurationValidity::storeUnavailable(Instant at, Instant now) noexcept
{
    if (isPlausible(at, now))
        this->lastOutageReport = std::max(this->lastOutageReport, at);
}

Instant ConfigurationValidity::validUntil() const noexcept
{
    if (this->lastConfirmation == Instant::min())
        return Instant::min();
    // A later configuration can be written only after the last time at which the store served nobody.
    const auto latest = std::max(this->lastConfirmation,
        std::min(this->lastOutageReport, this->lastConfirmation + this->options.outageExtension));
    return latest + this->options.applyLimit - answerMargin;
}

} // namespace cyclamendrift

#include <cyclamendrift/limits/team_share.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// A process that starts must not admit a whole burst, as the process before it may just have done so. The
// tokens of a quarter of a second admit callers at once and stay far below the tolerance of the limit.
constexpr double initialSeconds = 0.25;

} // namespace

void TeamShare::setRule(const Rule& wanted, Instant now)
{
    if (this->started)
        this->accrue(now);
    else
        this->level = std::min(wanted.burst, wanted.ratePerSecond * initialSeconds);
    this->started = true;
    this->accruedAt = now;
    this->rule = wanted;
    this->level = std::min(this->level, std::max(wanted.burst, 0.0));
}

bool TeamShare::tryAcquire(Instant now)
{
    this->accrue(now);
    if (this->level < 1)
        return false;
    this->level -= 1;
    return true;
}

std::uint32_t TeamShare::give(std::uint32_t wanted, Instant now)
{
    this->accrue(now);
    const auto reserve = this->rule.heldForOthers ? 0 : this->level / 2;
    const auto spare = static_cast<std::uint32_t>(std::max(this->level - reserve, 0.0));
    const auto given = std::min(wanted, spare);
    this->level -= given;
    return given;
}

void TeamShare::receive(std::uint32_t given, Instant now)
{
    this->accrue(now);
    this->level += given;
}

void TeamShare::takeBack(std::uint32_t returned, Instant now)
{
    this->accrue(now);
    if (this->level < this->rule.burst)
        this->level = std::min(this->rule.burst, this->level + returned);
}

std::uint32_t TeamShare::takeSurplus(Instant now)
{
    this->accrue(now);
    const auto surplus = static_cast<std::uint32_t>(std::max(this->level - this->rule.burst, 0.0));
    this->level -= surplus;
    return surplus;
}

double TeamShare::availableTokens(Instant now)
{
    this->accrue(now);
    return this->level;
}

Duration TeamShare::timeToNext(Instant now)
{
    this->accrue(now);
    if (this->level >= 1)
        return {};
    // A caller of a team without a rate on this VM should retry elsewhere, and not at once.
    constexpr std::chrono::duration<double> maxPause { 1.0 };
    if (this->rule.ratePerSecond <= 0)
        return std::chrono::duration_cast<Duration>(maxPause);
    const std::chrono::duration<double> wait { (1 - this->level) / this->rule.ratePerSecond };
    return std::chrono::duration_cast<Duration>(std::min(wait, maxPause));
}

void TeamShare::accrue(Instant now)
{
    if (now <= this->accruedAt)
        return;
    const std::chrono::duration<double> elapsed = now - this->accruedAt;
    this->accruedAt = now;
    // Tokens received beyond the burst stay until they are used.
    if (this->level < this->rule.burst)
        this->level = std::min(this->rule.burst, this->level + elapsed.count() * this->rule.ratePerSecond);
}

} // namespace cyclamendrift

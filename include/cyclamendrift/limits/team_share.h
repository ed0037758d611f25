#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstdint>

namespace cyclamendrift {

/// Token bucket with this VM's share of a team's rate and burst. The shares of all VMs add up to the team's
/// limit, but for the rounding up of small shares.
///
///     TeamShare share;
///     share.setRule({ .ratePerSecond = 12.5, .burst = 12.5 }, now);
///     if (!share.tryAcquire(now))
///         refuse(share.timeToNext(now));
class TeamShare {
public:
    struct Rule {
        double ratePerSecond = 0;
        double burst = 0;
        /// True when VMs without a share of their own depend on the tokens that this VM gives. It then keeps
        /// no reserve for its own callers.
        bool heldForOthers = false;

        friend bool operator==(const Rule&, const Rule&) = default;
    };

    /// Changes the share. The change adds no tokens and cuts those accrued to the new burst.
    void setRule(const Rule& rule, Instant now);

    /// Deducts one operation; false when less than one is left.
    [[nodiscard]] bool tryAcquire(Instant now);

    /// Deducts up to `wanted` operations for another VM and returns their number. Half of the tokens stay,
    /// unless the share is held for others.
    [[nodiscard]] std::uint32_t give(std::uint32_t wanted, Instant now);

    /// Adds operations that another VM gave. They may exceed this share's burst, as they were deducted from
    /// the other VM's share.
    void receive(std::uint32_t given, Instant now);

    /// Adds operations that another VM got from this share and returns; what exceeds the burst is dropped.
    void takeBack(std::uint32_t returned, Instant now);

    /// Deducts the whole operations beyond the burst and returns their number. Only tokens that were received
    /// exceed it.
    [[nodiscard]] std::uint32_t takeSurplus(Instant now);

    /// Operations that may be admitted at once.
    [[nodiscard]] double availableTokens(Instant now);

    /// Rate of the share in operations per second.
    [[nodiscard]] double rate() const noexcept { return this->rule.ratePerSecond; }

    [[nodiscard]] double burst() const noexcept { return this->rule.burst; }

    /// Time until an operation can be admitted, at most one second.
    [[nodiscard]] Duration timeToNext(Instant now);

private:
    void accrue(Instant now);

    Rule rule;
    double level = 0;
    bool started = false;
    Instant accruedAt;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstdint>

namespace cyclamendrift {

/// The part of a team's rate and burst that this VM may use; the parts of all VMs add up to no more than the
/// whole.
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
        /// VMs without a part of their own live on what this one gives, so it keeps nothing back for its own
        /// callers.
        bool heldForOthers = false;

        friend bool operator==(const Rule&, const Rule&) = default;
    };

    /// Puts another part in force. What has accrued never grows by it, and is cut to the new burst.
    void setRule(const Rule& rule, Instant now);

    /// Takes one operation out; false when nothing is left.
    [[nodiscard]] bool tryAcquire(Instant now);

    /// Takes up to `wanted` operations out for another VM; half of what is there stays, unless the part is
    /// held for others.
    [[nodiscard]] std::uint32_t give(std::uint32_t wanted, Instant now);

    /// Puts in what another VM gave. It may go beyond this part's burst, as it was taken out of the other's.
    void receive(std::uint32_t given, Instant now);

    /// Operations that may be let in at once.
    [[nodiscard]] double availableTokens(Instant now);

    /// Operations per second that it lets in.
    [[nodiscard]] double rate() const noexcept { return this->rule.ratePerSecond; }

    /// When an operation may be taken again.
    [[nodiscard]] Duration timeToNext(Instant now);

private:
    void accrue(Instant now);

    Rule rule;
    double level = 0;
    bool started = false;
    Instant accruedAt;
};

} // namespace cyclamendrift

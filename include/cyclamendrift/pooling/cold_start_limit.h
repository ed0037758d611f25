#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>

namespace cyclamendrift {

/// Position of this VM among the VMs that hold connections to an upstream.
struct HolderRank {
    std::size_t rank = 0;
    /// Number of VMs that hold connections; 0 while they are unknown.
    std::size_t holders = 0;
};

/// Limits the statements that the whole fleet sends to one upstream that is cold after its start. Some of the
/// holders of its connections may send, each at an even share of the rate, so no VM has to ask another one.
/// The shares add up to less than the rate, because VMs may differ for a moment in which of them are holders.
///
///     if (limit.mayStart(now)) {
///         limit.recordStart(now);
///         send(statement);
///     }
class ColdStartLimit {
public:
    /// No limit until setRate() is called.
    ColdStartLimit() = default;

    /// The upstream takes `statementsPerSecond`, which is above 0, until `coldUntil`; this VM has its share
    /// of them.
    void setRate(double statementsPerSecond, const HolderRank& holder, Instant coldUntil);

    /// True while the upstream is cold and has a limit.
    [[nodiscard]] bool isCold(Instant now) const noexcept { return now < this->until; }
    /// True when this VM may send no statement as long as the upstream is cold.
    [[nodiscard]] bool isExcluded(Instant now) const noexcept
    {
        return this->isCold(now) && this->interval == Duration::max();
    }
    [[nodiscard]] bool mayStart(Instant now) const noexcept
    {
        return !this->isCold(now) || now >= this->startAt();
    }
    /// When the next statement may be sent while the upstream is cold.
    [[nodiscard]] Instant startAt() const noexcept
    {
        return this->interval == Duration::max() ? Instant::max() : this->nextAt;
    }
    void recordStart(Instant now) noexcept;

private:
    Instant until = Instant::min();
    /// Between two statements of this VM; Duration::max() when it may send none.
    Duration interval = Duration::max();
    Instant nextAt = Instant::min();
};

} // namespace cyclamendrift

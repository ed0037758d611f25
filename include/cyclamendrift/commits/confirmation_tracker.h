#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cyclamendrift {

/// One commit or primary read that waits for its confirmation.
enum class ConfirmationTicket : std::uint64_t {};

/// Holds back the answers of commits, and of reads at the primary, until no promotion that can happen loses
/// what they say. Reads wait as well: data that only a primary holds may vanish with it, and a session would
/// then go back in time.
///
///     const auto ticket = acknowledgements.add({ .progress = answer.progress, .deadline = deadline });
///     acknowledgements.observe(sampleOfReplica);
///     for (const auto confirmed : acknowledgements.take(now).confirmed)
///         answer(confirmed);
class ConfirmationTracker {
public:
    struct Options {
        /// What the primary's status said after the commit or read, on the same connection.
        Progress progress;
        /// Confirmations that were asked for earlier do not count. Leave it unset for a write. A read that
        /// must come from the primary in force gives the time at which it was sent: a replica that is still
        /// in the term after it proves that no other primary had been promoted.
        Instant notBefore = Instant::min();
        /// When to give up.
        Instant deadline = Instant::max();
    };

    /// Tickets that are settled; each is told once.
    struct Settled {
        /// Kept by every promotion that can happen.
        std::vector<ConfirmationTicket> confirmed;
        /// To be answered at once: a write's outcome is unknown, a read has had no effect.
        std::vector<ConfirmationTicket> unconfirmed;
    };

    /// What a commit waits for, by the status that was read after it on the same connection. A status of a
    /// slot that is no primary any more proves nothing, so the commit is given up at once.
    ///
    ///     acknowledgements.add(ConfirmationTracker::afterCommit(status, deadline));
    [[nodiscard]] static Options afterCommit(const SlotStatus& status, Instant deadline) noexcept;

    /// Begins to wait. A ticket that needs no wait is in the next take().
    [[nodiscard]] ConfirmationTicket add(Options options);

    /// Forgets a ticket whose caller has gone.
    void cancel(ConfirmationTicket ticket) noexcept;

    /// Takes in what a slot said of itself.
    void observe(const StatusSample& sample);

    /// Takes in a view. Commits of an older term stay held while the new primary is known to have them, and
    /// are given up otherwise.
    void setView(GroupView view);

    /// What has been settled by now.
    [[nodiscard]] Settled take(Instant now);

    /// When take() has to be called even if nothing else happens.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// How many wait.
    [[nodiscard]] std::size_t waiting() const noexcept { return this->pending.size(); }

private:
    [[nodiscard]] bool isConfirmed(const Options& options) const;
    [[nodiscard]] bool confirms(const SlotName& slot, const Options& options) const;
    [[nodiscard]] bool failsToCarryOver(Options& options) const;

    GroupView view;
    std::map<SlotName, StatusSample> latestSamples;
    std::map<ConfirmationTicket, Options> pending;
    std::uint64_t lastTicket = 0;
};

} // namespace cyclamendrift

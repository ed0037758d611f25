#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace cyclamendrift {

/// The VMs that read the store for the others, as the store names them.
struct ReaderRoster {
    /// Store readers first, then their standbys; empty when no roster was written yet.
    std::vector<VmName> vms;
    std::size_t readers = 0;
    /// Revision of the roster in the store; 0 when there is none.
    std::uint64_t revision = 0;
};

/// Pauses of a FleetJoin.
struct FleetJoinSettings {
    /// On the first start of a system, VMs wait for a random part of this time before one of them writes the
    /// roster, so that few of them try at once.
    Duration firstStartSpread = std::chrono::milliseconds { 350 };
    /// Added for a VM with hardly any processor; the first reader serves the lists to all others.
    Duration weakVmDelay = std::chrono::milliseconds { 350 };
    /// Pause after an attempt without success; doubles from the minimum to the maximum, with a random part.
    Duration minPause = std::chrono::milliseconds { 25 };
    Duration maxPause = std::chrono::milliseconds { 1600 };
    /// The roster is replaced when none of its readers could be reached for this long.
    Duration takeoverDelay = std::chrono::milliseconds { 400 };
    /// The roster is extended when readers answer, but none has sent the lists for this long: the store may
    /// refuse them. Weak VMs wait for up to twice this time, because a reader serves the lists to others.
    Duration maxReaderDelay = std::chrono::milliseconds { 2000 };
};

/// The delay of a VM with `cores` on the first start of a system: a random part of `spread`, after
/// `weakVmDelay` for a VM with hardly any processor, so that the strongest VMs come first.
[[nodiscard]] Duration firstStartDelay(
    double cores, Duration weakVmDelay, Duration spread, RandomSource& random);

/// Decides how a VM that starts obtains the lists of VMs, upstreams and leadership records. Only the store
/// readers read these lists, whose size grows with the fleet; a VM that starts reads the small roster of
/// store readers and asks these. It never concludes from a missing answer that it is alone: one VM becomes a
/// store reader by writing the roster, when there is none or when none of its readers can be reached. A
/// standby that has no lists is of no account for that: it may be starting as well, and wait for the same
/// readers. Does no I/O.
///
///     while (true) {
///         const auto step = join.next(now);
///         if (std::holds_alternative<FleetJoin::Joined>(step)) break;
///         perform(step);   // reports the outcome to rosterRead(), readerAnswered(), ...
///     }
class FleetJoin {
public:
    struct Options {
        VmName self;
        /// Processor cores that this VM may use.
        double cores = 1;
        std::uint64_t seed = 0;
        FleetJoinSettings settings;
    };

    /// Read the roster from the store; the outcome goes to rosterRead() or attemptFailed().
    struct ReadRoster {
        /// False when an answer that lacks what was written last would be of no use.
        bool mayLag = true;
    };
    /// Write a roster that names this VM as the first reader, if the roster still has that revision; the
    /// outcome goes to rosterWritten() or attemptFailed().
    struct WriteRoster {
        std::uint64_t expectedRevision = 0;
        /// Readers of the earlier roster that stay readers; its other VMs become standbys.
        std::size_t readersKept = 0;
    };
    /// Ask a store reader for the lists; the outcome goes to readerAnswered().
    struct AskReader {
        VmName reader;
    };
    struct Wait {
        Instant until;
    };
    /// The VM has the lists, or reads them from the store itself.
    struct Joined {
        bool asReader = false;
    };
    using Step = std::variant<ReadRoster, WriteRoster, AskReader, Wait, Joined>;

    enum class Answer : std::uint8_t {
        /// The reader sent its lists.
        Lists,
        /// The reader was reached, but cannot serve the lists yet.
        NotYet,
        None,
    };

    explicit FleetJoin(Options options);

    [[nodiscard]] Step next(Instant now);

    void rosterRead(ReaderRoster roster, Instant now);
    /// The roster was written, or another VM has written it before; it is read again.
    void rosterWritten(Instant now);
    /// The store did not answer.
    void attemptFailed(Instant now);
    void readerAnswered(const VmName& reader, Answer answer);

private:
    /// Waits for a pause that grows with each call.
    void pauseFrom(Instant now);
    void planAsking();
    void endTurn(Instant now);
    [[nodiscard]] bool isReader(const VmName& vm) const;
    [[nodiscard]] bool mayTakeOver(Instant now) const;
    [[nodiscard]] bool mayExtend(Instant now) const;
    void resetTurns();

    Options options;
    RandomSource random;
    ReaderRoster roster;
    bool rosterKnown = false;
    bool writeNext = false;
    /// True until the roster was read after a write.
    bool justWritten = false;
    /// The VMs of the roster that are still to be asked in this turn, the next one last.
    std::vector<VmName> toAsk;
    Instant waitUntil = Instant::min();
    Duration pause {};
    /// When this VM may write the first roster; Instant::max() until the roster was found missing.
    Instant createAt = Instant::max();
    /// When the VMs of the roster were asked for the first time in this turn, and whether a reader answered.
    Instant turnStartedAt;
    bool readerHeard = false;
    /// Since when no reader of the roster has answered; Instant::max() while one has.
    Instant silentSince = Instant::max();
    /// Since when the VMs of this roster have been asked without getting the lists; Instant::max() before.
    Instant unservedSince = Instant::max();
    Duration takeoverDelay {};
    Duration extensionDelay {};
    std::optional<Joined> joined;
};

} // namespace cyclamendrift

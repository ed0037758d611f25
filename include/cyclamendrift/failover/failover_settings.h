#pragma once

#include <cyclamendrift/core/instant.h>

#include <chrono>

namespace cyclamendrift {

/// Timeouts and intervals of a FailoverCoordinator. They affect availability only, never safety.
struct FailoverSettings {
    /// Interval between two probes of a slot.
    Duration probeInterval = std::chrono::milliseconds { 200 };
    /// Time without an answer after which a slot is suspected to be down and siblings are asked about it.
    Duration suspectAfter = std::chrono::milliseconds { 700 };
    /// Time without an answer after which a slot that some siblings still reach is considered down, if at
    /// least one sibling cannot reach it and, with this VM, as many VMs cannot as can.
    Duration contestedAfter = std::chrono::seconds { 3 };
    /// Interval between two rounds of questions to siblings about a slot.
    Duration askInterval = std::chrono::milliseconds { 300 };
    /// Interval between two attempts of a fence or promote call, and between two reads of the record while it
    /// is unknown, unsettled or possibly outdated.
    Duration retryInterval = std::chrono::milliseconds { 200 };
    /// How long a promoter waits for further responsive slots to be fenced, once enough slots are.
    Duration fenceGracePeriod = std::chrono::milliseconds { 100 };
    /// Time without progress after which a promotion by another VM is taken over.
    Duration takeoverAfter = std::chrono::milliseconds { 1200 };
    /// In groups of two, a replica that lags behind the primary for this long is removed from the in-sync
    /// set. Limits how long a failed or slow replica delays writes.
    Duration shrinkAfter = std::chrono::milliseconds { 800 };
    /// In groups of three or more, a primary is replaced once every replica has lagged behind it without
    /// progress for this long.
    Duration stallAfter = std::chrono::seconds { 2 };
    /// How long a replica must be caught up before it rejoins the in-sync set. The delay doubles, up to
    /// `maxRejoinDelay`, each time that a replica falls behind soon after rejoining.
    Duration rejoinDelay = std::chrono::seconds { 2 };
    Duration maxRejoinDelay = std::chrono::seconds { 60 };
    /// Interval between two reads of the record while the group is settled.
    Duration recordReadInterval = std::chrono::seconds { 10 };
    /// Delay per rank before a home proxy acts, so that two rarely act at the same time.
    Duration rankDelay = std::chrono::milliseconds { 300 };
};

} // namespace cyclamendrift

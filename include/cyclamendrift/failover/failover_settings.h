#pragma once

#include <cyclamendrift/core/instant.h>

#include <chrono>

namespace cyclamendrift {

/// Times that a FailoverCoordinator goes by. None matters for safety.
struct FailoverSettings {
    /// Between two probes of a slot.
    Duration probeInterval = std::chrono::milliseconds { 200 };
    /// A slot that has not answered for this long is suspected, and siblings are asked about it.
    Duration suspectAfter = std::chrono::milliseconds { 700 };
    /// A primary that some siblings reach and others do not is replaced after this long, if at least as many
    /// do not.
    Duration contestedAfter = std::chrono::seconds { 3 };
    /// Between two rounds of questions to siblings.
    Duration askInterval = std::chrono::milliseconds { 300 };
    /// Between two tries of a fence, promotion, follow or store call that has not worked yet.
    Duration retryInterval = std::chrono::milliseconds { 200 };
    /// How long a promoter waits for slots that were alive just now, once enough are fenced.
    Duration fenceGracePeriod = std::chrono::milliseconds { 100 };
    /// A promotion of another VM that makes no progress for this long is taken over.
    Duration takeoverAfter = std::chrono::milliseconds { 1200 };
    /// In groups of two, a replica that stays behind the primary for this long leaves the in-sync set. It
    /// bounds how long a dead or slow replica holds up writes.
    Duration shrinkAfter = std::chrono::milliseconds { 800 };
    /// In groups of three, a primary that no replica has followed for this long is replaced.
    Duration stallAfter = std::chrono::seconds { 2 };
    /// A replica has to keep up for this long before it joins the in-sync set again; doubles each time that
    /// it falls out soon after.
    Duration rejoinDelay = std::chrono::seconds { 2 };
    Duration maxRejoinDelay = std::chrono::seconds { 60 };
    /// Between two reads of the record while nothing is wrong.
    Duration recordReadInterval = std::chrono::seconds { 10 };
    /// Added for each rank below the first before a home proxy acts, so that two seldom act at once.
    Duration rankDelay = std::chrono::milliseconds { 300 };
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace cyclamendrift {

/// One search for tokens of a team at the VMs that hold its limit, by urgency. First the nearest holder is
/// asked for what it has. If it has none, the request waits at all holders at once, so that each of them sees
/// all that the fleet waits for; the first that gives ends the search. Does no I/O: the user makes the calls.
///
///     TokenSearch search { { .wanted = 1, .until = now + 37ms, .donors = donors } };
///     carryOut(search.begin(now));
///     carryOut(search.answered(vm, given, later));
class TokenSearch {
public:
    struct Options {
        std::uint32_t wanted = 1;
        /// When the operations that need the tokens are refused.
        Instant until;
        /// The nearest first.
        std::vector<VmName> donors;
        /// The holder to ask first; none when all were short of tokens a moment ago.
        std::optional<VmName> first;
    };
    /// A request to a holder.
    struct Call {
        VmName vm;
        std::uint32_t wanted = 0;
        /// How long the request may wait at the holder.
        Duration wait {};
        /// The time that an answer may take beyond that.
        Duration transit {};
    };
    struct Step {
        std::vector<Call> calls;
        /// Set when the search has ended: the number of tokens that it got.
        std::optional<std::uint32_t> result;
        /// Holders at which the request still waits in vain.
        std::vector<VmName> withdrawn;
        /// Tokens of the answering holder that are no longer needed and go back to it.
        std::uint32_t unused = 0;
    };

    explicit TokenSearch(Options options);

    [[nodiscard]] Step begin(Instant now);
    /// Takes a holder's answer; empty when it did not answer.
    [[nodiscard]] Step answered(const VmName& vm, std::optional<std::uint32_t> given, Instant now);

private:
    [[nodiscard]] Step waitAtAll(Instant now);

    Options options;
    Instant askedAt;
    /// A part of the way to and from a holder, for which a request must not wait there.
    Duration roundTrip {};
    std::set<VmName> waitingAt;
    bool waiting = false;
    bool ended = false;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// Thrown when a stored record cannot be decoded, and when a record or a coordinator lease is needed that has
/// not been read.
class LeadershipError : public Error {
public:
    using Error::Error;
};

/// Which upstream leads a group, as stored; changed only by compare-and-swap.
struct LeadershipRecord {
    /// The term that `primary` leads.
    Term term {};
    UpstreamName primary;
    /// Above `term` while the primary is being replaced.
    Term claimedTerm {};
    /// The VM that wrote the record.
    VmName author;
    /// Unique to each change, so that a VM recognizes its own change when the answer to it was lost.
    std::string changeId;
    /// The upstream that is to lead the claimed term. It is written before a promotion is sent, so no
    /// promotion was sent for the term while this is empty.
    UpstreamName chosen;

    /// True while no replacement is in progress.
    [[nodiscard]] bool isSettled() const noexcept { return this->claimedTerm <= this->term; }

    [[nodiscard]] std::string encode() const;
    /// Throws LeadershipError when the value cannot be parsed.
    [[nodiscard]] static LeadershipRecord decode(std::string_view value);

    friend bool operator==(const LeadershipRecord&, const LeadershipRecord&) = default;
};

} // namespace cyclamendrift

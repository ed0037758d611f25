#pragma once

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// A record that the store kept and that cannot be read.
class LeadershipError : public Error {
public:
    using Error::Error;
};

/// What the store keeps of who leads a group; changed by compare-and-swap only.
struct LeadershipRecord {
    /// The term that `primary` leads.
    Term term {};
    UpstreamName primary;
    /// Above `term` while the primary is being replaced.
    Term claimedTerm {};
    /// The VM that wrote it.
    VmName author;
    /// Unique to each change, so that a change whose answer was lost is recognised.
    std::string changeId;
    /// Who is to lead the claimed term; empty while no promotion was sent for it.
    UpstreamName chosen;

    /// True while no replacement is under way.
    [[nodiscard]] bool isSettled() const noexcept { return this->claimedTerm <= this->term; }

    [[nodiscard]] std::string encode() const;
    /// Throws LeadershipError.
    [[nodiscard]] static LeadershipRecord decode(std::string_view value);

    friend bool operator==(const LeadershipRecord&, const LeadershipRecord&) = default;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/error.h>

#include <cstdint>
#include <string>

namespace cyclamendrift {

/// What went wrong between this process and the platform's store.
class StoreError : public Error {
public:
    enum class Kind : std::uint8_t {
        /// No connection was made; the call had no effect.
        Unreachable,
        /// The call was sent and not answered in time; a change may have taken effect.
        NoAnswer,
        /// The store answered something that breaks its protocol, or refused the call.
        BadAnswer,
        /// The lease named does not exist or has lapsed.
        LeaseGone,
        /// A watch asked for revisions that the store no longer has.
        Compacted,
    };

    StoreError(Kind kind, const std::string& message)
        : Error(message)
        , errorKind(kind)
    {
    }

    /// What went wrong.
    [[nodiscard]] Kind kind() const noexcept { return this->errorKind; }

private:
    Kind errorKind;
};

} // namespace cyclamendrift

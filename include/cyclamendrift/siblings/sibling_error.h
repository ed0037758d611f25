#pragma once

#include <cyclamendrift/core/error.h>

#include <cstdint>
#include <string>

namespace cyclamendrift {

/// What went wrong between this process and a sibling proxy. A RequestError that the sibling answered with is
/// thrown as that RequestError and not as this.
class SiblingError : public Error {
public:
    enum class Kind : std::uint8_t {
        /// No stream was opened; the sibling has not seen the call.
        Unreachable,
        /// The stream was cut or timed out after the call was sent; its outcome is unknown.
        OutcomeUnknown,
        /// The other end did not prove that it is a sibling.
        NotAuthenticated,
        /// The sibling answered something that breaks the protocol.
        BadAnswer,
    };

    SiblingError(Kind kind, const std::string& message)
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

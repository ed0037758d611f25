#pragma once

#include <cyclamendrift/core/error.h>

#include <cstdint>
#include <string>

namespace cyclamendrift {

/// Failure of a call to a sibling proxy. A RequestError sent by the sibling is thrown as that RequestError
/// instead.
class SiblingError : public Error {
public:
    enum class Kind : std::uint8_t {
        /// The sibling did not run the call: no complete call was sent, or the sibling refused its stream.
        Unreachable,
        /// The connection failed or the deadline passed after the call was sent; the call may have run.
        OutcomeUnknown,
        /// One end did not prove that it knows the shared secret.
        NotAuthenticated,
        /// The answer violates the protocol, is too long or has a wrong authentication code.
        BadAnswer,
    };

    SiblingError(Kind kind, const std::string& message)
        : Error(message)
        , errorKind(kind)
    {
    }

    /// Category of the failure.
    [[nodiscard]] Kind kind() const noexcept { return this->errorKind; }

private:
    Kind errorKind;
};

} // namespace cyclamendrift

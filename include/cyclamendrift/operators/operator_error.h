#pragma once

#include <cyclamendrift/core/error.h>

#include <cstdint>
#include <string>

namespace cyclamendrift {

/// Why a call of an operator did not succeed.
class OperatorError : public Error {
public:
    enum class Kind : std::uint8_t {
        /// The proxy refused it; it had no effect.
        Refused,
        /// Another change came first; it had no effect.
        Conflict,
        /// No proxy could be reached; it had no effect.
        Unreachable,
        /// A proxy was reached and its answer was lost; it may have taken effect.
        Unknown,
        /// A file or secret given on the command line can't be used.
        Usage,
    };

    OperatorError(Kind kind, const std::string& message)
        : Error(message)
        , errorKind(kind)
    {
    }

    /// Why it did not succeed.
    [[nodiscard]] Kind kind() const noexcept { return this->errorKind; }

private:
    Kind errorKind;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/error.h>

#include <cstdint>
#include <string>
#include <utility>

namespace cyclamendrift {

/// What went wrong between this process and an upstream.
class UpstreamError : public Error {
public:
    enum class Kind : std::uint8_t {
        /// No connection was made, so nothing was sent.
        ConnectFailed,
        /// The deadline passed with a statement in flight; its outcome is unknown.
        TimedOut,
        /// The connection ended with a statement in flight; its outcome is unknown.
        ConnectionLost,
        /// The database answered with an error; the statement ran and failed.
        StatementFailed,
        /// The connection cap of the upstream was reached, so nothing was sent.
        TooManyConnections,
    };

    UpstreamError(Kind kind, const std::string& message, std::string sqlState = {})
        : Error(message)
        , errorKind(kind)
        , state(std::move(sqlState))
    {
    }

    /// What went wrong.
    [[nodiscard]] Kind kind() const noexcept { return this->errorKind; }
    /// The five-character SQLSTATE when the database gave one.
    [[nodiscard]] const std::string& sqlState() const noexcept { return this->state; }

private:
    Kind errorKind;
    std::string state;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/instant.h>

#include <cyclamendrift.pb.h>

#include <memory>
#include <string>
#include <vector>

namespace cyclamendrift {

/// Calls the Operators service of a proxy, blocking. Every failure is an OperatorError.
///
///     OperatorClient client { { .endpoints = { "http://10.0.0.1:7002" }, .secret = secret } };
///     auto status = client.status();
class OperatorClient {
public:
    struct Options {
        /// Tried in this order; a call is repeated at the next one only when that is safe.
        std::vector<std::string> endpoints;
        std::string secret;
        Duration callTimeout = std::chrono::seconds { 10 };
    };

    explicit OperatorClient(Options options);
    ~OperatorClient();
    OperatorClient(const OperatorClient&) = delete;
    OperatorClient& operator=(const OperatorClient&) = delete;

    [[nodiscard]] api::ApplyResponse apply(const api::ApplyRequest& request);
    [[nodiscard]] api::ApplyResponse grant(const api::GrantRequest& request);
    [[nodiscard]] api::ApplyResponse revoke(const api::RevokeRequest& request);
    [[nodiscard]] api::ApplyResponse setLimits(const api::SetLimitsRequest& request);
    [[nodiscard]] api::ShowResponse show();
    [[nodiscard]] api::StatusResponse status();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace cyclamendrift

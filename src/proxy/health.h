#pragma once

#include <cyclamendrift/callers/http_message.h>

#include <functional>
#include <optional>
#include <string>

namespace cyclamendrift {

/// Answers /healthz and /readyz, for the balancer.
class HealthPages {
public:
    struct Options {
        /// Why this VM should get no requests now; empty when it should.
        std::function<std::string()> whyNotReady;
    };

    explicit HealthPages(Options options);

    /// The answer when the request asks for one of the pages.
    [[nodiscard]] std::optional<HttpResponse> answer(const HttpRequest& request) const;

private:
    Options options;
};

} // namespace cyclamendrift

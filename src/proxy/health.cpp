#include "health.h"

#include <utility>

namespace cyclamendrift {

namespace {

constexpr int unavailable = 503;

} // namespace

HealthPages::HealthPages(Options options)
    : options(std::move(options))
{
}

std::optional<HttpResponse> HealthPages::answer(const HttpRequest& request) const
{
    if (request.path == "/healthz")
        return HttpResponse { .body = "ok\n" };
    if (request.path != "/readyz")
        return std::nullopt;
    const auto reason = this->options.whyNotReady();
    if (reason.empty())
        return HttpResponse { .body = "ready\n" };
    return HttpResponse { .status = unavailable, .body = "not ready: " + reason + '\n' };
}

} // namespace cyclamendrift

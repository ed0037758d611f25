#include "fleet_status.h"

#include "forward_codec.h"

#include <cyclamendrift/core/error.h>

#include <utility>

namespace cyclamendrift {

namespace {

asio::awaitable<bool> askHome(
    const FleetStatusSources& sources, SiblingAddress home, api::DatabaseStatus& status, Instant deadline)
{
    const DatabaseName name { ServiceName { status.service() }, status.database() };
    if (home.vm == sources.self) {
        const auto own = sources.homes->statusOf(name);
        if (own)
            fillStatus(*own, status);
        co_return own.has_value();
    }
    try {
        SiblingCall call {
            .method = forward_method::homeStatus, .body = status.SerializeAsString(), .deadline = deadline
        };
        const auto body = co_await sources.callSibling(std::move(home), std::move(call));
        co_return status.ParseFromString(body) && !status.state().empty();
    } catch (const Error&) {
        // The next home may answer; without one the state stays empty, which shows that nothing is known.
        co_return false;
    }
}

} // namespace

asio::awaitable<api::StatusResponse> gatherStatus(FleetStatusSources sources)
{
    const auto deadline = std::chrono::steady_clock::now() + sources.timeout;
    auto response = co_await sources.fleet->status();
    for (auto& database : *response.mutable_databases()) {
        const DatabaseName name { ServiceName { database.service() }, database.database() };
        for (auto& home : sources.fleet->homesOf(name)) {
            if (std::chrono::steady_clock::now() >= deadline)
                co_return response;
            if (co_await askHome(sources, std::move(home), database, deadline))
                break;
        }
    }
    co_return response;
}

} // namespace cyclamendrift

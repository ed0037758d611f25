#pragma once

#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/membership/membership_view.h>
#include <cyclamendrift/proxy/fleet_factory.h>
#include <cyclamendrift/siblings/sibling_error.h>

#include <fleet.pb.h>

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace cyclamendrift {

/// How often the parts of a fleet do their periodic work.
inline constexpr Duration fleetInterval = std::chrono::milliseconds { 500 };
/// Time limit of the small calls between siblings.
inline constexpr Duration siblingTimeout = std::chrono::milliseconds { 400 };
/// Time limit of calls that carry the configuration, whose size grows with databases and keys.
inline constexpr Duration documentTimeout = std::chrono::milliseconds { 3000 };

/// Names of the calls between siblings.
namespace fleet_method {
inline constexpr auto heartbeat = "FleetHeartbeat";
inline constexpr auto probe = "FleetProbe";
inline constexpr auto pull = "FleetPull";
inline constexpr auto push = "FleetPush";
inline constexpr auto grant = "FleetGrant";
inline constexpr auto status = "FleetStatus";
} // namespace fleet_method

/// What the parts of a fleet share. Used on the control thread only.
class FleetContext {
public:
    explicit FleetContext(FleetOptions options);

    [[nodiscard]] Instant now() const noexcept { return this->options.timers.now(); }

    /// A time around `mean`, so that processes that failed together do not come back together.
    [[nodiscard]] Duration jittered(Duration mean);

    /// Resumes after a time of the timer service.
    [[nodiscard]] asio::awaitable<void> sleep(Duration duration);

    /// Calls a sibling; throws SiblingError or RequestError.
    template <class Answer, class Request>
    [[nodiscard]] asio::awaitable<Answer> call(SiblingAddress to, std::string method, Request request)
    {
        return this->call<Answer>(std::move(to), std::move(method), std::move(request),
            std::min<Duration>(siblingTimeout, this->options.callTimeout));
    }

    template <class Answer, class Request>
    [[nodiscard]] asio::awaitable<Answer> call(
        SiblingAddress to, std::string method, Request request, Duration timeLimit)
    {
        SiblingCall message { .method = std::move(method),
            .body = request.SerializeAsString(),
            .deadline = this->now() + timeLimit };
        const auto body = co_await this->options.callSibling(std::move(to), std::move(message));
        Answer answer;
        if (!answer.ParseFromString(body))
            throw SiblingError { SiblingError::Kind::BadAnswer, "the answer cannot be parsed" };
        co_return answer;
    }

    /// Starts work in the background that handles its own failures.
    template <class Work> void spawn(Work&& work)
    {
        asio::co_spawn(this->options.executor, std::forward<Work>(work), asio::detached);
    }

    /// Keeps the whole node alive for as long as work in the background uses one part of it.
    template <class Part> [[nodiscard]] std::shared_ptr<Part> hold(Part* part) const
    {
        return { this->owner.lock(), part };
    }

    FleetOptions options;
    /// Drawn anew by each process.
    std::uint64_t process = 0;
    RandomSource random;
    /// The node that all parts belong to.
    std::weak_ptr<void> owner;
};

/// Where a member listens for its siblings.
[[nodiscard]] SiblingAddress addressOf(const MemberRecord& member);
[[nodiscard]] wire::Member toWire(const MemberRecord& member);
[[nodiscard]] MemberRecord fromWire(const wire::Member& member);

} // namespace cyclamendrift

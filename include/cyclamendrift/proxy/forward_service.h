#pragma once

#include <cyclamendrift/proxy/fleet.h>
#include <cyclamendrift/proxy/home_registry.h>
#include <cyclamendrift/siblings/sibling_server.h>

#include <asio/awaitable.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cyclamendrift {

/// Answers what sibling proxies ask of this one: statements and transactions that they forward to it as the
/// home of a database, and the calls of the fleet. Safe to call from any thread.
class ForwardService {
public:
    struct Options {
        std::shared_ptr<Fleet> fleet;
        std::shared_ptr<HomeRegistry> homes;
        /// Answers siblings that ask for this VM's opinion of a slot.
        std::function<asio::awaitable<std::string>(IncomingSiblingCall)> slotOpinion;
    };

    explicit ForwardService(Options options);

    /// Answers one call; throws RequestError.
    [[nodiscard]] asio::awaitable<std::string> handle(IncomingSiblingCall call);

    /// Calls that were taken and not answered yet.
    [[nodiscard]] std::size_t inFlight() const noexcept { return this->calls; }

private:
    [[nodiscard]] asio::awaitable<std::string> execute(IncomingSiblingCall call);
    [[nodiscard]] asio::awaitable<std::string> begin(IncomingSiblingCall call);
    [[nodiscard]] asio::awaitable<std::string> end(IncomingSiblingCall call);
    [[nodiscard]] std::string homeStatus(const IncomingSiblingCall& call) const;

    Options options;
    std::atomic<std::size_t> calls { 0 };
};

} // namespace cyclamendrift

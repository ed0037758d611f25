#pragma once

#include <cyclamendrift/callers/rpc_dispatcher.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/proxy/fleet.h>
#include <cyclamendrift/proxy/home_router.h>
#include <cyclamendrift/proxy/schema_index.h>

#include <cyclamendrift.pb.h>

#include <asio/awaitable.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace cyclamendrift {

/// The Statements service at the entry proxy: finds out who calls, holds the call to the team's limit and the
/// session's token, and hands it to a home proxy. Safe to call from any thread.
class StatementsService {
public:
    struct Options {
        std::shared_ptr<Fleet> fleet;
        std::shared_ptr<HomeRouter> router;
        /// Longest time that a request may take.
        Duration requestTimeout = std::chrono::seconds { 30 };
    };

    explicit StatementsService(Options options);

    /// Serves its methods through a dispatcher, which must not outlive it.
    void addTo(RpcDispatcher& dispatcher);

    /// Refuses every new statement and transaction from now on; transactions that are open may be ended.
    void drain() noexcept { this->draining = true; }

    /// True after drain().
    [[nodiscard]] bool isDraining() const noexcept { return this->draining; }

private:
    [[nodiscard]] asio::awaitable<api::ExecuteResponse> execute(
        RpcContext context, api::ExecuteRequest request);
    [[nodiscard]] asio::awaitable<api::BeginResponse> begin(RpcContext context, api::BeginRequest request);
    [[nodiscard]] asio::awaitable<api::EndResponse> end(
        RpcContext context, api::EndRequest request, bool commit);
    [[nodiscard]] std::optional<TransactionHandle> handleOf(
        const api::ExecuteRequest& request, const DatabaseName& database) const;
    [[nodiscard]] asio::awaitable<HomeAnswer> route(
        HomeRequest request, std::optional<TransactionHandle> handle) const;
    void checkAccess(const CallerIdentity& caller, const DatabaseName& database);
    void refuseWhenDraining() const;

    Options options;
    SchemaIndexCache index;
    std::atomic<bool> draining { false };
};

} // namespace cyclamendrift

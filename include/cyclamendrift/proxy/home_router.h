#pragma once

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/proxy/database_home.h>
#include <cyclamendrift/proxy/fleet.h>
#include <cyclamendrift/proxy/home_registry.h>
#include <cyclamendrift/proxy/transaction_handle.h>
#include <cyclamendrift/siblings/sibling_client.h>

#include <asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cyclamendrift {

/// Brings a request from the entry proxy to a home proxy of its database, here or at a sibling. Goes on to
/// the second home only when the first has surely not run the request, or when running it twice does no harm.
/// Safe to call from any thread.
class HomeRouter {
public:
    /// Calls a sibling; SiblingClient::call in daemons.
    using CallSibling = std::function<asio::awaitable<std::string>(SiblingAddress, SiblingCall)>;

    struct Options {
        VmName self;
        std::shared_ptr<Fleet> fleet;
        std::shared_ptr<HomeRegistry> homes;
        CallSibling callSibling;
        /// Secret of the siblings, with which transaction ids are sealed.
        std::string secret;
    };

    explicit HomeRouter(Options options);

    /// Runs a statement that belongs to no transaction.
    [[nodiscard]] asio::awaitable<HomeAnswer> execute(HomeRequest request) const;

    /// Runs a statement of a transaction at the home that holds it.
    [[nodiscard]] asio::awaitable<HomeAnswer> execute(HomeRequest request, TransactionHandle handle) const;

    /// Opens a transaction and returns the id for the caller.
    [[nodiscard]] asio::awaitable<std::string> begin(BeginHomeRequest request) const;

    /// Ends a transaction at the home that holds it.
    [[nodiscard]] asio::awaitable<Progress> end(EndHomeRequest request, TransactionHandle handle) const;

    /// What a caller's transaction id stands for; throws RequestError with UnknownTransaction.
    [[nodiscard]] TransactionHandle open(std::string_view transactionId) const;

private:
    [[nodiscard]] bool isLocal(const SiblingAddress& home) const { return home.vm == this->options.self; }
    [[nodiscard]] asio::awaitable<HomeAnswer> executeAt(SiblingAddress home, HomeRequest request) const;
    [[nodiscard]] asio::awaitable<TransactionId> beginAt(SiblingAddress home, BeginHomeRequest request) const;

    Options options;
    TransactionHandleCodec codec;
};

} // namespace cyclamendrift

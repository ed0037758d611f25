#pragma once

#include <cyclamendrift/callers/rpc_dispatcher.h>
#include <cyclamendrift/proxy/fleet.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// The Operators service at a proxy: checks the operators' secret and hands each call to the fleet.
class OperatorsService {
public:
    struct Options {
        std::shared_ptr<Fleet> fleet;
        /// The secret that operators send as `Authorization: Bearer`.
        std::string secret;
        /// Answers Status; the fleet's own answer when unset.
        std::function<asio::awaitable<api::StatusResponse>()> status;
    };

    explicit OperatorsService(Options options);

    /// Serves its methods through a dispatcher, which must not outlive it.
    void addTo(RpcDispatcher& dispatcher);

private:
    void authorize(std::string_view secret) const;
    template <class Request, class Response, class Call>
    void add(RpcDispatcher& dispatcher, const char* name, Call call);

    Options options;
};

} // namespace cyclamendrift

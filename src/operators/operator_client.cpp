#include <cyclamendrift/operators/operator_client.h>

#include "http_rpc_channel.h"

#include <utility>

namespace cyclamendrift {

struct OperatorClient::State {
    explicit State(Options options)
        : channel({ .endpoints = std::move(options.endpoints),
            .secret = std::move(options.secret),
            .callTimeout = options.callTimeout })
        , stub(&this->channel)
    {
    }

    HttpRpcChannel channel;
    api::Operators::Stub stub;
};

OperatorClient::OperatorClient(Options options)
    : state(std::make_unique<State>(std::move(options)))
{
}

OperatorClient::~OperatorClient() = default;

api::ApplyResponse OperatorClient::apply(const api::ApplyRequest& request)
{
    api::ApplyResponse response;
    this->state->stub.Apply(nullptr, &request, &response, nullptr);
    return response;
}

api::ApplyResponse OperatorClient::grant(const api::GrantRequest& request)
{
    api::ApplyResponse response;
    this->state->stub.Grant(nullptr, &request, &response, nullptr);
    return response;
}

api::ApplyResponse OperatorClient::revoke(const api::RevokeRequest& request)
{
    api::ApplyResponse response;
    this->state->stub.Revoke(nullptr, &request, &response, nullptr);
    return response;
}

api::ApplyResponse OperatorClient::setLimits(const api::SetLimitsRequest& request)
{
    api::ApplyResponse response;
    this->state->stub.SetLimits(nullptr, &request, &response, nullptr);
    return response;
}

api::ShowResponse OperatorClient::show()
{
    const api::ShowRequest request;
    api::ShowResponse response;
    this->state->stub.Show(nullptr, &request, &response, nullptr);
    return response;
}

api::StatusResponse OperatorClient::status()
{
    const api::StatusRequest request;
    api::StatusResponse response;
    this->state->stub.Status(nullptr, &request, &response, nullptr);
    return response;
}

} // namespace cyclamendrift

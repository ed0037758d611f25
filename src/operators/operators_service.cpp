#include <cyclamendrift/operators/operators_service.h>

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/schema/key_hash.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <cyclamendrift.pb.h>

#include <sodium.h>

#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t maxChangeIdLength = 64;

void requireChangeId(const std::string& changeId)
{
    if (changeId.empty() || changeId.size() > maxChangeIdLength)
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::BadRequest,
            .message = "change_id must have 1 to 64 characters" } };
}

template <class Request> void requireChangeId(const Request& request)
{
    if constexpr (requires { request.change_id(); })
        requireChangeId(request.change_id());
}

template <class Request> void logChange(const char* name, const Request& request)
{
    if constexpr (requires { request.change_id(); })
        logEvent(
            LogLevel::Info, "change_asked", { { "method", name }, { "change_id", request.change_id() } });
}

asio::awaitable<api::ShowResponse> show(const Fleet& fleet)
{
    const auto snapshot = fleet.configuration();
    api::ShowResponse response;
    if (snapshot) {
        response.set_revision(snapshot->revision);
        *response.mutable_schema() = snapshot->schema;
    }
    co_return response;
}

} // namespace

OperatorsService::OperatorsService(Options options)
    : options(std::move(options))
{
}

template <class Request, class Response, class Call>
void OperatorsService::add(RpcDispatcher& dispatcher, const char* name, Call call)
{
    const auto* method = api::Operators::descriptor()->FindMethodByName(name);
    dispatcher.add<Request, Response>(
        *method, [this, name, call](RpcContext context, Request request) -> asio::awaitable<Response> {
            this->authorize(context.bearer);
            requireChangeId(request);
            logChange(name, request);
            co_return co_await call(*this->options.fleet, std::move(request));
        });
}

void OperatorsService::addTo(RpcDispatcher& dispatcher)
{
    this->add<api::ApplyRequest, api::ApplyResponse>(
        dispatcher, "Apply", [](Fleet& fleet, auto request) { return fleet.apply(std::move(request)); });
    this->add<api::ShowRequest, api::ShowResponse>(
        dispatcher, "Show", [](Fleet& fleet, const auto&) { return show(fleet); });
    this->add<api::GrantRequest, api::ApplyResponse>(
        dispatcher, "Grant", [](Fleet& fleet, auto request) { return fleet.grant(std::move(request)); });
    this->add<api::RevokeRequest, api::ApplyResponse>(
        dispatcher, "Revoke", [](Fleet& fleet, auto request) { return fleet.revoke(std::move(request)); });
    this->add<api::SetLimitsRequest, api::ApplyResponse>(dispatcher, "SetLimits",
        [](Fleet& fleet, auto request) { return fleet.setLimits(std::move(request)); });
    this->add<api::StatusRequest, api::StatusResponse>(
        dispatcher, "Status", [status = this->options.status](Fleet& fleet, const auto&) {
            return status ? status() : fleet.status();
        });
}

// Comparing hashes takes the same time whatever was sent, its length included.
void OperatorsService::authorize(std::string_view secret) const
{
    const auto given = hashSecret(secret);
    const auto expected = hashSecret(this->options.secret);
    if (secret.empty() || sodium_memcmp(given.data(), expected.data(), expected.size()) != 0)
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::BadKey,
            .message = "the operators' secret is wrong" } };
}

} // namespace cyclamendrift

#include "http_rpc_channel.h"

#include <cyclamendrift/callers/rpc_dispatcher.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/operators/operator_error.h>

#include <cyclamendrift.pb.h>

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr long statusOk = 200;

struct CurlDeleter {
    void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
    void operator()(curl_slist* list) const noexcept { curl_slist_free_all(list); }
};

using CurlHandle = std::unique_ptr<CURL, CurlDeleter>;
using HeaderList = std::unique_ptr<curl_slist, CurlDeleter>;

struct HttpAnswer {
    long status = 0;
    std::string body;
};

std::size_t append(char* data, std::size_t size, std::size_t count, void* body)
{
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
}

void add(HeaderList& headers, const std::string& line)
{
    headers.reset(curl_slist_append(headers.release(), line.c_str()));
}

long millisecondsOf(Duration duration)
{
    return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

bool isSurelyNotSent(CURLcode code) noexcept
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT
        || code == CURLE_UNSUPPORTED_PROTOCOL;
}

HttpAnswer post(const std::string& url, const std::string& body, const HttpRpcChannel::Options& options)
{
    const CurlHandle handle { curl_easy_init() };
    HeaderList headers;
    add(headers, "Content-Type: application/protobuf");
    add(headers, "Authorization: Bearer " + options.secret);
    add(headers, "Expect:");
    HttpAnswer answer;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, millisecondsOf(options.connectTimeout));
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, millisecondsOf(options.callTimeout));
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &append);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer.body);
    const auto code = curl_easy_perform(handle.get());
    if (code != CURLE_OK)
        throw OperatorError(
            isSurelyNotSent(code) ? OperatorError::Kind::Unreachable : OperatorError::Kind::Unknown,
            url + ": " + curl_easy_strerror(code));
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    return answer;
}

OperatorError errorFrom(const HttpAnswer& answer)
{
    api::Error error;
    if (!error.ParseFromString(answer.body) || error.code().empty())
        return { OperatorError::Kind::Unknown, "HTTP status " + std::to_string(answer.status) };
    const auto reason = refusalReasonFrom(error.code());
    if (reason == RefusalReason::Conflict)
        return { OperatorError::Kind::Conflict, error.message() };
    // As good as a proxy that is gone: the next one may take the call.
    if (reason == RefusalReason::ShuttingDown && error.outcome() == api::OUTCOME_NOT_RUN)
        return { OperatorError::Kind::Unreachable, error.message() };
    if (error.outcome() == api::OUTCOME_NOT_RUN || error.outcome() == api::OUTCOME_RAN_AND_FAILED)
        return { OperatorError::Kind::Refused, error.code() + ": " + error.message() };
    return { OperatorError::Kind::Unknown, error.code() + ": " + error.message() };
}

/// A change without an id would be made twice if the lost answer was one of success.
bool isSafeToRepeat(const google::protobuf::Message& request)
{
    const auto* field = request.GetDescriptor()->FindFieldByName("change_id");
    return field == nullptr || !request.GetReflection()->GetString(request, field).empty();
}

bool mayGoOn(const OperatorError& error, const google::protobuf::Message& request)
{
    if (error.kind() == OperatorError::Kind::Unreachable)
        return true;
    return error.kind() == OperatorError::Kind::Unknown && isSafeToRepeat(request);
}

} // namespace

HttpRpcChannel::HttpRpcChannel(Options options)
    : options(std::move(options))
{
}

void HttpRpcChannel::CallMethod(const google::protobuf::MethodDescriptor* method,
    google::protobuf::RpcController* /*controller*/, const google::protobuf::Message* request,
    google::protobuf::Message* response, google::protobuf::Closure* done)
{
    std::optional<OperatorError> failure;
    for (const auto& endpoint : this->options.endpoints) {
        try {
            this->callEndpoint(endpoint, *method, *request, *response);
            if (done != nullptr)
                done->Run();
            return;
        } catch (const OperatorError& error) {
            // Once an answer was lost, a later "unreachable" does not make the whole call one without effect.
            const bool keepUnknown = failure && failure->kind() == OperatorError::Kind::Unknown
                && error.kind() == OperatorError::Kind::Unreachable;
            if (!keepUnknown)
                failure.emplace(error);
            if (!mayGoOn(error, *request))
                break;
        }
    }
    throw failure.value_or(OperatorError(OperatorError::Kind::Usage, "no endpoint was given"));
}

void HttpRpcChannel::callEndpoint(const std::string& endpoint,
    const google::protobuf::MethodDescriptor& method, const google::protobuf::Message& request,
    google::protobuf::Message& response) const
{
    const auto answer
        = post(endpoint + RpcDispatcher::pathOf(method), request.SerializeAsString(), this->options);
    if (answer.status != statusOk)
        throw errorFrom(answer);
    if (!response.ParseFromString(answer.body))
        throw OperatorError(OperatorError::Kind::Unknown, endpoint + ": the answer can't be read");
}

} // namespace cyclamendrift

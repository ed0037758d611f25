#include <cyclamendrift/callers/rpc_dispatcher.h>

#include <cyclamendrift/callers/encoding.h>
#include <cyclamendrift/callers/error_response.h>
#include <cyclamendrift/callers/request_id.h>
#include <cyclamendrift/core/request_error.h>

#include <google/protobuf/unknown_field_set.h>
#include <google/protobuf/util/json_util.h>

#include <vector>

namespace cyclamendrift {

namespace {

constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;
constexpr int unsupportedMediaType = 415;
constexpr std::string_view bearerPrefix = "Bearer ";

/// A refusal with a status that its reason alone does not give.
struct StatusError {
    RequestError error;
    int status;
};

RequestError badRequest(std::string message)
{
    return RequestError {
        { .outcome = Outcome::NotRun, .reason = RefusalReason::BadRequest, .message = std::move(message) }
    };
}

/// The wire format lets a message carry several fields of one oneof, and the parser keeps the last. A
/// statement that says both read and write would then run as the one that its caller did not mean.
void refuseDoubleOneof(const std::string& body, const google::protobuf::Descriptor& descriptor)
{
    google::protobuf::UnknownFieldSet fields;
    if (!fields.ParseFromString(body))
        throw badRequest("the body is not valid protobuf");
    std::vector<int> seen(static_cast<std::size_t>(descriptor.real_oneof_decl_count()), 0);
    for (int index = 0; index < fields.field_count(); ++index) {
        const auto number = fields.field(index).number();
        const auto* field = descriptor.FindFieldByNumber(number);
        const auto* oneof = field == nullptr ? nullptr : field->real_containing_oneof();
        if (oneof == nullptr)
            continue;
        auto& first = seen.at(static_cast<std::size_t>(oneof->index()));
        if (first != 0 && first != number)
            throw badRequest("only one of the fields of " + oneof->full_name() + " may be set");
        first = number;
    }
}

void parse(const HttpRequest& request, Encoding encoding, google::protobuf::Message& message)
{
    if (encoding == Encoding::Protobuf) {
        if (!message.ParseFromString(request.body))
            throw badRequest("the body is not a valid protobuf " + message.GetTypeName());
        refuseDoubleOneof(request.body, *message.GetDescriptor());
        return;
    }
    const auto status = google::protobuf::util::JsonStringToMessage(request.body, &message);
    if (!status.ok())
        throw badRequest("the body is not a valid JSON form of " + message.GetTypeName() + ": "
            + status.message().as_string());
}

HttpResponse serialize(const google::protobuf::Message& message, Encoding encoding)
{
    HttpResponse response { .contentType = std::string { contentTypeOf(encoding) } };
    if (encoding == Encoding::Protobuf) {
        response.body = message.SerializeAsString();
        return response;
    }
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    const auto status = google::protobuf::util::MessageToJsonString(message, &response.body, options);
    if (!status.ok())
        throw RequestError { { .outcome = Outcome::Unknown,
            .reason = RefusalReason::Internal,
            .message = "the answer has no JSON form: " + status.message().as_string() } };
    return response;
}

/// The request's own id where it has one that can be given back.
std::string requestIdOf(const google::protobuf::Message& message)
{
    const auto* field = message.GetDescriptor()->FindFieldByName("request_id");
    if (field == nullptr || field->cpp_type() != google::protobuf::FieldDescriptor::CPPTYPE_STRING)
        return {};
    auto id = message.GetReflection()->GetString(message, field);
    return isValidRequestId(id) ? id : std::string {};
}

RpcContext contextOf(const HttpRequest& request)
{
    RpcContext context { .traceparent = std::string { request.header("traceparent") },
        .received = std::chrono::steady_clock::now() };
    const auto authorization = request.header("Authorization");
    if (authorization.starts_with(bearerPrefix))
        context.bearer = authorization.substr(bearerPrefix.size());
    return context;
}

void requireCallable(const HttpRequest& request)
{
    if (request.method != "POST")
        throw StatusError { badRequest("methods are called with POST"), methodNotAllowed };
    if (!encodingOf(request.header("Content-Type")))
        throw StatusError { badRequest("Content-Type must be application/json or application/protobuf"),
            unsupportedMediaType };
}

} // namespace

std::string RpcDispatcher::pathOf(const google::protobuf::MethodDescriptor& descriptor)
{
    return '/' + descriptor.service()->full_name() + '/' + descriptor.name();
}

asio::awaitable<HttpResponse> RpcDispatcher::dispatch(HttpRequest request) const
{
    auto requestId = newRequestId();
    const auto encoding = encodingOf(request.header("Content-Type")).value_or(Encoding::Json);
    try {
        const auto entry = this->methods.find(request.path);
        if (entry == this->methods.end())
            throw StatusError { badRequest("there is no method at this path"), notFound };
        requireCallable(request);
        MessagePointer message { entry->second.prototype->New() };
        parse(request, encoding, *message);
        if (auto own = requestIdOf(*message); !own.empty())
            requestId = std::move(own);
        const auto answer = co_await entry->second.call(contextOf(request), std::move(message));
        auto response = serialize(*answer, encoding);
        response.headers.push_back({ "X-Request-Id", requestId });
        co_return response;
    } catch (const StatusError& error) {
        co_return errorResponse(
            error.error, { .requestId = requestId, .status = error.status, .encoding = encoding });
    } catch (const RequestError& error) {
        co_return errorResponse(error, { .requestId = requestId, .encoding = encoding });
    } catch (const std::exception& error) {
        const RequestError unknown { { .outcome = Outcome::Unknown,
            .reason = RefusalReason::Internal,
            .message = std::string { "internal error: " } + error.what() } };
        co_return errorResponse(unknown, { .requestId = requestId, .encoding = encoding });
    }
}

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/callers/http_message.h>
#include <cyclamendrift/core/instant.h>

#include <asio/awaitable.hpp>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// What came with a call beside its message.
struct RpcContext {
    /// The secret of `Authorization: Bearer`, empty when there was none.
    std::string bearer;
    /// W3C trace context, empty when there was none.
    std::string traceparent;
    Instant received;
};

/// Carries the methods of protobuf services over HTTP: POST /<package>.<Service>/<Method>, with the message
/// as protobuf or JSON, and the answer in the same form. A RequestError that a method throws becomes an
/// api::Error in JSON; any other exception becomes one with "outcome unknown".
///
///     dispatcher.add<api::EndRequest, api::EndResponse>(
///         *api::Statements::descriptor()->FindMethodByName("Commit"), commit);
///     auto response = co_await dispatcher.dispatch(request);
class RpcDispatcher {
public:
    template <class Request, class Response>
    using Method = std::function<asio::awaitable<Response>(RpcContext, Request)>;

    /// Serves one method of a service.
    template <class Request, class Response>
    void add(const google::protobuf::MethodDescriptor& descriptor, Method<Request, Response> method)
    {
        this->methods.emplace(pathOf(descriptor),
            Entry { &Request::default_instance(),
                [method = std::move(method)](RpcContext context,
                    std::unique_ptr<google::protobuf::Message> request) -> asio::awaitable<MessagePointer> {
                    auto& typed = static_cast<Request&>(*request);
                    auto response = co_await method(std::move(context), std::move(typed));
                    co_return std::make_unique<Response>(std::move(response));
                } });
    }

    /// The path under which a method is served.
    [[nodiscard]] static std::string pathOf(const google::protobuf::MethodDescriptor& descriptor);

    /// Answers one request; throws nothing but what memory runs out of. The dispatcher outlives the call.
    [[nodiscard]] asio::awaitable<HttpResponse> dispatch(HttpRequest request) const;

private:
    using MessagePointer = std::unique_ptr<google::protobuf::Message>;

    struct Entry {
        const google::protobuf::Message* prototype = nullptr;
        std::function<asio::awaitable<MessagePointer>(RpcContext, MessagePointer)> call;
    };

    std::map<std::string, Entry, std::less<>> methods;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/instant.h>

#include <google/protobuf/service.h>

#include <string>
#include <vector>

namespace cyclamendrift {

/// Carries calls of protobuf stubs over HTTP with libcurl, blocking. Every failure of CallMethod is an
/// OperatorError.
///
///     HttpRpcChannel channel { { .endpoints = { "http://10.0.0.1:7002" }, .secret = secret } };
///     api::Operators::Stub stub { &channel };
class HttpRpcChannel final : public google::protobuf::RpcChannel {
public:
    struct Options {
        /// Tried in this order. A call that may have been received goes on to the next one only when
        /// repeating it does no harm, which is true of reads and of changes with a change id.
        std::vector<std::string> endpoints;
        std::string secret;
        Duration connectTimeout = std::chrono::seconds { 2 };
        Duration callTimeout = std::chrono::seconds { 10 };
    };

    explicit HttpRpcChannel(Options options);

    void CallMethod( // NOLINT(readability-identifier-naming): the name is protobuf's
        const google::protobuf::MethodDescriptor* method, google::protobuf::RpcController* controller,
        const google::protobuf::Message* request, google::protobuf::Message* response,
        google::protobuf::Closure* done) override;

private:
    void callEndpoint(const std::string& endpoint, const google::protobuf::MethodDescriptor& method,
        const google::protobuf::Message& request, google::protobuf::Message& response) const;

    Options options;
};

} // namespace cyclamendrift

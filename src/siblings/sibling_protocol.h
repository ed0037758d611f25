#pragma once

#include <cyclamendrift/core/request_error.h>

#include <string>
#include <string_view>

/// Names and codecs of the protocol between siblings (see docs/design/siblings.md).
namespace cyclamendrift::sibling_protocol {

constexpr std::string_view helloPath = "/hello";
constexpr std::string_view fromField = "cyclamendrift-from";
constexpr std::string_view timeoutField = "cyclamendrift-timeout-us";
constexpr std::string_view nonceField = "cyclamendrift-nonce";
constexpr std::string_view macField = "cyclamendrift-code";
constexpr std::string_view resultField = "cyclamendrift-result";
constexpr std::string_view traceField = "traceparent";

/// The body is the handler's answer.
constexpr std::string_view answeredResult = "answered";
/// The body is an api.Error.
constexpr std::string_view refusedResult = "refused";

// First field of the input of each MAC, so that the MAC of one kind of message is never valid for another
// kind.
constexpr std::string_view helloLabel = "hello";
constexpr std::string_view callLabel = "call";
constexpr std::string_view answerLabel = "answer";

/// Encodes a refusal as the body of an answer.
[[nodiscard]] std::string encodeRefusal(const RequestError& error);

/// Decodes a refusal from the body of an answer; throws SiblingError with BadAnswer if it is malformed.
[[nodiscard]] RequestError decodeRefusal(const std::string& body);

} // namespace cyclamendrift::sibling_protocol

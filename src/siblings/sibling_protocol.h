#pragma once

#include <cyclamendrift/core/request_error.h>

#include <string>
#include <string_view>

/// Names and codecs of the protocol between siblings; docs/design/siblings.md describes it.
namespace cyclamendrift::sibling_protocol {

constexpr std::string_view helloPath = "/hello";
constexpr std::string_view fromField = "cyclamendrift-from";
constexpr std::string_view timeoutField = "cyclamendrift-timeout-us";
constexpr std::string_view nonceField = "cyclamendrift-nonce";
constexpr std::string_view macField = "cyclamendrift-code";
constexpr std::string_view resultField = "cyclamendrift-result";
constexpr std::string_view traceField = "traceparent";

/// The handler's answer is the body.
constexpr std::string_view answeredResult = "answered";
/// The body is an api.Error.
constexpr std::string_view refusedResult = "refused";

// What authentication codes are computed over begins with one of these, so that a code of one kind of message
// is never that of another.
constexpr std::string_view helloLabel = "hello";
constexpr std::string_view callLabel = "call";
constexpr std::string_view answerLabel = "answer";

/// A refusal as the body of an answer.
[[nodiscard]] std::string encodeRefusal(const RequestError& error);

/// The refusal in a body; throws SiblingError with BadAnswer when it is none.
[[nodiscard]] RequestError decodeRefusal(const std::string& body);

} // namespace cyclamendrift::sibling_protocol

#pragma once

#include "message_key.h"

#include <cyclamendrift/core/request_error.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
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

// Earlier builds know only the text encoding: the path of a call is its method, and the MAC and the time left
// are header fields. In the binary encoding the path is "/", a header field contains the method, and a
// trailer at the end of the body contains the MAC and the time left. HPACK encodes "/" and the repeated
// method in a byte each; a path is never put into its table. Both encodings have the same input to the MAC.
// An attacker who removes the offer from a hello therefore gains nothing.
constexpr std::string_view encodingField = "cyclamendrift-encoding";
constexpr std::string_view binaryEncoding = "binary";
constexpr std::string_view binaryPath = "/";
constexpr std::string_view methodField = "cyclamendrift-method";

/// The body is the handler's answer.
constexpr std::string_view answeredResult = "answered";
/// The body is an api.Error.
constexpr std::string_view refusedResult = "refused";

// First field of the input of each MAC, so that the MAC of one kind of message is never valid for another
// kind.
constexpr std::string_view helloLabel = "hello";
constexpr std::string_view callLabel = "call";
constexpr std::string_view answerLabel = "answer";

/// Longer time-outs of a call are reduced to this.
constexpr auto maxCallTimeout = std::chrono::hours { 1 };

/// Bytes of the time left at the end of a call; enough for maxCallTimeout in microseconds.
constexpr std::size_t timeoutBytes = 4;
/// Bytes that the binary encoding adds to the body of a call at most.
constexpr std::size_t maxTrailerBytes = MessageKey::macBytes + timeoutBytes;

/// Encodes the time left of a call.
[[nodiscard]] std::string encodeTimeout(std::uint32_t microseconds);

/// Removes the time left from the end of a body; empty if the body is too short.
[[nodiscard]] std::optional<std::uint32_t> takeTimeout(std::string& body);

/// Removes the MAC from the end of a body; empty if the body is too short.
[[nodiscard]] std::string takeMac(std::string& body);

/// Encodes a refusal as the body of an answer.
[[nodiscard]] std::string encodeRefusal(const RequestError& error);

/// Decodes a refusal from the body of an answer; throws SiblingError with BadAnswer if it is malformed.
[[nodiscard]] RequestError decodeRefusal(const std::string& body);

} // namespace cyclamendrift::sibling_protocol

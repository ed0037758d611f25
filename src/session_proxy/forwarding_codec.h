#pragma once

#include <cyclamendrift/pooling/forwarded_statement.h>
#include <cyclamendrift/pooling/reply.h>

#include <string>

/// Encoding of statements that are forwarded to an owner VM, and of its answers. Decoding throws RequestError
/// with the outcome "not run".
namespace cyclamendrift::forwarding_codec {

[[nodiscard]] std::string encode(const ForwardedStatement& work);
[[nodiscard]] ForwardedStatement decodeWork(const std::string& body);

[[nodiscard]] std::string encode(const Reply& reply);
[[nodiscard]] Reply decodeReply(const std::string& body);

[[nodiscard]] std::string encodeRelease(CallerId guest);
[[nodiscard]] CallerId decodeRelease(const std::string& body);

} // namespace cyclamendrift::forwarding_codec

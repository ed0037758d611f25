#pragma once

#include <google/protobuf/message.h>

#include <string>

namespace cyclamendrift {

/// A message as JSON, with fields named as in the schema.
[[nodiscard]] std::string toJson(const google::protobuf::Message& message);

/// Reads a message from JSON; false when it is none. Fields that the schema does not have are passed over.
[[nodiscard]] bool fromJson(const std::string& json, google::protobuf::Message& message);

} // namespace cyclamendrift

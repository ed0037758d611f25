#include "json.h"

#include <google/protobuf/util/json_util.h>

namespace cyclamendrift {

std::string toJson(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string json;
    // Only a message with an Any of unknown type cannot be printed, and the schema has none.
    (void)google::protobuf::util::MessageToJsonString(message, &json, options);
    return json;
}

bool fromJson(const std::string& json, google::protobuf::Message& message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    return google::protobuf::util::JsonStringToMessage(json, &message, options).ok();
}

} // namespace cyclamendrift

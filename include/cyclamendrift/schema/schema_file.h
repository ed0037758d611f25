#pragma once

#include <cyclamendrift/schema/schema_problem.h>

#include <cyclamendrift.pb.h>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// A schema file as it was read: protobuf text format of api::Schema.
struct SchemaFile {
    api::Schema schema;
    /// Every problem of syntax and content with its line and column; empty when the schema is valid.
    std::vector<SchemaProblem> problems;
};

/// Reads and validates a schema file.
///
///     const auto file = parseSchemaFile("teams { name: \"hospitals\" rate_per_second: 50 burst: 100 }");
///     file.problems.empty(); // true
[[nodiscard]] SchemaFile parseSchemaFile(std::string_view text);

/// The schema in the text format that parseSchemaFile reads.
[[nodiscard]] std::string formatSchema(const api::Schema& schema);

} // namespace cyclamendrift

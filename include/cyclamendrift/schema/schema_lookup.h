#pragma once

#include <cyclamendrift/core/database_name.h>

#include <cyclamendrift.pb.h>

namespace cyclamendrift {

/// The description of a database, or null; it lives as long as the schema.
///
///     if (const auto* database = findDatabase(schema, { ServiceName { "register" }, "beds" }))
///         connect(database->slots());
[[nodiscard]] const api::Database* findDatabase(const api::Schema& schema, const DatabaseName& name);

} // namespace cyclamendrift

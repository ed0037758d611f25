#include <cyclamendrift/schema/schema_lookup.h>

namespace cyclamendrift {

const api::Database* findDatabase(const api::Schema& schema, const DatabaseName& name)
{
    for (const auto& service : schema.services()) {
        if (service.name() != name.service.view())
            continue;
        for (const auto& database : service.databases()) {
            if (database.name() == name.name)
                return &database;
        }
    }
    return nullptr;
}

} // namespace cyclamendrift

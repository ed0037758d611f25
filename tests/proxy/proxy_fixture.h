#pragma once

#include <cyclamendrift/proxy/proxy.h>
#include <cyclamendrift/schema/key_hash.h>

#include <standins/memory_store.h>
#include <standins/postgres_group.h>

#include <google/protobuf/util/json_util.h>

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

/// A list without any other VM.
class EmptyVmList final : public cyclamendrift::VmList {
public:
    asio::awaitable<std::vector<cyclamendrift::VmEntry>> fetch() override
    {
        co_return std::vector<cyclamendrift::VmEntry> {};
    }
};

inline constexpr auto callerSecret = "a caller's secret, long enough";

/// A schema with one database, whose slots are those of a stand-in, and one team with one key.
inline cyclamendrift::api::Schema schemaFor(const cyclamendrift::standins::PostgresGroup& group)
{
    cyclamendrift::api::Schema schema;
    auto& service = *schema.add_services();
    service.set_name("register");
    auto& database = *service.add_databases();
    database.set_name("beds");
    database.set_connection_cap(20);
    for (const auto* name : { "a", "b", "c" }) {
        auto& slot = *database.add_slots();
        slot.set_name(name);
        slot.set_address("127.0.0.1");
        slot.set_port(group.port(name));
        slot.set_availability_zone(name);
    }
    auto& team = *schema.add_teams();
    team.set_name("hospitals");
    team.set_rate_per_second(1000);
    team.set_burst(1000);
    team.add_services("register");
    auto& key = *schema.add_keys();
    key.set_id("k1");
    key.set_team("hospitals");
    key.set_secret_hash(cyclamendrift::hashSecret(callerSecret));
    return schema;
}

/// A proxy of its own fleet, alone with a store in memory, before a stand-in.
inline cyclamendrift::Proxy::Options aloneWith(cyclamendrift::api::Schema schema)
{
    using namespace cyclamendrift;
    Settings settings;
    settings.vm = { .name = VmName { "vm1" }, .zone = ZoneName { "palermo" } };
    settings.operators.secret = "operators' secret";
    settings.siblings.secret = "siblings' secret";
    settings.upstreams.user = "cyclamendrift";
    settings.callers.requestTimeout = std::chrono::seconds { 10 };
    settings.drainTimeout = std::chrono::seconds { 10 };
    return { .settings = settings,
        .dependencies = { .makeStore
            = [](const auto& executor) { return std::make_shared<standins::MemoryStore>(executor); },
            .makeVmList = [](const auto&) { return std::make_shared<EmptyVmList>(); },
            .makeFleet =
                [schema = std::move(schema)](FleetOptions options) {
                    options.initialSchema = schema;
                    return makeFleet(std::move(options));
                },
            .connector = &Connection::open } };
}

#pragma once

#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/proxy/proxy.h>
#include <cyclamendrift/schema/key_hash.h>

#include <standins/postgres_group.h>

#include <google/protobuf/util/json_util.h>

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

/// A store that is never there; the fleet lives on its initial schema.
class AbsentStore final : public cyclamendrift::Store {
public:
    asio::awaitable<std::optional<cyclamendrift::StoreEntry>> get(std::string) override
    {
        fail();
        co_return std::nullopt;
    }
    asio::awaitable<std::vector<cyclamendrift::StoreEntry>> list(std::string) override
    {
        fail();
        co_return std::vector<cyclamendrift::StoreEntry> {};
    }
    asio::awaitable<cyclamendrift::SwapOutcome> compareAndSwap(cyclamendrift::SwapOptions) override
    {
        fail();
        co_return cyclamendrift::SwapConflict {};
    }
    asio::awaitable<cyclamendrift::LeaseId> grantLease(cyclamendrift::Duration) override
    {
        fail();
        co_return cyclamendrift::LeaseId::None;
    }
    asio::awaitable<void> keepAlive(cyclamendrift::LeaseId) override
    {
        fail();
        co_return;
    }
    asio::awaitable<void> revokeLease(cyclamendrift::LeaseId) override
    {
        fail();
        co_return;
    }
    asio::awaitable<void> watch(
        std::string, std::uint64_t, std::function<void(const cyclamendrift::StoreChange&)>) override
    {
        fail();
        co_return;
    }

private:
    static void fail()
    {
        throw cyclamendrift::StoreError(cyclamendrift::StoreError::Kind::Unreachable, "there is no store");
    }
};

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

/// Settings with free ports.
inline cyclamendrift::Settings testSettings()
{
    cyclamendrift::Settings settings;
    settings.vm = { .name = cyclamendrift::VmName { "vm1" }, .zone = cyclamendrift::ZoneName { "palermo" } };
    settings.operators.secret = "operators' secret";
    settings.siblings.secret = "siblings' secret";
    settings.upstreams.user = "cyclamendrift";
    settings.callers.requestTimeout = std::chrono::seconds { 5 };
    settings.drainTimeout = std::chrono::seconds { 5 };
    return settings;
}

/// First step: the first slot is primary for good. The driver of the group takes over this task.
inline std::shared_ptr<cyclamendrift::DatabaseHome> makeHomeWithFixedPrimary(
    cyclamendrift::DatabaseHomeOptions options)
{
    using namespace cyclamendrift;
    GroupView view { .phase = GroupView::Phase::Serving, .term = Term { 1 } };
    for (const auto& slot : options.description.slots())
        view.slots.emplace_back(slot.name());
    view.primary = view.slots.front();
    view.inSync = view.slots;
    auto home = makeDatabaseHome(std::move(options));
    home->setView(std::make_shared<const GroupView>(std::move(view)));
    return home;
}

/// A proxy that is alone in its fleet, before a stand-in.
inline cyclamendrift::Proxy::Options aloneWith(cyclamendrift::api::Schema schema)
{
    using namespace cyclamendrift;
    return { .settings = testSettings(),
        .dependencies = { .makeStore = [](const auto&) { return std::make_shared<AbsentStore>(); },
            .makeVmList = [](const auto&) { return std::make_shared<EmptyVmList>(); },
            .makeFleet =
                [schema = std::move(schema)](FleetOptions options) {
                    options.initialSchema = schema;
                    return makeFleet(std::move(options));
                },
            .makeHome = &makeHomeWithFixedPrimary,
            .connector = &Connection::open } };
}

#pragma once

#include <cyclamendrift/commits/ledger.h>
#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/timer_service.h>
#include <cyclamendrift/proxy/database_home.h>
#include <cyclamendrift/upstreams/connection.h>
#include <cyclamendrift/upstreams/slot_control.h>

#include <cyclamendrift.pb.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// Opens a connection to an upstream: Connection::open in daemons, a fake in tests.
using Connector = std::function<asio::awaitable<std::unique_ptr<Connection>>(
    asio::any_io_executor executor, Connection::Options options, Instant deadline)>;

/// What a home proxy of one database is made from.
struct DatabaseHomeOptions {
    /// Executor of one traffic thread; all of the home's work runs on it.
    asio::any_io_executor executor;
    /// This VM; transaction ids carry its name, so that any entry proxy finds the home again.
    VmName vm;
    DatabaseName name;
    /// Slots and connection cap, as the configuration in force gives them.
    api::Database description;
    /// User and password of the upstreams; host, port and database name come from the description.
    Connection::Options credentials;
    Connector connector;
    /// How long a new connection may take.
    Duration connectTimeout = std::chrono::seconds { 1 };
    /// True when the platform's list gives a slot's VM as leaving; it gets no new work then.
    std::function<bool(std::string_view address, std::uint16_t port)> isLeaving;
    /// Weight of a team in the sharing of connections; every team counts 1 when unset.
    std::function<std::uint32_t(const TeamName&)> weightOf;
    /// Its ticks have to run on the executor; the home makes its own when unset.
    std::shared_ptr<TimerService> timers;
    /// Time of day for the ledger; the system's clock when unset.
    std::function<WallClockTime()> wallClock;
    SlotControl::Options slotControl;
    Ledger::Options ledger;
    /// How long a change of primary is expected to take; what cannot wait that long is refused at once.
    Duration expectedOutage = std::chrono::seconds { 4 };
    /// Without a statement for this long, a transaction is rolled back.
    Duration transactionIdleTimeout = std::chrono::seconds { 10 };
    /// Seed of all random choices; from the system in daemons.
    std::uint64_t seed = 0;
};

/// Makes the home of one database. It holds work until it has been given a view that names a primary. The
/// home may be called from any thread; each call resumes on its caller's executor.
///
///     auto home = makeDatabaseHome({ .executor = traffic.get_executor(), .vm = self, .name = beds,
///         .description = database, .credentials = credentials, .connector = &Connection::open });
///     auto answer = co_await home->execute(request);
[[nodiscard]] std::shared_ptr<DatabaseHome> makeDatabaseHome(DatabaseHomeOptions options);

} // namespace cyclamendrift

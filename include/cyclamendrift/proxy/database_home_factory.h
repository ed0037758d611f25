#pragma once

#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/proxy/database_home.h>
#include <cyclamendrift/upstreams/connection.h>

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
    /// True when the platform's list gives a slot's VM as leaving; it gets no new work then.
    std::function<bool(std::string_view address, std::uint16_t port)> isLeaving;
};

/// Makes the home of one database. The home may be called from any thread; each call resumes on its caller's
/// executor.
///
///     auto home = makeDatabaseHome({ .executor = traffic.get_executor(), .vm = self, .name = beds,
///         .description = database, .credentials = credentials, .connector = &Connection::open });
///     auto answer = co_await home->execute(request);
[[nodiscard]] std::shared_ptr<DatabaseHome> makeDatabaseHome(DatabaseHomeOptions options);

} // namespace cyclamendrift

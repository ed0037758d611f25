#pragma once

#include <cyclamendrift/proxy/database_home.h>
#include <cyclamendrift/proxy/fleet.h>
#include <cyclamendrift/proxy/group_driver.h>
#include <cyclamendrift/proxy/proxy_dependencies.h>
#include <cyclamendrift/siblings/sibling_server.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamendrift {

/// Name of the method by which siblings ask for an opinion of a slot.
inline constexpr auto slotOpinionMethod = "SlotOpinion";

/// Drives the groups of the databases that this VM is home of, and exchanges opinions of slots with siblings.
/// Drivers run on the control thread; the service may be called from any.
class GroupService : public std::enable_shared_from_this<GroupService> {
public:
    struct Options {
        asio::any_io_executor control;
        VmName self;
        ZoneName zone;
        std::shared_ptr<Fleet> fleet;
        std::shared_ptr<Store> store;
        Connection::Options credentials;
        Connector connector;
        SiblingCaller callSibling;
        FailoverSettings failover;
    };

    explicit GroupService(Options options);

    /// The home with a driver of its group beside it; the driver ends with it.
    [[nodiscard]] std::shared_ptr<DatabaseHome> drive(
        std::shared_ptr<DatabaseHome> home, const DatabaseName& name, const api::Database& description);

    /// Answers a sibling that asks for this VM's opinion of a slot; throws RequestError.
    [[nodiscard]] asio::awaitable<std::string> opinionFor(IncomingSiblingCall call);

private:
    [[nodiscard]] GroupDriver::Options driverOptions(
        const DatabaseName& name, const api::Database& description) const;
    [[nodiscard]] std::size_t rankIn(const DatabaseName& name) const;
    [[nodiscard]] std::vector<SiblingAddress> siblingsFor(const DatabaseName& name) const;
    [[nodiscard]] asio::awaitable<SiblingOpinions> askSiblings(
        DatabaseName name, SlotName slot, Instant deadline) const;
    [[nodiscard]] std::shared_ptr<GroupDriver> driverOf(const DatabaseName& name);

    Options options;
    std::mutex mutex;
    std::map<DatabaseName, std::weak_ptr<GroupDriver>> drivers;
};

} // namespace cyclamendrift

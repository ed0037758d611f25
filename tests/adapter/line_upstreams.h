#pragma once

#include <platform/line_socket.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// A primary and its replicas that speak the users' line protocol on loopback: terms, positions, PAUSE,
/// DEMOTE and promotion. Replication is immediate unless a replica is paused. Runs on one thread.
class LineUpstreams {
public:
    LineUpstreams(asio::io_context& context, std::string service, std::size_t count);
    ~LineUpstreams();

    struct Node {
        std::string id;
        std::uint16_t port = 0;
        bool primary = false;
        std::uint64_t term = 1;
        std::uint64_t position = 100;
        std::uint64_t held = 0;
        bool running = true;
        std::string zone = "palermo";
        /// Callers' statements that it has received.
        std::size_t statements = 0;
        std::map<std::string, std::string> items;
    };

    [[nodiscard]] Node& node(std::size_t index);
    /// The node's entry in the directory.
    [[nodiscard]] std::string entryOf(std::size_t index) const;
    /// Stops a node and closes its connections without notice.
    void kill(std::size_t index);
    /// Promotes a node to the primary of the next term; false when it is not running.
    bool promote(const std::string& id);
    /// Ids of all writes that were committed, in order.
    [[nodiscard]] const std::vector<std::string>& committed() const noexcept { return this->commits; }
    /// Teams on whose behalf connections were opened.
    [[nodiscard]] const std::set<std::string>& teams() const noexcept { return this->teamsSeen; }

private:
    struct Server;
    struct Session;

    void accept(Server& server);
    void take(const std::shared_ptr<Session>& session, std::string_view line);
    std::string answer(Session& session, const std::string& id, std::string text);
    std::string order(Session& session, const std::string& text);
    std::string data(Session& session, const std::string& id, const std::string& text);
    void commit(Session& session);
    static std::string ready(const Session& session);

    asio::io_context& context;
    std::string service;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::string> commits;
    std::set<std::string> teamsSeen;
};

} // namespace cyclamendrift

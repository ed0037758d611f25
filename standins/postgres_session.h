#pragma once

#include "group_model.h"
#include "slot_transaction.h"
#include "sql_statement.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift::standins {

class PostgresSession;

/// What the sessions of one slot share; used on the group's thread alone.
struct SlotSessions {
    SlotModel* model = nullptr;
    GroupModel* group = nullptr;
    std::size_t maxConnections = 0;
    Duration connectDelay {};
    Duration statementDelay {};
    std::map<std::uint32_t, std::shared_ptr<PostgresSession>> open;
    std::uint32_t lastSession = 0;
    bool recordReceived = false;
    std::string received;
    /// Called after a commit or a change of roles.
    std::function<void()> onChange;
};

/// One client connection to a slot of the stand-in.
class PostgresSession : public std::enable_shared_from_this<PostgresSession> {
public:
    PostgresSession(asio::ip::tcp::socket socket, SlotSessions& slot);

    /// Serves the connection until it ends.
    asio::awaitable<void> run();
    /// From now on the other end gets nothing any more, and nothing it sends arrives.
    void silence() noexcept { this->silent = true; }
    /// Ends the connection; its transaction is rolled back.
    void close();
    /// Ends the wait of a statement for a lock, or gives it up after CancelRequest.
    void wake(bool cancelled = false);

private:
    struct Message {
        char type = 0;
        std::string payload;
    };
    struct Portal {
        SqlStatement statement;
        std::vector<Value> parameters;
        bool described = false;
    };

    void wakeOthers();
    asio::awaitable<bool> startUp();
    asio::awaitable<std::string> read(std::size_t count);
    asio::awaitable<Message> readMessage();
    asio::awaitable<void> flush();
    asio::awaitable<void> pause(Duration duration);

    asio::awaitable<void> handle(const Message& message);
    asio::awaitable<void> handleExtended(const Message& message);
    asio::awaitable<void> simpleQuery(std::string text);
    void parse(std::string_view payload);
    void bind(std::string_view payload);
    void describe(std::string_view payload);
    asio::awaitable<void> executePortal(std::string_view payload);
    void sync();

    asio::awaitable<StatementResult> execute(
        const SqlStatement& statement, const std::vector<Value>& parameters);
    void sendRows(const StatementResult& result, bool withDescription);
    void sendError(const std::string& sqlState, const std::string& message);
    void sendReady();

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    SlotSessions& slot;
    std::uint32_t number = 0;
    std::string input;
    std::string output;
    std::map<std::string, SqlStatement> prepared;
    std::map<std::string, Portal> portals;
    SlotTransaction transaction;
    bool skipToSync = false;
    bool silent = false;
    bool closed = false;
    bool cancelled = false;
    bool waitsForLock = false;
};

} // namespace cyclamendrift::standins

#pragma once

#include <proxy/virtual_time.h>

#include <standins/execution.h>
#include <standins/group_model.h>

#include <cyclamendrift/upstreams/connection.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamendrift::testing {

/// What happens to one pipeline on its way.
enum class PipelineFault : std::uint8_t {
    None,
    /// The connection ends before the pipeline arrives.
    LostBefore,
    /// The pipeline runs, and the connection ends before its answer.
    LostAfter,
    /// The connection stays open and nothing comes back; the pipeline never arrives.
    SilentBefore,
    /// The same, but the pipeline runs.
    SilentAfter,
};

/// A database group in virtual time, with the tables, locks and replication of the PostgreSQL stand-in and no
/// network.
class FakeGroup {
public:
    struct Options {
        std::vector<std::string> slots { "a", "b", "c" };
        Duration lag = std::chrono::milliseconds { 3 };
        Duration oneWay = std::chrono::milliseconds { 1 };
        Duration connectTime = std::chrono::milliseconds { 10 };
        std::size_t cap = 20;
    };

    FakeGroup(asio::io_context& context, VirtualTime& time, Options options);

    /// To be given to a home as its connector; the slot's number is the port.
    [[nodiscard]] asio::awaitable<std::unique_ptr<Connection>> open(
        asio::any_io_executor executor, Connection::Options target, Instant deadline);

    /// Runs one statement as an operator on a slot would, outside of everything.
    RowSet query(const std::string& slot, const std::string& sql);

    /// Asked for each pipeline that is sent.
    std::function<PipelineFault(const std::string& slot, std::span<const Statement> statements)> faultOf;
    /// Called for each statement that a slot runs, with its session's number.
    std::function<void(std::uint64_t session, const Statement& statement)> onRun;
    /// Extra time that each pipeline takes at a slot.
    std::map<std::string, Duration> slowness;
    /// Slots that take no new connections.
    std::set<std::string> unreachable;

    standins::GroupModel model;
    std::map<std::string, std::size_t> sessions;
    std::map<std::string, std::size_t> mostSessions;
    std::size_t opens = 0;
    std::size_t refusedOpens = 0;

    /// Makes every connection open now silent.
    void silenceAll() { ++this->silencedEpoch; }

private:
    friend class FakeConnection;

    void replicate();

    asio::io_context& context;
    VirtualTime& time;
    Options options;
    std::uint64_t lastSession = 0;
    std::uint64_t silencedEpoch = 0;
};

} // namespace cyclamendrift::testing

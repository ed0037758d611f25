#pragma once

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/leadership/leadership_events.h>
#include <cyclamendrift/pooling/caller_statement.h>
#include <cyclamendrift/pooling/engine_actions.h>
#include <cyclamendrift/pooling/route_table.h>

#include <asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Interfaces of a session proxy to callers, upstreams and the platform. An adapter implements them for the
/// protocols of one platform.
namespace cyclamendrift {

/// Receives events of callers; on the traffic thread.
class CallerEvents {
public:
    virtual ~CallerEvents() = default;
    virtual void connected(CallerId caller) = 0;
    virtual void started(CallerId caller, SessionStart start) = 0;
    virtual void statementReceived(CallerId caller, CallerQuery query) = 0;
    virtual void disconnected(CallerId caller) = 0;
};

/// Sessions of callers; on the traffic thread.
class CallerPort {
public:
    virtual ~CallerPort() = default;
    /// Starts to accept callers.
    virtual void listen(CallerEvents& events) = 0;
    virtual void accept(CallerId caller) = 0;
    virtual void answer(CallerId caller, const Reply& reply) = 0;
    /// Closes a session after all replies were sent; `disconnected` is not called for it.
    virtual void close(CallerId caller, const std::optional<StatementFailure>& failure) = 0;
    /// Accepts no further callers; open sessions continue.
    virtual void stopListening() = 0;
    /// True while replies of closed sessions are still being sent.
    [[nodiscard]] virtual bool isSending() const = 0;
};

/// Receives events of connections; on the traffic thread. Not called for a connection after close().
class UpstreamEvents {
public:
    virtual ~UpstreamEvents() = default;
    virtual void opened(ConnectionId connection, std::optional<Progress> progress) = 0;
    virtual void refused(ConnectionId connection, StatementError error) = 0;
    virtual void lost(ConnectionId connection) = 0;
    virtual void replied(ConnectionId connection, Reply reply) = 0;
};

/// Connections to upstreams; on the traffic thread.
class UpstreamPort {
public:
    virtual ~UpstreamPort() = default;
    virtual void setEvents(UpstreamEvents& events) = 0;
    virtual void open(ConnectionId connection, const UpstreamEntry& upstream, const TeamName& team) = 0;
    virtual void send(ConnectionId connection, const UpstreamStatement& statement) = 0;
    virtual void close(ConnectionId connection) = 0;
};

/// Report the status.
struct ReportStatus { };
/// Stop receiving from primaries of a term below `term`.
struct PauseReplication {
    Term term {};
};
/// Receive from the primary again.
struct ResumeReplication { };
/// Become a replica if it is the primary of a term below `term`.
struct StepDown {
    Term term {};
};
/// An order to an upstream, which answers each with its status.
using UpstreamOrder = std::variant<ReportStatus, PauseReplication, ResumeReplication, StepDown>;

/// Orders to upstreams and to the platform about primaries; on the control thread.
class LeadershipPort {
public:
    virtual ~LeadershipPort() = default;
    /// Returns nothing when the upstream refused or did not answer in time.
    [[nodiscard]] virtual asio::awaitable<std::optional<UpstreamStatus>> order(
        UpstreamEntry upstream, UpstreamOrder order)
        = 0;

    enum class PromotionAnswer : std::uint8_t { Accepted, NotRunning, NoAnswer };
    /// Asks the platform to promote an upstream of a service.
    [[nodiscard]] virtual asio::awaitable<PromotionAnswer> promote(
        ServiceName service, UpstreamName upstream, VmName holder, std::uint64_t token)
        = 0;
};

/// Thrown when a value in the platform's store cannot be read.
class FormatError : public Error {
public:
    using Error::Error;
};

/// An operator's request to evacuate an availability zone. It holds as long as its key exists.
struct EvacuationRequest {
    ZoneName zone;
    /// False when the value is not in the platform's form; the request holds all the same.
    bool wellFormed = true;
};

/// Keys and formats of what operators and upstreams write into the platform's store.
class PlatformFormat {
public:
    virtual ~PlatformFormat() = default;
    /// Prefix of all keys that operators write; includes the configuration's key and `evacuationPrefix()`.
    [[nodiscard]] virtual std::string operatorPrefix() const = 0;
    [[nodiscard]] virtual std::string configurationKey() const = 0;
    [[nodiscard]] virtual std::string evacuationPrefix() const = 0;
    [[nodiscard]] virtual std::string upstreamPrefix() const = 0;
    /// Throws FormatError.
    [[nodiscard]] virtual RouteTable readRoutes(std::string_view value) const = 0;
    /// Throws FormatError when the key names no availability zone.
    [[nodiscard]] virtual EvacuationRequest readEvacuation(
        std::string_view key, std::string_view value) const = 0;
    /// Throws FormatError when the entry names no upstream that can be used.
    [[nodiscard]] virtual UpstreamEntry readUpstream(std::string_view key, std::string_view value) const = 0;
};

} // namespace cyclamendrift

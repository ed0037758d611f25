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

/// What a session proxy needs of its surroundings. An adapter implements these for the protocols of one
/// platform.
namespace cyclamendrift {

/// Is told what callers do; on the traffic thread.
class CallerEvents {
public:
    virtual ~CallerEvents() = default;
    virtual void connected(CallerId caller) = 0;
    virtual void started(CallerId caller, SessionStart start) = 0;
    virtual void asked(CallerId caller, CallerQuery query) = 0;
    virtual void left(CallerId caller) = 0;
};

/// The sessions of callers; on the traffic thread.
class CallerPort {
public:
    virtual ~CallerPort() = default;
    /// Begins to take callers.
    virtual void listen(CallerEvents& events) = 0;
    virtual void accept(CallerId caller) = 0;
    virtual void answer(CallerId caller, const Reply& reply) = 0;
    /// Ends a session after what was answered has gone out; `left` is not called for it.
    virtual void close(CallerId caller, const std::optional<StatementFailure>& failure) = 0;
    /// Takes no more callers; sessions go on.
    virtual void stopListening() = 0;
};

/// Is told what happens to connections; on the traffic thread. Not called for a connection after it was
/// closed.
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
    virtual void use(UpstreamEvents& events) = 0;
    virtual void open(ConnectionId connection, const UpstreamEntry& upstream, const TeamName& team) = 0;
    virtual void send(ConnectionId connection, const UpstreamStatement& statement) = 0;
    virtual void close(ConnectionId connection) = 0;
};

/// Tell the status alone.
struct ReportStatus { };
/// Stop receiving below a term.
struct PauseReplication {
    Term term {};
};
/// Receive again.
struct ResumeReplication { };
/// Become a replica, if primary of a lower term.
struct StepDown {
    Term term {};
};
/// What an upstream can be told by the control side; each is answered with the status.
using UpstreamOrder = std::variant<ReportStatus, PauseReplication, ResumeReplication, StepDown>;

/// Orders to upstreams and to the platform about primaries; on the control thread.
class LeadershipPort {
public:
    virtual ~LeadershipPort() = default;
    /// Empty when no whole answer came in time or the upstream refused.
    [[nodiscard]] virtual asio::awaitable<std::optional<UpstreamStatus>> order(
        UpstreamEntry upstream, UpstreamOrder order)
        = 0;

    enum class PromotionAnswer : std::uint8_t { Accepted, NotRunning, NoAnswer };
    /// Names the upstream that takes over a service.
    [[nodiscard]] virtual asio::awaitable<PromotionAnswer> promote(
        ServiceName service, UpstreamName upstream, VmName holder, std::uint64_t token)
        = 0;
};

/// What the platform keeps in its store that cannot be read.
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

/// Where the platform keeps what operators and upstreams write, and how to read it.
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

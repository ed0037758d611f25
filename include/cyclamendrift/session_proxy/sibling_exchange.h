#pragma once

#include <cyclamendrift/limits/donor_selector.h>
#include <cyclamendrift/pooling/session_engine.h>
#include <cyclamendrift/siblings/sibling_client.h>
#include <cyclamendrift/siblings/sibling_server.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace cyclamendrift {

/// Another VM of the system, as its record in the store describes it.
struct SiblingInfo {
    SiblingAddress address;
    VmCapacity capacity;
    DemandByTeam demand;
};
using SiblingList = std::map<VmName, SiblingInfo>;

/// What the records say of the VMs' capacity.
[[nodiscard]] std::map<VmName, VmCapacity> capacitiesOf(const SiblingList& siblings);

/// A kind of question to siblings, and whether it leaves this VM's availability zone.
struct SiblingTrafficKind {
    std::string method;
    bool crossesZones = false;

    friend auto operator<=>(const SiblingTrafficKind&, const SiblingTrafficKind&) = default;
};
/// Bytes of questions and their answers, without frames.
using SiblingTraffic = std::map<SiblingTrafficKind, std::uint64_t>;

/// What session proxies ask each other: parts of their shares of limits, what they read from the store, and
/// statements to run at the home of their service. Lives on the traffic thread; call() may be used on any.
class SiblingExchange {
public:
    struct Options {
        asio::io_context& context;
        VmName self;
        ZoneName zone;
        std::string listenHost;
        std::uint16_t listenPort = 0;
        /// Takes operations out of this VM's share for a sibling; on the traffic thread.
        std::function<std::uint32_t(const TeamName&, std::uint32_t)> giveTokens;
        /// Answers a sibling that asks for what was read from the store; may resume on any thread.
        std::function<asio::awaitable<std::string>(std::string)> shareReadings;
        /// Runs a statement for a sibling until a deadline; on the traffic thread.
        std::function<asio::awaitable<std::string>(std::string, Instant)> runForSibling;
        /// A sibling goes on no more with a guest; on the traffic thread.
        std::function<void(const std::string&)> releaseRemoteSession;
    };
    /// The answer of a home, or why there is none.
    using OwnerAnswer = std::variant<std::string, ForwardFailure>;

    explicit SiblingExchange(Options options);
    ~SiblingExchange();

    /// Begins to listen; before that no sibling is reached and nothing is given.
    void open(const std::string& secret);
    [[nodiscard]] bool isOpen() const noexcept;
    void setSiblings(SiblingList siblings);
    /// What this VM has asked siblings so far; on the traffic thread.
    [[nodiscard]] const SiblingTraffic& traffic() const noexcept;

    /// Asks siblings for operations, one after the other, and reports what all of them gave; on the traffic
    /// thread.
    void requestTokens(const TeamName& team, std::uint32_t wanted, std::function<void(std::uint32_t)> done);

    /// Asks a sibling for what it read from the store; throws SiblingError or RequestError.
    [[nodiscard]] asio::awaitable<std::string> requestReadings(SiblingAddress sibling, std::string request);

    /// Has a home run a statement and reports its answer; on the traffic thread.
    void forward(
        const VmName& owner, std::string work, Duration timeLimit, std::function<void(OwnerAnswer)> done);
    /// Asks a home for a sign of life and reports whether it gave one; on the traffic thread.
    void checkLiveness(const VmName& owner, std::function<void(bool)> done);
    /// Tells a home that a guest is not needed any more; on the traffic thread.
    void releaseRemoteSession(const VmName& owner, std::string body);

    /// Takes no further calls.
    void close();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/siblings/sibling_client.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cyclamendrift {

/// A method of sibling calls, and whether the calls cross availability zones.
struct SiblingTrafficKind {
    std::string method;
    bool crossesZones = false;

    friend auto operator<=>(const SiblingTrafficKind&, const SiblingTrafficKind&) = default;
};
/// Bytes of requests and answers, without frames.
using SiblingTraffic = std::map<SiblingTrafficKind, std::uint64_t>;

/// Bytes, headers and frames included, that were read from and written to the connections that this VM has
/// opened to siblings, by whether they cross availability zones.
using SiblingWireBytes = std::map<bool, std::uint64_t>;

/// Calls siblings over connections of its own and counts the bytes. Used on the thread of its context.
class CountedSiblingClient {
public:
    struct Options {
        asio::io_context& context;
        VmName self;
        /// True when a sibling is in another availability zone.
        std::function<bool(const VmName&)> crossesZones;
    };

    explicit CountedSiblingClient(Options options);

    /// Before this, no sibling can be called.
    void open(const std::string& secret);
    [[nodiscard]] bool isOpen() const noexcept { return this->client != nullptr; }

    /// Calls a sibling; throws SiblingError or RequestError.
    [[nodiscard]] asio::awaitable<std::string> call(SiblingAddress sibling, SiblingCall call);

    /// Bytes of the calls so far.
    [[nodiscard]] const SiblingTraffic& traffic() const noexcept { return this->bytes; }
    /// Bytes on the connections for these calls so far.
    [[nodiscard]] const SiblingWireBytes& wireBytes() const noexcept { return *this->counted; }

private:
    Options options;
    std::unique_ptr<SiblingClient> client;
    SiblingTraffic bytes;
    /// Shared with the connections, which may outlive this object.
    std::shared_ptr<SiblingWireBytes> counted = std::make_shared<SiblingWireBytes>();
};

} // namespace cyclamendrift

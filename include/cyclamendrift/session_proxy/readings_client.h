#pragma once

#include <cyclamendrift/session_proxy/sibling_exchange.h>
#include <cyclamendrift/siblings/sibling_client.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cyclamendrift {

/// Requests readings of the store and the configuration from siblings, over connections of its own, so that
/// these requests do not wait behind statements. Used on the control thread.
class ReadingsClient {
public:
    struct Options {
        asio::io_context& context;
        VmName self;
        /// True when a sibling is in another availability zone.
        std::function<bool(const VmName&)> crossesZones;
    };

    explicit ReadingsClient(Options options);

    /// Before this, no sibling can be called.
    void open(const std::string& secret);

    /// Requests a sibling's readings of the store; throws SiblingError or RequestError.
    [[nodiscard]] asio::awaitable<std::string> requestReadings(
        SiblingAddress sibling, std::string request, Duration timeLimit);
    /// Requests the configuration from a sibling; throws SiblingError or RequestError.
    [[nodiscard]] asio::awaitable<std::string> requestConfiguration(
        SiblingAddress sibling, std::string request, Duration timeLimit);

    /// Bytes of these calls so far.
    [[nodiscard]] const SiblingTraffic& traffic() const noexcept { return this->bytes; }
    /// Bytes on the connections for these calls so far.
    [[nodiscard]] const SiblingWireBytes& wireBytes() const noexcept { return *this->counted; }

private:
    [[nodiscard]] asio::awaitable<std::string> request(
        SiblingAddress sibling, const char* method, std::string body, Duration timeLimit);

    Options options;
    std::unique_ptr<SiblingClient> client;
    SiblingTraffic bytes;
    /// Shared with the connections, which may outlive this object.
    std::shared_ptr<SiblingWireBytes> counted = std::make_shared<SiblingWireBytes>();
};

} // namespace cyclamendrift

#include <cyclamendrift/session_proxy/readings_client.h>

#include "sibling_methods.h"

#include <cyclamendrift/siblings/sibling_error.h>

#include <chrono>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration connectTimeout = std::chrono::milliseconds { 120 };

} // namespace

ReadingsClient::ReadingsClient(Options options)
    : options(std::move(options))
{
}

void ReadingsClient::open(const std::string& secret)
{
    this->client = std::make_unique<SiblingClient>(this->options.context.get_executor(),
        SiblingClient::Options { .self = this->options.self,
            .secret = secret,
            .connectTimeout = connectTimeout,
            .onWireBytes = [weak = std::weak_ptr { this->counted }, crosses = this->options.crossesZones](
                               const VmName& vm, std::size_t size) {
                if (const auto counted = weak.lock())
                    (*counted)[crosses(vm)] += size;
            } });
}

asio::awaitable<std::string> ReadingsClient::requestReadings(
    SiblingAddress sibling, std::string request, Duration timeLimit)
{
    return this->request(std::move(sibling), sibling_method::shareReadings, std::move(request), timeLimit);
}

asio::awaitable<std::string> ReadingsClient::requestConfiguration(
    SiblingAddress sibling, std::string request, Duration timeLimit)
{
    return this->request(
        std::move(sibling), sibling_method::shareConfiguration, std::move(request), timeLimit);
}

asio::awaitable<std::string> ReadingsClient::request(
    SiblingAddress sibling, const char* method, std::string body, Duration timeLimit)
{
    if (!this->client)
        throw SiblingError { SiblingError::Kind::Unreachable, "siblings are not served yet" };
    SiblingCall call {
        .method = method, .body = std::move(body), .deadline = std::chrono::steady_clock::now() + timeLimit
    };
    auto& counted = this->bytes[{ .method = method, .crossesZones = this->options.crossesZones(sibling.vm) }];
    counted += call.body.size();
    auto answer = co_await this->client->call(std::move(sibling), std::move(call));
    counted += answer.size();
    co_return answer;
}

} // namespace cyclamendrift

#include <cyclamendrift/session_proxy/counted_sibling_client.h>

#include <cyclamendrift/siblings/sibling_error.h>

#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration connectTimeout = std::chrono::milliseconds { 120 };

} // namespace

CountedSiblingClient::CountedSiblingClient(Options options)
    : options(std::move(options))
{
}

void CountedSiblingClient::open(const std::string& secret)
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

asio::awaitable<std::string> CountedSiblingClient::call(SiblingAddress sibling, SiblingCall call)
{
    if (!this->client)
        throw SiblingError { SiblingError::Kind::Unreachable, "siblings are not served yet" };
    auto& bytesOfKind
        = this->bytes[{ .method = call.method, .crossesZones = this->options.crossesZones(sibling.vm) }];
    bytesOfKind += call.body.size();
    auto answer = co_await this->client->call(std::move(sibling), std::move(call));
    bytesOfKind += answer.size();
    co_return answer;
}

} // namespace cyclamendrift

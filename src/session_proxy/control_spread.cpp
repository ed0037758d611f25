#include "control_state.h"
#include "sibling_methods.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/session_proxy/packing.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <sharing.pb.h>

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

// How the configuration, which may be a large document, passes from VM to VM.
namespace cyclamendrift {

namespace {

// VMs that were sent the document and are remembered for others, and those that an answer names.
constexpr std::size_t maxHolders = 32;
constexpr std::size_t holdersNamed = 3;

} // namespace

const std::string& SessionControl::State::packedConfiguration()
{
    if (this->configurationPacked.empty())
        this->configurationPacked = pack(this->configurationValue);
    return this->configurationPacked;
}

asio::awaitable<std::string> SessionControl::State::shareConfiguration(
    std::shared_ptr<State> self, VmName from, std::string body)
{
    wire::ConfigurationRequest request;
    if (!request.ParseFromString(body))
        throw notRun(RefusalReason::BadRequest, "the message cannot be read");
    self->siblingHeardAt = std::max(self->siblingHeardAt, self->lateness.onTimeAt());
    wire::ConfigurationAnswer answer;
    answer.set_revision(self->configurationRevision);
    if (self->configurationRevision <= request.revision())
        co_return answer.SerializeAsString();
    const auto& packed = self->packedConfiguration();
    auto& holders = self->configurationHolders;
    if (!self->listingBudget.take(packed.size(), bootNow())) {
        std::vector<VmName> named;
        std::sample(holders.begin(), holders.end(), std::back_inserter(named), holdersNamed, self->random);
        for (const auto& vm : named)
            answer.add_holders(vm.string());
        co_return answer.SerializeAsString();
    }
    auto& document = *answer.mutable_configuration();
    document.set_packed(true);
    document.set_value(packed);
    document.set_revision(self->configurationRevision);
    holders.push_back(std::move(from));
    if (holders.size() > maxHolders)
        holders.pop_front();
    co_return answer.SerializeAsString();
}

void SessionControl::State::onConfigurationAnnounced(const VmName& sibling, std::uint64_t revision)
{
    this->configurationFetch.announced(sibling, revision, bootNow());
    if (this->configurationFetch.isLacking())
        this->configurationLacking.cancel();
}

asio::awaitable<void> SessionControl::State::fetchConfiguration(std::shared_ptr<State> self)
{
    while (!self->stopped) {
        const auto now = bootNow();
        if (auto sibling = self->configurationFetch.next(now)) {
            co_await self->requestConfiguration(*std::move(sibling));
            continue;
        }
        self->configurationLacking.expires_at(self->configurationFetch.isLacking()
                ? now + self->options.settings.configurationRetry
                : Instant::max());
        asio::error_code ignored;
        co_await self->configurationLacking.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> SessionControl::State::requestConfiguration(VmName sibling)
{
    const auto listed = this->siblings.find(sibling);
    if (listed == this->siblings.end()) {
        this->configurationFetch.failed(sibling, bootNow());
        co_return;
    }
    wire::ConfigurationRequest request;
    request.set_revision(this->configurationRevision);
    wire::ConfigurationAnswer answer;
    SiblingCall call { .method = sibling_method::shareConfiguration,
        .body = request.SerializeAsString(),
        .deadline = std::chrono::steady_clock::now() + this->options.settings.configurationTimeout };
    try {
        const auto body = co_await this->siblingClient.call(listed->second.address, std::move(call));
        if (!answer.ParseFromString(body))
            throw Error { "the answer cannot be read" };
        if (answer.has_configuration()) {
            const auto& document = answer.configuration();
            this->applyConfiguration(unpack(document.value()), document.revision());
            if (document.revision() == this->configurationRevision)
                this->configurationPacked = document.value();
            co_return;
        }
    } catch (const Error& error) {
        logEvent(LogLevel::Info, "configuration_not_sent",
            { { "vm", sibling.string() }, { "reason", error.what() } });
        this->configurationFetch.failed(sibling, bootNow());
        co_return;
    }
    std::vector<VmName> holders;
    for (const auto& vm : answer.holders())
        holders.emplace_back(vm);
    this->configurationFetch.busy(sibling, holders, bootNow());
}

} // namespace cyclamendrift

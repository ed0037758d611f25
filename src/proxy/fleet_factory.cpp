#include <cyclamendrift/proxy/fleet_factory.h>

#include <cyclamendrift/configuration/key_ring.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/membership/home_map.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/schema/key_hash.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <mutex>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr auto schemaKey = "cyclamendrift/schema";
constexpr auto pollInterval = std::chrono::seconds { 1 };
constexpr std::size_t homeCount = 2;

[[noreturn]] void refuseChange()
{
    throw RequestError { { .outcome = Outcome::NotRun,
        .reason = RefusalReason::StoreUnavailable,
        .message = "changes are not yet served" } };
}

/// First step: polls the schema and the list, admits everything.
class PollingFleet final : public Fleet, public std::enable_shared_from_this<PollingFleet> {
public:
    explicit PollingFleet(FleetOptions options)
        : options(std::move(options))
    {
        if (this->options.initialSchema)
            this->adopt({ .revision = 1, .schema = *this->options.initialSchema });
        this->setMembers({});
    }

    void start()
    {
        this->tick();
        this->polling = this->options.timers.every(pollInterval, [weak = this->weak_from_this()](Instant) {
            if (const auto self = weak.lock())
                self->tick();
        });
    }

    std::shared_ptr<const ConfigurationSnapshot> configuration() const override
    {
        const std::scoped_lock lock { this->mutex };
        return this->snapshot;
    }

    CallerIdentity authenticate(std::string_view secret) const override
    {
        const std::scoped_lock lock { this->mutex };
        const auto owner = this->keys.find(hashSecret(secret));
        if (!owner)
            throw RequestError { { .outcome = Outcome::NotRun,
                .reason = RefusalReason::BadKey,
                .message = "the key is not known" } };
        return { .key = owner->key, .team = owner->team };
    }

    asio::awaitable<void> admit(TeamName /*team*/, Instant /*deadline*/) override { co_return; }

    std::vector<SiblingAddress> homesOf(const DatabaseName& database) const override
    {
        const std::scoped_lock lock { this->mutex };
        std::vector<SiblingAddress> homes;
        for (const auto& home : chooseHomes(this->candidates, "database/" + database.path(), homeCount)) {
            for (const auto& member : this->members) {
                if (member.name == home.vm)
                    homes.push_back({ .vm = member.name, .host = member.address, .port = member.port });
            }
        }
        return homes;
    }

    bool isLeaving(std::string_view address, std::uint16_t port) const override
    {
        const std::scoped_lock lock { this->mutex };
        for (const auto& entry : this->listed) {
            if (entry.upstream && entry.leaving && entry.address == address && entry.port == port)
                return true;
        }
        return false;
    }

    void onKeyWithdrawn(std::function<void(const KeyId&)> /*callback*/) override { }

    asio::awaitable<std::optional<std::string>> handle(
        VmName /*from*/, std::string /*method*/, std::string /*body*/) override
    {
        co_return std::nullopt;
    }

    asio::awaitable<api::ApplyResponse> apply(api::ApplyRequest /*request*/) override
    {
        refuseChange();
        co_return api::ApplyResponse {};
    }
    asio::awaitable<api::ApplyResponse> grant(api::GrantRequest /*request*/) override
    {
        refuseChange();
        co_return api::ApplyResponse {};
    }
    asio::awaitable<api::ApplyResponse> revoke(api::RevokeRequest /*request*/) override
    {
        refuseChange();
        co_return api::ApplyResponse {};
    }
    asio::awaitable<api::ApplyResponse> setLimits(api::SetLimitsRequest /*request*/) override
    {
        refuseChange();
        co_return api::ApplyResponse {};
    }
    asio::awaitable<api::StatusResponse> status() override { co_return api::StatusResponse {}; }
    asio::awaitable<void> leave() override { co_return; }

private:
    void tick() { asio::co_spawn(this->options.executor, poll(this->shared_from_this()), asio::detached); }

    static asio::awaitable<void> poll(std::shared_ptr<PollingFleet> self)
    {
        try {
            self->setMembers(co_await self->options.vmList.fetch());
            const auto entry = co_await self->options.store.get(schemaKey);
            ConfigurationSnapshot read;
            if (entry && read.schema.ParseFromString(entry->value)) {
                read.revision = entry->revision;
                self->adopt(std::move(read));
            }
        } catch (const StoreError&) {
            // The next tick asks again; what is known stays in force.
            co_return;
        }
    }

    void adopt(ConfigurationSnapshot read)
    {
        const std::scoped_lock lock { this->mutex };
        if (this->snapshot && read.revision <= this->snapshot->revision)
            return;
        this->keys = KeyRing { read.schema };
        this->snapshot = std::make_shared<const ConfigurationSnapshot>(std::move(read));
    }

    void setMembers(std::vector<VmEntry> entries)
    {
        const std::scoped_lock lock { this->mutex };
        this->listed = std::move(entries);
        this->members.clear();
        this->candidates.clear();
        const auto& self = this->options.self;
        this->members.push_back(
            { .name = self.vm, .zone = this->options.zone, .address = self.host, .port = self.port });
        for (const auto& entry : this->listed) {
            if (!entry.upstream && !entry.leaving && entry.name != self.vm)
                this->members.push_back(entry);
        }
        for (const auto& member : this->members)
            this->candidates.push_back({ .vm = member.name, .zone = member.zone });
    }

    FleetOptions options;
    mutable std::mutex mutex;
    std::shared_ptr<const ConfigurationSnapshot> snapshot;
    KeyRing keys;
    std::vector<VmEntry> listed;
    std::vector<VmEntry> members;
    std::vector<HomeCandidate> candidates;
    std::unique_ptr<TimerService::Subscription> polling;
};

} // namespace

std::shared_ptr<Fleet> makeFleet(FleetOptions options)
{
    auto fleet = std::make_shared<PollingFleet>(std::move(options));
    fleet->start();
    return fleet;
}

} // namespace cyclamendrift

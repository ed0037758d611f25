#include "virtual_platform.h"

#include <random>

namespace cyclamendrift::standins {

namespace {

std::exception_ptr noAnswer()
{
    return std::make_exception_ptr(StoreError { StoreError::Kind::NoAnswer, "no answer" });
}

bool happens(RandomSource& random, double probability)
{
    return std::bernoulli_distribution { probability }(random);
}

StoreChange changeFrom(const StoreEntry& entry)
{
    return { .key = entry.key, .value = entry.value, .revision = entry.revision };
}

/// Ends a watch however its coroutine ends.
struct WatchGuard {
    VirtualPlatform& platform;
    std::uint64_t id;

    WatchGuard(VirtualPlatform& platform, std::uint64_t id)
        : platform(platform)
        , id(id)
    {
    }
    ~WatchGuard() { this->platform.watchers.erase(this->id); }
    WatchGuard(const WatchGuard&) = delete;
    WatchGuard& operator=(const WatchGuard&) = delete;
};

} // namespace

std::optional<StoreEntry> VirtualPlatform::find(const std::string& key) const
{
    const auto match = this->entries.find(key);
    if (match == this->entries.end())
        return std::nullopt;
    return match->second;
}

SwapOutcome VirtualPlatform::swap(const SwapOptions& options)
{
    const auto match = this->entries.find(options.key);
    const auto current = match == this->entries.end() ? 0 : match->second.revision;
    if (current != options.expectedRevision)
        return this->conflictOn(options.key);
    ++this->revision;
    this->record(options.key, options.value.value_or(""));
    return Swapped { .revision = this->revision };
}

SwapConflict VirtualPlatform::conflictOn(const std::string& key) const
{
    SwapConflict conflict;
    conflict.current = this->find(key);
    return conflict;
}

void VirtualPlatform::record(const std::string& key, const std::string& value)
{
    const StoreEntry entry { .key = key, .value = value, .revision = this->revision };
    this->entries[key] = entry;
    this->history.push_back(entry);
    for (const auto& [id, watcher] : this->watchers) {
        if (key.starts_with(watcher.prefix) && !watcher.link->cut)
            watcher.process->deliverAfter(
                this->latency, [onChange = watcher.onChange, entry] { onChange(changeFrom(entry)); });
    }
}

void VirtualPlatform::breakWatches()
{
    for (auto& [id, watcher] : this->watchers)
        watcher.process->deliverAfter(this->latency, [ended = watcher.ended] { ended->fail(noAnswer()); });
    this->watchers.clear();
}

template <class Result> asio::awaitable<Result> VirtualStore::perform(std::function<Result()> effect)
{
    ++this->platform.calls;
    auto reply = std::make_shared<VirtualReply<Result>>(this->platform.clock.context());
    this->process->deliverAfter(this->platform.callTimeout, [reply] { reply->fail(noAnswer()); });
    auto& world = this->platform;
    world.clock.at(world.clock.now() + world.latency,
        [&world, reply, effect = std::move(effect), process = this->process, link = this->link] {
            if (world.down || link->cut)
                return;
            auto result = effect();
            if (!happens(world.random, world.lostAnswers))
                process->deliverAfter(
                    world.latency, [reply, result = std::move(result)] { reply->succeed(result); });
        });
    co_return co_await VirtualReply<Result>::wait(reply);
}

asio::awaitable<std::optional<StoreEntry>> VirtualStore::get(std::string key)
{
    using Result = std::optional<StoreEntry>;
    auto& world = this->platform;
    return this->perform<Result>([&world, key = std::move(key)] { return world.find(key); });
}

asio::awaitable<std::vector<StoreEntry>> VirtualStore::list(std::string /*prefix*/)
{
    return this->perform<std::vector<StoreEntry>>([] { return std::vector<StoreEntry> {}; });
}

asio::awaitable<SwapOutcome> VirtualStore::compareAndSwap(SwapOptions options)
{
    auto& world = this->platform;
    return this->perform<SwapOutcome>([&world, options = std::move(options)] { return world.swap(options); });
}

asio::awaitable<LeaseId> VirtualStore::grantLease(Duration /*timeToLive*/)
{
    return this->perform<LeaseId>([] { return LeaseId::None; });
}

asio::awaitable<void> VirtualStore::keepAlive(LeaseId /*lease*/) { co_return; }

asio::awaitable<void> VirtualStore::revokeLease(LeaseId /*lease*/) { co_return; }

asio::awaitable<void> VirtualStore::watch(
    std::string prefix, std::uint64_t fromRevision, std::function<void(const StoreChange&)> onChange)
{
    const auto missed
        = co_await this->perform<std::vector<StoreEntry>>([&world = this->platform, fromRevision] {
              std::vector<StoreEntry> entries;
              for (const auto& entry : world.history) {
                  if (entry.revision >= fromRevision)
                      entries.push_back(entry);
              }
              return entries;
          });
    for (const auto& entry : missed) {
        if (entry.key.starts_with(prefix))
            onChange(changeFrom(entry));
    }
    auto ended = std::make_shared<VirtualReply<bool>>(this->platform.clock.context());
    const WatchGuard guard { this->platform, ++this->platform.lastWatcher };
    this->platform.watchers.emplace(guard.id,
        VirtualPlatform::Watcher {
            std::move(prefix), this->process, this->link, std::move(onChange), ended });
    const bool over = co_await VirtualReply<bool>::wait(ended);
    static_cast<void>(over);
}

asio::awaitable<std::vector<VmEntry>> VirtualVmList::fetch()
{
    ++this->platform.listCalls;
    using Reply = VirtualReply<std::vector<VmEntry>>;
    auto reply = std::make_shared<Reply>(this->platform.clock.context());
    this->process->deliverAfter(this->platform.callTimeout, [reply] { reply->fail(noAnswer()); });
    if (!this->link->cut && !this->platform.down)
        this->process->deliverAfter(
            2 * this->platform.latency, [reply, list = this->platform.list] { reply->succeed(list); });
    co_return co_await Reply::wait(reply);
}

} // namespace cyclamendrift::standins

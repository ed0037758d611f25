#include <cyclamendrift/session_proxy/metered_store.h>

#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::string_view leasePurpose = "lease";

} // namespace

MeteredStore::MeteredStore(Options options)
    : options(std::move(options))
{
}

void MeteredStore::count(std::string_view call, std::string_view purpose, std::uint64_t times)
{
    this->calls[{ call, purpose }] += times;
}

asio::awaitable<std::optional<StoreEntry>> MeteredStore::get(std::string key)
{
    this->count("get", this->options.purposeOf(key));
    co_return co_await this->options.store.get(std::move(key));
}

asio::awaitable<std::vector<StoreEntry>> MeteredStore::list(std::string prefix)
{
    auto listing = co_await this->listing(std::move(prefix), ReadFreshness::Linearizable);
    co_return std::move(listing.entries);
}

asio::awaitable<StoreListing> MeteredStore::listing(std::string prefix, ReadFreshness freshness)
{
    const auto purpose = this->options.purposeOf(prefix);
    const std::string_view call = freshness == ReadFreshness::MayLag ? "list_that_may_lag" : "list";
    this->count(call, purpose);
    auto listing = co_await this->options.store.listing(std::move(prefix), freshness);
    // The first page was counted before the call.
    this->count(call, purpose, listing.pages - 1);
    if (this->options.onListing)
        this->options.onListing();
    co_return listing;
}

asio::awaitable<SwapOutcome> MeteredStore::compareAndSwap(SwapOptions options)
{
    this->count("swap", this->options.purposeOf(options.key));
    co_return co_await this->options.store.compareAndSwap(std::move(options));
}

asio::awaitable<LeaseId> MeteredStore::grantLease(Duration timeToLive)
{
    this->count("grant", leasePurpose);
    co_return co_await this->options.store.grantLease(timeToLive);
}

asio::awaitable<void> MeteredStore::keepAlive(LeaseId lease)
{
    this->count("renew", leasePurpose);
    co_await this->options.store.keepAlive(lease);
}

asio::awaitable<void> MeteredStore::revokeLease(LeaseId lease)
{
    this->count("end", leasePurpose);
    co_await this->options.store.revokeLease(lease);
}

asio::awaitable<void> MeteredStore::watch(
    std::string prefix, std::uint64_t fromRevision, std::function<void(const StoreChange&)> onChange)
{
    const auto purpose = this->options.purposeOf(prefix);
    this->count("watch", purpose);
    // A change without a key marks the end of one call; the watch continues with another one.
    auto counting = [this, purpose, onChange = std::move(onChange)](const StoreChange& change) {
        if (change.key.empty())
            this->count("watch", purpose);
        onChange(change);
    };
    co_await this->options.store.watch(std::move(prefix), fromRevision, std::move(counting));
}

} // namespace cyclamendrift

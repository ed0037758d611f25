#include <cyclamendrift/platform/store.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

asio::awaitable<StoreListing> Store::listing(std::string prefix, ReadFreshness /*freshness*/)
{
    StoreListing listing;
    listing.entries = co_await this->list(std::move(prefix));
    for (const auto& entry : listing.entries)
        listing.revision = std::max(listing.revision, entry.revision);
    co_return listing;
}

} // namespace cyclamendrift

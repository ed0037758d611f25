#include <cyclamendrift/membership/store_reader_selector.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cyclamendrift {

namespace {

// The pause grows because a request to a VM behind a partition costs its whole time limit.
constexpr int maxPauseDoublings = 3;

constexpr std::size_t readersWithStandbys(std::size_t readers) { return 2 * readers + 1; }

} // namespace

void StoreReaderSelector::setOrder(std::vector<VmName> vms, std::size_t count)
{
    this->order = std::move(vms);
    this->readerCount = count;
}

std::optional<VmName> StoreReaderSelector::readerFor(const VmName& self, std::size_t rank, Instant now) const
{
    std::vector<VmName> activeReaders;
    for (const auto& vm : this->order) {
        if (activeReaders.size() == this->readerCount)
            break;
        if (vm == self)
            return std::nullopt;
        if (!this->skippedReaders.contains(vm, now) && !this->withoutStore.contains(vm, now))
            activeReaders.push_back(vm);
    }
    if (activeReaders.empty())
        return std::nullopt;
    return activeReaders[rank % activeReaders.size()];
}

std::vector<VmName> StoreReaderSelector::roster() const
{
    const auto end = this->order.begin()
        + static_cast<std::ptrdiff_t>(std::min(this->order.size(), readersWithStandbys(this->readerCount)));
    return { this->order.begin(), end };
}

std::vector<VmName> StoreReaderSelector::readersAndStandbys(Instant now) const
{
    std::vector<VmName> next;
    for (const auto& vm : this->order) {
        if (next.size() == readersWithStandbys(this->readerCount))
            break;
        if (!this->skippedReaders.contains(vm, now))
            next.push_back(vm);
    }
    return next;
}

bool StoreReaderSelector::isReaderOrStandby(const VmName& vm, Instant now) const
{
    const auto next = this->readersAndStandbys(now);
    return std::find(next.begin(), next.end(), vm) != next.end();
}

void StoreReaderSelector::skipWithBackoff(const VmName& reader, Duration pause, Instant now)
{
    auto& skips = this->skipCounts[reader];
    this->skippedReaders.add(reader, now + pause * (1 << skips));
    skips = std::min(skips + 1, maxPauseDoublings);
}

void StoreReaderSelector::recordStoreRead(const VmName& reader)
{
    this->skipCounts.erase(reader);
    this->withoutStore.add(reader, Instant::min());
}

std::optional<VmName> StoreReaderSelector::candidateToAsk(
    const VmName& self, std::size_t turn, Instant now) const
{
    auto next = this->readersAndStandbys(now);
    std::erase(next, self);
    return next.empty() ? std::nullopt : std::optional { next[turn % next.size()] };
}

bool StoreReaderSelector::storeSeemsUnavailable(Instant now) const
{
    const auto vmsWithoutStore = std::count_if(this->order.begin(), this->order.end(),
        [this, now](const VmName& vm) { return this->withoutStore.contains(vm, now); });
    return static_cast<std::size_t>(vmsWithoutStore) > this->readerCount;
}

} // namespace cyclamendrift

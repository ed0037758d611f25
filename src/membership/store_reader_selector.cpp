#include <cyclamendrift/membership/store_reader_selector.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cyclamendrift {

namespace {

// A question to a VM behind a partition costs its whole time limit.
constexpr int mostDoublings = 3;

} // namespace

void StoreReaderSelector::setOrder(std::vector<VmName> vms, std::size_t wanted)
{
    this->order = std::move(vms);
    this->readers = wanted;
}

std::optional<VmName> StoreReaderSelector::readerFor(const VmName& self, std::size_t rank, Instant now) const
{
    std::vector<VmName> reading;
    for (const auto& vm : this->order) {
        if (reading.size() == this->readers)
            break;
        if (vm == self)
            return std::nullopt;
        if (!this->silent.contains(vm, now) && !this->withoutStore.contains(vm, now))
            reading.push_back(vm);
    }
    if (reading.empty())
        return std::nullopt;
    return reading[rank % reading.size()];
}

std::vector<VmName> StoreReaderSelector::nextToRead(Instant now) const
{
    std::vector<VmName> next;
    for (const auto& vm : this->order) {
        if (next.size() == 2 * this->readers + 1)
            break;
        if (!this->silent.contains(vm, now))
            next.push_back(vm);
    }
    return next;
}

bool StoreReaderSelector::isReaderOrStandby(const VmName& vm, Instant now) const
{
    const auto next = this->nextToRead(now);
    return std::find(next.begin(), next.end(), vm) != next.end();
}

void StoreReaderSelector::skipWithBackoff(const VmName& reader, Duration pause, Instant now)
{
    auto& before = this->silences[reader];
    this->silent.add(reader, now + pause * (1 << before));
    before = std::min(before + 1, mostDoublings);
}

void StoreReaderSelector::recordStoreRead(const VmName& reader)
{
    this->silences.erase(reader);
    this->withoutStore.add(reader, Instant::min());
}

std::optional<VmName> StoreReaderSelector::candidateToAsk(
    const VmName& self, std::size_t turn, Instant now) const
{
    auto next = this->nextToRead(now);
    std::erase(next, self);
    return next.empty() ? std::nullopt : std::optional { next[turn % next.size()] };
}

bool StoreReaderSelector::storeSeemsUnavailable(Instant now) const
{
    const auto without = std::count_if(this->order.begin(), this->order.end(),
        [this, now](const VmName& vm) { return this->withoutStore.contains(vm, now); });
    return static_cast<std::size_t>(without) > this->readers;
}

} // namespace cyclamendrift

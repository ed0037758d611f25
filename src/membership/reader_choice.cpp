#include <cyclamendrift/membership/reader_choice.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cyclamendrift {

void ReaderChoice::setOrder(std::vector<VmName> vms, std::size_t wanted)
{
    this->order = std::move(vms);
    this->readers = wanted;
}

std::optional<VmName> ReaderChoice::readerFor(const VmName& self, std::size_t rank, Instant now) const
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

std::size_t ReaderChoice::nextToRead() const noexcept
{
    return std::min(this->order.size(), 2 * this->readers + 1);
}

bool ReaderChoice::isNextToRead(const VmName& vm) const
{
    const auto end = this->order.begin() + static_cast<std::ptrdiff_t>(this->nextToRead());
    return std::find(this->order.begin(), end, vm) != end;
}

const VmName& ReaderChoice::nextToAsk(std::size_t turn) const
{
    return this->order.at(turn % this->nextToRead());
}

bool ReaderChoice::storeSeemsAway(Instant now) const
{
    const auto end = this->order.begin() + static_cast<std::ptrdiff_t>(this->nextToRead());
    const auto without = std::count_if(this->order.begin(), end,
        [this, now](const VmName& vm) { return this->withoutStore.contains(vm, now); });
    return static_cast<std::size_t>(without) > this->readers;
}

} // namespace cyclamendrift

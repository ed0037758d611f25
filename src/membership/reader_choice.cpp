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
        if (!this->passedOver.contains(vm, now))
            reading.push_back(vm);
    }
    if (reading.empty())
        return std::nullopt;
    return reading[rank % reading.size()];
}

bool ReaderChoice::isNextToRead(const VmName& vm) const
{
    const auto first = std::min(this->order.size(), 2 * this->readers + 1);
    const auto end = this->order.begin() + static_cast<std::ptrdiff_t>(first);
    return std::find(this->order.begin(), end, vm) != end;
}

void ReaderChoice::passOver(const VmName& reader, Instant until) { this->passedOver.add(reader, until); }

} // namespace cyclamendrift

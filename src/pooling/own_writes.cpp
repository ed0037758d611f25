#include <cyclamendrift/pooling/own_writes.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

template <class Entries> auto findService(Entries& entries, const ServiceName& service)
{
    return std::find_if(
        entries.begin(), entries.end(), [&service](const auto& entry) { return entry.service == service; });
}

} // namespace

void OwnWrites::record(const ServiceName& service, const ProgressHistory::Observation& write, Instant now)
{
    Entry entry { .service = service, .write = write, .acknowledgedAt = now };
    const auto known = findService(this->entries, service);
    if (known != this->entries.end()) {
        entry.write.progress = std::max(write.progress, known->write.progress);
        this->entries.erase(known);
    } else if (this->entries.size() == maxServices) {
        this->lastWithoutProgress = std::max(this->lastWithoutProgress, this->entries.front().acknowledgedAt);
        this->entries.erase(this->entries.begin());
    }
    this->entries.push_back(std::move(entry));
}

void OwnWrites::recordUnknown(const ServiceName& service, Instant now)
{
    // The progress of an earlier write does not cover this one.
    const auto known = findService(this->entries, service);
    if (known != this->entries.end())
        this->entries.erase(known);
    this->lastWithoutProgress = now;
}

const ProgressHistory::Observation* OwnWrites::latestTo(const ServiceName& service) const noexcept
{
    const auto known = findService(this->entries, service);
    return known == this->entries.end() ? nullptr : &known->write;
}

bool OwnWrites::mayLack(const ServiceName& service, Instant since) const noexcept
{
    return this->lastWithoutProgress >= since && this->latestTo(service) == nullptr;
}

} // namespace cyclamendrift

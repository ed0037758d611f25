#include <cyclamendrift/pooling/own_writes.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

void OwnWrites::record(const ServiceName& service, const Write& write, Instant now)
{
    Entry entry { .service = service, .write = write, .acknowledgedAt = now };
    const auto known = std::find_if(this->entries.begin(), this->entries.end(),
        [&service](const Entry& candidate) { return candidate.service == service; });
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
    std::erase_if(this->entries, [&service](const Entry& entry) { return entry.service == service; });
    this->lastWithoutProgress = std::max(this->lastWithoutProgress, now);
}

const OwnWrites::Write* OwnWrites::latestTo(const ServiceName& service) const noexcept
{
    const auto known = std::find_if(this->entries.begin(), this->entries.end(),
        [&service](const Entry& candidate) { return candidate.service == service; });
    return known == this->entries.end() ? nullptr : &known->write;
}

bool OwnWrites::mayLack(const ServiceName& service, Instant since) const noexcept
{
    return this->lastWithoutProgress >= since && this->latestTo(service) == nullptr;
}

void OwnWrites::clear() noexcept
{
    this->entries.clear();
    this->lastWithoutProgress = Instant::min();
}

} // namespace cyclamendrift

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
        this->lastDiscarded = std::max(this->lastDiscarded, this->entries.front().acknowledgedAt);
        this->entries.erase(this->entries.begin());
    }
    this->entries.push_back(std::move(entry));
}

const OwnWrites::Write* OwnWrites::latestTo(const ServiceName& service) const noexcept
{
    const auto known = std::find_if(this->entries.begin(), this->entries.end(),
        [&service](const Entry& candidate) { return candidate.service == service; });
    return known == this->entries.end() ? nullptr : &known->write;
}

bool OwnWrites::mayLack(const ServiceName& service, Instant since) const noexcept
{
    return this->lastDiscarded >= since && this->latestTo(service) == nullptr;
}

void OwnWrites::clear() noexcept
{
    this->entries.clear();
    this->lastDiscarded = Instant::min();
}

} // namespace cyclamendrift

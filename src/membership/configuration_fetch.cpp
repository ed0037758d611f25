#include <cyclamendrift/membership/configuration_fetch.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Time for which a sibling without capacity is not asked again. Its link sends some documents meanwhile.
constexpr Duration busyPause = std::chrono::milliseconds { 100 };
// The same for a sibling that did not send the document.
constexpr Duration failurePause = std::chrono::milliseconds { 500 };
constexpr std::size_t maxSources = 8;

} // namespace

void ConfigurationFetch::announced(const VmName& sibling, std::uint64_t revision, Instant now)
{
    if (revision <= this->inForce || revision < this->known)
        return;
    if (revision > this->known) {
        this->known = revision;
        this->sources.clear();
    }
    // A later configuration does not end the time for which this VM has been behind.
    this->since = std::min(this->since, now);
    this->addSource(sibling);
}

void ConfigurationFetch::taken(std::uint64_t revision)
{
    this->inForce = std::max(this->inForce, revision);
    this->known = std::max(this->known, revision);
    if (this->inForce < this->known)
        return;
    this->since = Instant::max();
    this->sources.clear();
}

void ConfigurationFetch::addSource(const VmName& sibling)
{
    if (std::find(this->sources.begin(), this->sources.end(), sibling) != this->sources.end())
        return;
    this->sources.push_back(sibling);
    if (this->sources.size() > maxSources)
        this->sources.pop_front();
}

std::optional<VmName> ConfigurationFetch::next(Instant now) const
{
    if (!this->isLacking())
        return std::nullopt;
    const auto source = std::find_if(this->sources.begin(), this->sources.end(),
        [this, now](const VmName& vm) { return !this->skipped.contains(vm, now); });
    return source == this->sources.end() ? std::nullopt : std::optional { *source };
}

void ConfigurationFetch::busy(const VmName& sibling, std::span<const VmName> holders, Instant now)
{
    this->skipped.add(sibling, now + busyPause);
    for (const auto& holder : holders)
        this->addSource(holder);
}

void ConfigurationFetch::failed(const VmName& sibling, Instant now)
{
    this->skipped.add(sibling, now + failurePause);
}

} // namespace cyclamendrift

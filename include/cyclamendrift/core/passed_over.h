#pragma once

#include <cyclamendrift/core/instant.h>

#include <map>

namespace cyclamendrift {

/// What is left alone until a time, such as peers that did not answer or had nothing to give.
///
///     passedOver.add(vm, now + pause);
///     if (!passedOver.contains(vm, now))
///         ask(vm);
template <class Key> class PassedOver {
public:
    void add(const Key& key, Instant until) { this->ends[key] = until; }

    [[nodiscard]] bool contains(const Key& key, Instant now) const
    {
        const auto match = this->ends.find(key);
        return match != this->ends.end() && now < match->second;
    }

private:
    std::map<Key, Instant> ends;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/identifier.h>

#include <fleet.pb.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace cyclamendrift {

/// Shared pointer to a configuration document that is immutable once read from the store.
using DocumentPointer = std::shared_ptr<const wire::ConfigurationDocument>;

/// Holds the newest configuration that this process has seen. Only a document with a higher sequence replaces
/// it, so replayed, duplicate and late messages have no effect.
///
///     if (state.offer(document))
///         publish(state.document());
class ConfigurationState {
public:
    /// Accepts the document if its sequence is higher than the current one; returns false otherwise.
    bool offer(DocumentPointer document);

    /// The current document; null before the first one is accepted.
    [[nodiscard]] const DocumentPointer& document() const noexcept { return this->current; }

    /// The sequence of the current document; 0 before the first one is accepted.
    [[nodiscard]] std::uint64_t sequence() const noexcept
    {
        return this->current ? this->current->sequence() : 0;
    }

private:
    DocumentPointer current;
};

/// Returns the keys of `before` that `after` no longer grants to the same team with the same secret.
[[nodiscard]] std::vector<KeyId> withdrawnKeys(const api::Schema& before, const api::Schema& after);

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/identifier.h>

#include <fleet.pb.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace cyclamendrift {

/// A document of the store that is never changed once read.
using DocumentPointer = std::shared_ptr<const wire::ConfigurationDocument>;

/// The newest configuration that this process has seen. Only a higher sequence replaces it, so messages that
/// are replayed, doubled or late change nothing.
///
///     if (state.offer(document))
///         publish(state.document());
class ConfigurationState {
public:
    /// Takes the document if its sequence is higher than the one held; false when it is not.
    bool offer(DocumentPointer document);

    /// The document held; null before the first.
    [[nodiscard]] const DocumentPointer& document() const noexcept { return this->current; }

    /// The sequence held, 0 before the first document.
    [[nodiscard]] std::uint64_t sequence() const noexcept
    {
        return this->current ? this->current->sequence() : 0;
    }

private:
    DocumentPointer current;
};

/// The keys of one schema that another no longer grants to the same team with the same secret.
[[nodiscard]] std::vector<KeyId> withdrawnKeys(const api::Schema& before, const api::Schema& after);

} // namespace cyclamendrift

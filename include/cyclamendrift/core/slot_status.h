#pragma once

#include <cyclamendrift/core/progress.h>

namespace cyclamendrift {

/// What one slot says of itself.
struct SlotStatus {
    /// Its term and how far its log has come in it.
    Progress progress;
    /// The highest term that it was fenced at; it confirms, follows and acts as primary in no lower one.
    Term fenced {};
    bool primary = false;

    friend bool operator==(const SlotStatus&, const SlotStatus&) = default;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/error.h>

namespace cyclamendrift {

/// Thrown for a group record or a sibling's slot report that cannot be decoded, and for a record, status or
/// promotion that is requested before it is available.
class FailoverError : public Error {
public:
    using Error::Error;
};

} // namespace cyclamendrift

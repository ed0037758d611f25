#pragma once

#include <cyclamendrift/core/error.h>

namespace cyclamendrift {

/// What went wrong while serving callers, other than what a single caller is answered with.
class CallerError : public Error {
public:
    using Error::Error;
};

} // namespace cyclamendrift

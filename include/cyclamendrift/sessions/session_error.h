#pragma once

#include <cyclamendrift/core/error.h>

namespace cyclamendrift {

/// A session token that was not made by this system, or that has grown past its bound.
class SessionError : public Error {
public:
    using Error::Error;
};

} // namespace cyclamendrift

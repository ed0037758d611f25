#pragma once

#include <cyclamendrift/core/error.h>

namespace cyclamendrift {

/// Thrown for a session token that cannot be decoded or that has no room for another database.
class SessionError : public Error {
public:
    using Error::Error;
};

} // namespace cyclamendrift

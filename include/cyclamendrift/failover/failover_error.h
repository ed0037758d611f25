#pragma once

#include <cyclamendrift/core/error.h>

namespace cyclamendrift {

/// A record of a group, or an opinion of a sibling, that cannot be read.
class FailoverError : public Error {
public:
    using Error::Error;
};

} // namespace cyclamendrift

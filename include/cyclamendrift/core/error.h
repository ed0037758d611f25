#pragma once

#include <stdexcept>

namespace cyclamendrift {

/// Base of every exception of this library. Each package derives its own and turns those from below into it.
class Error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace cyclamendrift

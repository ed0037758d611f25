#pragma once

#include <cyclamendrift/core/error.h>

namespace cyclamendrift {

/// A metric or the destination of traces was set up wrongly.
class TelemetryError : public Error {
public:
    using Error::Error;
};

} // namespace cyclamendrift

#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>

namespace cyclamendrift {

/// A random duration up to `maximum`, so that calls which failed together are not repeated together.
[[nodiscard]] Duration randomDuration(Duration maximum, RandomSource& random);

/// A random duration between half and one and a half times `mean`.
[[nodiscard]] Duration jittered(Duration mean, RandomSource& random);

} // namespace cyclamendrift

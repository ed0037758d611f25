#include <cyclamendrift/schema/duration_codec.h>

#include <algorithm>

namespace cyclamendrift {

std::uint64_t wireMicroseconds(Duration duration) noexcept
{
    const auto count = std::chrono::ceil<std::chrono::microseconds>(duration).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

Duration durationFrom(std::uint64_t microseconds) noexcept
{
    return std::chrono::microseconds { static_cast<std::int64_t>(microseconds) };
}

} // namespace cyclamendrift

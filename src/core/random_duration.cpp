#include <cyclamendrift/core/random_duration.h>

namespace cyclamendrift {

Duration randomDuration(Duration maximum, RandomSource& random)
{
    std::uniform_int_distribution<Duration::rep> duration { 0, maximum.count() };
    return Duration { duration(random) };
}

Duration jittered(Duration mean, RandomSource& random)
{
    std::uniform_real_distribution<double> factor { 0.5, 1.5 };
    return Duration { static_cast<Duration::rep>(static_cast<double>(mean.count()) * factor(random)) };
}

} // namespace cyclamendrift

#include <cyclamendrift/core/duration_text.h>

namespace cyclamendrift {

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace cyclamendrift

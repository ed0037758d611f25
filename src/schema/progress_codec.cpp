#include <cyclamendrift/schema/progress_codec.h>

namespace cyclamendrift {

wire::LogProgress wireProgress(const Progress& progress)
{
    wire::LogProgress message;
    message.set_term(static_cast<std::uint64_t>(progress.term));
    message.set_position(static_cast<std::uint64_t>(progress.position));
    return message;
}

Progress progressFrom(const wire::LogProgress& message) noexcept
{
    return { Term { message.term() }, LogPosition { message.position() } };
}

} // namespace cyclamendrift

#include <cyclamendrift/runtime/descriptor_limit.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <limits>

namespace cyclamendrift {

DescriptorShares divideDescriptors(std::size_t descriptors) noexcept
{
    const auto used = descriptors - descriptors / 8;
    const auto upstreams = std::max<std::size_t>(used / 4, 1);
    return { .callers = std::max<std::size_t>(used - upstreams, 1), .upstreams = upstreams };
}

DescriptorShares descriptorShares() noexcept
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return divideDescriptors(std::numeric_limits<std::size_t>::max());
    return divideDescriptors(limit.rlim_cur);
}

bool hasFreeDescriptor() noexcept
{
    const int descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return false;
    close(descriptor);
    return true;
}

} // namespace cyclamendrift

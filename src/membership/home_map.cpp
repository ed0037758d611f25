#include <cyclamendrift/membership/home_map.h>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string>

namespace cyclamendrift {

namespace {

/// Any fixed key does; all processes must use the same one.
constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> rendezvousKey { 'c', 'y', 'c', 'l', 'a', 'm',
    'e', 'n', 'd', 'r', 'i', 'f', 't', 0, 0, 1 };

struct Ranked {
    std::uint64_t weight = 0;
    const HomeCandidate* candidate = nullptr;
};

bool goesBefore(const Ranked& left, const Ranked& right)
{
    if (left.weight != right.weight)
        return left.weight > right.weight;
    return left.candidate->vm < right.candidate->vm;
}

} // namespace

std::uint64_t rendezvousWeight(const VmName& vm, std::string_view subject)
{
    const auto text = vm.string() + '\n' + std::string { subject };
    std::array<unsigned char, crypto_shorthash_BYTES> hash {};
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    crypto_shorthash(hash.data(), bytes, text.size(), rendezvousKey.data());
    std::uint64_t weight = 0;
    std::memcpy(&weight, hash.data(), sizeof(weight));
    return weight;
}

std::vector<HomeCandidate> chooseHomes(
    std::span<const HomeCandidate> candidates, std::string_view subject, std::size_t count)
{
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates)
        ranked.push_back({ .weight = rendezvousWeight(candidate.vm, subject), .candidate = &candidate });
    std::sort(ranked.begin(), ranked.end(), goesBefore);
    // Two homes in one availability zone would be lost together with it.
    if (ranked.size() > 2) {
        const auto& firstZone = ranked.front().candidate->zone;
        const auto elsewhere = std::find_if(ranked.begin() + 1, ranked.end(),
            [&firstZone](const Ranked& entry) { return entry.candidate->zone != firstZone; });
        if (elsewhere != ranked.end())
            std::rotate(ranked.begin() + 1, elsewhere, elsewhere + 1);
    }
    std::vector<HomeCandidate> homes;
    for (const auto& entry : std::span { ranked }.first(std::min(count, ranked.size())))
        homes.push_back(*entry.candidate);
    return homes;
}

} // namespace cyclamendrift

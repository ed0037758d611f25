#pragma once

#include <cyclamendrift/core/instant.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>

/// What the benchmarks of the fleet share.
namespace cyclamendrift::bench {

inline double secondsOf(Instant at)
{
    return std::chrono::duration<double> { at.time_since_epoch() }.count();
}

/// One line of the report.
inline void report(std::string_view site, std::string_view fault, std::string_view policy,
    std::string_view measure, double value, std::string_view unit)
{
    std::cout << site << ',' << fault << ',' << policy << ',' << measure << ',' << value << ',' << unit
              << '\n';
}

/// One token bucket with the whole rate and burst: what a team is entitled to.
class Bucket {
public:
    Bucket(double rate, double burst)
        : rate(rate)
        , burst(burst)
        , level(burst)
    {
    }

    bool take(Instant now)
    {
        const auto seconds = secondsOf(now);
        if (this->last > 0)
            this->level = std::min(this->burst, this->level + this->rate * (seconds - this->last));
        this->last = seconds;
        if (this->level < 1)
            return false;
        this->level -= 1;
        return true;
    }

private:
    double rate;
    double burst;
    double level;
    double last = 0;
};

/// By how many requests the worst window was over rate and burst.
class ExcessMeter {
public:
    ExcessMeter(double rate, double burst)
        : rate(rate)
        , burst(burst)
    {
    }

    void admit(Instant now)
    {
        const auto before = static_cast<double>(this->count) - this->rate * secondsOf(now);
        ++this->count;
        this->least = std::min(this->least, before);
        this->excess = std::max(this->excess, before + 1 - this->least - this->burst);
    }

    [[nodiscard]] double worst() const { return std::max(this->excess, 0.0); }

private:
    double rate;
    double burst;
    std::uint64_t count = 0;
    double least = 1e18;
    double excess = 0;
};

} // namespace cyclamendrift::bench

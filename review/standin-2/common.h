#pragma once

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

// What all parts of the stand-in share: the event loop, the clock of the run and the record.
namespace review {

using Json = nlohmann::json;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using asio::awaitable;
using asio::use_awaitable;

inline asio::io_context context { 1 };
inline const Clock::time_point startedAt = Clock::now();

/// Milliseconds since the start of the run.
inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
}

inline awaitable<void> sleepMs(double ms)
{
    asio::steady_timer timer { context, std::chrono::microseconds { static_cast<std::int64_t>(ms * 1000) } };
    co_await timer.async_wait(use_awaitable);
}

/// record.txt of the case.
inline std::ofstream recordFile;

inline void record(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ms  ", nowMs());
    recordFile << time << line << '\n';
}

inline std::string numberText(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", value);
    return text;
}

inline void spawn(awaitable<void> work)
{
    asio::co_spawn(context, std::move(work), [](const std::exception_ptr& error) {
        if (!error)
            return;
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& failure) {
            record(std::string { "stand-in: " } + failure.what());
        }
    });
}

} // namespace review

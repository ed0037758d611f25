#include <standins/direct_caller.h>

#include <libpq-fe.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>

namespace cyclamendrift::standins {

namespace {

using Clock = std::chrono::steady_clock;
using Link = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using Answer = std::unique_ptr<PGresult, decltype(&PQclear)>;

Link connect(const DirectOptions& options)
{
    const auto port = std::to_string(options.port);
    const auto text = "hostaddr=" + options.host + " port=" + port
        + " user=cyclamendrift dbname=postgres sslmode=disable";
    return { PQconnectdb(text.c_str()), &PQfinish };
}

bool run(PGconn* link, const char* statement, const std::string& parameter)
{
    const char* values[] = { parameter.c_str() };
    constexpr int parameterCount = 1;
    constexpr int textFormat = 0;
    const Answer answer {
        PQexecParams(link, statement, parameterCount, nullptr, values, nullptr, nullptr, textFormat), &PQclear
    };
    const auto status = PQresultStatus(answer.get());
    return status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
}

/// Runs a statement and keeps how long it took.
bool time(PGconn* link, const char* statement, const std::string& parameter, std::vector<Duration>& times)
{
    const auto begin = Clock::now();
    const auto done = run(link, statement, parameter);
    times.push_back(Clock::now() - begin);
    return done;
}

DirectTally runCaller(const DirectOptions& options, unsigned number, Clock::time_point end)
{
    DirectTally tally;
    const auto link = connect(options);
    for (std::uint64_t step = 0; Clock::now() < end; ++step) {
        const auto row = options.prefix + '-' + std::to_string(number) + '-' + std::to_string(step);
        if (!time(link.get(), "INSERT INTO reservations (bed) VALUES ($1)", row, tally.writes))
            ++tally.failed;
        if (!time(link.get(), "SELECT bed FROM reservations WHERE bed = $1", row, tally.reads))
            ++tally.failed;
    }
    return tally;
}

void append(std::vector<Duration>& all, const std::vector<Duration>& more)
{
    all.insert(all.end(), more.begin(), more.end());
}

} // namespace

DirectTally runDirectLoad(const DirectOptions& options)
{
    DirectTally all;
    std::mutex mutex;
    const auto end = Clock::now() + options.duration;
    std::vector<std::jthread> threads;
    for (unsigned number = 0; number < options.threads; ++number) {
        threads.emplace_back([&, number] {
            const auto tally = runCaller(options, number, end);
            const std::scoped_lock lock { mutex };
            append(all.writes, tally.writes);
            append(all.reads, tally.reads);
            all.failed += tally.failed;
        });
    }
    threads.clear();
    return all;
}

Duration percentile(std::vector<Duration> values, double share)
{
    if (values.empty())
        return {};
    const auto last = static_cast<double>(values.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(last * share);
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

} // namespace cyclamendrift::standins

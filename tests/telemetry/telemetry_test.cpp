#include "../property.h"

#include <cyclamendrift/telemetry/metrics_registry.h>
#include <cyclamendrift/telemetry/telemetry_error.h>
#include <cyclamendrift/telemetry/trace_context.h>
#include <cyclamendrift/telemetry/tracing.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Receives the datagrams that a tracer sends.
struct Collector {
    Collector()
        : socket(context, { asio::ip::address_v4::loopback(), 0 })
    {
    }
    [[nodiscard]] std::string destination() const
    {
        return "127.0.0.1:" + std::to_string(this->socket.local_endpoint().port());
    }
    std::string next()
    {
        std::string line(4096, '\0');
        line.resize(this->socket.receive(asio::buffer(line)));
        return line;
    }
    asio::io_context context;
    asio::ip::udp::socket socket;
};

constexpr auto parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

TEST_SUITE("metrics")
{
    TEST_CASE("counters, gauges and summaries are written as Prometheus reads them")
    {
        MetricsRegistry registry;
        auto& refused
            = registry.counter("refused_total", "Requests refused.", { { "reason", "over \"limit\"\n" } });
        refused.add(3);
        CHECK(&registry.counter("refused_total", "", { { "reason", "over \"limit\"\n" } }) == &refused);
        registry.gauge("open", "Open connections.").set(2.5);
        registry.summary("wait_seconds", "Time in the queue.", { { "team", "a" } }).record(250ms);
        const auto text = registry.prometheusText();
        CHECK(contains(text, "# HELP refused_total Requests refused.\n# TYPE refused_total counter\n"));
        CHECK(contains(text, R"(refused_total{reason="over \"limit\"\n"} 3)"));
        CHECK(contains(text, "# TYPE open gauge\nopen 2.5\n"));
        CHECK(contains(text, "wait_seconds{team=\"a\",quantile=\"0.99\"} 0.25\n"));
        CHECK(contains(text, "wait_seconds_sum{team=\"a\"} 0.25\n"));
        CHECK(contains(text, "wait_seconds_count{team=\"a\"} 1\n"));
    }

    TEST_CASE("a name that Prometheus does not take or that has another kind is refused")
    {
        // One malformed line makes Prometheus drop the whole page, and the operators see nothing any more.
        MetricsRegistry registry;
        (void)registry.counter("total", "");
        CHECK_THROWS_AS((void)registry.gauge("total", ""), TelemetryError);
        CHECK_THROWS_AS((void)registry.counter("no-dashes", ""), TelemetryError);
        CHECK_THROWS_AS((void)registry.counter("1st", ""), TelemetryError);
        CHECK_THROWS_AS((void)registry.counter("total", "", { { "a b", "" } }), TelemetryError);
    }

    TEST_CASE("many threads count without losing any")
    {
        MetricsRegistry registry;
        auto& counter = registry.counter("total", "");
        auto& summary = registry.summary("seconds", "");
        constexpr int threadCount = 4;
        constexpr int rounds = 5000;
        std::vector<std::thread> threads;
        for (int index = 0; index < threadCount; ++index) {
            threads.emplace_back([&] {
                for (int round = 0; round < rounds; ++round) {
                    counter.add();
                    summary.record(1ms);
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
        CHECK(counter.value() == threadCount * rounds);
        CHECK(summary.figures().count == threadCount * rounds);
    }

    TEST_CASE("the quantiles of a summary are near the true ones, and forget past windows")
    {
        checkProperty("estimate within a twentieth of the range", [](std::uint32_t seed) {
            std::mt19937 random { seed };
            LatencySummary summary;
            std::vector<double> all;
            for (int index = 0; index < 2000; ++index) {
                const auto latency = std::chrono::microseconds { random() % 1'000'000 };
                summary.record(latency);
                all.push_back(std::chrono::duration<double> { latency }.count());
            }
            std::sort(all.begin(), all.end());
            const auto figures = summary.figures();
            RC_ASSERT(std::abs(figures.median - all[1000]) < 0.05);
            RC_ASSERT(std::abs(figures.p90 - all[1800]) < 0.05);
            RC_ASSERT(std::abs(figures.p99 - all[1980]) < 0.05);
            RC_ASSERT(figures.max == all.back());
        });
        LatencySummary summary;
        summary.record(10s);
        summary.rotate();
        summary.record(1s);
        CHECK(summary.figures().max == 10.0);
        summary.rotate();
        CHECK(summary.figures().max == 1.0);
        CHECK(summary.figures().count == 2);
    }
}

TEST_SUITE("traces")
{
    TEST_CASE("a traceparent is read and written as W3C has it; a malformed one begins a new trace")
    {
        const auto context = parseTraceparent(parent);
        REQUIRE(context.has_value());
        CHECK(context->traceId == "0af7651916cd43dd8448eb211c80319c");
        CHECK(context->spanId == "b7ad6b7169203331");
        CHECK(formatTraceparent(*context) == parent);
        CHECK(parseTraceparent("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00-more").has_value());
        for (const auto* text : { "", "00", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0",
                 "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                 "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                 "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                 "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                 "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
                 "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01" }) {
            CAPTURE(text);
            CHECK_FALSE(parseTraceparent(text).has_value());
        }
        checkProperty("any text is read without harm", [](const std::string& text) {
            const auto parsed = parseTraceparent(text);
            RC_ASSERT(!parsed || text.size() >= 55);
        });
    }

    TEST_CASE("a span continues its caller's trace and hands it on")
    {
        Collector collector;
        const auto tracer = makeTracer({ .vm = "vm-1", .destination = collector.destination() });
        auto span = startSpan(*tracer, "execute", parent);
        const auto next = parseTraceparent(traceparentOf(*span));
        REQUIRE(next.has_value());
        CHECK(next->traceId == "0af7651916cd43dd8448eb211c80319c");
        CHECK(next->spanId != "b7ad6b7169203331");
        span->SetTag("database", "register/\"beds\"");
        span->Finish();
        span->Finish();
        span.reset();
        startSpan(*tracer, "second", {})->Finish();
        const auto line = collector.next();
        CHECK(contains(line, R"("parent_id":"b7ad6b7169203331")"));
        CHECK(contains(line, R"("vm":"vm-1")"));
        CHECK(contains(line, R"("tags":{"database":"register/\"beds\""})"));
        CHECK(line.back() == '\n');
        CHECK(contains(collector.next(), R"("name":"second")"));
    }

    TEST_CASE("a key or a statement never gets into a span")
    {
        // Somebody adds a helpful tag while looking for a fault. Everyone who reads traces could then act as
        // that caller.
        Collector collector;
        const auto tracer = makeTracer({ .vm = "vm-1", .destination = collector.destination() });
        auto span = startSpan(*tracer, "execute", {});
        for (const auto* tag : { "key", "authorization", "statement", "parameters", "db.statement" })
            span->SetTag(tag, "s3cret");
        span->SetBaggageItem("key", "s3cret");
        span->Log({ { "authorization", "s3cret" } });
        span->Finish();
        CHECK_FALSE(contains(collector.next(), "s3cret"));
        CHECK_FALSE(contains(traceparentOf(*span), "s3cret"));
    }

    TEST_CASE("without a destination nothing is written, and the context still goes on")
    {
        const auto tracer = makeTracer({ .vm = "vm-1", .destination = "none" });
        const auto span = startSpan(*tracer, "execute", parent);
        CHECK(parseTraceparent(traceparentOf(*span))->traceId == "0af7651916cd43dd8448eb211c80319c");
        for (const auto* destination :
            { "somewhere", "127.0.0.1:", "127.0.0.1:0", "host:99999", "file:/no/such/dir/x" })
            CHECK_THROWS_AS((void)makeTracer({ .vm = "vm-1", .destination = destination }), TelemetryError);
    }
}

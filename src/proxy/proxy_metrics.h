#pragma once

#include <cyclamendrift/callers/http_message.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/proxy/home_registry.h>
#include <cyclamendrift/telemetry/metrics_registry.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// What is looked up when the metrics are asked for.
struct ProxyFigures {
    std::size_t connections = 0;
    std::size_t inFlight = 0;
    std::uint64_t revision = 0;
    bool ready = false;
    std::vector<RegisteredHomeStatus> homes;
};

/// The metrics of one proxy.
class ProxyMetrics {
public:
    /// Counts one answered request.
    void answered(const HttpRequest& request, const HttpResponse& response, Duration latency);

    /// Everything as Prometheus reads it.
    [[nodiscard]] HttpResponse page(const ProxyFigures& figures);

    /// Begins a new window of the quantiles.
    void rotate() { this->registry.rotateSummaries(); }

private:
    void set(std::string_view name, std::string_view help, double value,
        const MetricsRegistry::Labels& labels = {});
    void showHome(const RegisteredHomeStatus& home);

    MetricsRegistry registry;
};

} // namespace cyclamendrift

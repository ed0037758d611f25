#include "proxy_metrics.h"

namespace cyclamendrift {

namespace {

constexpr std::string_view rpcPrefix = "/cyclamendrift.api.";

/// Paths that callers make up would each become a metric of their own.
std::string methodOf(const HttpRequest& request, const HttpResponse& response)
{
    constexpr int notFound = 404;
    const bool known = request.path.starts_with(rpcPrefix) && response.status != notFound;
    return known ? request.path.substr(rpcPrefix.size()) : "other";
}

} // namespace

void ProxyMetrics::answered(const HttpRequest& request, const HttpResponse& response, Duration latency)
{
    const MetricLabel method { "method", methodOf(request, response) };
    this->registry
        .counter("cyclamendrift_requests_total", "Requests of callers by method and HTTP status.",
            { method, { "status", std::to_string(response.status) } })
        .add();
    this->registry.summary("cyclamendrift_request_seconds", "Time from request to answer.", { method })
        .record(latency);
}

HttpResponse ProxyMetrics::page(const ProxyFigures& figures)
{
    this->set("cyclamendrift_caller_connections", "Open connections of callers.",
        static_cast<double>(figures.connections));
    this->set("cyclamendrift_requests_in_flight", "Requests of callers and siblings not answered yet.",
        static_cast<double>(figures.inFlight));
    this->set("cyclamendrift_configuration_revision", "Revision of the configuration in force here.",
        static_cast<double>(figures.revision));
    this->set("cyclamendrift_ready", "1 when this VM should get requests.", figures.ready ? 1 : 0);
    for (const auto& home : figures.homes)
        this->showHome(home);
    return { .contentType = "text/plain; version=0.0.4", .body = this->registry.prometheusText() };
}

void ProxyMetrics::set(
    std::string_view name, std::string_view help, double value, const MetricsRegistry::Labels& labels)
{
    this->registry.gauge(name, help, labels).set(value);
}

void ProxyMetrics::showHome(const RegisteredHomeStatus& home)
{
    const MetricsRegistry::Labels database { { "database", home.database.path() } };
    const auto& status = home.status;
    const auto& counters = status.counters;
    const auto show = [&](std::string_view name, std::string_view help, std::uint64_t value) {
        this->set(name, help, static_cast<double>(value), database);
    };
    show("cyclamendrift_home_term", "Term of the database's group.", static_cast<std::uint64_t>(status.term));
    show("cyclamendrift_home_queued", "Requests that wait for a connection.", status.queued);
    show("cyclamendrift_home_connections", "Connections to upstreams.", status.connections);
    show("cyclamendrift_home_open_transactions", "Open transactions.", status.openTransactions);
    show("cyclamendrift_home_replica_reads", "Reads served by replicas since the start.",
        counters.replicaReads);
    show("cyclamendrift_home_primary_reads", "Reads served by the primary since the start.",
        counters.primaryReads);
    show("cyclamendrift_home_writes", "Writes since the start.", counters.writes);
    show("cyclamendrift_home_replays", "Writes answered from the ledger since the start.", counters.replays);
    show("cyclamendrift_home_not_run", "Refusals as not run since the start.", counters.notRun);
    show("cyclamendrift_home_unknown", "Outcomes left unknown since the start.", counters.unknown);
}

} // namespace cyclamendrift

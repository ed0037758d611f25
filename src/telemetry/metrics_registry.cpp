#include <cyclamendrift/telemetry/metrics_registry.h>
#include <cyclamendrift/telemetry/telemetry_error.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace cyclamendrift {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array quantiles { 0.5, 0.9, 0.99 };
/// Markers of the P-square estimate; with fewer samples than these it has no estimate.
constexpr std::size_t markerCount = 2 * quantiles.size() + 3;

using Accumulator = accumulators::accumulator_set<double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::max,
        accumulators::tag::extended_p_square>>;

constexpr std::array kindNames { "counter", "gauge", "summary" };

bool isMetricName(std::string_view name)
{
    const auto fits
        = [](unsigned char character) { return std::isalnum(character) != 0 || character == '_'; };
    return !name.empty() && std::isdigit(static_cast<unsigned char>(name.front())) == 0
        && std::all_of(name.begin(), name.end(), fits);
}

std::string escape(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '\\' || character == '"')
            result += '\\';
        result += character;
    }
    return result;
}

std::string textOf(const MetricsRegistry::Labels& labels)
{
    std::string result;
    for (const auto& label : labels) {
        if (!isMetricName(label.name))
            throw TelemetryError { "not a label's name: " + label.name };
        result += fmt::format("{}{}=\"{}\"", result.empty() ? "" : ",", label.name, escape(label.value));
    }
    return result;
}

std::string inBraces(std::string_view labels)
{
    return labels.empty() ? std::string {} : fmt::format("{{{}}}", labels);
}

std::string withQuantile(std::string_view labels, std::string_view quantile)
{
    return fmt::format("{{{}{}quantile=\"{}\"}}", labels, labels.empty() ? "" : ",", quantile);
}

/// Writes one metric of any kind.
struct MetricWriter {
    std::string& text;
    std::string_view name;
    std::string_view labels;

    void operator()(const std::unique_ptr<Counter>& counter) const
    {
        this->text += fmt::format("{}{} {}\n", this->name, inBraces(this->labels), counter->value());
    }
    void operator()(const std::unique_ptr<Gauge>& gauge) const
    {
        this->text += fmt::format("{}{} {}\n", this->name, inBraces(this->labels), gauge->value());
    }
    void operator()(const std::unique_ptr<LatencySummary>& summary) const
    {
        const auto figures = summary->figures();
        const std::array shown { std::pair { "0.5", figures.median }, std::pair { "0.9", figures.p90 },
            std::pair { "0.99", figures.p99 }, std::pair { "1", figures.max } };
        for (const auto& [quantile, value] : shown)
            this->text += fmt::format("{}{} {}\n", this->name, withQuantile(this->labels, quantile), value);
        this->text += fmt::format("{}_sum{} {}\n", this->name, inBraces(this->labels), figures.sum);
        this->text += fmt::format("{}_count{} {}\n", this->name, inBraces(this->labels), figures.count);
    }
};

} // namespace

struct LatencySummary::Window {
    Accumulator accumulator { accumulators::extended_p_square_probabilities = quantiles };
};

LatencySummary::LatencySummary()
    : current(std::make_unique<Window>())
{
}

LatencySummary::~LatencySummary() = default;

void LatencySummary::record(Duration latency)
{
    const double seconds = std::chrono::duration<double> { latency }.count();
    const std::lock_guard lock { this->mutex };
    this->current->accumulator(seconds);
    this->sum += seconds;
    ++this->count;
}

LatencySummary::Figures LatencySummary::figures() const
{
    const std::lock_guard lock { this->mutex };
    const auto& accumulator = (this->previous ? this->previous : this->current)->accumulator;
    Figures figures { .sum = this->sum, .count = this->count };
    const auto samples = accumulators::count(accumulator);
    if (samples == 0)
        return figures;
    figures.max = accumulators::max(accumulator);
    if (samples < markerCount) {
        // Too few for an estimate; the largest is a true upper bound of each quantile.
        figures.median = figures.p90 = figures.p99 = figures.max;
        return figures;
    }
    const auto estimates = accumulators::extended_p_square(accumulator);
    figures.median = estimates[0];
    figures.p90 = estimates[1];
    figures.p99 = estimates[2];
    return figures;
}

void LatencySummary::rotate()
{
    auto fresh = std::make_unique<Window>();
    const std::lock_guard lock { this->mutex };
    this->previous = std::exchange(this->current, std::move(fresh));
}

template <class Kind>
Kind& MetricsRegistry::metric(std::string_view name, std::string_view help, const Labels& labels)
{
    if (!isMetricName(name))
        throw TelemetryError { "not a metric's name: " + std::string { name } };
    const auto key = textOf(labels);
    Metric fresh { std::make_unique<Kind>() };
    const std::lock_guard lock { this->mutex };
    auto& family = this->families[std::string { name }];
    if (family.metrics.empty()) {
        family.help = help;
        family.kind = fresh.index();
    }
    if (family.kind != fresh.index())
        throw TelemetryError { "another kind of metric has this name: " + std::string { name } };
    const auto [entry, isNew] = family.metrics.try_emplace(key, std::move(fresh));
    return *std::get<std::unique_ptr<Kind>>(entry->second);
}

Counter& MetricsRegistry::counter(std::string_view name, std::string_view help, const Labels& labels)
{
    return this->metric<Counter>(name, help, labels);
}

Gauge& MetricsRegistry::gauge(std::string_view name, std::string_view help, const Labels& labels)
{
    return this->metric<Gauge>(name, help, labels);
}

LatencySummary& MetricsRegistry::summary(std::string_view name, std::string_view help, const Labels& labels)
{
    return this->metric<LatencySummary>(name, help, labels);
}

std::string MetricsRegistry::prometheusText() const
{
    const std::lock_guard lock { this->mutex };
    std::string text;
    for (const auto& [name, family] : this->families) {
        text += fmt::format(
            "# HELP {} {}\n# TYPE {} {}\n", name, family.help, name, kindNames.at(family.kind));
        for (const auto& [labels, metric] : family.metrics)
            std::visit(MetricWriter { text, name, labels }, metric);
    }
    return text;
}

void MetricsRegistry::rotateSummaries()
{
    const std::lock_guard lock { this->mutex };
    for (const auto& [name, family] : this->families) {
        for (const auto& [labels, metric] : family.metrics) {
            if (const auto* summary = std::get_if<std::unique_ptr<LatencySummary>>(&metric))
                (*summary)->rotate();
        }
    }
}

} // namespace cyclamendrift

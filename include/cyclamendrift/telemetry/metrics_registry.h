#pragma once

#include <cyclamendrift/core/instant.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Figures of this process, as Prometheus reads them.
namespace cyclamendrift {

/// Counts what has happened since the process began. Any thread may add.
class Counter {
public:
    void add(std::uint64_t count = 1) noexcept { this->total.fetch_add(count, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const noexcept { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total { 0 };
};

/// A figure that goes up and down. Any thread may set it.
class Gauge {
public:
    void set(double value) noexcept { this->current.store(value, std::memory_order_relaxed); }
    void add(double difference) noexcept { this->current.fetch_add(difference, std::memory_order_relaxed); }
    [[nodiscard]] double value() const noexcept { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<double> current { 0 };
};

/// Quantiles of a length of time over the last window, in constant memory. Any thread may record.
class LatencySummary {
public:
    /// What a summary shows, in seconds.
    struct Figures {
        double median = 0;
        double p90 = 0;
        double p99 = 0;
        double max = 0;
        /// Over the life of the process.
        double sum = 0;
        std::uint64_t count = 0;
    };

    LatencySummary();
    ~LatencySummary();
    LatencySummary(const LatencySummary&) = delete;
    LatencySummary& operator=(const LatencySummary&) = delete;

    void record(Duration latency);

    /// Figures of the last whole window, or of the current one before the first has ended.
    [[nodiscard]] Figures figures() const;

    /// Ends a window; to be called at equal times, for example every minute.
    void rotate();

private:
    struct Window;

    mutable std::mutex mutex;
    std::unique_ptr<Window> current;
    std::unique_ptr<Window> previous;
    double sum = 0;
    std::uint64_t count = 0;
};

/// One `name="value"` of a metric.
struct MetricLabel {
    std::string name;
    std::string value;
};

/// All metrics of a process. A metric is looked up once and then kept by reference; it lives as long as the
/// registry. Safe to call from any thread.
///
///     Counter& refused = registry.counter("cyclamendrift_refused_total", "Requests refused.",
///         { { "reason", "over_limit" } });
///     refused.add();
class MetricsRegistry {
public:
    using Labels = std::vector<MetricLabel>;

    /// The metric of that name and labels, made when first asked for. Throws TelemetryError for a name that
    /// Prometheus does not take, or that stands for another kind of metric already.
    [[nodiscard]] Counter& counter(std::string_view name, std::string_view help, const Labels& labels = {});
    [[nodiscard]] Gauge& gauge(std::string_view name, std::string_view help, const Labels& labels = {});
    [[nodiscard]] LatencySummary& summary(
        std::string_view name, std::string_view help, const Labels& labels = {});

    /// Everything in Prometheus' text format.
    [[nodiscard]] std::string prometheusText() const;

    /// Ends the window of every summary.
    void rotateSummaries();

private:
    using Metric
        = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<LatencySummary>>;
    struct Family {
        std::string help;
        std::size_t kind = 0;
        /// Metrics by their labels in text form.
        std::map<std::string, Metric> metrics;
    };

    template <class Kind> Kind& metric(std::string_view name, std::string_view help, const Labels& labels);

    mutable std::mutex mutex;
    std::map<std::string, Family, std::less<>> families;
};

} // namespace cyclamendrift

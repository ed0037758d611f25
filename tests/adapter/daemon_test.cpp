#include "surroundings.h"
#include "unusable_entries.h"

#include <platform/caller_listener.h>
#include <platform/kv_store.h>
#include <platform/leadership_client.h>
#include <platform/operator_format.h>
#include <platform/upstream_connector.h>

#include <cyclamendrift/pooling/service_owners.h>
#include <cyclamendrift/session_proxy/session_daemon.h>

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/use_future.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>
#include <leadership.pb.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr auto configuration = R"({"version":1,"routes":[
  {"host":"beds","kind":"primary","timeoutMs":1000,"targetLatencyMs":500,"priority":1,"service":"register"},
  {"host":"lists","kind":"read_own_writes","timeoutMs":1000,"targetLatencyMs":500,"service":"register","maxStalenessMs":2500}],
 "services":[{"name":"register","maxConns":12}],"limits":{"txnIdleMs":3000},
 "tenants":[{"name":"hospitals","apiKeys":["k1"],"ratePerS":1000,"burst":1000}]})";

/// `configuration` as version 2, with `count` services without upstreams besides the one that has some.
std::string configurationWithServices(std::size_t count)
{
    std::string text { configuration };
    std::string services;
    for (std::size_t index = 0; index < count; ++index)
        services += R"(,{"name":"other-)" + std::to_string(index) + R"(","maxConns":12})";
    const std::string_view last { R"("maxConns":12})" };
    text.insert(text.find(last) + last.size(), services);
    const std::string_view version { R"("version":1)" };
    return text.replace(text.find(version), version.size(), R"("version":2)");
}

/// `configuration` as version 2, with `count` routes more whose names are as hard to compress as real ones.
std::string configurationWithRoutes(std::size_t count)
{
    std::string text { configuration };
    std::string routes;
    for (std::size_t index = 0; index < count; ++index)
        routes += R"({"host":"list-)" + std::to_string(std::hash<std::size_t> {}(index * 2654435761U))
            + R"(","kind":"primary","timeoutMs":1000,"targetLatencyMs":500,"service":"register"},)";
    const std::string_view first { R"("routes":[)" };
    text.insert(text.find(first) + first.size(), routes);
    const std::string_view version { R"("version":1)" };
    return text.replace(text.find(version), version.size(), R"("version":2)");
}

/// Fails at first in a way that no caller expects.
class FailingFormat final : public PlatformFormat {
public:
    explicit FailingFormat(int failures)
        : failures(failures)
    {
    }

    [[nodiscard]] std::string operatorPrefix() const override { return this->format.operatorPrefix(); }
    [[nodiscard]] std::string configurationKey() const override { return this->format.configurationKey(); }
    [[nodiscard]] std::string evacuationPrefix() const override { return this->format.evacuationPrefix(); }
    [[nodiscard]] std::string upstreamPrefix() const override
    {
        if (this->failures-- > 0)
            throw std::runtime_error { "the directory cannot be read" };
        return this->format.upstreamPrefix();
    }
    [[nodiscard]] RouteTable readRoutes(std::string_view value) const override
    {
        return this->format.readRoutes(value);
    }
    [[nodiscard]] EvacuationRequest readEvacuation(
        std::string_view key, std::string_view value) const override
    {
        return this->format.readEvacuation(key, value);
    }
    [[nodiscard]] UpstreamEntry readUpstream(std::string_view key, std::string_view value) const override
    {
        return this->format.readUpstream(key, value);
    }

private:
    platform::OperatorFormat format;
    mutable std::atomic<int> failures;
};

/// One session proxy on separate threads.
class Running {
public:
    struct Options {
        std::string zone = "palermo";
        PlacementByZone placement = PlacementByZone::Auto;
        bool urgentFirst = false;
        /// How many attempts to read the directory fail at first.
        int directoryFailures = 0;
    };

    Running(const Surroundings& surroundings, const std::string& vm)
        : Running(surroundings, vm, Options {})
    {
    }
    Running(const Surroundings& surroundings, const std::string& vm, const Options& options)
    {
        this->settings.vm = { .name = VmName { vm }, .zone = ZoneName { options.zone } };
        this->settings.placementByZone = options.placement;
        this->settings.urgentFirst = options.urgentFirst;
        for (auto* listen : { &this->settings.callers, &this->settings.readiness, &this->settings.metrics,
                 &this->settings.siblings })
            listen->port = freePort();
        this->settings.readinessPath = "/ready";
        this->settings.storeAddress = surroundings.kv.address();
        this->settings.promotionAddress = surroundings.kv.address();
        this->settings.grace = 2s;
        const auto makePorts = [failures = options.directoryFailures](asio::io_context& traffic,
                                   asio::io_context& control, const SessionSettings& given) {
            SessionPorts ports;
            ports.callers = std::make_unique<platform::CallerListener>(traffic, given.callers);
            ports.upstreams = std::make_unique<platform::UpstreamConnector>(traffic);
            ports.store = std::make_unique<platform::KvStore>(
                control.get_executor(), platform::KvStore::Options { .address = given.storeAddress });
            ports.leadership = std::make_unique<platform::LeadershipClient>(
                control, platform::LeadershipClient::Options { .promotionAddress = given.promotionAddress });
            ports.format = std::make_unique<FailingFormat>(failures);
            return ports;
        };
        this->daemon = std::make_unique<SessionDaemon>(SessionDaemonOptions { .settings = this->settings,
            .reload = [this] { return this->settings; },
            .makePorts = makePorts });
        this->thread = std::thread { [this] { this->exit = this->daemon->run(); } };
    }
    ~Running()
    {
        if (this->thread.joinable())
            static_cast<void>(this->stop());
    }
    Running(const Running&) = delete;
    Running& operator=(const Running&) = delete;

    [[nodiscard]] DaemonExit stop()
    {
        this->daemon->drain();
        this->thread.join();
        this->daemon.reset();
        return this->exit;
    }

    SessionSettings settings;

private:
    std::unique_ptr<SessionDaemon> daemon;
    std::thread thread;
    DaemonExit exit = DaemonExit::Cut;
};

/// A caller that waits for each answer.
class Caller {
public:
    explicit Caller(const Running& proxy, const std::string& database = "beds")
        : socket(context)
    {
        const asio::ip::tcp::endpoint endpoint { asio::ip::make_address("127.0.0.1"),
            proxy.settings.callers.port };
        // The proxy listens as soon as it is ready.
        asio::error_code error = asio::error::connection_refused;
        for (int tries = 0; error && tries < 300; ++tries) {
            std::this_thread::sleep_for(20ms);
            this->socket = asio::ip::tcp::socket { this->context };
            this->socket.connect(endpoint, error);
        }
        REQUIRE_FALSE(error);
        this->write("START " + database + " k1");
        CHECK(this->line() == "READY I -");
    }

    void write(const std::string& text) { asio::write(this->socket, asio::buffer(text + "\r\n")); }

    std::string line()
    {
        asio::error_code error;
        const auto length
            = asio::read_until(this->socket, asio::dynamic_buffer(this->received), "\r\n", error);
        if (error)
            return "closed";
        const auto text = this->received.substr(0, length - 2);
        this->received.erase(0, length);
        return text;
    }

    void send(const std::string& statement)
    {
        this->write("QUERY " + std::to_string(++this->statements) + ' ' + statement);
    }

    /// Returns the lines of the next answer but the last, joined by " | ".
    std::string answer()
    {
        std::string text;
        for (auto next = this->line(); !next.starts_with("READY") && next != "closed"; next = this->line())
            text += (text.empty() ? "" : " | ") + next;
        return text;
    }

    /// Sends a statement and returns its answer.
    std::string run(const std::string& statement)
    {
        this->send(statement);
        return this->answer();
    }

    /// Tries until the answer is a success or the tries are over.
    bool runUntilDone(const std::string& text)
    {
        for (int tries = 0; tries < 400; ++tries) {
            if (this->run(text).find("ERROR") == std::string::npos)
                return true;
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket;
    std::string received;
    int statements = 0;
};

/// Returns the value of a proxy's metric; 0 when it does not exist.
double metricOf(const Running& proxy, const std::string& name)
{
    asio::io_context context;
    asio::ip::tcp::socket socket { context };
    socket.connect({ asio::ip::make_address("127.0.0.1"), proxy.settings.metrics.port });
    asio::write(socket,
        asio::buffer(std::string { "GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n" }));
    std::string page;
    asio::error_code end;
    asio::read(socket, asio::dynamic_buffer(page), end);
    const auto at = page.find("\n" + name + ' ');
    return at == std::string::npos ? 0 : std::stod(page.substr(at + name.size() + 2));
}

using RunningFleet = std::vector<std::unique_ptr<Running>>;

/// The VMs that hold the connections of the service "register" in a fleet of equal VMs.
std::vector<VmName> ownersIn(const RunningFleet& fleet)
{
    constexpr std::uint32_t connectionCap = 12;
    std::map<VmName, VmCapacity> capacities;
    for (const auto& proxy : fleet)
        capacities[proxy->settings.vm.name] = { .zone = proxy->settings.vm.zone, .cores = 1 };
    ServiceOwners owners { fleet.front()->settings.vm.name, capacities };
    return owners.ownersOf(ServiceName { "register" }, connectionCap);
}

/// Waits until one VM that owns no service knows all others and tracks no service; the end of the fleet when
/// none does in time. An owner tracks its service only once it has run a statement.
RunningFleet::iterator findForwarder(RunningFleet& fleet)
{
    const auto owners = ownersIn(fleet);
    const auto isForwarder = [&fleet, &owners](const std::unique_ptr<Running>& proxy) {
        return std::find(owners.begin(), owners.end(), proxy->settings.vm.name) == owners.end()
            && metricOf(*proxy, "cyclamendrift_configuration_version") == 2
            && metricOf(*proxy, "cyclamendrift_vms") == static_cast<double>(fleet.size())
            && metricOf(*proxy, "cyclamendrift_services_tracked") == 0;
    };
    auto found = fleet.end();
    for (int tries = 0; tries < 400 && found == fleet.end(); ++tries) {
        std::this_thread::sleep_for(20ms);
        found = std::find_if(fleet.begin(), fleet.end(), isForwarder);
    }
    return found;
}

/// Waits until each VM works with version 2 of the configuration; false when one does not in time.
bool waitForVersionTwo(const RunningFleet& fleet)
{
    const auto isCurrent = [](const std::unique_ptr<Running>& proxy) {
        return metricOf(*proxy, "cyclamendrift_configuration_version") == 2;
    };
    for (int tries = 0; tries < 250; ++tries) {
        if (std::all_of(fleet.begin(), fleet.end(), isCurrent))
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

} // namespace

TEST_SUITE("session proxy over the users' protocols")
{
    TEST_CASE("statements, transactions, prepared statements and values are served over sockets")
    {
        Surroundings surroundings { configuration };
        const Running proxy { surroundings, "vm-1" };
        Caller caller { proxy };
        CHECK(caller.run("WRITE bed-1 taken") == "DONE proof.1");
        CHECK(caller.run("READ bed-1") == "ROW taken | DONE proof.2");
        CHECK(caller.run("BEGIN") == "DONE -");
        CHECK(caller.run("PREPARE s1 WRITE shape") == "DONE -");
        CHECK(caller.run("EXECUTE s1 bed-2 free") == "DONE proof.5");
        CHECK(caller.run("COMMIT") == "DONE proof.6");
        CHECK(caller.run("NONSENSE").starts_with("ERROR MALFORMED"));
        Caller lists { proxy, "lists" };
        CHECK(lists.run("READ bed-2").starts_with("ROW free"));
        surroundings.perform([&] {
            CHECK(surroundings.upstreams.teams() == std::set<std::string> { "-", "hospitals" });
            CHECK(surroundings.upstreams.committed() == std::vector<std::string> { "1", "5" });
        });
    }

    TEST_CASE("a proxy that is told to stop ends gracefully and in time")
    {
        // Guards against a process that does not end by itself while siblings, store and upstreams are
        // connected, and is killed with sessions still open.
        Surroundings surroundings { configuration };
        auto first = std::make_unique<Running>(surroundings, "vm-1");
        const Running second { surroundings, "vm-2" };
        Caller caller { *first };
        Caller other { second };
        CHECK(caller.run("WRITE bed-1 taken") == "DONE proof.1");
        CHECK(other.run("READ bed-1").starts_with("ROW taken"));
        std::this_thread::sleep_for(1500ms);
        CHECK(first->stop() == DaemonExit::Graceful);
        CHECK(caller.line() == "closed");
        CHECK(other.run("READ bed-1").starts_with("ROW taken"));
    }

    TEST_CASE("a failed primary is replaced without loss of acknowledged writes")
    {
        // Guards against a failover that needs an operator, or that promotes a replica without all writes.
        Surroundings surroundings { configuration };
        const Running first { surroundings, "vm-1" };
        const Running second { surroundings, "vm-2" };
        Caller caller { first };
        Caller other { second };
        CHECK(caller.run("WRITE bed-1 taken") == "DONE proof.1");
        surroundings.perform([&] { surroundings.upstreams.kill(0); });
        CHECK(caller.runUntilDone("WRITE bed-2 taken"));
        CHECK(other.runUntilDone("READ bed-1"));
        CHECK(other.run("READ bed-1").starts_with("ROW taken"));
        CHECK(other.run("READ bed-2").starts_with("ROW taken"));
    }

    TEST_CASE("entries of another writer neither end a process nor take statements from callers")
    {
        // Guards against an entry in the directory that ends each process that reads it.
        Surroundings surroundings { configuration };
        const Running first { surroundings, "vm-1" };
        const Running second { surroundings, "vm-2" };
        Caller caller { first, "lists" };
        Caller other { second, "lists" };
        CHECK(caller.run("WRITE bed-1 taken").starts_with("DONE"));
        const auto entries = unusableEntries("register");
        surroundings.perform([&] {
            for (const auto& [key, value] : entries)
                surroundings.kv.put(key, value);
        });
        const auto allSetAside = [&entries](const Running& proxy) {
            return metricOf(proxy, "cyclamendrift_directory_entries_set_aside_total")
                > static_cast<double>(entries.size());
        };
        for (int tries = 0; tries < 250 && !(allSetAside(first) && allSetAside(second)); ++tries)
            std::this_thread::sleep_for(20ms);
        CHECK(allSetAside(first));
        CHECK(allSetAside(second));
        // Reads at once need more upstreams than the one that suffices for reads in turn.
        std::vector<std::unique_ptr<Caller>> readers;
        for (int reader = 0; reader < 12; ++reader)
            readers.push_back(std::make_unique<Caller>(reader % 2 == 0 ? first : second, "lists"));
        for (int round = 0; round < 50; ++round) {
            for (const auto& reader : readers)
                reader->send("READ bed-1");
            for (const auto& reader : readers)
                CHECK(reader->answer().starts_with("ROW taken"));
        }
    }

    TEST_CASE("work on the control thread that fails is done again")
    {
        // Guards against a VM that never learns of its upstreams because reading them failed once.
        Surroundings surroundings { configuration };
        const Running proxy { surroundings, "vm-1", { .directoryFailures = 3 } };
        Caller caller { proxy };
        CHECK(caller.run("WRITE bed-1 taken").starts_with("DONE"));
    }

    TEST_CASE("a VM that was killed adopts its record and the record's lease")
    {
        // Guards against a record that expires after the restart, and against new leases and records of all
        // VMs when all restart.
        Surroundings surroundings { configuration };
        auto& store = surroundings.kv.store();
        const std::string key { "cyclamendrift/vms/vm-1" };
        const auto onPlatform = [&surroundings](auto call) {
            return asio::co_spawn(surroundings.context, std::move(call), asio::use_future).get();
        };
        const auto lease = onPlatform(store.grantLease(12s));
        SwapOptions left { .key = key, .value = "of an earlier process", .lease = lease };
        static_cast<void>(onPlatform(store.compareAndSwap(std::move(left))));
        SwapOptions secret { .key = "cyclamendrift/sibling-secret", .value = "secret" };
        static_cast<void>(onPlatform(store.compareAndSwap(std::move(secret))));
        const Running proxy { surroundings, "vm-1" };
        const Caller caller { proxy };
        auto record = onPlatform(store.get(key));
        for (int tries = 0; tries < 200 && record && record->value == "of an earlier process"; ++tries) {
            std::this_thread::sleep_for(20ms);
            record = onPlatform(store.get(key));
        }
        REQUIRE(record.has_value());
        CHECK(record->value != "of an earlier process");
        CHECK(record->lease == lease);
    }

    TEST_CASE(
        "a VM that restarts places by zone at once if its fleet does, and its record goes on telling so")
    {
        // Guards against holders of limits that differ between VMs until a VM that restarted has measured.
        Surroundings surroundings { configuration };
        auto& store = surroundings.kv.store();
        const auto onPlatform = [&surroundings](auto call) {
            return asio::co_spawn(surroundings.context, std::move(call), asio::use_future).get();
        };
        const auto recordOf = [](const std::string& vm) {
            wire::VmRecord record;
            record.set_name(vm);
            record.set_sibling_host("127.0.0.1");
            record.set_sibling_port(freePort());
            record.set_availability_zone("palermo");
            record.set_cores(0.1);
            record.set_zones_far_apart(true);
            record.set_placed_by_zone(true);
            return record;
        };
        const std::string key { "cyclamendrift/vms/vm-1" };
        const auto lease = onPlatform(store.grantLease(12s));
        SwapOptions left { .key = key, .value = recordOf("vm-1").SerializeAsString(), .lease = lease };
        const auto outcome = onPlatform(store.compareAndSwap(std::move(left)));
        REQUIRE(std::holds_alternative<Swapped>(outcome));
        surroundings.perform([&] {
            surroundings.kv.put("cyclamendrift/sibling-secret", "secret");
            surroundings.kv.put("cyclamendrift/vms/vm-9", recordOf("vm-9").SerializeAsString());
        });
        const Running proxy { surroundings, "vm-1" };
        for (int tries = 0; tries < 200 && metricOf(proxy, "cyclamendrift_vms") < 2; ++tries)
            std::this_thread::sleep_for(20ms);
        REQUIRE(metricOf(proxy, "cyclamendrift_vms") == 2);
        CHECK(metricOf(proxy, "cyclamendrift_placed_by_zone") == 1);
        // Its addresses differ from those of the earlier process, so that it writes the record.
        const auto isWritten = [&](const std::optional<StoreEntry>& entry) {
            return entry && entry->revision != std::get<Swapped>(outcome).revision;
        };
        auto entry = onPlatform(store.get(key));
        for (int tries = 0; tries < 200 && !isWritten(entry); ++tries) {
            std::this_thread::sleep_for(20ms);
            entry = onPlatform(store.get(key));
        }
        REQUIRE(isWritten(entry));
        wire::VmRecord written;
        REQUIRE(written.ParseFromString(entry->value));
        CHECK(written.zones_far_apart());
        CHECK(written.placed_by_zone());
        // One VM of two is not more than half.
        auto near = recordOf("vm-9");
        near.clear_zones_far_apart();
        near.clear_placed_by_zone();
        surroundings.perform(
            [&] { surroundings.kv.put("cyclamendrift/vms/vm-9", near.SerializeAsString()); });
        std::this_thread::sleep_for(1500ms);
        CHECK(metricOf(proxy, "cyclamendrift_placed_by_zone") == 0);
    }

    TEST_CASE("a VM that starts joins although a read of the store forgets the roster that it has seen")
    {
        // Guards against a VM that starts and never joins: its answers to siblings are refusals from then on.
        Surroundings surroundings { configuration };
        const auto onPlatform = [&surroundings](auto call) {
            return asio::co_spawn(surroundings.context, std::move(call), asio::use_future).get();
        };
        wire::ReaderRoster roster;
        roster.set_readers(1);
        auto& gone = *roster.add_vms();
        gone.set_name("vm-0");
        gone.set_sibling_host("127.0.0.1");
        gone.set_sibling_port(freePort());
        SwapOptions secret { .key = "cyclamendrift/sibling-secret", .value = "secret" };
        static_cast<void>(onPlatform(surroundings.kv.store().compareAndSwap(std::move(secret))));
        SwapOptions written { .key = "cyclamendrift/sibling-readers", .value = roster.SerializeAsString() };
        static_cast<void>(onPlatform(surroundings.kv.store().compareAndSwap(std::move(written))));
        // Two reads before the VM writes the roster itself, and one after the current one.
        surroundings.perform([&] {
            surroundings.kv.laggingPrefix = "cyclamendrift/sibling-";
            surroundings.kv.laggingAnswers = 3;
        });
        const Running proxy { surroundings, "vm-1" };
        Caller caller { proxy };
        CHECK(caller.run("WRITE bed-1 taken").starts_with("DONE"));
    }

    TEST_CASE("a store that has discarded its history gets no more calls than before")
    {
        // Guards against a watch that starts again from the configuration's last change. The store no longer
        // has that revision and refuses each attempt, which makes a hundred calls a second.
        Surroundings surroundings { configuration };
        const Running proxy { surroundings, "vm-1" };
        Caller caller { proxy };
        surroundings.perform([&] { surroundings.kv.refuseWith = 503; });
        std::this_thread::sleep_for(1500ms);
        std::uint64_t watchesBefore = 0;
        surroundings.perform([&] {
            surroundings.kv.refuseWith = 0;
            surroundings.kv.store().compact(surroundings.kv.store().revision());
            watchesBefore = surroundings.kv.store().calls().watches;
        });
        std::this_thread::sleep_for(1500ms);
        surroundings.perform([&] {
            const auto watches = surroundings.kv.store().calls().watches - watchesBefore;
            CHECK(watches > 0);
            CHECK(watches < 10);
        });
    }
}

// Runs as a test of its own, because starting many proxies takes most of the time.
TEST_SUITE("large fleets of session proxies")
{
    TEST_CASE("in a large fleet statements run at the owners of their service, or elsewhere when the owners "
              "are down")
    {
        // Fourteen VMs share 28 connections to each upstream, so three owners hold them. The VMs are stopped
        // one after the other, owners included. Guards against failures at callers of the remaining VMs.
        constexpr std::size_t vms = 14;
        Surroundings surroundings { configuration };
        RunningFleet fleet;
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t vm = 0; vm < vms; ++vm)
            fleet.push_back(std::make_unique<Running>(surroundings, "vm-" + std::to_string(vm)));
        for (const auto& proxy : fleet)
            callers.push_back(std::make_unique<Caller>(*proxy));
        const auto sumOf = [&fleet](const std::string& metric) {
            double sum = 0;
            for (const auto& proxy : fleet)
                sum += metricOf(*proxy, metric);
            return sum;
        };
        const auto handedOn = [&sumOf] { return sumOf("cyclamendrift_handed_on_total"); };
        // The VMs discover each other within seconds.
        for (int tries = 0; tries < 400 && handedOn() < 1; ++tries) {
            for (auto& caller : callers)
                CHECK(caller->runUntilDone("READ bed-1"));
        }
        REQUIRE(handedOn() > 0);
        // The bytes on the wire include headers and frames.
        const auto bodies
            = sumOf("cyclamendrift_sibling_bytes_total{call=\"RunForSibling\",availability_zone=\"own\"}");
        const auto wire = sumOf("cyclamendrift_sibling_wire_bytes_total{availability_zone=\"own\"}");
        CHECK(bodies > 0);
        CHECK(wire > bodies);
        CHECK(callers.back()->run("BEGIN") == "DONE -");
        CHECK(callers.back()->run("WRITE bed-1 taken").starts_with("DONE proof"));
        CHECK(callers.back()->run("COMMIT").starts_with("DONE proof"));
        CHECK(callers.front()->run("READ bed-1").starts_with("ROW taken"));
        while (fleet.size() > 1) {
            callers.pop_back();
            CHECK(fleet.back()->stop() == DaemonExit::Graceful);
            fleet.pop_back();
            CHECK(callers.front()->runUntilDone("READ bed-1"));
        }
    }

    TEST_CASE("by zone, statements go to owners in the zone of the primary once answers have told it")
    {
        // Guards against hints that are lost between two VMs: statements would cross zones twice.
        constexpr std::size_t vmsPerZone = 5;
        const std::string crossing = "cyclamendrift_handed_on_by_zone_total{availability_zone=\"other\"}";
        Surroundings surroundings { configuration };
        RunningFleet fleet;
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t vm = 0; vm < vmsPerZone; ++vm) {
            for (const std::string zone : { "palermo", "catania" })
                fleet.push_back(std::make_unique<Running>(surroundings, zone + '-' + std::to_string(vm),
                    Running::Options { .zone = zone, .placement = PlacementByZone::Always }));
        }
        for (const auto& proxy : fleet)
            callers.push_back(std::make_unique<Caller>(*proxy));
        const auto writeEverywhere = [&callers] {
            for (auto& caller : callers)
                CHECK(caller->runUntilDone("WRITE bed-1 taken"));
        };
        const auto crossings = [&fleet, &crossing](const std::string& zone) {
            std::vector<double> counts;
            for (const auto& proxy : fleet) {
                if (proxy->settings.vm.zone == ZoneName { zone })
                    counts.push_back(metricOf(*proxy, crossing));
            }
            return counts;
        };
        // An owner that could not be reached while the fleet started is skipped for two seconds, and
        // statements then cross zones although an owner of their own zone exists.
        constexpr auto settlingTime = 20s;
        constexpr int roundsWithoutCrossing = 20;
        const auto isSettled = [&] {
            const auto before = crossings("palermo");
            for (int round = 0; round < roundsWithoutCrossing; ++round)
                writeEverywhere();
            // The metrics follow within a report of the traffic thread.
            std::this_thread::sleep_for(300ms);
            const auto fromCatania = crossings("catania");
            return crossings("palermo") == before
                && std::all_of(
                    fromCatania.begin(), fromCatania.end(), [](double count) { return count > 0; });
        };
        const auto start = std::chrono::steady_clock::now();
        bool settled = isSettled();
        while (!settled && std::chrono::steady_clock::now() < start + settlingTime)
            settled = isSettled();
        CHECK(settled);
        for (const auto& proxy : fleet)
            CHECK(metricOf(*proxy, "cyclamendrift_placed_by_zone") == 1);
    }

    TEST_CASE("requests for tokens wait at the VMs that hold a limit, over the real protocol")
    {
        // A caller asks for several times its team's rate at a VM of a large fleet. Guards against tokens
        // that are lost or doubled between VMs, and against VMs that differ in the setting. The last VM has
        // it off.
        constexpr std::size_t vms = 14;
        constexpr double rate = 20;
        constexpr double burst = 4;
        std::string limited { configuration };
        limited.replace(limited.find(R"("ratePerS":1000,"burst":1000)"), 28, R"("ratePerS":20,"burst":4)");
        Surroundings surroundings { limited };
        RunningFleet fleet;
        for (std::size_t vm = 0; vm < vms; ++vm)
            fleet.push_back(std::make_unique<Running>(
                surroundings, "vm-" + std::to_string(vm), Running::Options { .urgentFirst = vm + 1 < vms }));
        const auto given = [&fleet] {
            double sum = 0;
            for (const auto& proxy : fleet)
                sum += metricOf(*proxy, R"(cyclamendrift_tokens_given_total{priority="1"})");
            return sum;
        };
        std::vector<std::unique_ptr<Caller>> callers;
        for (const std::size_t vm : { std::size_t { 0 }, vms / 2, vms - 1 })
            callers.push_back(std::make_unique<Caller>(*fleet[vm]));
        for (int tries = 0; tries < 100 && given() < 1; ++tries) {
            for (auto& caller : callers)
                static_cast<void>(caller->run("READ bed-1"));
        }
        REQUIRE(given() >= 1);
        std::size_t served = 0;
        const auto begun = std::chrono::steady_clock::now();
        std::chrono::duration<double> elapsed {};
        while (elapsed < 3s) {
            for (auto& caller : callers)
                served += caller->run("READ bed-1").starts_with("ERR") ? 0 : 1;
            elapsed = std::chrono::steady_clock::now() - begun;
        }
        CHECK(static_cast<double>(served) <= burst + rate * (elapsed.count() + 0.2) + 4);
        CHECK(static_cast<double>(served) >= rate * elapsed.count() / 2);
    }

    TEST_CASE("a VM that tracks no service forwards its callers' statements")
    {
        // Guards against a VM that waits for upstreams and leadership records, which it does not get, before
        // it serves callers.
        constexpr std::size_t vms = 24;
        Surroundings surroundings { configuration };
        surroundings.perform([&] { surroundings.kv.put("op/config", configurationWithServices(70)); });
        RunningFleet fleet;
        for (std::size_t vm = 0; vm < vms; ++vm)
            fleet.push_back(std::make_unique<Running>(surroundings, "vm-" + std::to_string(vm)));
        const auto forwarder = findForwarder(fleet);
        REQUIRE(forwarder != fleet.end());
        Caller caller { **forwarder };
        CHECK(caller.runUntilDone("WRITE bed-1 taken"));
        CHECK(caller.run("READ bed-1").starts_with("ROW taken"));
        const auto handedOn = [&forwarder] { return metricOf(**forwarder, "cyclamendrift_handed_on_total"); };
        for (int tries = 0; tries < 100 && handedOn() < 2; ++tries)
            std::this_thread::sleep_for(20ms);
        CHECK(handedOn() >= 2);
    }

    TEST_CASE("a configuration too large for the answers of a store reader is in force at every VM")
    {
        // Guards against a document that travels in the answers which renew the views of primaries: it delays
        // them, or the whole answer is given up, and the VM keeps the older configuration.
        Surroundings surroundings { configuration };
        RunningFleet fleet;
        for (int vm = 1; vm <= 5; ++vm)
            fleet.push_back(std::make_unique<Running>(surroundings, "vm-" + std::to_string(vm)));
        for (const auto& proxy : fleet) {
            Caller caller { *proxy };
            CHECK(caller.runUntilDone("READ bed-1"));
        }
        surroundings.perform([&] { surroundings.kv.put("op/config", configurationWithRoutes(4000)); });
        CHECK(waitForVersionTwo(fleet));
        for (const auto& proxy : fleet) {
            Caller caller { *proxy };
            CHECK(caller.run("READ bed-1").starts_with("ROW"));
        }
    }
}

TEST_SUITE("session proxy over the users' protocols, during outages and changes")
{
    TEST_CASE("an evacuated zone gets no statements until the request is withdrawn, not even from a VM that "
              "starts later")
    {
        // Guards against a primary that stays in the zone, against a VM that starts without the request, and
        // against a malformed request that hides the others.
        Surroundings surroundings { configuration };
        surroundings.perform([&] {
            for (std::size_t index = 1; index < 3; ++index)
                surroundings.upstreams.node(index).zone = "catania";
            for (std::size_t index = 0; index < 3; ++index)
                surroundings.tellEntry(index);
        });
        const Running proxy { surroundings, "vm-1" };
        Caller caller { proxy };
        CHECK(caller.runUntilDone("WRITE bed-1 taken"));
        surroundings.perform([&] {
            surroundings.kv.put("op/evacuate/", "7");
            surroundings.kv.put("op/evacuate/palermo", "{}");
        });
        for (int tries = 0; tries < 200; ++tries) {
            if (caller.run("WRITE bed-1 free").find("evacuated") != std::string::npos)
                break;
            std::this_thread::sleep_for(10ms);
        }
        CHECK(caller.runUntilDone("WRITE bed-1 taken"));
        std::size_t before = 0;
        surroundings.perform([&] { before = surroundings.upstreams.node(0).statements; });
        const Running later { surroundings, "vm-2" };
        Caller other { later, "lists" };
        for (int index = 0; index < 20; ++index)
            CHECK(other.runUntilDone("READ bed-1"));
        CHECK(caller.run("READ bed-1").starts_with("ROW taken"));
        CHECK(metricOf(later, "cyclamendrift_evacuated_availability_zones") == 1);
        surroundings.perform([&] {
            CHECK(surroundings.upstreams.node(0).statements == before);
            surroundings.kv.put("op/evacuate/catania", "{}");
            surroundings.kv.remove("op/evacuate/palermo");
        });
        // Now only the first zone can have the primary.
        for (int tries = 0; tries < 200; ++tries) {
            if (caller.run("WRITE bed-1 free").find("ERROR") != std::string::npos)
                break;
            std::this_thread::sleep_for(10ms);
        }
        CHECK(caller.runUntilDone("WRITE bed-1 free"));
        surroundings.perform([&] { CHECK(surroundings.upstreams.node(0).statements > before); });
    }

    TEST_CASE("an outage of the store for all VMs makes none of them refuse operations")
    {
        // Guards against a fleet that takes an outage of some seconds for a configuration that was replaced.
        Surroundings surroundings { configuration };
        RunningFleet fleet;
        std::vector<std::unique_ptr<Caller>> callers;
        for (int vm = 1; vm <= 4; ++vm)
            fleet.push_back(std::make_unique<Running>(surroundings, "vm-" + std::to_string(vm)));
        for (const auto& proxy : fleet) {
            callers.push_back(std::make_unique<Caller>(*proxy));
            for (int tries = 0; tries < 400 && metricOf(*proxy, "cyclamendrift_vms") < 4; ++tries)
                std::this_thread::sleep_for(20ms);
        }
        surroundings.perform([&] { surroundings.kv.refuseWith = 503; });
        const auto until = std::chrono::steady_clock::now() + 6s;
        while (std::chrono::steady_clock::now() < until) {
            for (const auto& caller : callers)
                CHECK(caller->run("READ bed-1").find("nobody has confirmed") == std::string::npos);
            std::this_thread::sleep_for(50ms);
        }
        for (const auto& proxy : fleet) {
            CHECK(metricOf(*proxy, "cyclamendrift_configuration_age_seconds") > 4);
            CHECK(metricOf(*proxy, "cyclamendrift_refused_unconfirmed_total") == 0);
        }
    }

    TEST_CASE("a VM that neither the store nor a sibling answers refuses operations until it is confirmed")
    {
        // Guards against a VM that is cut off and serves by a configuration which operators have replaced.
        Surroundings surroundings { configuration };
        wire::VmRecord silent;
        silent.set_name("vm-9");
        silent.set_sibling_host("127.0.0.1");
        silent.set_sibling_port(freePort());
        silent.set_availability_zone("palermo");
        silent.set_cores(0.1);
        surroundings.perform([&] {
            surroundings.kv.put("cyclamendrift/sibling-secret", "secret");
            surroundings.kv.put("cyclamendrift/vms/vm-9", silent.SerializeAsString());
        });
        const Running proxy { surroundings, "vm-1" };
        Caller caller { proxy };
        CHECK(caller.runUntilDone("READ bed-1"));
        for (int tries = 0; tries < 200 && metricOf(proxy, "cyclamendrift_vms") < 2; ++tries)
            std::this_thread::sleep_for(20ms);
        REQUIRE(metricOf(proxy, "cyclamendrift_vms") == 2);
        surroundings.perform([&] { surroundings.kv.refuseWith = 503; });
        // A watch that is under way is still answered, and its answer, up to 1.2 s later, is a confirmation.
        std::this_thread::sleep_for(1200ms + proxy.settings.configurationApplyLimit);
        const auto refused = caller.run("READ bed-1");
        CHECK(refused.starts_with("ERROR BUSY"));
        CHECK(refused.find("nobody has confirmed") != std::string::npos);
        const auto counted = [&proxy] { return metricOf(proxy, "cyclamendrift_refused_unconfirmed_total"); };
        for (int tries = 0; tries < 100 && counted() < 1; ++tries)
            std::this_thread::sleep_for(20ms);
        CHECK(counted() == 1);
        surroundings.perform([&] { surroundings.kv.refuseWith = 0; });
        CHECK(caller.runUntilDone("READ bed-1"));
    }

    TEST_CASE("a withdrawn key stops working on an open session, and a store that refuses calls stops nobody")
    {
        Surroundings surroundings { configuration };
        const Running proxy { surroundings, "vm-1" };
        Caller caller { proxy };
        CHECK(caller.run("WRITE bed-1 taken") == "DONE proof.1");
        surroundings.perform([&] { surroundings.kv.refuseWith = 503; });
        std::this_thread::sleep_for(1500ms);
        CHECK(caller.run("WRITE bed-1 free") == "DONE proof.2");
        surroundings.perform([&] {
            surroundings.kv.refuseWith = 0;
            std::string changed = configuration;
            changed.replace(changed.find("\"version\":1"), 11, "\"version\":2");
            changed.replace(changed.find("k1"), 2, "k2");
            surroundings.kv.put("op/config", changed);
        });
        std::string last;
        for (int tries = 0; tries < 200 && !last.starts_with("ERROR NOAUTH"); ++tries) {
            std::this_thread::sleep_for(20ms);
            last = caller.run("READ bed-1");
        }
        CHECK(last.starts_with("ERROR NOAUTH"));
    }
}

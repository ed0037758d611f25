// Stand-ins for the platform, the databases and the clients, and the scripts of the review's cases. Started by
// review/N/run.sh in the repository's root: standin CASE RECORD. Exit codes: 0 the rule held, 1 it was broken,
// 2 the case could not run.
#include "common.h"
#include "databases.h"
#include "fleet.h"
#include "store.h"

#include <cstdlib>
#include <iostream>
#include <map>

using namespace review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

struct Route {
    std::string host;
    std::string kind;
    std::string service;
    int timeoutMs = 1000;
    int targetMs = 400;
    int priority = 2;
    int staleness = 0;
};

struct Tenant {
    std::string name;
    std::vector<std::string> keys;
};

/// A deployment like sites/posti-rsa.toml: 8 machines in 3 zones, services of 3 databases each.
class World {
public:
    explicit World(bool trouble, std::vector<std::string> services, bool syncReplicas = false)
        : trouble(trouble)
        , store(this->ground.endpoint(200, 0))
        , syncReplicas(syncReplicas)
    {
        const std::vector<std::string> zones { "palermo", "catania", "messina" };
        int host = 100;
        for (const auto& service : services) {
            auto& group = *this->groups.emplace(service, std::make_unique<Group>(Group::Settings { .service = service, .syncReplicas = syncReplicas })).first->second;
            for (std::size_t index = 0; index < zones.size(); ++index) {
                auto& node = group.add(this->ground.endpoint(host, 0),
                    "i-" + service + std::to_string(index), zones[index]);
                ++host;
                this->announce(group, node);
            }
        }
        this->store.onPromotion = [this](const std::string& service, const std::string& id,
                                      const std::string& holder, const std::string& token) {
            const auto group = this->groups.find(service);
            const int status = group == this->groups.end() ? 409 : group->second->promote(id);
            record("platform: " + holder + " promotes " + id + " with token " + token + " -> "
                + std::to_string(status));
            return status;
        };
        const auto address = this->ground.host(200) + ':' + std::to_string(this->store.port());
        for (int index = 0; index < 8; ++index) {
            const auto& zone = zones[static_cast<std::size_t>(index) % zones.size()];
            this->machines.push_back(std::make_unique<Machine>(this->ground,
                Machine::Options { .name = "front-" + zone + '-' + std::to_string(index / 3 + 1), .zone = zone,
                    .ip = this->ground.host(index + 1), .store = address }));
        }
        this->store.start();
    }

    void announce(const Group& group, const Group::Node& node)
    {
        this->store.put("servers/" + node.id, Group::entryOf(node, group.current()).dump());
    }

    /// Writes the next version of the configuration, which is acknowledged at once.
    void configure(const std::vector<Route>& routes, const std::vector<Tenant>& tenants)
    {
        this->version += 3;
        Json json { { "version", this->version } };
        json["routes"] = Json::array();
        for (const auto& route : routes) {
            Json entry { { "name", "r-" + route.host }, { "host", route.host }, { "prefix", "/" },
                { "kind", route.kind }, { "timeoutMs", route.timeoutMs }, { "targetLatencyMs", route.targetMs },
                { "priority", route.priority }, { "service", route.service }, { "maxAttempts", 2 },
                { "public", false } };
            if (route.staleness > 0)
                entry["maxStalenessMs"] = route.staleness;
            json["routes"].push_back(entry);
        }
        json["services"] = Json::array();
        for (const auto& group : this->groups)
            json["services"].push_back({ { "name", group.first }, { "healthPath", "/health" }, { "maxConns", 21 },
                { "protocol", "h1" }, { "tls", false }, { "syncReplicas", this->syncReplicas ? 1 : 0 } });
        json["limits"] = { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 },
            { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 }, { "txnIdleMs", 3000 } };
        json["tenants"] = Json::array();
        for (const auto& tenant : tenants)
            json["tenants"].push_back({ { "name", tenant.name }, { "apiKeys", tenant.keys }, { "priority", 1 },
                { "ratePerS", 132 }, { "burst", 132 } });
        this->store.put("op/config", json.dump());
        this->acknowledgedAt = nowMs();
        std::string text;
        for (const auto& route : routes)
            text += ' ' + route.host + "->" + route.service;
        for (const auto& tenant : tenants) {
            text += "; tenant " + tenant.name + " keys";
            for (const auto& key : tenant.keys)
                text += ' ' + key;
        }
        record("operator: version " + std::to_string(this->version) + " is acknowledged:" + text);
    }

    /// Starts all machines and waits until each reports itself ready.
    awaitable<bool> start()
    {
        for (auto& machine : this->machines)
            machine->start();
        for (auto& machine : this->machines) {
            bool ready = false;
            for (int attempt = 0; attempt < 150 && !ready; ++attempt) {
                co_await sleepMs(100);
                ready = co_await isReady(*machine);
            }
            if (!ready) {
                record("machine " + machine->name() + " does not become ready");
                co_return false;
            }
        }
        record("all machines are ready");
        co_return true;
    }

    [[nodiscard]] Group& group(const std::string& service) { return *this->groups.at(service); }
    [[nodiscard]] std::string nextId()
    {
        char text[24];
        std::snprintf(text, sizeof text, "%016llx", 0x5c0e7a2100000000ULL + ++this->lastId);
        return text;
    }
    /// The run of a request, or null.
    [[nodiscard]] const Run* runOf(const std::string& id)
    {
        for (const auto& group : this->groups) {
            for (const auto& run : group.second->runs) {
                if (run.id == id)
                    return &run;
            }
        }
        return nullptr;
    }

    /// Sends reads and some writes in the background, as other clients do.
    awaitable<void> traffic(std::string host, std::string key, std::size_t machine, double pauseMs)
    {
        Client client { "other-" + host + '-' + std::to_string(machine) };
        for (int turn = 0; !this->stopping; ++turn) {
            if (!client.isOpen()) {
                const auto front = this->machines.at(machine)->front();
                const bool open = co_await client.start(front, host, key);
                if (!open) {
                    co_await sleepMs(300);
                    continue;
                }
            }
            const auto item = "b" + std::to_string(machine);
            const auto text = turn % 3 == 0 ? "WRITE " + item + " v" + std::to_string(turn) : "READ " + item;
            const auto id = this->nextId();
            co_await client.query(id, text);
            co_await sleepMs(pauseMs);
        }
        client.close();
    }

    bool trouble;
    Ground ground;
    Store store;
    std::map<std::string, std::unique_ptr<Group>> groups;
    std::vector<std::unique_ptr<Machine>> machines;
    bool stopping = false;
    bool syncReplicas = false;
    double acknowledgedAt = 0;

private:
    static awaitable<bool> isReady(Machine& machine)
    {
        tcp::socket socket { context };
        asio::error_code error;
        co_await socket.async_connect(machine.ready(), asio::redirect_error(use_awaitable, error));
        if (error)
            co_return false;
        const std::string request
            = "GET /cyclamendrift/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(use_awaitable, error));
        std::string answer;
        co_await asio::async_read_until(
            socket, asio::dynamic_buffer(answer), "\r\n", asio::redirect_error(use_awaitable, error));
        co_return answer.find(" 200 ") != std::string::npos;
    }

    std::uint64_t version = 1;
    std::uint64_t lastId = 0;
};

#include "cases.h"

awaitable<void> runCase(std::string name, int& result)
{
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = variable == nullptr || std::string { variable } != "0";
    record(trouble ? "with the disruption" : "without the disruption");
    const auto found = cases.find(name);
    if (found == cases.end()) {
        record("there is no such case");
        co_return;
    }
    try {
        result = co_await found->second(trouble);
    } catch (const std::exception& error) {
        record(std::string { "could not run: " } + error.what());
        result = couldNotRun;
    }
    record(result == held ? "result: the rule held" : result == broken ? "result: the rule was broken" : "result: could not run");
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return couldNotRun;
    signal(SIGPIPE, SIG_IGN);
    recordFile.open(argv[2], std::ios::trunc);
    int result = couldNotRun;
    asio::co_spawn(context, runCase(argv[1], result), [](const std::exception_ptr&) { context.stop(); });
    asio::steady_timer limit { context, std::chrono::seconds { 110 } };
    limit.async_wait([](const asio::error_code& error) {
        if (!error) {
            record("the time limit of the script has passed");
            context.stop();
        }
    });
    context.run();
    recordFile.flush();
    // The coroutines that still wait are not resumed any more; the processes have ended with their machines.
    std::_Exit(result);
}

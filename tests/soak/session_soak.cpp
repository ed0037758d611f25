#include "../adapter/surroundings.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Runs real processes of the session proxy on loopback through a series of overlapping faults that follows
/// from a seed, and checks what callers and upstreams see:
///
///     session_soak PROGRAM SEED SECONDS VMS
///
/// Exit code 0 when every check held, 1 otherwise; the logs of the processes stay in their folder then.
using namespace cyclamendrift;
using namespace std::chrono_literals;

extern char** environ;

namespace {

using Clock = std::chrono::steady_clock;

/// The platform promises its callers service again this long after the VMs are back.
constexpr auto recoveryBound = 12s;
/// After this time a caller gives an answer up.
constexpr timeval answerLimit { .tv_sec = 4, .tv_usec = 0 };
constexpr std::size_t callers = 6;

std::string configurationOf(std::uint64_t version, std::size_t routesMore)
{
    std::string text = R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"host":"beds","kind":"primary","timeoutMs":1000,"targetLatencyMs":500,"priority":1,)"
          R"("service":"register"})";
    for (std::size_t index = 0; index < routesMore; ++index)
        text += R"(,{"host":"list-)" + std::to_string(index * 2654435761U % 1000003U)
            + R"(","kind":"primary","timeoutMs":1000,"targetLatencyMs":500,"service":"register"})";
    return text
        + R"(],"services":[{"name":"register","maxConns":40}],"limits":{"txnIdleMs":3000},)"
          R"("tenants":[{"name":"hospitals","apiKeys":["k1"],"ratePerS":5000,"burst":5000}]})";
}

/// What callers were told of each write; written by several threads.
class Ledger {
public:
    void acknowledged(const std::string& id) { this->record(this->acknowledgedIds, id); }
    void refused(const std::string& id) { this->record(this->refusedIds, id); }
    void fail(const std::string& problem)
    {
        const std::lock_guard guard { this->mutex };
        this->problems.push_back(problem);
    }

    /// Compares the promises with what the upstreams have committed.
    void check(const std::vector<std::string>& committed)
    {
        std::map<std::string, int> counts;
        for (const auto& id : committed)
            ++counts[id];
        for (const auto& [id, count] : counts) {
            if (count > 1)
                this->fail("the write " + id + " took effect " + std::to_string(count) + " times");
            if (this->refusedIds.contains(id))
                this->fail("the write " + id + " took effect although it was refused as not run");
        }
        for (const auto& id : this->acknowledgedIds) {
            if (!counts.contains(id))
                this->fail("the acknowledged write " + id + " is not there");
        }
    }

    [[nodiscard]] std::size_t acknowledgedCount() const { return this->acknowledgedIds.size(); }
    [[nodiscard]] const std::vector<std::string>& found() const { return this->problems; }

private:
    void record(std::set<std::string>& ids, const std::string& id)
    {
        const std::lock_guard guard { this->mutex };
        ids.insert(id);
    }

    std::mutex mutex;
    std::set<std::string> acknowledgedIds;
    std::set<std::string> refusedIds;
    std::vector<std::string> problems;
};

/// A caller's connection; answers that do not come within `answerLimit` count as lost.
class Connection {
public:
    explicit Connection(std::uint16_t port)
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &answerLimit, sizeof answerLimit);
        setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &answerLimit, sizeof answerLimit);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto* target = reinterpret_cast<const sockaddr*>(&address);
        this->open = connect(this->descriptor, target, sizeof address) == 0 && this->send("START beds k1")
            && this->line().value_or("").starts_with("READY");
    }
    ~Connection() { close(this->descriptor); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    [[nodiscard]] bool isOpen() const noexcept { return this->open; }

    /// The lines of the answer but the last; empty when it did not come as a whole.
    std::optional<std::vector<std::string>> run(const std::string& id, const std::string& text)
    {
        this->open = this->send("QUERY " + id + ' ' + text);
        std::vector<std::string> lines;
        while (this->open) {
            auto next = this->line();
            if (!next) {
                this->open = false;
                break;
            }
            if (next->starts_with("READY"))
                return lines;
            lines.push_back(*std::move(next));
        }
        return std::nullopt;
    }

private:
    bool send(const std::string& text)
    {
        const auto bytes = text + "\r\n";
        return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size());
    }

    std::optional<std::string> line()
    {
        auto end = this->received.find("\r\n");
        while (end == std::string::npos) {
            std::array<char, 4096> chunk {};
            const auto size = recv(this->descriptor, chunk.data(), chunk.size(), 0);
            if (size <= 0)
                return std::nullopt;
            this->received.append(chunk.data(), static_cast<std::size_t>(size));
            end = this->received.find("\r\n");
        }
        auto text = this->received.substr(0, end);
        this->received.erase(0, end + 2);
        return text;
    }

    int descriptor;
    bool open = false;
    std::string received;
};

bool isSuccess(const std::optional<std::vector<std::string>>& answer)
{
    return answer && !answer->empty() && answer->back().starts_with("DONE");
}

/// True for errors that promise that nothing was kept.
bool isPromise(const std::optional<std::vector<std::string>>& answer)
{
    if (!answer || answer->empty())
        return false;
    const std::array<std::string, 6> promises { "ERROR BUSY", "ERROR ABORTED", "ERROR LAGGING",
        "ERROR READONLY", "ERROR WRONGNODE", "ERROR TOOMANY" };
    return std::any_of(promises.begin(), promises.end(),
        [&](const std::string& text) { return answer->back().starts_with(text); });
}

/// One VM: its settings, and the process that runs on it, if any.
class Vm {
public:
    struct Options {
        std::string program;
        std::filesystem::path folder;
        std::string name;
        /// Where callers connect.
        std::uint16_t port = 0;
        std::string storeAddress;
    };

    explicit Vm(Options given)
        : options(std::move(given))
    {
        const auto listen
            = [](std::uint16_t port) { return "listen = \"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::ofstream file { this->settingsPath() };
        file << "[vm]\nname = \"" << this->options.name << "\"\navailability_zone = \"palermo\"\n"
             << "[processor]\nshare = 0.5\ncores = 1\n[link]\nmegabits_per_second = 200.0\n"
             << "[callers]\n"
             << listen(this->options.port) << "[readiness]\n"
             << listen(freePort()) << "path = \"/ready\"\n"
             << "[metrics]\n"
             << listen(freePort()) << "[siblings]\n"
             << listen(freePort()) << "[store]\naddress = \"" << this->options.storeAddress
             << "\"\n[promotion]\naddress = \"" << this->options.storeAddress
             << "\"\n[shutdown]\ngrace_ms = 2000\n[log]\nlevel = \"info\"\n";
    }
    ~Vm() { this->kill(); }
    Vm(const Vm&) = delete;
    Vm& operator=(const Vm&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return this->options.port; }
    [[nodiscard]] const std::string& name() const noexcept { return this->options.name; }
    [[nodiscard]] bool isRunning() const noexcept { return this->process != 0; }

    void start()
    {
        if (this->process != 0)
            return;
        const auto log = (this->options.folder / (this->options.name + ".log")).string();
        posix_spawn_file_actions_t actions {};
        posix_spawn_file_actions_init(&actions);
        constexpr int mode = 0644;
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        const auto settings = this->settingsPath();
        std::array<std::string, 3> words { this->options.program, "--config", settings };
        std::array<char*, 4> arguments { words[0].data(), words[1].data(), words[2].data(), nullptr };
        if (posix_spawn(&this->process, words[0].c_str(), &actions, nullptr, arguments.data(), environ) != 0)
            this->process = 0;
        posix_spawn_file_actions_destroy(&actions);
    }

    void signal(int number) const
    {
        if (this->process != 0)
            ::kill(this->process, number);
    }

    void kill()
    {
        this->signal(SIGKILL);
        this->wait();
    }

    /// Waits for the end of the process.
    void wait()
    {
        if (this->process != 0)
            waitpid(this->process, nullptr, 0);
        this->process = 0;
    }

private:
    [[nodiscard]] std::string settingsPath() const
    {
        return (this->options.folder / (this->options.name + ".toml")).string();
    }

    Options options;
    pid_t process = 0;
};

/// The VMs and the series of faults.
class Soak {
public:
    struct Options {
        std::string program;
        std::uint64_t seed = 1;
        std::chrono::seconds duration { 20 };
        std::size_t vms = 5;
    };

    explicit Soak(Options given)
        : options(std::move(given))
        , random(options.seed)
        , folder(std::filesystem::temp_directory_path()
              / ("session-soak-" + std::to_string(getpid()) + '-' + std::to_string(options.seed)))
    {
        std::filesystem::create_directories(this->folder);
        for (std::size_t index = 0; index < this->options.vms; ++index)
            this->addVm();
    }

    /// Returns true when every check held.
    bool run()
    {
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < callers; ++index)
            threads.emplace_back([this, index] { this->call(index); });
        const auto end = Clock::now() + this->options.duration;
        this->recover("the start");
        while (Clock::now() < end) {
            std::this_thread::sleep_for(this->pauseUpTo(900ms));
            this->injectFault();
        }
        this->endFaults();
        this->recover("the last fault");
        this->stopping = true;
        for (auto& thread : threads)
            thread.join();
        this->surroundings.perform([this] { this->ledger.check(this->surroundings.upstreams.committed()); });
        for (const auto& problem : this->ledger.found())
            std::cout << "  " << problem << '\n';
        const bool held = this->ledger.found().empty();
        std::cout << "seed " << this->options.seed << ": " << this->faults << " faults, "
                  << this->ledger.acknowledgedCount() << " acknowledged writes, slowest recovery "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(this->slowestRecovery).count()
                  << " ms, " << (held ? "held" : "FAILED, logs in " + this->folder.string()) << std::endl;
        this->vms.clear();
        if (held)
            std::filesystem::remove_all(this->folder);
        return held;
    }

private:
    using Fault = void (Soak::*)();

    std::chrono::milliseconds pauseUpTo(std::chrono::milliseconds most)
    {
        std::uniform_int_distribution<std::int64_t> pause { 0, most.count() };
        return std::chrono::milliseconds { pause(this->random) };
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t> { 0, count - 1 }(this->random);
    }

    void addVm()
    {
        const std::lock_guard guard { this->mutex };
        this->vms.push_back(std::make_unique<Vm>(Vm::Options { .program = this->options.program,
            .folder = this->folder,
            .name = "vm-" + std::to_string(++this->added),
            .port = freePort(),
            .storeAddress = this->surroundings.kv.address() }));
        this->vms.back()->start();
    }

    void injectFault()
    {
        static constexpr std::array<Fault, 9> kinds { &Soak::killOne, &Soak::killOne, &Soak::stopOne,
            &Soak::pauseOne, &Soak::reloadOne, &Soak::replaceFirst, &Soak::killAll, &Soak::refuseCalls,
            &Soak::changeConfiguration };
        ++this->faults;
        (this->*kinds[this->pick(kinds.size())])();
    }

    void killOne()
    {
        auto& vm = *this->vms[this->pick(this->vms.size())];
        vm.kill();
        std::this_thread::sleep_for(this->pauseUpTo(500ms));
        vm.start();
    }

    void stopOne()
    {
        auto& vm = *this->vms[this->pick(this->vms.size())];
        vm.signal(SIGTERM);
        vm.wait();
        vm.start();
    }

    void pauseOne()
    {
        const auto& vm = *this->vms[this->pick(this->vms.size())];
        vm.signal(SIGSTOP);
        std::this_thread::sleep_for(this->pauseUpTo(1500ms));
        vm.signal(SIGCONT);
    }

    void reloadOne() { this->vms[this->pick(this->vms.size())]->signal(SIGHUP); }

    /// The first VM of the order reads the store for the others. It goes for good, another one comes at
    /// another address, and sometimes all are killed before the record of the first one has expired.
    void replaceFirst()
    {
        {
            const std::lock_guard guard { this->mutex };
            const auto first = std::min_element(this->vms.begin(), this->vms.end(),
                [](const auto& left, const auto& right) { return left->name() < right->name(); });
            this->vms.erase(first);
        }
        this->addVm();
        std::this_thread::sleep_for(this->pauseUpTo(2000ms));
        if (this->pick(2) == 0)
            this->killAll();
    }

    void killAll()
    {
        for (const auto& vm : this->vms)
            vm->kill();
        std::this_thread::sleep_for(this->pauseUpTo(500ms));
        for (const auto& vm : this->vms)
            vm->start();
        this->recover("a kill of all VMs");
    }

    /// The store refuses every call for a while; further faults come meanwhile.
    void refuseCalls()
    {
        constexpr unsigned unavailable = 503;
        const unsigned next = this->storeRefuses ? 0 : unavailable;
        this->storeRefuses = !this->storeRefuses;
        this->surroundings.perform([this, next] { this->surroundings.kv.refuseWith = next; });
    }

    void changeConfiguration()
    {
        constexpr std::size_t mostRoutes = 4000;
        const auto text = configurationOf(++this->version, this->pick(mostRoutes));
        this->surroundings.perform([this, &text] { this->surroundings.kv.put("op/config", text); });
    }

    void endFaults()
    {
        if (this->storeRefuses)
            this->refuseCalls();
        for (const auto& vm : this->vms)
            vm->start();
    }

    /// Waits until every VM serves a caller, with the store within reach.
    void recover(const std::string& after)
    {
        if (this->storeRefuses)
            this->refuseCalls();
        const auto since = Clock::now();
        for (const auto& vm : this->vms) {
            bool served = false;
            while (!served && Clock::now() < since + recoveryBound) {
                Connection connection { vm->port() };
                served = connection.isOpen()
                    && isSuccess(connection.run("p" + std::to_string(++this->probes), "READ probe"));
                if (!served)
                    std::this_thread::sleep_for(20ms);
            }
            if (!served)
                this->ledger.fail(vm->name() + " does not serve 12 s after " + after);
        }
        this->slowestRecovery = std::max(this->slowestRecovery, Clock::now() - since);
    }

    std::uint16_t somePort(std::mt19937_64& own)
    {
        const std::lock_guard guard { this->mutex };
        return this->vms[std::uniform_int_distribution<std::size_t> { 0, this->vms.size() - 1 }(own)]->port();
    }

    /// A caller that writes items of its own and reads them back, on a connection that it keeps until it is
    /// closed or 40 statements have run.
    void call(std::size_t number)
    {
        constexpr int statementsPerConnection = 40;
        std::mt19937_64 own { this->options.seed * 1000 + number };
        const auto prefix = "c" + std::to_string(number) + '.';
        std::uint64_t statement = 0;
        std::uint64_t item = 0;
        std::string value;
        while (!this->stopping) {
            Connection connection { this->somePort(own) };
            for (int count = 0; connection.isOpen() && count < statementsPerConnection && !this->stopping;
                 ++count) {
                const auto id = prefix + std::to_string(++statement);
                const auto name = prefix + std::to_string(item);
                const bool writes = value.empty() || std::bernoulli_distribution { 0.4 }(own);
                const auto answer = connection.run(id, writes ? "WRITE " + name + ' ' + id : "READ " + name);
                if (!writes) {
                    if (isSuccess(answer) && answer->front() != "ROW " + value)
                        this->ledger.fail(
                            "the read " + id + " got '" + answer->front() + "' and not " + value);
                } else if (isSuccess(answer)) {
                    this->ledger.acknowledged(id);
                    value = id;
                } else if (isPromise(answer)) {
                    this->ledger.refused(id);
                } else {
                    // In doubt: it may still take effect, so this item is not used again.
                    ++item;
                    value.clear();
                }
                std::this_thread::sleep_for(2ms);
            }
            std::this_thread::sleep_for(10ms);
        }
    }

    Options options;
    std::mt19937_64 random;
    std::filesystem::path folder;
    Surroundings surroundings { configurationOf(1, 0) };
    Ledger ledger;
    /// Guards the list of VMs, which callers read.
    std::mutex mutex;
    std::vector<std::unique_ptr<Vm>> vms;
    std::size_t added = 0;
    std::size_t faults = 0;
    std::uint64_t version = 1;
    std::uint64_t probes = 0;
    bool storeRefuses = false;
    Clock::duration slowestRecovery {};
    std::atomic<bool> stopping = false;
};

} // namespace

int main(int argc, char** argv)
{
    constexpr int words = 5;
    if (argc != words) {
        std::cerr << "usage: session_soak PROGRAM SEED SECONDS VMS\n";
        return 2;
    }
    Soak soak { { .program = argv[1],
        .seed = std::strtoull(argv[2], nullptr, 10),
        .duration = std::chrono::seconds { std::strtol(argv[3], nullptr, 10) },
        .vms = std::strtoul(argv[4], nullptr, 10) } };
    return soak.run() ? 0 : 1;
}

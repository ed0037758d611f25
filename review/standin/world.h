#pragma once

// Stand-ins for the platform around the session proxy: its store, its databases, its promotion interface, its
// clients and its process manager. They follow the users' pages; where a page is silent they behave soundly.

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

/// Writes lines with the time since the start into the record of the run.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);
    double seconds() const;

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start = Clock::now();
};

/// A listening socket with one thread for each connection.
class Listener {
public:
    using Serve = std::function<void(int descriptor)>;
    /// Port 0 takes a free one.
    Listener(const std::string& ip, std::uint16_t port, Serve serve);
    ~Listener();
    std::uint16_t port() const { return this->boundPort; }
    /// Closes the listening socket and all connections.
    void close();

private:
    void run();

    Serve serve;
    int descriptor = -1;
    std::uint16_t boundPort = 0;
    std::mutex mutex;
    std::set<int> open;
    std::atomic<int> active { 0 };
    std::atomic<bool> closing { false };
    std::thread thread;
};

/// Reads and writes lines that end with CR LF.
class LineStream {
public:
    /// With `bytesPerSecond`, it takes what arrives no faster than that.
    explicit LineStream(int descriptor, std::size_t bytesPerSecond = 0)
        : descriptor(descriptor)
        , bytesPerSecond(bytesPerSecond)
    {
    }
    /// Empty at the end of the stream, or after the receive timeout of the socket.
    std::optional<std::string> line();
    bool send(const std::string& bytes);
    std::size_t receivedBytes() const { return this->total; }

private:
    int descriptor;
    std::size_t bytesPerSecond;
    std::size_t total = 0;
    std::string received;
};

/// The platform's store.
class Store {
public:
    explicit Store(const std::string& ip);
    std::string address() const;
    std::uint64_t put(const std::string& key, const std::string& value, std::uint64_t lease = 0);
    void erase(const std::string& key);
    /// Answers calls with 503 while set.
    std::atomic<bool> down { false };
    /// Called for POST /promotion; returns the status.
    std::function<int(const Json& body, const std::string& holder, std::uint64_t token)> onPromotion;

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<Item> item;
    };
    struct Answer {
        int status = 200;
        std::string body;
    };
    void serve(int descriptor);
    Answer handle(const std::string& method, const std::string& target, const std::string& body,
        const std::map<std::string, std::string>& headers);
    Answer range(const std::map<std::string, std::string>& query);
    Answer watch(const std::map<std::string, std::string>& query);
    Answer transaction(const Json& body);
    Json itemOf(const std::string& key, const Item& item) const;
    void set(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    void expire();

    std::string ip;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> history;
    std::uint64_t revision = 100;
    std::uint64_t lastLease = 1000;
    std::map<std::uint64_t, std::pair<Clock::time_point, std::chrono::milliseconds>> leases;
    std::atomic<bool> stopping { false };
    std::unique_ptr<Listener> listener;
};

/// An item of every database that is read as so many rows of so many bytes. A message may have 1 MiB, and an
/// answer any number of rows.
inline constexpr auto largeItem = "yearbook";
inline constexpr std::size_t largeItemRows = 3;
inline constexpr std::size_t largeRowBytes = 1000000;

/// What a database ran for a client.
struct Run {
    std::string id;
    std::string text;
    std::string tenant;
    std::string database;
};

/// The databases of one service: a primary and two replicas.
class Service {
public:
    Service(const std::string& ip, std::string name, Store& store, std::size_t maxConnections);
    ~Service();
    const std::string& name() const { return this->serviceName; }
    /// Keeps the databases' entries in the store.
    void heartbeat();
    int promote(const std::string& id);
    std::vector<Run> runs();
    /// The committed value of an item at the primary.
    std::string valueOf(const std::string& item);

private:
    struct Database {
        std::string id;
        std::string zone;
        bool primary = false;
        std::uint64_t term = 1;
        std::uint64_t position = 100;
        std::uint64_t heldTerm = 0;
        std::uint64_t sequence = 0;
        std::size_t connections = 0;
        std::map<std::string, std::string> values;
        std::unique_ptr<Listener> listener;
    };
    struct Session {
        std::string tenant;
        char state = 'I';
        bool readOnly = false;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
        std::vector<std::pair<std::string, std::string>> writes;
    };
    void serve(Database& database, int descriptor);
    std::string answer(Database& database, Session& session, const std::string& id, std::string text);
    std::string data(Database& database, Session& session, const std::string& id, const std::string& text,
        const std::string& original);
    void commit(Database& database, Session& session);
    std::string ready(const Database& database, const Session& session) const;
    std::string status(const Database& database) const;

    std::string ip;
    std::string serviceName;
    Store& store;
    std::size_t maxConnections;
    std::mutex mutex;
    std::vector<std::unique_ptr<Database>> databases;
    std::vector<Run> ran;
};

/// A machine with its process of the session proxy.
class Machine {
public:
    struct Options {
        std::string program;
        std::string templatePath;
        std::string folder;
        std::string node;
        std::string zone;
        std::string ip;
        std::string storeAddress;
        std::size_t memoryMegabytes = 260;
    };
    Machine(Options options, Record& record);
    ~Machine();
    /// Starts the process; the platform starts it again half a second after it has ended.
    void start();
    /// Restarts an ended process, kills one above its memory, and asks for its readiness.
    void check();
    bool isReady() const { return this->ready; }
    const std::string& ip() const { return this->options.ip; }
    const std::string& name() const { return this->options.node; }
    std::uint16_t frontPort() const { return this->front; }
    int ownEnds() const { return this->ends; }
    /// Sends SIGTERM, as the platform does to stop a machine. The process is not started again.
    void terminate();
    bool isRunning() const { return this->process != 0; }
    /// Ends the process by SIGKILL and waits for it.
    void kill();

private:
    std::string settings() const;
    bool askReadiness() const;
    std::size_t residentMegabytes() const;

    Options options;
    Record& record;
    std::uint16_t front = 0;
    std::uint16_t readiness = 0;
    std::uint16_t internal = 0;
    std::atomic<pid_t> process { 0 };
    std::atomic<bool> stopped { false };
    std::atomic<int> ends { 0 };
    std::atomic<bool> ready { false };
    int misses = 0;
    std::optional<Clock::time_point> startAt;
};

/// A client's session.
class Client {
public:
    struct Answer {
        /// True when the last line was READY.
        bool complete = false;
        std::vector<std::string> rows;
        /// The signature of DONE.
        std::string signature;
        /// The code and text of ERROR.
        std::string error;
        char state = 'I';
    };
    /// With `bytesPerSecond`, the client receives its answers over a slow line.
    Client(const std::string& ip, std::uint16_t port, const std::string& database, const std::string& key,
        std::size_t bytesPerSecond = 0);
    ~Client();
    bool isOpen() const { return this->open; }
    /// Bytes received so far.
    std::size_t received() const { return this->stream.receivedBytes(); }
    /// Sends `QUERY id text` and reads the answer.
    Answer run(const std::string& id, const std::string& text);
    /// Closes the session in order.
    void terminate();

private:
    Answer read();

    int descriptor;
    LineStream stream;
    bool open = false;
};

/// A small deployment: six machines, three services of three databases, as on the sheet of namsai-ho.
class World {
public:
    World(const std::string& program, const std::string& templatePath, const std::string& folder,
        Record& record);
    ~World();
    /// Starts the machines and waits until all are ready; false when they are not within 20 s.
    bool begin();
    /// The machine that the platform's balancer selects for a client.
    Machine* select(std::size_t hash);
    std::string newId();
    /// Writes what the databases ran for clients into the record.
    void recordRuns();

    std::vector<std::unique_ptr<Service>> services;
    std::vector<std::unique_ptr<Machine>> machines;
    std::unique_ptr<Store> store;
    std::string folder;
    /// Each tenant's name and key.
    std::vector<std::pair<std::string, std::string>> tenants;

private:
    std::string configuration() const;
    void watchMachines();

    Record& record;
    std::string ip;
    std::atomic<bool> stopping { false };
    std::atomic<std::uint64_t> lastId { 0 };
    std::uint64_t idSeed = 0;
    std::vector<std::thread> threads;
};

} // namespace review

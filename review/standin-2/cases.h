using Case = std::function<awaitable<int>(bool)>;

/// Reads of a session on a read_own_writes route whose service was changed and changed back meanwhile.
awaitable<int> ownWrites(bool trouble)
{
    World world { trouble, { "huvo", "kafi" } };
    const std::vector<Tenant> tenants { { "nypu", { "key1" } } };
    const std::vector<Route> fixed { { .host = "phuvo", .kind = "primary", .service = "huvo", .targetMs = 200, .priority = 1 },
        { .host = "pkafi", .kind = "primary", .service = "kafi", .targetMs = 200, .priority = 1 } };
    const auto configure = [&](const std::string& service) {
        auto routes = fixed;
        routes.push_back({ .host = "own", .kind = "read_own_writes", .service = service, .staleness = 2500 });
        world.configure(routes, tenants);
    };
    configure("huvo");
    const bool started = co_await world.start();
    if (!started)
        co_return couldNotRun;
    if (trouble) {
        // 60 ms x 30; the sheet's days go up to 150 times.
        for (auto& group : world.groups)
            group.second->setLag(1800);
        record("replicas apply 30 times as late (1,800 ms)");
    }
    for (std::size_t machine = 0; machine < 6; ++machine)
        spawn(world.traffic(fixed.at(machine % 2).host, "key1", machine, 120));
    co_await sleepMs(5000);
    const std::string key = "key1";
    const std::string readText = "READ 1a4";
    int stale = 0;
    int checked = 0;
    for (int round = 0; round < 12; ++round) {
        Client client { "own-" + std::to_string(round) };
        const auto front = world.machines.at(static_cast<std::size_t>(round) % 8)->front();
        const std::string host = "own";
        const bool open = co_await client.start(front, host, key);
        if (!open)
            continue;
        const auto writeId = world.nextId();
        const auto value = "w" + std::to_string(round);
        const auto text = "WRITE 1a4 " + value;
        const auto written = co_await client.query(writeId, text);
        const auto* commit = world.runOf(writeId);
        if (!written.succeeded() || commit == nullptr || commit->service != "huvo")
            continue;
        const auto position = commit->position;
        if (trouble) {
            configure("kafi");
            for (int turn = 0; turn < 12; ++turn) {
                co_await sleepMs(60);
                const auto id = world.nextId();
                co_await client.query(id, readText);
                const auto* run = world.runOf(id);
                if (run != nullptr && run->service == "kafi")
                    break;
            }
            configure("huvo");
        }
        for (int turn = 0; turn < 10 && client.isOpen(); ++turn) {
            co_await sleepMs(80);
            const auto id = world.nextId();
            const auto read = co_await client.query(id, readText);
            const auto* run = world.runOf(id);
            if (!read.succeeded() || run == nullptr || run->service != "huvo")
                continue;
            ++checked;
            if (run->position < position) {
                ++stale;
                record("STALE: read " + id + " was sent at " + numberText(read.sentAt) + " and ran on " + run->position.text()
                    + " at " + run->database + "; the same session's write " + writeId + " was acknowledged at "
                    + numberText(written.at) + " as " + position.text() + "; the client got '"
                    + (read.rows.empty() ? std::string {} : read.rows.front()) + "' instead of '" + value + "'");
            }
        }
        client.close();
        co_await sleepMs(2500);
    }
    world.stopping = true;
    record(std::to_string(checked) + " reads of own writes, " + std::to_string(stale) + " stale");
    if (checked < 10)
        co_return couldNotRun;
    co_return stale > 0 ? broken : held;
}

/// Statements in transactions whose key was taken away.
awaitable<int> droppedKey(bool trouble)
{
    World world { trouble, { "huvo" } };
    const std::vector<Route> routes { { .host = "main", .kind = "primary", .service = "huvo", .targetMs = 200, .priority = 1 } };
    world.configure(routes, { { "nypu", { "key1", "key2" } } });
    const bool started = co_await world.start();
    if (!started)
        co_return couldNotRun;
    spawn(world.traffic("main", "key2", 0, 200));
    co_await sleepMs(3000);
    constexpr int sessions = 4;
    const std::string host = "main";
    const std::string key = "key1";
    std::vector<std::unique_ptr<Client>> clients;
    for (int index = 0; index < sessions; ++index) {
        auto& client = *clients.emplace_back(std::make_unique<Client>("key1-" + std::to_string(index)));
        const auto front = world.machines.at(static_cast<std::size_t>(index) + 1)->front();
        const bool open = co_await client.start(front, host, key);
        if (!open)
            co_return couldNotRun;
    }
    // The last session has no transaction; it shows since when the key is refused.
    for (int index = 0; index + 1 < sessions; ++index) {
        auto& client = *clients[static_cast<std::size_t>(index)];
        const std::string begin = "BEGIN";
        const auto beginId = world.nextId();
        const auto begun = co_await client.query(beginId, begin);
        const auto write = "WRITE t" + std::to_string(index) + " before";
        const auto writeId = world.nextId();
        const auto written = co_await client.query(writeId, write);
        if (!begun.succeeded() || !written.succeeded())
            co_return couldNotRun;
    }
    if (trouble)
        world.configure(routes, { { "nypu", { "key2" } } });
    const auto acknowledgedAt = nowMs();
    std::vector<std::pair<std::string, double>> sent;
    int refused = 0;
    for (int second = 1; second <= 8; ++second) {
        co_await sleepMs(1000);
        for (int index = 0; index < sessions; ++index) {
            auto& client = *clients[static_cast<std::size_t>(index)];
            if (!client.isOpen())
                continue;
            const auto id = world.nextId();
            const bool last = second == 8;
            const bool inTransaction = index + 1 < sessions;
            const auto text = !inTransaction ? std::string { "READ t9" }
                : last                       ? std::string { "COMMIT" }
                : second % 2 == 0            ? "WRITE t" + std::to_string(index) + " after" + std::to_string(second)
                                             : "READ t" + std::to_string(index);
            const auto answer = co_await client.query(id, text);
            if (answer.error.starts_with("NOAUTH"))
                ++refused;
            sent.emplace_back(id, answer.sentAt);
        }
    }
    world.stopping = true;
    constexpr double configApplyMs = 3000;
    constexpr double revokeMs = 5000;
    int late = 0;
    int veryLate = 0;
    for (const auto& [id, at] : sent) {
        const auto* run = world.runOf(id);
        if (!trouble || run == nullptr || at <= acknowledgedAt + configApplyMs)
            continue;
        ++late;
        veryLate += at > acknowledgedAt + revokeMs ? 1 : 0;
        record("CONFIG: request " + id + " was sent " + numberText(at - acknowledgedAt)
            + " ms after the acknowledgement that took its key away; " + run->database + " ran '" + run->text
            + "': " + run->outcome);
    }
    record(std::to_string(late) + " requests with the dropped key ran later than configApplyMs, "
        + std::to_string(veryLate) + " of them later than revokeMs too; outside a transaction " + std::to_string(refused)
        + " were refused with NOAUTH");
    if (trouble && refused == 0)
        co_return couldNotRun;
    co_return late > 0 ? broken : held;
}

/// A commit that only one replica received, and a failover while that replica is silent.
awaitable<int> syncLost(bool trouble)
{
    World world { trouble, { "huvo" }, true };
    auto& group = world.group("huvo");
    world.configure({ { .host = "main", .kind = "primary", .service = "huvo", .targetMs = 200, .priority = 1 } }, { { "nypu", { "key1" } } });
    const bool started = co_await world.start();
    if (!started)
        co_return couldNotRun;
    co_await sleepMs(3000);
    Client client { "writer" };
    const std::string host = "main";
    const std::string key = "key1";
    std::map<std::string, std::pair<Position, double>> acknowledged;
    auto write = [&](int number) -> awaitable<void> {
        if (!client.isOpen()) {
            const auto front = world.machines.at(static_cast<std::size_t>(number) % 8)->front();
            const bool open = co_await client.start(front, host, key);
            if (!open)
                co_return;
        }
        const auto id = world.nextId();
        const auto text = "WRITE bed" + std::to_string(number) + " taken";
        const auto answer = co_await client.query(id, text);
        const auto* run = world.runOf(id);
        if (answer.succeeded() && run != nullptr)
            acknowledged[id] = { run->position, answer.at };
    };
    int number = 0;
    for (; number < 10; ++number) {
        co_await write(number);
        co_await sleepMs(100);
    }
    if (trouble) {
        group.node(1).deaf = true;
        record("replica " + group.node(1).id + " receives nothing for 6 s");
    }
    for (; number < 30; ++number) {
        co_await write(number);
        co_await sleepMs(100);
    }
    if (trouble) {
        record("primary " + group.node(0).id + " and replica " + group.node(2).id + " crash for 5 s");
        group.crash(group.node(0));
        group.crash(group.node(2));
    }
    for (int part = 0; part < 50; ++part) {
        co_await sleepMs(100);
        if (trouble && part == 35)
            group.hearAgain(group.node(1));
    }
    if (trouble) {
        group.restart(group.node(2));
        group.restart(group.node(0));
        record("both are back with their logs");
    }
    co_await sleepMs(6000);
    for (; number < 36; ++number) {
        co_await write(number);
        co_await sleepMs(200);
    }
    int lost = 0;
    for (const auto& commit : group.rolledBack) {
        const auto found = acknowledged.find(commit.id);
        if (found == acknowledged.end())
            continue;
        ++lost;
        record("LOST: " + commit.id + " was acknowledged at " + numberText(found->second.second) + " as "
            + found->second.first.text() + " and is not in the log of the database that was promoted");
    }
    record(std::to_string(acknowledged.size()) + " writes were acknowledged, " + std::to_string(lost) + " of them lost");
    if (acknowledged.size() < 25)
        co_return couldNotRun;
    co_return lost > 0 ? broken : held;
}

const std::map<std::string, Case> cases { { "own-writes", &ownWrites }, { "dropped-key", &droppedKey },
    { "sync-lost", &syncLost } };

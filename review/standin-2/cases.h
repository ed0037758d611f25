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

/// A session's statement at a machine that stands still, and a value that the session sets meanwhile.
awaitable<int> lateValues(bool trouble)
{
    World world { trouble, { "huvo" } };
    auto& group = world.group("huvo");
    world.configure({ { .host = "main", .kind = "read_own_writes", .service = "huvo", .staleness = 2500 } },
        { { "nypu", { "key1" } } });
    const bool started = co_await world.start();
    if (!started)
        co_return couldNotRun;
    for (std::size_t machine = 0; machine < 3; ++machine)
        spawn(world.traffic("main", "key1", machine, 150));
    co_await sleepMs(3000);
    const std::string host = "main";
    const std::string key = "key1";
    const std::string read = "READ t1";
    int checked = 0;
    int wrong = 0;
    std::size_t turn = 0;
    // Each machine stands still once: which of them runs the statements of the others isn't known from outside.
    for (auto& still : world.machines) {
        struct Caller {
            std::unique_ptr<Client> client;
            std::string value;
            std::vector<std::pair<double, std::string>> acknowledged;
            std::vector<std::string> ids;
        };
        std::vector<Caller> callers;
        const std::string before = "SET lang before" + std::to_string(turn);
        const std::string after = "SET lang after" + std::to_string(turn);
        for (auto& machine : world.machines) {
            if (machine == still)
                continue;
            auto& caller = callers.emplace_back(Caller { .client = std::make_unique<Client>("at-" + machine->name()) });
            const auto front = machine->front();
            const bool open = co_await caller.client->start(front, host, key);
            if (!open)
                co_return couldNotRun;
            const auto setId = world.nextId();
            const auto set = co_await caller.client->query(setId, before);
            caller.acknowledged.emplace_back(set.at, "before" + std::to_string(turn));
            const auto id = world.nextId();
            co_await caller.client->query(id, read);
        }
        if (trouble)
            still->stop();
        std::size_t waiting = callers.size();
        for (auto& caller : callers) {
            spawn([](World& world, Caller& caller, std::string read, std::string after, std::size_t turn,
                      std::size_t& waiting) -> awaitable<void> {
                const auto id = world.nextId();
                caller.ids.push_back(id);
                co_await caller.client->query(id, read);
                if (caller.client->isOpen()) {
                    const auto setId = world.nextId();
                    const auto set = co_await caller.client->query(setId, after);
                    if (set.succeeded())
                        caller.acknowledged.emplace_back(set.at, "after" + std::to_string(turn));
                }
                --waiting;
            }(world, caller, read, after, turn, waiting));
        }
        co_await sleepMs(1700);
        if (trouble)
            still->resume();
        co_await sleepMs(1300);
        while (waiting > 0)
            co_await sleepMs(50);
        for (const auto& caller : callers) {
            for (const auto& run : group.runs) {
                if (run.id != caller.ids.front())
                    continue;
                ++checked;
                std::string value;
                double since = 0;
                for (const auto& [at, text] : caller.acknowledged) {
                    if (at < run.reachedAt) {
                        value = text;
                        since = at;
                    }
                }
                const auto found = run.values.find("lang");
                const auto present = found == run.values.end() ? std::string { "none" } : found->second;
                if (present == value)
                    continue;
                ++wrong;
                record("PINNED: request " + run.id + " reached " + run.database + " at " + numberText(run.reachedAt)
                    + " and ran with lang = " + present + "; its client had had lang = " + value
                    + " acknowledged at " + numberText(since));
            }
        }
        for (auto& caller : callers)
            caller.client->close();
        ++turn;
        co_await sleepMs(4000);
    }
    world.stopping = true;
    record(std::to_string(checked) + " statements ran, " + std::to_string(wrong) + " of them with other values than those that were acknowledged");
    if (checked < 20)
        co_return couldNotRun;
    co_return wrong > 0 ? broken : held;
}

const std::map<std::string, Case> cases { { "own-writes", &ownWrites }, { "dropped-key", &droppedKey },
    { "late-values", &lateValues } };

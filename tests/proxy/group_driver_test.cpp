#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/proxy/group_driver.h>

#include <standins/postgres_group.h>

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// The store in memory; it can be down.
class MemoryStore final : public Store {
public:
    bool up = true;

    asio::awaitable<std::optional<StoreEntry>> get(std::string key) override
    {
        this->checkUp();
        const auto found = this->entries.find(key);
        if (found == this->entries.end())
            co_return std::nullopt;
        co_return found->second;
    }
    asio::awaitable<SwapOutcome> compareAndSwap(SwapOptions options) override
    {
        this->checkUp();
        const auto found = this->entries.find(options.key);
        const auto standing = found == this->entries.end() ? 0 : found->second.revision;
        if (standing != options.expectedRevision) {
            SwapConflict conflict;
            if (standing != 0)
                conflict.current = found->second;
            co_return conflict;
        }
        ++this->revision;
        this->entries[options.key]
            = { .key = options.key, .value = options.value.value_or(""), .revision = this->revision };
        co_return Swapped { this->revision };
    }
    asio::awaitable<std::vector<StoreEntry>> list(std::string) override
    {
        co_return std::vector<StoreEntry> {};
    }
    asio::awaitable<LeaseId> grantLease(Duration) override { co_return LeaseId::None; }
    asio::awaitable<void> keepAlive(LeaseId) override { co_return; }
    asio::awaitable<void> revokeLease(LeaseId) override { co_return; }
    asio::awaitable<void> watch(std::string, std::uint64_t, std::function<void(const StoreChange&)>) override
    {
        co_return;
    }

private:
    void checkUp() const
    {
        if (!this->up)
            throw StoreError { StoreError::Kind::NoAnswer, "the store is down" };
    }

    std::map<std::string, StoreEntry> entries;
    std::uint64_t revision = 0;
};

/// A driver over a stand-in group, run until something is seen; a limit only ends a test that hangs.
struct Bench {
    asio::io_context context;
    standins::PostgresGroup group;
    std::shared_ptr<MemoryStore> store = std::make_shared<MemoryStore>();
    std::shared_ptr<const GroupView> view;
    std::shared_ptr<GroupDriver> driver;

    explicit Bench(const std::vector<std::string>& names, bool siblingsReach = false)
        : group({ .slots = slotsOf(names) })
    {
        GroupDriver::Options options { .executor = this->context.get_executor(),
            .vm = VmName { "vm" },
            .name = { ServiceName { "register" }, "beds" },
            .credentials = { .user = "proxy", .password = "proxy" },
            .connector = &Connection::open,
            .store = this->store,
            .onView = [this](auto next) { this->view = std::move(next); },
            .seed = 7 };
        options.description.set_name("beds");
        for (const auto& name : names) {
            auto& slot = *options.description.add_slots();
            slot.set_name(name);
            slot.set_address("127.0.0.1");
            slot.set_port(this->group.port(name));
        }
        if (siblingsReach) {
            options.askSiblings = [](const SlotName&, Instant) -> asio::awaitable<SiblingOpinions> {
                SiblingOpinions opinions { .asked = 1 };
                opinions.opinions.push_back({ .vm = VmName { "sibling" }, .reachable = true });
                co_return opinions;
            };
        }
        this->driver = makeGroupDriver(std::move(options));
        this->driver->start();
    }
    ~Bench()
    {
        this->driver->stop();
        this->context.run_for(500ms);
    }
    Bench(const Bench&) = delete;
    Bench& operator=(const Bench&) = delete;

    static std::vector<standins::PostgresGroup::Slot> slotsOf(const std::vector<std::string>& names)
    {
        std::vector<standins::PostgresGroup::Slot> slots;
        for (const auto& name : names)
            slots.push_back({ .name = name });
        return slots;
    }

    template <class Condition> bool runUntil(Condition&& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 30s;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            this->context.run_one_for(100ms);
        return condition();
    }
    [[nodiscard]] bool serves(std::string_view primary) const
    {
        return this->view && this->view->phase == GroupView::Phase::Serving
            && this->view->primary.view() == primary;
    }
};

} // namespace

TEST_SUITE("group driver")
{
    // The primary's process dies. Over real connections the driver notices, promotes a replica and makes the
    // old primary follow when it is back; callers only wait.
    TEST_CASE("a killed primary is replaced over real connections")
    {
        Bench bench { { "a", "b", "c" } };
        REQUIRE(bench.runUntil([&] { return bench.serves("a"); }));
        bench.group.kill("a");
        REQUIRE(bench.runUntil([&] { return bench.serves("b") || bench.serves("c"); }));
        const std::string primary { bench.view->primary.view() };
        CHECK(bench.group.status(primary).primary);
        bench.group.revive("a");
        CHECK(bench.runUntil([&] {
            const auto status = bench.group.status("a");
            return !status.primary && status.progress == bench.group.status(primary).progress;
        }));
    }

    // One of two slots dies and comes back; the store records each change of the in-sync set.
    TEST_CASE("the replica of two leaves the in-sync set and joins it again")
    {
        Bench bench { { "a", "b" } };
        REQUIRE(bench.runUntil([&] { return bench.serves("a") && bench.view->inSync.size() == 2; }));
        bench.group.kill("b");
        CHECK(bench.runUntil([&] { return bench.serves("a") && bench.view->inSync.size() == 1; }));
        bench.group.revive("b");
        CHECK(bench.runUntil([&] { return bench.serves("a") && bench.view->inSync.size() == 2; }));
        CHECK(bench.view->term > Term { 1 });
    }

    // The control connections go silent for good while new ones work. That is no reason to replace a primary.
    TEST_CASE("silent control connections are replaced and not taken for a dead primary")
    {
        Bench bench { { "a", "b", "c" }, true };
        REQUIRE(bench.runUntil([&] { return bench.serves("a"); }));
        const auto before = bench.driver->counters().silentProbes;
        bench.group.silence("a");
        CHECK(bench.runUntil([&] { return bench.driver->counters().silentProbes > before; }));
        const auto probes = bench.driver->counters().probes;
        CHECK(bench.runUntil([&] { return bench.driver->counters().probes > probes + 10; }));
        CHECK(bench.serves("a"));
        CHECK(bench.view->term == Term { 1 });
    }

    TEST_CASE("an opinion comes back whole from its message")
    {
        const SlotOpinion opinion { .vm = VmName { "vm" },
            .reachable = true,
            .status = SlotStatus {
                .progress = { Term { 3 }, LogPosition { 9 } }, .fenced = Term { 4 }, .primary = true } };
        const auto back = decodeOpinion(encodeOpinion(opinion));
        CHECK(back.vm == opinion.vm);
        CHECK(back.reachable);
        CHECK(back.status == opinion.status);
        CHECK_THROWS_AS(std::ignore = decodeOpinion("\xff"), Error);
    }
}

#pragma once

#include <proxy/fake_group.h>
#include <proxy/virtual_time.h>

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/proxy/database_home_factory.h>

#include <doctest/doctest.h>

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>

#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cyclamendrift::testing {

using namespace std::chrono_literals;

/// Outcome of a call to a home, once it is there.
template <class Result> struct Pending {
    std::optional<Result> result;
    std::optional<RequestError> refusal;
    Instant endedAt;

    [[nodiscard]] bool isDone() const { return this->result || this->refusal; }
};

/// A home over a group of fakes in virtual time; its views are given by the test.
class HomeFixture {
public:
    explicit HomeFixture(FakeGroup::Options groupOptions = {}, std::uint64_t seed = 1)
        : options(groupOptions)
        , time(std::make_shared<VirtualTime>(context))
        , group(std::make_unique<FakeGroup>(context, *time, groupOptions))
    {
        this->home = this->makeHome("vm1", seed);
        this->setView(this->servingView());
        this->time->runFor(100ms);
    }
    ~HomeFixture()
    {
        this->home.reset();
        this->time->runFor(200s);
    }
    HomeFixture(const HomeFixture&) = delete;
    HomeFixture& operator=(const HomeFixture&) = delete;

    std::shared_ptr<DatabaseHome> makeHome(const std::string& vm, std::uint64_t seed)
    {
        DatabaseHomeOptions homeOptions { .executor = this->context.get_executor(),
            .vm = VmName { vm },
            .name = { ServiceName { "register" }, "beds" },
            .connector =
                [this](auto executor, auto target, auto deadline) {
                    return this->group->open(std::move(executor), std::move(target), deadline);
                },
            .timers = this->time,
            .wallClock =
                [this] {
                    return WallClockTime { std::chrono::duration_cast<std::chrono::milliseconds>(
                        this->time->now().time_since_epoch()) };
                },
            .seed = seed };
        homeOptions.description.set_name("beds");
        homeOptions.description.set_connection_cap(static_cast<std::uint32_t>(this->options.cap));
        std::uint32_t port = 0;
        for (const auto& name : this->options.slots) {
            auto& slot = *homeOptions.description.add_slots();
            slot.set_name(name);
            slot.set_port(++port);
        }
        return makeDatabaseHome(std::move(homeOptions));
    }

    GroupView servingView(const std::string& primary = "a", std::uint64_t term = 1) const
    {
        GroupView view {
            .phase = GroupView::Phase::Serving, .term = Term { term }, .primary = SlotName { primary }
        };
        for (const auto& name : this->options.slots) {
            view.slots.emplace_back(name);
            view.inSync.emplace_back(name);
        }
        return view;
    }

    void setView(const GroupView& view)
    {
        this->view = view;
        this->home->setView(std::make_shared<const GroupView>(view));
        for (const auto& name : this->options.slots)
            this->sample(name);
    }

    /// Reports the status of a slot, as the driver of the group does.
    void sample(const std::string& name)
    {
        if (!this->group->model.slot(name).alive)
            return;
        const auto now = this->time->now();
        this->home->observe({ SlotName { name }, this->group->model.slot(name).status(), now, now });
    }

    /// Lets a replica take over, as the driver does: fence, promote, follow, and a new view.
    void failOver(const std::string& newPrimary, std::uint64_t term)
    {
        auto& model = this->group->model;
        const Progress base = model.slot(newPrimary).progress();
        for (const auto& name : this->options.slots) {
            if (model.slot(name).alive)
                model.fence(model.slot(name), Term { term });
        }
        model.promote(model.slot(newPrimary), Term { term }, this->time->now());
        for (const auto& name : this->options.slots) {
            if (name != newPrimary && model.slot(name).alive)
                model.follow(model.slot(name), Term { term }, newPrimary, this->time->now());
        }
        auto next = this->servingView(newPrimary, term);
        next.base = base;
        this->setView(next);
    }

    HomeRequest request(const std::string& id, const std::string& sql, Access access, Duration timeout = 5s)
    {
        return { .id = RequestId { id },
            .team = TeamName { "team" },
            .key = KeyId { "key" },
            .statement = { .text = sql, .parameters = {} },
            .access = access,
            .deadline = this->time->now() + timeout };
    }

    template <class Result> std::shared_ptr<Pending<Result>> start(asio::awaitable<Result> work)
    {
        const auto pending = std::make_shared<Pending<Result>>();
        asio::co_spawn(
            this->context, std::move(work), [this, pending](std::exception_ptr error, Result result) {
                pending->endedAt = this->time->now();
                if (!error) {
                    pending->result = std::move(result);
                    return;
                }
                try {
                    std::rethrow_exception(error);
                } catch (const RequestError& refusal) {
                    pending->refusal = refusal;
                }
            });
        return pending;
    }

    template <class Result> std::shared_ptr<Pending<Result>> finish(std::shared_ptr<Pending<Result>> pending)
    {
        this->time->runUntil(this->time->now() + 120s, [&] { return pending->isDone(); });
        REQUIRE(pending->isDone());
        return pending;
    }

    std::shared_ptr<Pending<HomeAnswer>> execute(HomeRequest request)
    {
        return this->finish(this->start(this->home->execute(std::move(request))));
    }

    std::shared_ptr<Pending<HomeAnswer>> write(
        const std::string& id, const std::string& sql, Duration timeout = 5s)
    {
        return this->execute(this->request(id, sql, Write {}, timeout));
    }

    std::shared_ptr<Pending<TransactionId>> begin(const std::string& team = "team")
    {
        return this->finish(this->start(this->home->begin({ .id = RequestId { "begin" },
            .team = TeamName { team },
            .key = KeyId { "key" },
            .deadline = this->time->now() + 5s })));
    }

    std::shared_ptr<Pending<HomeAnswer>> within(
        const TransactionId& id, const std::string& sql, Duration timeout = 5s)
    {
        auto request = this->request("statement", sql, Write {}, timeout);
        request.transaction = id;
        return this->execute(std::move(request));
    }

    std::shared_ptr<Pending<Progress>> end(
        const TransactionId& id, bool commit, const std::string& requestId = "end")
    {
        return this->finish(this->start(this->home->end({ .id = RequestId { requestId },
            .team = TeamName { "team" },
            .key = KeyId { "key" },
            .transaction = id,
            .commit = commit,
            .deadline = this->time->now() + 5s })));
    }

    /// Rows of a table on a slot.
    std::size_t countOn(const std::string& slot, const std::string& table)
    {
        return this->group->query(slot, "SELECT * FROM " + table).rows.size();
    }

    FakeGroup::Options options;
    asio::io_context context;
    std::shared_ptr<VirtualTime> time;
    std::unique_ptr<FakeGroup> group;
    std::shared_ptr<DatabaseHome> home;
    GroupView view;
};

} // namespace cyclamendrift::testing

#include "load.h"

#include <random>

namespace review {

Load::Load(World& world, Record& record, std::size_t clients)
    : world(world)
    , record(record)
{
    for (std::size_t number = 0; number < clients; ++number)
        this->threads.emplace_back([this, number] { this->run(number); });
}

Load::~Load()
{
    this->stopping = true;
    for (auto& thread : this->threads)
        thread.join();
}

std::pair<std::size_t, std::size_t> Load::takeCounts()
{
    return { this->served.exchange(0), this->failed.exchange(0) };
}

void Load::run(std::size_t number)
{
    static const char* kinds[] = { "sale-", "view-", "redeem-" };
    std::mt19937 random { static_cast<unsigned>(number) };
    while (!this->stopping) {
        auto* machine = this->world.select(random());
        const auto kind = random() % 3;
        const auto database
            = kinds[kind] + this->world.services[random() % this->world.services.size()]->name();
        const auto& tenant = this->world.tenants[random() % this->world.tenants.size()];
        if (machine == nullptr) {
            ++this->failed;
            std::this_thread::sleep_for(100ms);
            continue;
        }
        Client client { machine->ip(), machine->frontPort(), database, tenant.second };
        const auto label = "client " + std::to_string(number) + " at " + machine->name() + ' ' + database;
        if (!client.isOpen()) {
            ++this->failed;
            this->record.line(label + ": no session");
            std::this_thread::sleep_for(100ms);
            continue;
        }
        for (std::size_t count = 0; count < 10 && client.isOpen() && !this->stopping; ++count) {
            const bool writes = kind != 1 && random() % 4 == 0;
            const bool good = this->operate(client, label, writes, random() % 200);
            ++(good ? this->served : this->failed);
            std::this_thread::sleep_for(40ms);
        }
        if (client.isOpen())
            client.terminate();
    }
}

bool Load::operate(Client& client, const std::string& label, bool writes, std::size_t item)
{
    const auto id = this->world.newId();
    const auto text
        = writes ? "WRITE item" + std::to_string(item) + " data" + id : "READ item" + std::to_string(item);
    const auto sentAt = this->record.seconds();
    const auto answer = client.run(id, text);
    const bool good = answer.complete && answer.signature.size() > 1;
    this->record.line(label + ": QUERY " + id + ' ' + text + " sent at " + std::to_string(sentAt) + " -> "
        + (good                   ? "DONE " + answer.signature
                : answer.complete ? "ERROR " + answer.error
                                  : "no complete answer"));
    return good;
}

} // namespace review

#pragma once

#include "world.h"

namespace review {

/// Clients that read and write through the balancer, a few operations a session, until they are stopped.
class Load {
public:
    Load(World& world, Record& record, std::size_t clients);
    ~Load();
    /// Operations since the last call that succeeded, and those that did not.
    std::pair<std::size_t, std::size_t> takeCounts();

private:
    void run(std::size_t number);
    bool operate(Client& client, const std::string& label, bool writes, std::size_t item);

    World& world;
    Record& record;
    std::atomic<bool> stopping { false };
    std::atomic<std::size_t> served { 0 };
    std::atomic<std::size_t> failed { 0 };
    std::vector<std::thread> threads;
};

} // namespace review

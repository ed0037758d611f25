#include "cases.h"

#include <map>
#include <set>

namespace review {

namespace {

/// A message that a client has sent, and what it was told.
struct Sent {
    std::string text;
    std::string outcome;
};

std::string visible(const std::string& text)
{
    std::string shown;
    for (const char letter : text)
        shown += letter == '\n' ? std::string { "\\n" } : std::string { letter };
    return shown;
}

} // namespace

int runLineFeed(World& world, Record& record, bool trouble)
{
    std::map<std::string, Sent> sent;
    const auto send = [&](Client& client, const std::string& id, const std::string& text) {
        const auto answer = client.run(id, text);
        const bool good = answer.complete && answer.signature.size() > 1;
        sent[id] = { .text = text,
            .outcome = good       ? "DONE " + answer.signature
                : answer.complete ? "ERROR " + answer.error
                                  : "no complete answer" };
        record.line("sent QUERY " + id + ' ' + visible(text) + " -> " + sent[id].outcome);
    };
    const auto& service = *world.services.front();
    const auto& key = world.tenants.front().second;
    for (const auto& machine : world.machines) {
        // A note of two lines.
        Client first { machine->ip(), machine->frontPort(), "sale-" + service.name(), key };
        if (!first.isOpen())
            return 2;
        send(first, world.newId(),
            trouble ? "WRITE note-" + machine->name() + " tap closed\nuntil noon"
                    : "WRITE note-" + machine->name() + " tap closed, until noon");
        // A note whose second line looks like a message.
        Client second { machine->ip(), machine->frontPort(), "sale-" + service.name(), key };
        if (!second.isOpen())
            return 2;
        const auto inner = world.newId();
        send(second, world.newId(),
            "WRITE log-" + machine->name() + " copied:" + (trouble ? "\n" : " ") + "QUERY " + inner
                + " WRITE balance-" + machine->name() + " 0");
    }
    std::this_thread::sleep_for(500ms);
    int breaks = 0;
    for (const auto& run : world.services.front()->runs()) {
        const auto found = sent.find(run.id);
        const bool asked = found != sent.end() && found->second.text == run.text;
        record.line(run.database + " ran QUERY " + run.id + ' ' + visible(run.text) + " for " + run.tenant
            + (asked                      ? ""
                    : found == sent.end() ? ": NO CLIENT SENT THIS ID"
                                          : ": THE TEXT WAS CHANGED"));
        breaks += asked ? 0 : 1;
    }
    record.line(std::to_string(breaks) + " statements ran that no client sent or with changed text");
    return breaks > 0 ? 1 : 0;
}

} // namespace review

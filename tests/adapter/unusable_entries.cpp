#include "unusable_entries.h"

#include <array>
#include <string_view>

namespace cyclamendrift {

namespace {

// A field of an entry and the JSON text in its place; an empty text leaves the field out.
using FieldChange = std::pair<std::string_view, std::string_view>;

constexpr std::array<FieldChange, 63> changes { {
    { "service", "" },
    { "service", "7" },
    { "service", "null" },
    { "service", R"("")" },
    { "service", R"("a b")" },
    { "service", R"("register\r\nSTART")" },
    { "address", "" },
    { "address", "9" },
    { "address", R"("")" },
    { "address", R"(":9")" },
    { "address", R"("127.1:9")" },
    { "address", R"("127.0.0.1")" },
    { "address", R"("127.0.0.1:")" },
    { "address", R"("127.0.0.1:0")" },
    { "address", R"("127.0.0.1:-1")" },
    { "address", R"("127.0.0.1:65536")" },
    { "address", R"("127.0.0.1:80x")" },
    { "address", R"("127.0.0.1:99999999999999999999")" },
    { "address", R"("127.0.0.1.1:9")" },
    { "address", R"("256.0.0.1:9")" },
    { "address", R"("....:9")" },
    { "address", R"("0.0.0.0:9")" },
    { "address", R"("224.0.0.1:9")" },
    { "address", R"("[::1]:9")" },
    { "address", R"("localhost:9")" },
    { "address", R"("127.0.0.1 :9")" },
    { "zone", "" },
    { "zone", "[]" },
    { "zone", R"("")" },
    { "zone", R"("a\nb")" },
    { "version", "" },
    { "version", "1" },
    { "slots", "" },
    { "slots", R"("3")" },
    { "slots", "0" },
    { "slots", "-1" },
    { "slots", "2.5" },
    { "slots", "1e2" },
    { "slots", "true" },
    { "slots", "null" },
    { "slots", "4294967297" },
    { "slots", "18446744073709551615" },
    { "slots", "99999999999999999999" },
    { "state", "" },
    { "state", "1" },
    { "state", R"("asleep")" },
    { "state", R"("READY")" },
    { "coldLeftMs", "" },
    { "coldLeftMs", R"("0")" },
    { "coldLeftMs", "0.5" },
    { "coldLeftMs", "1e300" },
    { "dbRole", "" },
    { "dbRole", "true" },
    { "dbRole", R"("leader")" },
    { "dbRole", R"("")" },
    { "seq", "" },
    { "seq", R"("4")" },
    { "seq", "-1" },
    { "seq", "4.5" },
    { "born", R"("now")" },
    { "born", "1700000000.5" },
    { "born", "-1" },
    { "born", "18446744073709551615" },
} };

std::string entryWith(const std::string& service, const FieldChange& change)
{
    const std::string quotedService = '"' + service + '"';
    const std::array<FieldChange, 9> fields { {
        { "service", quotedService },
        { "address", R"("127.0.0.1:9")" },
        { "zone", R"("palermo")" },
        { "version", R"("v1")" },
        { "slots", "5" },
        { "state", R"("ready")" },
        { "coldLeftMs", "0" },
        { "dbRole", R"("replica")" },
        { "seq", "4" },
    } };
    std::string text;
    const auto append = [&text](std::string_view field, std::string_view value) {
        if (!value.empty())
            text.append(text.empty() ? "{\"" : ",\"").append(field).append("\":").append(value);
    };
    bool changed = false;
    for (const auto& [field, value] : fields) {
        changed = changed || field == change.first;
        append(field, field == change.first ? change.second : value);
    }
    if (!changed)
        append(change.first, change.second);
    return text + '}';
}

} // namespace

std::vector<StoredText> unusableEntries(const std::string& service)
{
    std::vector<StoredText> entries;
    const auto add = [&entries](std::string value) {
        entries.emplace_back("servers/i-other-" + std::to_string(entries.size()), std::move(value));
    };
    for (const auto& change : changes)
        add(entryWith(service, change));
    for (const auto* text :
        { "", " ", "null", "[]", "7", "\"ready\"", "{", "{}", "not for us", "\xff\xfe", "{\"service\":" })
        add(text);
    add(std::string(20000, '['));
    const auto complete = entryWith(service, { "seq", "4" });
    add(complete + complete);
    add(std::string(1, '\0'));
    // Several fields missing, and the short form of an IP number.
    add(R"({"service":")" + service + R"(","address":"127.1:9","slots":5,"state":"ready"})");
    for (const auto* key : { "servers/", "servers/i other", "servers/i-other\r\nSTATUS", "servers/\x7f" })
        entries.emplace_back(key, complete);
    return entries;
}

} // namespace cyclamendrift

#include <cyclamendrift/schema/schema_difference.h>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/text_format.h>

#include <initializer_list>
#include <map>
#include <string_view>

namespace cyclamendrift {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

std::string join(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const auto part : parts)
        text += part;
    return text;
}

std::string valueOf(const Message& message, const FieldDescriptor* field)
{
    std::string text;
    const auto* reflection = message.GetReflection();
    if (!field->is_repeated()) {
        google::protobuf::TextFormat::PrintFieldValueToString(message, field, -1, &text);
        return text;
    }
    for (int i = 0; i < reflection->FieldSize(message, field); ++i) {
        std::string element;
        google::protobuf::TextFormat::PrintFieldValueToString(message, field, i, &element);
        text += (i == 0 ? "" : ", ") + element;
    }
    return '[' + text + ']';
}

void compareFields(
    const std::string& subject, const Message& before, const Message& after, std::vector<std::string>& lines)
{
    const auto* type = before.GetDescriptor();
    for (int i = 0; i < type->field_count(); ++i) {
        const auto* field = type->field(i);
        if (field->message_type())
            continue;
        auto old = valueOf(before, field);
        auto now = valueOf(after, field);
        if (old != now)
            lines.push_back(join({ subject, ": ", field->name(), " ", old, " -> ", now }));
    }
}

/// Entries of one kind by their full name, sorted, so that the lines come in a fixed order.
using Entries = std::map<std::string, const Message*>;

void compareEntries(
    const std::string& kind, const Entries& before, const Entries& after, std::vector<std::string>& lines)
{
    for (const auto& [name, entry] : before) {
        const auto match = after.find(name);
        if (match == after.end())
            lines.push_back(join({ kind, " ", name, ": removed" }));
        else
            compareFields(join({ kind, " ", name }), *entry, *match->second, lines);
    }
    for (const auto& [name, entry] : after) {
        if (!before.contains(name))
            lines.push_back(join({ kind, " ", name, ": added" }));
    }
}

struct Index {
    Entries services;
    Entries databases;
    Entries slots;
    Entries teams;
    Entries keys;
};

Index indexOf(const api::Schema& schema)
{
    Index index;
    for (const auto& service : schema.services()) {
        index.services[service.name()] = &service;
        for (const auto& database : service.databases()) {
            const auto path = service.name() + '/' + database.name();
            index.databases[path] = &database;
            for (const auto& slot : database.slots())
                index.slots[path + '/' + slot.name()] = &slot;
        }
    }
    for (const auto& team : schema.teams())
        index.teams[team.name()] = &team;
    for (const auto& key : schema.keys())
        index.keys[key.id()] = &key;
    return index;
}

} // namespace

std::vector<std::string> schemaDifference(const api::Schema& before, const api::Schema& after)
{
    std::vector<std::string> lines;
    const auto old = indexOf(before);
    const auto now = indexOf(after);
    compareEntries("service", old.services, now.services, lines);
    compareEntries("database", old.databases, now.databases, lines);
    compareEntries("slot", old.slots, now.slots, lines);
    compareEntries("team", old.teams, now.teams, lines);
    compareEntries("key", old.keys, now.keys, lines);
    return lines;
}

} // namespace cyclamendrift

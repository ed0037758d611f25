#include <cyclamendrift/operators/operator_profile.h>

#include <cyclamendrift/operators/operator_error.h>

#include <toml++/toml.h>

#include <fstream>

namespace cyclamendrift {

namespace {

[[noreturn]] void refuse(const std::string& message)
{
    throw OperatorError(OperatorError::Kind::Usage, message);
}

std::vector<std::string> endpointsOf(const toml::table& table, const std::string& path)
{
    std::vector<std::string> endpoints;
    const auto* list = table.get("endpoints") == nullptr ? nullptr : table.get("endpoints")->as_array();
    if (list == nullptr)
        refuse(path + ": endpoints must be a list of texts");
    for (const auto& element : *list) {
        const auto* text = element.as_string();
        if (text == nullptr)
            refuse(path + ": endpoints must be a list of texts");
        endpoints.push_back(text->get());
    }
    return endpoints;
}

void refuseUnknownKeys(const toml::table& table, const std::string& path)
{
    for (const auto& [key, value] : table) {
        if (key != "endpoints" && key != "secret" && key != "secret_file")
            refuse(path + ": " + std::string { key.str() } + " is not known");
    }
}

std::string secretOf(const toml::table& table, const std::string& path)
{
    if (const auto file = table["secret_file"].value<std::string>())
        return readSecretFile(*file);
    const auto secret = table["secret"].value<std::string>();
    if (!secret)
        refuse(path + ": secret or secret_file is required");
    return *secret;
}

} // namespace

OperatorProfile readProfile(const std::string& path)
{
    try {
        const auto table = toml::parse_file(path);
        refuseUnknownKeys(table, path);
        return { .endpoints = endpointsOf(table, path), .secret = secretOf(table, path) };
    } catch (const toml::parse_error& error) {
        refuse(path + ": " + std::string { error.description() });
    }
}

std::string readSecretFile(const std::string& path)
{
    std::ifstream file { path };
    std::string secret;
    if (!std::getline(file, secret) || secret.empty())
        refuse(path + ": this file can't be read, or is empty");
    return secret;
}

std::vector<std::string> splitEndpoints(std::string_view list)
{
    std::vector<std::string> endpoints;
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (comma != 0)
            endpoints.emplace_back(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view {} : list.substr(comma + 1);
    }
    return endpoints;
}

} // namespace cyclamendrift

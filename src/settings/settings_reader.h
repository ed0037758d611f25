#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/settings/settings_error.h>

#include <toml++/toml.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// A range of whole numbers, both ends included.
struct NumberRange {
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

/// Reads the fields of one TOML file and gathers what is wrong with them. Each field that is asked for is
/// known; finish() reports every other one, so that a misspelt key is not silently a default.
class SettingsReader {
public:
    SettingsReader(const toml::table& root, std::string file);

    /// Goes on with the section of this name; a missing one reads as empty.
    void enter(std::string_view section);

    /// Reads a text of at least `leastLength` characters into `value`; a missing key keeps what is there, and
    /// is a problem when that is too short.
    void text(std::string_view key, std::string& value, std::size_t leastLength = 0);

    /// Reads a text that must be one of some words.
    void word(std::string_view key, std::string& value, std::initializer_list<std::string_view> words);

    /// Reads a whole number; a missing key keeps what is there.
    template <class Number> void number(std::string_view key, Number& value, NumberRange range)
    {
        if (const auto read = this->numberAt(key, range))
            value = static_cast<Number>(*read);
    }

    /// Reads a number above 0 and up to `most`; a missing key keeps what is there.
    void positive(std::string_view key, double& value, double most);

    /// Reads `true` or `false`; a missing key keeps what is there.
    void flag(std::string_view key, bool& value);

    /// Reads a length of time in milliseconds, at least 1 and at most a day.
    void milliseconds(std::string_view key, Duration& value);

    /// Reports a problem with a key of the section entered last.
    void report(std::string_view key, std::string message);

    /// Throws SettingsError when anything was wrong.
    void finish();

private:
    [[nodiscard]] const toml::node* find(std::string_view key);
    [[nodiscard]] std::optional<std::int64_t> numberAt(std::string_view key, NumberRange range);
    [[nodiscard]] std::string qualified(std::string_view key) const;
    void reportAt(const toml::source_region& place, std::string message);
    void reportUnknownKeys();

    struct Section {
        std::string name;
        std::vector<std::string> keys;
    };

    const toml::table& root;
    std::string file;
    const toml::table* table = nullptr;
    std::vector<Section> sections;
    std::vector<SettingsProblem> problems;
};

} // namespace cyclamendrift

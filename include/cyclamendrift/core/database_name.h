#pragma once

#include <cyclamendrift/core/identifier.h>

#include <compare>
#include <string>

namespace cyclamendrift {

/// A database, named within its service.
///
///     DatabaseName beds { ServiceName { "register" }, "beds" };
///     beds.path(); // "register/beds"
struct DatabaseName {
    ServiceName service;
    std::string name;

    /// Service and name with a slash between them, as in logs and store keys.
    [[nodiscard]] std::string path() const { return this->service.string() + '/' + this->name; }

    friend auto operator<=>(const DatabaseName&, const DatabaseName&) = default;
};

} // namespace cyclamendrift

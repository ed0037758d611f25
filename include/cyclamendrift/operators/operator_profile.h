#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// Where an operator's proxies are and how to prove oneself to them.
struct OperatorProfile {
    std::vector<std::string> endpoints;
    std::string secret;
};

/// Reads a profile in TOML with the keys `endpoints` and `secret` or `secret_file`; throws OperatorError.
[[nodiscard]] OperatorProfile readProfile(const std::string& path);

/// The first line of a file, for a secret; throws OperatorError.
[[nodiscard]] std::string readSecretFile(const std::string& path);

/// The parts of a list with commas between them.
[[nodiscard]] std::vector<std::string> splitEndpoints(std::string_view list);

} // namespace cyclamendrift

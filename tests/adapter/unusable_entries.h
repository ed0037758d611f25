#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// A key and a value of the platform's store.
using StoredText = std::pair<std::string, std::string>;

/// Entries that another writer may leave among those of the upstreams of `service`, each under a key of its
/// own. None of them names an upstream to use.
[[nodiscard]] std::vector<StoredText> unusableEntries(const std::string& service);

} // namespace cyclamendrift

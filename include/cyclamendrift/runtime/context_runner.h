#pragma once

#include <asio/io_context.hpp>

#include <string_view>

namespace cyclamendrift {

/// Runs a context until it is stopped or out of work. A handler that fails is logged, with the name of the
/// thread, and the others go on.
void runContext(asio::io_context& context, std::string_view thread);

} // namespace cyclamendrift

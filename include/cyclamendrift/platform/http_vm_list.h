#pragma once

#include <cyclamendrift/platform/vm_list.h>

#include <asio/any_io_executor.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace cyclamendrift {

/// The list of VMs as a JSON document at a URL: a list of objects with the fields name, availability_zone,
/// address, port, leaving and upstream, of which the last two may be left out.
///
///     [{ "name": "vm-1", "availability_zone": "palermo", "address": "10.0.0.1", "port": 7100 }]
class HttpVmList final : public VmList {
public:
    struct Options {
        std::string url;
        Duration connectTimeout = std::chrono::seconds { 1 };
        Duration callTimeout = std::chrono::seconds { 2 };
    };

    HttpVmList(const asio::any_io_executor& executor, Options options);
    ~HttpVmList() override;

    [[nodiscard]] asio::awaitable<std::vector<VmEntry>> fetch() override;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace cyclamendrift

#include "json.h"
#include <cyclamendrift/platform/curl_client.h>

#include <cyclamendrift/platform/http_vm_list.h>
#include <cyclamendrift/platform/store_error.h>

#include <etcd.pb.h>

#include <limits>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t maxListBytes = std::size_t { 16 } << 20U;
constexpr long okStatus = 200;

VmEntry entryOf(const wire::VmListDocument::Vm& vm)
{
    const bool portFits = vm.port() > 0 && vm.port() <= std::numeric_limits<std::uint16_t>::max();
    if (vm.name().empty() || vm.address().empty() || !portFits)
        throw StoreError { StoreError::Kind::BadAnswer,
            "an entry of the list of VMs lacks its name, address or port" };
    return {
        .name = VmName { vm.name() },
        .zone = ZoneName { vm.availability_zone() },
        .address = vm.address(),
        .port = static_cast<std::uint16_t>(vm.port()),
        .leaving = vm.leaving(),
        .upstream = vm.upstream(),
    };
}

} // namespace

struct HttpVmList::State {
    State(const asio::any_io_executor& executor, Options options)
        : client(executor, { .connectTimeout = options.connectTimeout, .maxAnswerBytes = maxListBytes })
        , options(std::move(options))
    {
    }
    CurlClient client;
    Options options;
};

HttpVmList::HttpVmList(const asio::any_io_executor& executor, Options options)
    : state(std::make_unique<State>(executor, std::move(options)))
{
}

HttpVmList::~HttpVmList() = default;

asio::awaitable<std::vector<VmEntry>> HttpVmList::fetch()
{
    CurlRequest request;
    request.url = this->state->options.url;
    request.timeout = this->state->options.callTimeout;
    const auto response = co_await this->state->client.perform(std::move(request));
    if (response.status != okStatus)
        throw StoreError { StoreError::Kind::BadAnswer,
            "the list of VMs answered " + std::to_string(response.status) };
    wire::VmListDocument document;
    // A half list would read as VMs that are gone, so anything odd refuses the whole.
    if (!fromJson(R"({"vms":)" + response.body + '}', document))
        throw StoreError { StoreError::Kind::BadAnswer, "the list of VMs cannot be read" };
    std::vector<VmEntry> entries;
    for (const auto& vm : document.vms())
        entries.push_back(entryOf(vm));
    co_return entries;
}

} // namespace cyclamendrift

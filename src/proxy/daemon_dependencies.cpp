#include <cyclamendrift/proxy/proxy_dependencies.h>

#include <cyclamendrift/platform/etcd_store.h>
#include <cyclamendrift/platform/http_vm_list.h>

namespace cyclamendrift {

ProxyDependencies daemonDependencies(const Settings& settings)
{
    const auto& platform = settings.platform;
    return { .makeStore =
                 [options = EtcdStore::Options { .url = platform.storeUrl,
                      .connectTimeout = platform.callTimeout,
                      .callTimeout = platform.callTimeout }](const asio::any_io_executor& executor) {
                     return std::make_shared<EtcdStore>(executor, options);
                 },
        .makeVmList =
            [options = HttpVmList::Options { .url = platform.vmListUrl,
                 .connectTimeout = platform.callTimeout,
                 .callTimeout = platform.callTimeout }](const asio::any_io_executor& executor) {
                return std::make_shared<HttpVmList>(executor, options);
            },
        .connector = &Connection::open };
}

} // namespace cyclamendrift

#pragma once

#include <core/daemonevent.h>
#include <net/httpserver.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace ragwortreach {

class call_proxy;
class catalogue_table;

/// Routes of the port for callers.
class caller_routes {
public:
    /// Where requests about batches go; their answers come by number.
    using batch_handler = std::function<void(const http_exchange&, peer_request)>;

    /// \a idPrefix makes the ids of requests unique over the fleet.
    caller_routes(std::string idPrefix, const catalogue_table& catalogue, call_proxy& proxy, batch_handler onBatch);

    void handle(const http_exchange& exchange);

private:
    void handleService(const http_exchange& exchange, std::string_view path);
    void handleCompletion(const http_exchange& exchange);
    void handleBatches(const http_exchange& exchange, std::string_view path);
    call_arrived makeCall(const http_exchange& exchange);
    void refuse(const http_exchange& exchange, result_code code, std::string_view detail);

    std::string m_idPrefix;
    const catalogue_table& m_catalogue;
    call_proxy& m_proxy;
    batch_handler m_onBatch;
    std::uint64_t m_lastNumber = 0;
};

}

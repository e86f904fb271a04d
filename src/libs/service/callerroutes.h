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

/// HTTP routes of the callers' port: calls of services and models go to the call proxy, requests about batches to a handler.
class caller_routes {
public:
    /// Receives requests about batches; their exchanges are answered later.
    using batch_handler = std::function<void(const http_exchange&, peer_request)>;

    /// \a idPrefix is the prefix of generated request ids and makes them unique in the fleet.
    caller_routes(std::string idPrefix, const catalogue_table& catalogue, call_proxy& proxy, batch_handler onBatch);

    /// Passes the request of \a exchange on, or answers it with an error.
    void handle(const http_exchange& exchange);

private:
    void handleService(const http_exchange& exchange, std::string_view path);
    void handleCompletion(const http_exchange& exchange);
    void handleBatches(const http_exchange& exchange, std::string_view path);
    /// Call with a new number and the values of the headers; the entry is filled in by the route.
    call_arrived makeCall(const http_exchange& exchange);
    void refuse(const http_exchange& exchange, result_code code, std::string_view detail);

    std::string m_idPrefix;
    const catalogue_table& m_catalogue;
    call_proxy& m_proxy;
    batch_handler m_onBatch;
    std::uint64_t m_lastNumber = 0;
};

}

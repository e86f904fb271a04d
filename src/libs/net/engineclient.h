#pragma once

#include "endpoint.h"
#include "httpclient.h"

#include <core/enginemessage.h>

#include <functional>
#include <optional>
#include <string>

namespace ragwortreach {

/// Client of the HTTP interface of the model engines.
class engine_client {
public:
    explicit engine_client(http_client& client);

    /// Streams a completion. \a onDone gets Ok only when the stream is complete, that is, ended with the finish reason "stop"
    /// or "length"; UpstreamRefused and UpstreamUnreachable mean that the engine did not run the request.
    http_call_handle complete(const endpoint& address, const completion_request& request, duration timeout,
        std::function<void(completion_chunk)> onChunk, std::function<void(const http_outcome&)> onDone);
    /// Asks the engine to cancel the completion \a requestId; the answer is ignored.
    void cancel(const endpoint& address, std::string_view requestId);
    /// Reads the state of the engine; no state means that it did not answer or that its answer cannot be parsed.
    void readState(const endpoint& address, std::function<void(std::optional<engine_state>)> handler);
    /// Orders the engine to load \a weights. \a fencing is the fencing token of the sender.
    void orderLoad(const endpoint& address, std::string_view model, const weight_version& weights,
        std::uint64_t fencing, std::function<void(order_answer)> handler);

private:
    http_client& m_client;
};

}

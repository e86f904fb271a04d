#pragma once

#include "callmessage.h"
#include "enginemessage.h"
#include "logpage.h"
#include "membership.h"
#include "peermessage.h"
#include "vmlist.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Timer event; sent every 50 ms.
struct daemon_tick { };

/// A read of a stream ended. With LogTruncated only \c firstRetained and \c end of the page are set.
struct log_read_ended {
    std::string stream;
    std::uint64_t from = 0;
    result_code code = result_code::Ok;
    log_page page;
};

/// An append ended: Ok, LogUnavailable when nothing was written, or AppendUnknown when the reply was lost and the
/// records may have been written.
struct append_ended {
    std::uint64_t append = 0;
    result_code code = result_code::Ok;
    /// Offset of the first appended record.
    std::uint64_t first = 0;
};

/// The VM list was read; \c list is empty when it cannot be reached.
struct vm_list_read {
    std::optional<vm_list> list;
};

/// A peer sent a request; it is answered with answer_peer.
struct peer_request_received {
    request_number number = 0;
    peer_request request;
};

/// A peer answered a request, or failed to when \c code is not Ok.
struct peer_reply_received {
    request_number number = 0;
    result_code code = result_code::Ok;
    peer_reply reply;
};

/// A trainer sent a request about a batch. The request types are those that peers forward to the batch's owner.
struct batch_request_received {
    request_number number = 0;
    peer_request request;
};

/// An operator submitted an edit of the catalogue; \c recordId identifies it in the log.
struct edit_submitted {
    request_number number = 0;
    std::string recordId;
    /// JSON text of the record for the stream `catalogue`.
    std::string data;
};

/// Tokens of a stream arrived.
struct engine_chunk_received {
    std::uint64_t stream = 0;
    completion_chunk chunk;
};

/// A stream ended; \c code is Ok only when the engine gave a finish reason.
struct engine_stream_ended {
    std::uint64_t stream = 0;
    result_code code = result_code::Ok;
    std::string detail;
};

/// The scorer answered; \c reward is empty when it failed.
struct score_ended {
    std::uint64_t score = 0;
    std::optional<double> reward;
};

/// A replica reported its state; \c state is empty when it cannot be reached.
struct engine_state_read {
    std::string vm;
    std::optional<engine_state> state;
};

/// The weight store listed the versions of a model; \c versions is empty when it cannot be reached.
struct versions_read {
    std::string model;
    std::optional<std::vector<weight_version>> versions;
};

/// A replica answered an order to load weights, or the order failed.
struct weight_order_ended {
    std::string vm;
    order_answer answer;
};

/// The process was asked to stop.
struct drain_requested { };

using daemon_event = std::variant<daemon_tick, log_read_ended, append_ended, vm_list_read, message_received,
    peer_request_received, peer_reply_received, batch_request_received, edit_submitted, call_arrived, attempt_ended,
    caller_gone, engine_chunk_received, engine_stream_ended, score_ended, engine_state_read, versions_read,
    weight_order_ended, drain_requested>;

}

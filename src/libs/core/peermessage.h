#pragma once

#include "logrecord.h"
#include "resultcode.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Largest encoded request or reply between daemons, in bytes.
constexpr std::size_t maxPeerMessageSize = std::size_t { 16 } * 1024 * 1024;
/// Maximum length of a batch id, in bytes.
constexpr std::size_t maxBatchIdLength = 256;
/// Maximum number of records in one catalogue_read_reply.
constexpr std::size_t maxCatalogueRecords = 1000;

/// Opens a batch at its owner; \c body is the JSON text of the trainer's request.
struct open_batch_request {
    std::string body;
    bool operator==(const open_batch_request&) const = default;
};

/// Fetches samples of a batch; \c body is the JSON text of the trainer's request.
struct fetch_batch_request {
    std::string batch;
    std::string body;
    bool operator==(const fetch_batch_request&) const = default;
};

/// Cancels a batch.
struct cancel_batch_request {
    std::string batch;
    bool operator==(const cancel_batch_request&) const = default;
};

/// Asks for the progress of a batch.
struct batch_progress_request {
    std::string batch;
    bool operator==(const batch_progress_request&) const = default;
};

/// Asks for the records of the catalogue stream starting at offset \c from.
struct catalogue_read_request {
    std::uint64_t from = 0;
    bool operator==(const catalogue_read_request&) const = default;
};

/// Asks for the status document of a daemon.
struct status_request {
    bool operator==(const status_request&) const = default;
};

using peer_request = std::variant<open_batch_request, fetch_batch_request, cancel_batch_request,
    batch_progress_request, catalogue_read_request, status_request>;

/// \c body is the JSON text of the answer; \c created is false when the batch existed with the same content.
struct open_batch_reply {
    bool created = false;
    std::string body;
    bool operator==(const open_batch_reply&) const = default;
};

/// \c body is the JSON text of the samples.
struct fetch_batch_reply {
    std::string body;
    bool operator==(const fetch_batch_reply&) const = default;
};

/// \c body is the JSON text of the answer.
struct cancel_batch_reply {
    std::string body;
    bool operator==(const cancel_batch_reply&) const = default;
};

/// \c body is the JSON text of the progress.
struct batch_progress_reply {
    std::string body;
    bool operator==(const batch_progress_reply&) const = default;
};

/// Records of the catalogue stream in order of their offsets.
struct catalogue_read_reply {
    std::vector<log_record> records;
    /// Snapshot of the catalogue, when the replying daemon no longer has the requested records.
    std::optional<std::string> snapshot;
    /// Offset after the last record that the replying daemon has applied.
    std::uint64_t end = 0;
    bool operator==(const catalogue_read_reply&) const = default;
};

/// \c body is the JSON text of the status.
struct status_reply {
    std::string body;
    bool operator==(const status_reply&) const = default;
};

/// Sent instead of any other reply when the request failed.
struct error_reply {
    result_code code = result_code::Internal;
    std::string detail;
    bool operator==(const error_reply&) const = default;
};

using peer_reply = std::variant<open_batch_reply, fetch_batch_reply, cancel_batch_reply, batch_progress_reply,
    catalogue_read_reply, status_reply, error_reply>;

}

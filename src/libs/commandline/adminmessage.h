#pragma once

#include <core/hybridtime.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Entry of the catalogue in the state that a daemon has applied.
struct entry_row {
    std::string entry;
    /// 0 when the entry does not exist.
    std::uint64_t revision = 0;
    /// JSON text.
    std::string body;
    /// Operator who made the revision; empty when the daemon does not name one.
    std::string operatorName;
};

/// Catalogue of one daemon.
struct catalogue_listing {
    /// Offset in the catalogue stream up to which the daemon has applied edits.
    std::uint64_t position = 0;
    std::vector<entry_row> entries;
};

/// Edit of an entry in the log, with its outcome: accepted or rejected.
struct catalogue_history_item {
    /// Offset of the edit in the catalogue stream.
    std::uint64_t offset = 0;
    /// Id of the record.
    std::string record;
    std::string operatorName;
    /// Revision that the edit is based on.
    std::uint64_t replaces = 0;
    /// Revision that the edit made; 0 when it was rejected.
    std::uint64_t revision = 0;
    /// Result code; 0 when the edit was accepted.
    int code = 0;
    std::string detail;
    std::string body;
};

/// Edit that an operator submits to a daemon.
struct catalogue_submission {
    /// Id of the record, unique over all writers.
    std::string record;
    std::string entry;
    /// Revision that the edit is based on; 0 when the entry must not exist.
    std::uint64_t replaces = 0;
    /// JSON text; empty for a deletion.
    std::string body;
};

/// The edit was appended at \c offset and made \c revision.
struct submission_accepted {
    std::uint64_t offset = 0;
    std::uint64_t revision = 0;
};

/// The daemon rejected the edit with the result code \c code.
struct submission_rejected {
    int code = 0;
    std::string title;
    std::string detail;
    /// Revision of the entry that is in force, if the answer contains it.
    std::optional<entry_row> current;
};

/// No valid reply arrived; the edit may or may not be in the log.
struct submission_unknown {
    std::string detail;
};

using submission_outcome = std::variant<submission_accepted, submission_rejected, submission_unknown>;

/// Catalogue position of one VM, and whether that confirms the edit in question.
struct vm_confirmation {
    std::string vm;
    std::string dataCentre;
    std::uint64_t position = 0;
    bool isConfirmed = false;
};

/// Progress of the VMs in applying one edit.
struct edit_confirmations {
    /// Catalogue position that confirms the edit.
    std::uint64_t needed = 0;
    std::vector<vm_confirmation> vms;
};

/// Timeline event that a daemon reported.
struct event_row {
    hybrid_time time;
    std::string vm;
    std::string kind;
    std::string subject;
    int code = 0;
    std::string detail;
};

/// VM of the fleet in the membership view of one daemon.
struct member_row {
    std::string vm;
    std::string dataCentre;
    std::string state;
    std::uint64_t incarnation = 0;
    std::uint64_t cataloguePosition = 0;
    /// Address of the admin port, as "ip:port".
    std::string admin;
};

/// Upstream on one VM, in the view of one daemon.
struct upstream_row {
    std::string upstream;
    std::string vm;
    std::string dataCentre;
    std::string state;
    std::uint64_t inFlight = 0;
    /// Weight version as "base.adapter"; empty when it is unknown.
    std::string weights;
};

/// Open batch in the view of one daemon.
struct batch_row {
    std::string batch;
    std::string ownerVm;
    std::uint64_t remaining = 0;
};

/// State of one daemon, with its view of the VMs, upstreams and batches of the fleet.
struct daemon_status {
    std::string vm;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    bool isDraining = false;
    std::uint64_t cataloguePosition = 0;
    std::vector<member_row> members;
    std::vector<upstream_row> upstreams;
    std::vector<batch_row> batches;
    /// Answer of the daemon, as JSON text.
    std::string json;
};

}

#pragma once

#include <core/hybridtime.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Entry of the catalogue as a daemon has it. Bodies are JSON texts.
struct entry_row {
    std::string entry;
    /// 0 when the entry does not exist.
    std::uint64_t revision = 0;
    std::string body;
    /// Who made the revision, where the daemon says so.
    std::string operatorName;
};

/// Catalogue of one daemon.
struct catalogue_listing {
    /// Offset of the stream up to which the daemon has applied edits.
    std::uint64_t position = 0;
    std::vector<entry_row> entries;
};

/// Edit of an entry with the verdict of the fold.
struct catalogue_history_item {
    std::uint64_t offset = 0;
    std::string record;
    std::string operatorName;
    std::uint64_t replaces = 0;
    /// Revision that the edit made; 0 when it was rejected.
    std::uint64_t revision = 0;
    /// Result code; 0 when the edit was accepted.
    int code = 0;
    std::string detail;
    std::string body;
};

/// Edit as it is sent.
struct catalogue_submission {
    std::string record;
    std::string entry;
    std::uint64_t replaces = 0;
    /// Empty for a deletion.
    std::string body;
};

struct submission_accepted {
    std::uint64_t offset = 0;
    std::uint64_t revision = 0;
};

struct submission_rejected {
    int code = 0;
    std::string title;
    std::string detail;
    /// The entry as it is in force, where the daemon says so.
    std::optional<entry_row> current;
};

/// The reply was lost; the edit may be in the log.
struct submission_unknown {
    std::string detail;
};

using submission_outcome = std::variant<submission_accepted, submission_rejected, submission_unknown>;

/// How far one VM has applied the catalogue.
struct vm_confirmation {
    std::string vm;
    std::string dataCentre;
    std::uint64_t position = 0;
    bool isConfirmed = false;
};

struct edit_confirmations {
    std::uint64_t needed = 0;
    std::vector<vm_confirmation> vms;
};

/// Event of the time line as a daemon shows it.
struct shown_event {
    hybrid_time time;
    std::string vm;
    std::string kind;
    std::string subject;
    int code = 0;
    std::string detail;
};

/// VM of the system as one daemon sees it.
struct member_row {
    std::string vm;
    std::string dataCentre;
    std::string state;
    std::uint64_t incarnation = 0;
    std::uint64_t cataloguePosition = 0;
    std::string admin;
};

struct upstream_row {
    std::string upstream;
    std::string vm;
    std::string dataCentre;
    std::string state;
    std::uint64_t inFlight = 0;
    std::string weights;
};

struct batch_row {
    std::string batch;
    std::string ownerVm;
    std::uint64_t remaining = 0;
};

/// State of one daemon and what it knows about the others.
struct daemon_status {
    std::string vm;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    bool isDraining = false;
    std::uint64_t cataloguePosition = 0;
    std::vector<member_row> members;
    std::vector<upstream_row> upstreams;
    std::vector<batch_row> batches;
    /// The answer of the daemon as it stands.
    std::string json;
};

}

#pragma once

#include "exitcode.h"

#include <net/httpclient.h>
#include <net/httpmessage.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Format of the output of a command.
enum class output_format {
    Text,
    Json,
};

/// Result of a call to the admin interface. \c response is complete only if the code of \c outcome is Ok.
struct http_reply {
    http_outcome outcome;
    http_response response;
};

/// Request to the admin interface of one daemon.
struct addressed_request {
    /// "ip:port".
    std::string address;
    http_request request;
};

/// Dependencies and settings of a command: HTTP, clock, record ids and output streams. Tests inject scripted functions.
struct command_environment {
    /// Sends all requests concurrently and blocks until all have ended. The replies are in the order of the requests.
    std::function<std::vector<http_reply>(std::span<const addressed_request> requests)> exchangeAll;
    /// Blocks for the given time.
    std::function<void(std::chrono::milliseconds)> pause;
    /// Wall-clock time in milliseconds since 1970.
    std::function<std::uint64_t()> wallMilliseconds;
    /// New record id, unique over all writers.
    std::function<std::string()> newRecordId;
    std::ostream& output;
    std::ostream& errors;
    output_format format = output_format::Text;
    /// Admin address of the daemon that is called, as "ip:port".
    std::string server;
    /// Operator named in edits.
    std::string operatorName;
    /// Time limit for all VMs to confirm an edit, and for the record of an edit to appear after its reply was lost.
    std::chrono::milliseconds confirmTimeout { 30000 };
    /// Time between two polls for confirmations or for a record.
    std::chrono::milliseconds pollPeriod { 500 };

    /// Sends one request and blocks until it has ended.
    http_reply exchange(const std::string& address, const http_request& request) const;
};

/// Reason why a command ends early.
struct command_failure {
    exit_code code = exit_code::Unreachable;
    /// Full sentence for the operator.
    std::string message;
};

/// Writes the message of \a failure to the error stream and returns its exit code.
exit_code report(const command_environment& environment, const command_failure& failure);

}

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

enum class output_format {
    Text,
    Json,
};

/// Answer to a call of the admin interface, whole or broken.
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

/// What a command may use: HTTP, time, random ids and streams. Tests hand in scripted functions.
struct command_environment {
    /// Sends all requests at once and waits for the answers, which come in the order of the requests.
    std::function<std::vector<http_reply>(std::span<const addressed_request> requests)> exchangeAll;
    std::function<void(std::chrono::milliseconds)> pause;
    /// Wall-clock time in milliseconds since 1970.
    std::function<std::uint64_t()> wallMilliseconds;
    /// Id for a record that no other writer uses.
    std::function<std::string()> newRecordId;
    std::ostream& output;
    std::ostream& errors;
    output_format format = output_format::Text;
    /// Admin address of the daemon to ask.
    std::string server;
    std::string operatorName;
    /// Time to wait for confirmations, and for the record of an edit whose reply was lost.
    std::chrono::milliseconds confirmTimeout { 30000 };
    std::chrono::milliseconds pollPeriod { 500 };

    /// Sends one request and waits for the answer.
    http_reply exchange(const std::string& address, const http_request& request) const;
};

/// Why a command could not go on.
struct command_failure {
    exit_code code = exit_code::Unreachable;
    /// Whole sentence for the operator.
    std::string sentence;
};

/// Writes the sentence of \a failure to the error stream and returns its exit code.
exit_code report(const command_environment& environment, const command_failure& failure);

}

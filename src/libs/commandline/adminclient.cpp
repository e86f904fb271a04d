#include "adminclient.h"

#include "adminjson.h"

#include <core/jsonreader.h>

#include <cctype>
#include <exception>

namespace ragwortreach {

using nlohmann::json;

namespace {

    constexpr int firstErrorStatus = 400;
    constexpr int firstServerErrorStatus = 500;
    constexpr int notFoundStatus = 404;

    /// Members of an error answer (RFC 9457) of a daemon.
    struct problem_details {
        std::string title;
        std::string detail;
        /// Whether the call ran: "no", "yes" or "unknown".
        std::string run;
        int code = 0;
    };

    /// Error answer in \a body; all members are empty when it cannot be parsed.
    problem_details readProblem(const std::string& body)
    {
        const json document = parseJson(body);
        if (!document.is_object())
            return {};
        try {
            return { document.value("title", ""), document.value("detail", ""), document.value("run", ""), document.value("code", 0) };
        } catch (const json::exception&) {
            return {};
        }
    }

    /// Failure of a call that got no complete answer.
    command_failure unreachable(const std::string& address, const http_reply& reply)
    {
        return { exit_code::Unreachable,
            "The daemon at " + address + " did not answer: " + reply.outcome.detail
                + " Check the address, or name another daemon with '--server'." };
    }

    /// Failure of a call that the daemon answered with an error status.
    command_failure refused(const std::string& address, const http_reply& reply)
    {
        const problem_details problem = readProblem(reply.response.body);
        std::string message = "The daemon at " + address + " answered with HTTP status " + std::to_string(reply.response.status);
        if (!problem.title.empty())
            message += " (" + problem.title + ", result code " + std::to_string(problem.code) + ')';
        message += problem.detail.empty() ? "." : ": " + problem.detail;
        const bool isServerError = reply.response.status >= firstServerErrorStatus;
        return { isServerError ? exit_code::Unreachable : exit_code::Rejected, message };
    }

    /// Body of a successful answer; a failure for a lost answer or an error status.
    admin_result<std::string> bodyOf(const std::string& address, const http_reply& reply)
    {
        if (reply.outcome.code != result_code::Ok)
            return unreachable(address, reply);
        if (reply.response.status >= firstErrorStatus)
            return refused(address, reply);
        return reply.response.body;
    }

    /// Parses the body \a text with \a reader. A failure is passed on, and a malformed body becomes a failure.
    template <typename message, typename reader_function>
    admin_result<message> parse(const std::string& address, const admin_result<std::string>& text, reader_function reader)
    {
        if (const command_failure* failure = std::get_if<command_failure>(&text))
            return *failure;
        try {
            return reader(parseJson(std::get<std::string>(text)));
        } catch (const std::exception& error) {
            return command_failure { exit_code::Unreachable,
                "The answer of the daemon at " + address + " cannot be read: " + error.what()
                    + ". Check that the versions of the daemon and of the command line match." };
        }
    }

    /// JSON body of a POST to /v1/catalogue/edits.
    std::string submissionText(const catalogue_submission& submission, const std::string& operatorName)
    {
        json document {
            { "id", submission.record },
            { "entry", submission.entry },
            { "replaces", submission.replaces },
            { "operator", operatorName },
            { "action", submission.body.empty() ? "delete" : "put" },
        };
        if (!submission.body.empty())
            document["body"] = json::parse(submission.body);
        return document.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    /// Percent-encodes all characters of \a text except the unreserved ones of RFC 3986.
    std::string encodeQueryValue(std::string_view text)
    {
        constexpr std::string_view hexDigits = "0123456789ABCDEF";
        std::string encoded;
        for (const char c : text) {
            const unsigned char byte = static_cast<unsigned char>(c);
            const bool isUnreserved = std::isalnum(byte) != 0 || std::string_view("-._~").find(c) != std::string_view::npos;
            if (isUnreserved)
                encoded += c;
            else
                encoded += { '%', hexDigits[byte >> 4U], hexDigits[byte & 15U] };
        }
        return encoded;
    }

    /// Whether the edit may have been appended to the log although no success was reported.
    bool isOutcomeUnknown(const http_reply& reply)
    {
        if (reply.outcome.code != result_code::Ok)
            return reply.outcome.code != result_code::UpstreamUnreachable;
        return reply.response.status >= firstServerErrorStatus && readProblem(reply.response.body).run != "no";
    }

}

admin_client::admin_client(const command_environment& environment)
    : m_environment(environment)
{
}

admin_result<std::string> admin_client::read(const std::string& address, const std::string& target) const
{
    http_request request;
    request.target = target;
    return bodyOf(address, m_environment.exchange(address, request));
}

admin_result<catalogue_listing> admin_client::catalogue() const
{
    const std::string& server = m_environment.server;
    return parse<catalogue_listing>(server, read(server, "/v1/catalogue"), Internal::readListing);
}

admin_result<entry_row> admin_client::entry(std::string_view name) const
{
    const std::string& server = m_environment.server;
    http_request request;
    request.target = "/v1/catalogue/" + std::string(name);
    const http_reply reply = m_environment.exchange(server, request);
    if (reply.outcome.code != result_code::Ok)
        return unreachable(server, reply);
    const bool isAbsent = reply.response.status == notFoundStatus
        && readProblem(reply.response.body).code == static_cast<int>(result_code::UnknownEntry);
    if (isAbsent)
        return entry_row { std::string(name), 0, "", "" };
    if (reply.response.status >= firstErrorStatus)
        return refused(server, reply);
    return parse<entry_row>(server, reply.response.body, Internal::readItem);
}

admin_result<std::vector<catalogue_history_item>> admin_client::history(std::string_view name) const
{
    const std::string& server = m_environment.server;
    return parse<std::vector<catalogue_history_item>>(
        server, read(server, "/v1/catalogue/" + std::string(name) + "/history"), Internal::readHistory);
}

admin_result<submission_outcome> admin_client::submit(const catalogue_submission& submission) const
{
    const std::string& server = m_environment.server;
    http_request request;
    request.method = "POST";
    request.target = "/v1/catalogue/edits";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = submissionText(submission, m_environment.operatorName);
    const http_reply reply = m_environment.exchange(server, request);
    if (isOutcomeUnknown(reply))
        return submission_outcome(submission_unknown { reply.outcome.detail });
    if (reply.outcome.code != result_code::Ok)
        return unreachable(server, reply);
    if (reply.response.status >= firstServerErrorStatus)
        return refused(server, reply);
    if (reply.response.status < firstErrorStatus) {
        const admin_result<submission_accepted> accepted = parse<submission_accepted>(server, reply.response.body, Internal::readAccepted);
        if (const command_failure* failure = std::get_if<command_failure>(&accepted))
            return submission_outcome(submission_unknown { failure->message });
        return submission_outcome(std::get<submission_accepted>(accepted));
    }
    return parse<submission_outcome>(server, reply.response.body,
        [&submission](const json& document) { return submission_outcome(Internal::readRejected(document, submission.entry)); });
}

admin_result<edit_confirmations> admin_client::confirmations(std::uint64_t offset) const
{
    const std::string& server = m_environment.server;
    return parse<edit_confirmations>(
        server, read(server, "/v1/catalogue/confirmations?offset=" + std::to_string(offset)), Internal::readConfirmations);
}

admin_result<daemon_status> admin_client::status() const
{
    return parse<daemon_status>(m_environment.server, read(m_environment.server, "/status"), Internal::readStatus);
}

std::vector<admin_result<std::vector<event_row>>> admin_client::timelines(
    std::span<const std::string> addresses, std::string_view subject, hybrid_time since) const
{
    http_request request;
    request.target = "/timeline?since=" + std::to_string(since.packed);
    if (!subject.empty())
        request.target += "&subject=" + encodeQueryValue(subject);
    std::vector<addressed_request> requests;
    for (const std::string& address : addresses)
        requests.push_back({ address, request });
    const std::vector<http_reply> replies = m_environment.exchangeAll(requests);
    std::vector<admin_result<std::vector<event_row>>> results;
    for (std::size_t i = 0; i < replies.size(); ++i)
        results.push_back(parse<std::vector<event_row>>(addresses[i], bodyOf(addresses[i], replies[i]), Internal::readTimeline));
    return results;
}

}

#pragma once

#include <commandline/commandenvironment.h>

#include <deque>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace ragwortreach {

/// Environment whose daemons answer with scripted replies. A call is identified by "METHOD address target"; its replies are
/// given in order, and the last one repeats.
class scripted_environment {
public:
    scripted_environment();

    /// Adds a complete answer to \a call.
    void addAnswer(const std::string& call, int status, const std::string& body);
    /// Adds a failure with \a code: the reply is lost, or for UpstreamUnreachable the request was not sent.
    void addFailure(const std::string& call, result_code code);

    /// Number of calls made whose identification begins with \a prefix.
    std::size_t callCount(const std::string& prefix) const;

    std::ostringstream output;
    std::ostringstream errors;
    /// All requests that were sent, in order.
    std::vector<http_request> requests;
    command_environment environment;

private:
    http_reply exchange(const std::string& address, const http_request& request);

    std::map<std::string, std::deque<http_reply>> m_replies;
    std::vector<std::string> m_calls;
};

/// Valid body of an entry with the queue limit \a queue.
std::string entryBody(int queue);

}

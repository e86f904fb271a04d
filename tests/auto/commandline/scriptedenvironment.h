#pragma once

#include <commandline/commandenvironment.h>

#include <deque>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace ragwortreach {

/// Environment whose daemons answer by a script: "METHOD address target" to replies in order. The last one repeats.
class scripted_environment {
public:
    scripted_environment();

    void answer(const std::string& call, int status, const std::string& body);
    /// The reply is lost after the request was sent, or the daemon is not there at all.
    void lose(const std::string& call, result_code code);

    /// Number of calls whose key begins with \a prefix.
    std::size_t calls(const std::string& prefix) const;

    std::ostringstream output;
    std::ostringstream errors;
    std::vector<http_request> requests;
    command_environment environment;

private:
    http_reply exchange(const std::string& address, const http_request& request);

    std::map<std::string, std::deque<http_reply>> m_script;
    std::vector<std::string> m_calls;
};

/// Valid body of an entry with a queue of \a queue.
std::string entryBody(int queue);

}

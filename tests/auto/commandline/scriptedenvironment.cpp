#include "scriptedenvironment.h"

#include <algorithm>

namespace ragwortreach {

scripted_environment::scripted_environment()
    : environment { [this](std::span<const addressed_request> calls) {
                       std::vector<http_reply> replies;
                       for (const addressed_request& call : calls)
                           replies.push_back(exchange(call.address, call.request));
                       return replies;
                   },
        [](std::chrono::milliseconds) {}, [] { return std::uint64_t(10000000); }, [] { return std::string("record-1"); },
        output, errors, output_format::Text, "a", "mart" }
{
}

void scripted_environment::addAnswer(const std::string& call, int status, const std::string& body)
{
    m_replies[call].push_back({ {}, { status, {}, body } });
}

void scripted_environment::addFailure(const std::string& call, result_code code)
{
    m_replies[call].push_back({ { code, "no answer." }, {} });
}

std::size_t scripted_environment::callCount(const std::string& prefix) const
{
    return static_cast<std::size_t>(std::count_if(
        m_calls.begin(), m_calls.end(), [&prefix](const std::string& call) { return call.starts_with(prefix); }));
}

http_reply scripted_environment::exchange(const std::string& address, const http_request& request)
{
    const std::string call = request.method + ' ' + address + ' ' + request.target;
    m_calls.push_back(call);
    requests.push_back(request);
    std::deque<http_reply>& replies = m_replies[call];
    if (replies.empty())
        return { { result_code::UpstreamUnreachable, "nothing listens." }, {} };
    http_reply reply = replies.front();
    if (replies.size() > 1)
        replies.pop_front();
    return reply;
}

std::string entryBody(int queue)
{
    return R"({"owner":"pitsinurk","class":"customer","kind":"service","upstream":"bobbin-shop","limits":{"queue":)" + std::to_string(queue) + "}}";
}

}

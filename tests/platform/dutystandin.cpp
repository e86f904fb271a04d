#include "dutystandin.h"

#include <stdexcept>

namespace ragwortreach::Tests {

using nlohmann::json;

duty_standin::duty_standin(boost::asio::io_context& context)
    : m_server(
        context, {}, [this](const http_exchange& exchange) { answer(exchange); }, [](std::error_code) { return http_response { 400, {}, {} }; })
{
    if (m_server.listen({ "127.0.0.1", 0 }))
        throw std::runtime_error("The stand-in of the platform's interface cannot listen.");
}

std::string duty_standin::address() const
{
    return "127.0.0.1:" + std::to_string(m_server.port());
}

std::uint64_t duty_standin::requestsOf(const std::string& organisation) const
{
    std::uint64_t sum = 0;
    for (const std::pair<const std::uint64_t, json>& window : m_windows)
        sum += window.second.value(organisation, std::uint64_t { 0 });
    return sum;
}

void duty_standin::answer(const http_exchange& exchange)
{
    const http_request& request = exchange.request();
    duty_record call;
    call.path = request.target;
    call.holder = headerValue(request.headers, "Duty-Holder").value_or("");
    call.fencingToken = std::stoull(std::string(headerValue(request.headers, "Fencing-Token").value_or("0")));
    call.text = request.body.view();
    std::uint64_t& highest = m_highestTokens[call.path];
    m_lowerTokens += call.fencingToken < highest ? 1 : 0;
    highest = std::max(highest, call.fencingToken);
    call.isCarriedOut = m_behaviour != duty_behaviour::TooMany;
    if (call.isCarriedOut)
        carryOut(call);
    m_calls.push_back(call);
    switch (m_behaviour) {
    case duty_behaviour::Accepting:
        exchange.respond({ 200, {}, {} });
        return;
    case duty_behaviour::TooMany:
        exchange.respond({ 429, {}, {} });
        return;
    case duty_behaviour::Silent:
        m_unanswered.push_back(exchange);
        return;
    }
}

void duty_standin::carryOut(const duty_record& call)
{
    if (call.path != "/usage")
        return;
    const json body = call.body();
    const auto added = m_windows.emplace(body.at("window_id").get<std::uint64_t>(), body.at("counts"));
    m_conflicts += added.first->second == body.at("counts") ? 0 : 1;
}

}

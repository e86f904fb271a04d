#include "scorerstandin.h"

#include "tokensource.h"

using nlohmann::json;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::uint64_t rewardSteps = 1000;

}

scorer_standin::scorer_standin(boost::asio::io_context& context, const json& settings)
    : m_controls(settings.value("faults", json::object()))
    , m_server(context, settings.value("listen", "127.0.0.1:0"), [this](const http_connection_ptr& connection) { handle(connection); })
{
}

void scorer_standin::handle(const http_connection_ptr& connection)
{
    if (m_controls.handle(connection) || m_controls.handleOutage(connection, "/outage"))
        return;
    const json body = connection->request().json();
    const std::string sample = body.value("sample_id", "");
    m_controls.countExecution(connection->request(), sample);
    if (m_controls.take("/never"))
        return;
    const std::uint64_t steps = tokenAt(body.value("token_ids", json::array()).dump(), 0, 0) % rewardSteps;
    const http_answer scored { 200, { { "sample_id", sample }, { "reward", static_cast<double>(steps) / rewardSteps } } };
    const std::chrono::milliseconds latency = m_controls.delay("/latency_ms") * (m_controls.isOn("/twice_latency") ? 2 : 1);
    const bool isTwice = m_controls.take("/answer_twice");
    m_server.after(latency, [connection, scored, isTwice] {
        if (isTwice)
            connection->answerTwice(scored);
        else
            connection->answer(scored);
    });
}

}

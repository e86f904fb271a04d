#include "standinset.h"

using nlohmann::json;

namespace ragwortreach::StandIns {

namespace {

    /// Rewards are multiples of 1 / rewardSteps.
    constexpr std::uint64_t rewardSteps = 1000;

    /// Stand-in of a plain service; startService() documents its settings and faults.
    class service_standin {
    public:
        service_standin(boost::asio::io_context& context, const json& settings)
            : m_server(context, settings, [this](const http_connection_ptr& connection) { handle(connection); })
            , m_service(settings.value("service", "service"))
        {
        }

        standin_server& server() { return m_server; }

    private:
        void handle(const http_connection_ptr& connection)
        {
            standin_controls& controls = m_server.controls();
            if (controls.consume("/refuse_unrun")) {
                controls.count("refused");
                connection->answer({ 503, { { "error", "refused" } }, { { "X-Upstream-Ran", "no" } } });
                return;
            }
            if (controls.consume("/die_before_run")) {
                connection->close();
                return;
            }
            const http_request& request = connection->request();
            const std::uint64_t execution = controls.countExecution(request, std::string(request["X-Request-Id"]));
            const http_answer complete { 200, { { "service", m_service }, { "execution", execution }, { "path", requestPath(request) }, { "body_bytes", request.body().size() } } };
            m_server.after(controls.delay("/latency_ms"), [this, connection, complete] { answer(connection, complete); });
        }

        void answer(const http_connection_ptr& connection, const http_answer& answer)
        {
            if (m_server.controls().consume("/die_before_answer"))
                connection->close();
            else if (m_server.controls().consume("/die_mid_body"))
                connection->answer(answer, answer_delivery::Truncated);
            else
                connection->answer(answer, m_server.controls().consume("/answer_twice") ? answer_delivery::Duplicated : answer_delivery::Complete);
        }

        standin_server m_server;
        std::string m_service;
    };

    /// Stand-in of a scorer; startScorer() documents its faults.
    class scorer_standin {
    public:
        scorer_standin(boost::asio::io_context& context, const json& settings)
            : m_server(context, settings, [this](const http_connection_ptr& connection) { handle(connection); })
        {
        }

        standin_server& server() { return m_server; }

    private:
        void handle(const http_connection_ptr& connection)
        {
            standin_controls& controls = m_server.controls();
            if (controls.refuseInOutage(connection, "/outage"))
                return;
            const json body = requestJson(connection->request());
            const std::string sample = body.value("sample_id", "");
            controls.countExecution(connection->request(), sample);
            if (controls.consume("/never"))
                return;
            const std::uint64_t steps = tokenAt(body.value("token_ids", json::array()).dump(), 0, 0) % rewardSteps;
            const http_answer scored { 200, { { "sample_id", sample }, { "reward", static_cast<double>(steps) / rewardSteps } } };
            const answer_delivery delivery = controls.consume("/answer_twice") ? answer_delivery::Duplicated : answer_delivery::Complete;
            m_server.after(controls.delay("/latency_ms") * (controls.isOn("/twice_latency") ? 2 : 1),
                [connection, scored, delivery] { connection->answer(scored, delivery); });
        }

        standin_server m_server;
    };

}

standin_server_ptr startService(boost::asio::io_context& context, const json& settings)
{
    const std::shared_ptr<service_standin> standin = std::make_shared<service_standin>(context, settings);
    return { standin, &standin->server() };
}

standin_server_ptr startScorer(boost::asio::io_context& context, const json& settings)
{
    const std::shared_ptr<scorer_standin> standin = std::make_shared<scorer_standin>(context, settings);
    return { standin, &standin->server() };
}

}

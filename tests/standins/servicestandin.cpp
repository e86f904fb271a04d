#include "servicestandin.h"

using nlohmann::json;

namespace ragwortreach::StandIns {

service_standin::service_standin(boost::asio::io_context& context, const json& settings)
    : m_controls(settings.value("faults", json::object()))
    , m_service(settings.value("service", "service"))
    , m_server(context, settings.value("listen", "127.0.0.1:0"), [this](const http_connection_ptr& connection) { handle(connection); })
{
}

void service_standin::handle(const http_connection_ptr& connection)
{
    if (m_controls.handle(connection))
        return;
    if (m_controls.take("/refuse_unrun")) {
        m_controls.count("refused");
        connection->answer({ 503, { { "error", "refused" } }, { { "X-Upstream-Ran", "no" } } });
        return;
    }
    if (m_controls.take("/die_before_run")) {
        connection->close();
        return;
    }
    const http_request& request = connection->request();
    const std::uint64_t execution = m_controls.countExecution(request, request.header("x-request-id"));
    const http_answer whole { 200, { { "service", m_service }, { "execution", execution }, { "path", request.path }, { "body_bytes", request.body.size() } } };
    m_server.after(m_controls.delay("/latency_ms"), [this, connection, whole] { answer(connection, whole); });
}

void service_standin::answer(const http_connection_ptr& connection, const http_answer& answer)
{
    if (m_controls.take("/die_before_answer"))
        connection->close();
    else if (m_controls.take("/die_mid_body"))
        connection->answerTruncated(answer);
    else if (m_controls.take("/answer_twice"))
        connection->answerTwice(answer);
    else
        connection->answer(answer);
}

}

#pragma once

#include <net/httpserver.h>

#include <functional>
#include <string>
#include <string_view>

namespace ragwortreach {

class daemon_core;
class timeline;

/// Edit as an operator submits it.
struct submitted_edit {
    std::string recordId;
    /// Record for the stream `catalogue`.
    std::string data;
};

/// Routes of the port for operators and for the monitoring.
class admin_routes {
public:
    using edit_handler = std::function<void(const http_exchange&, submitted_edit)>;

    admin_routes(const daemon_core& core, const timeline& events, std::function<std::string()> metricsText, edit_handler onEdit);

    void handle(const http_exchange& exchange);

private:
    void handleCatalogue(const http_exchange& exchange, std::string_view rest);
    void handleEdit(const http_exchange& exchange);
    void handleConfirmations(const http_exchange& exchange);
    void handleTimeline(const http_exchange& exchange);
    http_response answerProbe(std::string_view path) const;

    const daemon_core& m_core;
    const timeline& m_timeline;
    std::function<std::string()> m_metricsText;
    edit_handler m_onEdit;
};

}

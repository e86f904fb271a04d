#pragma once

#include <net/httpserver.h>

#include <functional>
#include <string>
#include <string_view>

namespace ragwortreach {

class daemon_core;
class timeline;

/// Catalogue edit that an operator has submitted.
struct submitted_edit {
    std::string recordId;
    /// Record to append to the stream `catalogue`, as JSON text.
    std::string data;
};

/// HTTP routes of the admin port: health probes, metrics, status, time line and catalogue.
class admin_routes {
public:
    /// Receives a submitted edit; the exchange is answered later.
    using edit_handler = std::function<void(const http_exchange&, submitted_edit)>;

    admin_routes(const daemon_core& core, const timeline& events, std::function<std::string()> metricsText, edit_handler onEdit);

    /// Answers the request of \a exchange, or passes an edit to the edit handler.
    void handle(const http_exchange& exchange);

private:
    /// Handles the routes below /v1/catalogue; \a rest is the path after it.
    void handleCatalogue(const http_exchange& exchange, std::string_view rest);
    void handleEdit(const http_exchange& exchange);
    void handleConfirmations(const http_exchange& exchange);
    void handleTimeline(const http_exchange& exchange);
    /// Answer to /healthz or /readyz.
    http_response answerProbe(std::string_view path) const;

    const daemon_core& m_core;
    const timeline& m_timeline;
    std::function<std::string()> m_metricsText;
    edit_handler m_onEdit;
};

}

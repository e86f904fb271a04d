#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach::StandIns {

class http_connection;
using http_connection_ptr = boost::intrusive_ptr<http_connection>;
using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using request_handler = std::function<void(const http_connection_ptr&)>;

/// Path of the request without the query.
std::string requestPath(const http_request& request);
/// Value of the numeric query parameter \a name, or \a fallback when it is missing.
std::uint64_t queryNumber(const http_request& request, std::string_view name, std::uint64_t fallback);
/// The body as JSON; an empty object when it is not a JSON object.
nlohmann::json requestJson(const http_request& request);

/// How an answer is sent. Truncated announces the length of the full body, sends half of it and closes the connection.
enum class answer_delivery {
    Complete,
    Duplicated,
    Truncated,
};

/// Response of a stand-in with a JSON body.
struct http_answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
    std::vector<std::pair<std::string, std::string>> headers = {};
};

/// Server side of one keep-alive connection. Passes each request to the handler, which has to answer it exactly once,
/// immediately or later. Reads the next request after the answer has been sent.
class http_connection : public boost::intrusive_ref_counter<http_connection>,
                        public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    http_connection(boost::asio::ip::tcp::socket socket, request_handler handler);

    /// Reads the next request.
    void read();
    const http_request& request() const { return m_parser->get(); }
    /// False as soon as either side has closed the connection.
    bool isOpen() const { return m_socket.is_open(); }
    void answer(const http_answer& answer, answer_delivery delivery = answer_delivery::Complete);
    /// Starts a body of server-sent events.
    void beginEvents();
    void sendEvent(std::string_view data);
    /// Ends the body of server-sent events.
    void endEvents();
    void close();

private:
    void handleRequest();
    /// Closes the connection when the peer closes it before the answer ends.
    void watchForPeerClose();
    /// Queues \a bytes for writing; closes the connection when too many writes are queued.
    void send(std::string bytes);
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    request_handler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::deque<std::string> m_outgoing;
    std::uint64_t m_requestNumber = 0;
    bool m_isAnswered = true;
    bool m_keepsAlive = true;
};

}

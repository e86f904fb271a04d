#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortreach::StandIns {

class http_connection;
using http_connection_ptr = boost::intrusive_ptr<http_connection>;
using request_handler = std::function<void(const http_connection_ptr&)>;

/// A request as a stand-in sees it.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Header fields; the names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of the field \a name (lower case), or an empty text.
    std::string header(const std::string& name) const;
    /// Number in the query under \a name, or \a fallback.
    std::uint64_t number(const std::string& name, std::uint64_t fallback) const;
    /// The body as JSON; an empty object when it is not JSON.
    nlohmann::json json() const;
};

/// One whole answer.
struct http_answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
    std::vector<std::pair<std::string, std::string>> headers = {};
};

/// Server side of one connection. It carries one request at a time.
///
/// The handler is called for each request and answers at once or later, exactly once.
class http_connection : public boost::intrusive_ref_counter<http_connection>,
                        public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    http_connection(boost::asio::ip::tcp::socket socket, request_handler handler);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// Reads the next request.
    void read();
    const http_request& request() const { return m_request; }
    /// False as soon as either side has closed the connection.
    bool isOpen() const { return m_socket.is_open(); }

    void answer(const http_answer& answer);
    /// Sends the same answer twice, as a confused server does.
    void answerTwice(const http_answer& answer);
    /// Announces the whole body, sends half of it and closes.
    void answerTruncated(const http_answer& answer);

    /// Starts a body of server-sent events.
    void beginEvents();
    void sendEvent(std::string_view data);
    void endEvents();

    void close();

private:
    struct reader;

    void takeRequest();
    void watchPeer();
    void send(std::string bytes);
    void writeNext();
    void finishAnswer();
    std::string serialized(const http_answer& answer) const;

    boost::asio::ip::tcp::socket m_socket;
    request_handler m_handler;
    std::unique_ptr<reader> m_reader;
    http_request m_request;
    std::deque<std::string> m_outgoing;
    std::uint64_t m_requestNumber = 0;
    bool m_isAnswered = true;
    bool m_closesAfterWrite = false;
};

}

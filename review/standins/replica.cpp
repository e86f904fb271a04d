#include "replica.h"

#include "record.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

    constexpr milliseconds heartbeat { 1200 };
    /// 800 Mbit/s; the link of a machine has 1,000.
    constexpr std::size_t linkBytesPerMicrosecond = 100;

    std::string chunk(const std::string& bytes)
    {
        char size[20];
        snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

}

std::string eventData(const std::string& item, int event)
{
    return item + "-token-" + std::to_string(event);
}

std::string wholeText(const std::string& item, int events)
{
    std::string text;
    for (int event = 1; event <= events; ++event)
        text += (event > 1 ? "\n" : "") + eventData(item, event);
    return text;
}

replica::replica(store& platform, replica_options options)
    : m_platform(platform)
    , m_options(std::move(options))
    , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_random(static_cast<unsigned>(std::hash<std::string> {}(m_options.id)))
{
    m_server = std::make_unique<server>([this](connection& peer, const http_message& request) { return answer(peer, request); });
    beat();
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(heartbeat);
            if (!m_isDown)
                beat();
        }
    }).detach();
}

void replica::beat()
{
    const json entry { { "service", m_options.service }, { "address", m_server->address() }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", m_options.slots },
        { "state", "ready" }, { "cold_left_ms", 0 }, { "phase", "both" }, { "models", json::parse(modelsAsJson()) }, { "seq_no", ++m_beats }, { "born", m_born.load() } };
    m_platform.put("keyed.servers", m_options.id, entry.dump());
}

std::string replica::modelsAsJson() const
{
    json list = json::array();
    for (const std::string& model : m_options.models)
        list.push_back({ { "name", model }, { "version", m_version.load() }, { "adapter_ids", json::array() } });
    return list.dump();
}

std::vector<std::pair<std::string, std::string>> replica::headersFor(const http_message& request) const
{
    const std::string id = request.header("Request-Id");
    return { { "Request-Id", id }, { "Server-Stamp", m_options.id + "." + id } };
}

bool replica::answer(connection& peer, const http_message& request)
{
    if (m_isDown)
        return false;
    const std::string expected = request.header("Expect-Instance");
    if (!expected.empty() && expected != m_options.id)
        return peer.send(responseText(421, { { "Instance-Id", m_options.id } }, ""));
    if (request.path() == "/healthz")
        return peer.send(responseText(200, { { "Instance-Id", m_options.id } }, ""));
    if (request.path() == "/api/report") {
        const json report { { "phase", "both" }, { "models", json::parse(modelsAsJson()) }, { "busy", false }, { "seq_no", m_orders.load() }, { "queued", 0 }, { "active", m_active.load() },
            { "kv_used", 0 }, { "kv_total", 90000 }, { "supported", 0 } };
        return peer.send(responseText(200, { { "Content-Type", "application/json" } }, report.dump()));
    }
    if (m_active.fetch_add(1) >= m_options.slots) {
        --m_active;
        return peer.send(responseText(503, { { "Not-Executed", "1" }, { "Request-Id", request.header("Request-Id") } }, ""));
    }
    ++m_runs;
    if (request.body == "deadly") {
        record("request " + request.header("Request-Id") + " ends replica " + m_options.id);
        peer.reset();
        crash();
        --m_active;
        return false;
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_begun[request.header("Request-Id")];
    }
    const bool goesOn = isSpoiled(m_endlessShare) ? sendEndless(peer, request) : m_options.models.empty() ? runPlain(peer, request) : runItem(peer, request);
    --m_active;
    return goesOn;
}

bool replica::runItem(connection& peer, const http_message& request)
{
    const std::string item = request.header("Request-Id");
    const std::string after = request.header("Last-Event-Id");
    const bool isUnframed = isSpoiled(m_unframedShare);
    m_unframed += isUnframed ? 1 : 0;
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWeight-Versions: " + std::to_string(m_version.load()) + "\r\n";
    for (const auto& [name, value] : headersFor(request))
        head += name + ": " + value + "\r\n";
    head += isUnframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
    bool isSent = peer.send(head);
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    for (int event = first; event <= m_options.eventsPerItem && isSent; ++event) {
        std::this_thread::sleep_for(m_options.eventPause);
        const std::string bytes = "id: " + std::to_string(event) + "\ndata: " + eventData(item, event) + "\n\n";
        isSent = !peer.isClosedByPeer() && peer.send(isUnframed ? bytes : chunk(bytes));
    }
    if (isUnframed)
        record("replica " + m_options.id + " answered item " + item + " without a length, from event " + std::to_string(first) + (isSent ? " to its last one" : ", until its connection was closed"));
    return isSent && !isUnframed && peer.send("0\r\n\r\n");
}

bool replica::isSpoiled(double share)
{
    const std::lock_guard lock(m_mutex);
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

/// Sends a chunk whose size line does not end. All replicas together stay within the link of one machine.
bool replica::sendEndless(connection& peer, const http_message& request)
{
    constexpr std::size_t pieceBytes = 65536;
    constexpr std::chrono::microseconds pieceTime { pieceBytes / linkBytesPerMicrosecond };
    static std::mutex link;
    static clock::time_point linkFreeAt;
    ++m_endlessAnswers;
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWeight-Versions: " + std::to_string(m_version.load()) + "\r\n";
    for (const auto& [name, value] : headersFor(request))
        head += name + ": " + value + "\r\n";
    record("replica " + m_options.id + " begins bytes without end to item " + request.header("Request-Id"));
    bool isSent = peer.send(head + "Transfer-Encoding: chunked\r\n\r\n5;");
    const std::string piece(pieceBytes, 'x');
    std::size_t sent = 0;
    while (isSent) {
        clock::time_point mayBegin;
        {
            const std::lock_guard lock(link);
            mayBegin = std::max(clock::now(), linkFreeAt);
            linkFreeAt = mayBegin + pieceTime;
        }
        std::this_thread::sleep_until(mayBegin);
        isSent = peer.send(piece);
        sent += piece.size();
    }
    record("replica " + m_options.id + " sees the connection of item " + request.header("Request-Id") + " closed after " + std::to_string(sent) + " bytes");
    return false;
}

void replica::crash()
{
    constexpr std::chrono::seconds downTime { 2 };
    ++m_crashes;
    m_isDown = true;
    m_server->stopListening();
    std::thread([this, downTime] {
        std::this_thread::sleep_for(downTime);
        // The former server stays, since its connections may still be served to their end.
        m_server.release();
        m_server = std::make_unique<server>([this](connection& peer, const http_message& request) { return answer(peer, request); });
        m_born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_beats = 0;
        m_isDown = false;
        beat();
    }).detach();
}

bool replica::sendEvenly(connection& peer, const http_message& request, milliseconds work)
{
    constexpr int pieces = 50;
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : headersFor(request))
        head += name + ": " + value + "\r\n";
    const std::size_t pieceBytes = m_options.answerBytes / pieces;
    bool isSent = peer.send(head + "Content-Length: " + std::to_string(pieces * pieceBytes) + "\r\n\r\n");
    const clock::time_point begin = clock::now();
    for (int piece = 1; piece <= pieces && isSent; ++piece) {
        std::this_thread::sleep_until(begin + work * piece / pieces);
        isSent = peer.send(std::string(pieceBytes, 'a'));
    }
    const auto took = std::chrono::duration_cast<milliseconds>(clock::now() - begin).count();
    if (!isSent)
        record("replica " + m_options.id + " sees the connection of request " + request.header("Request-Id") + " closed after " + std::to_string(took) + " of " + std::to_string(work.count()) + " ms");
    return isSent;
}

bool replica::runPlain(connection& peer, const http_message& request)
{
    const milliseconds work { static_cast<int>(std::atoi(request.body.c_str()) * m_slowness) };
    if (m_options.answerBytes != 0)
        return sendEvenly(peer, request, work);
    const clock::time_point end = clock::now() + work;
    record("replica " + m_options.id + " begins request " + request.header("Request-Id") + ", works " + request.body + " ms, Deadline-Ms " + request.header("Deadline-Ms"));
    while (clock::now() < end) {
        if (peer.isClosedByPeer()) {
            record("replica " + m_options.id + " sees the connection of request " + request.header("Request-Id") + " closed");
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    record("replica " + m_options.id + " answers request " + request.header("Request-Id"));
    return peer.send(responseText(200, headersFor(request), "parcel " + request.header("Request-Id")));
}

std::map<std::string, int> replica::begun()
{
    const std::lock_guard lock(m_mutex);
    return m_begun;
}

}

#include "standinset.h"

#include <algorithm>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

using nlohmann::json;
using steady_clock = std::chrono::steady_clock;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::size_t maxVmLists = 64;
    constexpr std::uint64_t defaultReadRecords = 500;

    /// Counts calls in fixed windows of one second.
    struct rate_limit {
        /// Counts one call; returns false when it exceeds \a perSecond calls in this window. 0 means no limit.
        bool admit(std::int64_t perSecond)
        {
            const steady_clock::time_point now = steady_clock::now();
            if (now - windowStart >= std::chrono::seconds(1)) {
                windowStart = now;
                calls = 0;
            }
            return perSecond <= 0 || calls++ < perSecond;
        }

        steady_clock::time_point windowStart;
        std::int64_t calls = 0;
    };

    /// Records of one log stream. Record ids are not checked: the same id appended twice gives two records.
    struct stream_records {
        /// Offset after the newest record.
        std::uint64_t end() const { return first + records.size(); }

        /// Drops the oldest records until at most \a count are left.
        void retain(std::size_t count)
        {
            for (; records.size() > count; ++first)
                records.pop_front();
        }

        /// Offset of the oldest record that is retained.
        std::uint64_t first = 0;
        std::deque<json> records;
    };

    /// Long poll of a stream that has no records at or after \c from yet.
    struct waiting_read {
        http_connection_ptr connection;
        std::string stream;
        std::uint64_t from = 0;
        std::size_t max = 0;
    };

    /// A VM list and the time at which it was set.
    struct vm_list_change {
        steady_clock::time_point time;
        json list;
    };

    /// Stand-in of the platform; startPlatform() documents its settings and faults.
    class platform_standin {
    public:
        platform_standin(boost::asio::io_context& context, const json& settings)
            : m_server(
                context, settings, [this](const http_connection_ptr& connection) { handle(connection); }, [this] { faultsChanged(); })
            , m_models(settings.value("models", json::object()))
        {
            setVms({ { "vms", settings.value("vms", json::array()) } });
        }

        standin_server& server() { return m_server; }

    private:
        void handle(const http_connection_ptr& connection)
        {
            std::istringstream path(requestPath(connection->request()).substr(1));
            std::string collection;
            std::string id;
            std::string action;
            std::getline(path, collection, '/');
            std::getline(path, id, '/');
            std::getline(path, action);
            if (collection == "vms")
                handleVms(connection);
            else if (collection == "streams" && action == "records")
                handleStream(connection, id);
            else if (collection == "models")
                handleModel(connection, id, action);
            else if (collection == "_standin" && id == "vms") {
                setVms(requestJson(connection->request()));
                connection->answer({ 200, m_vmLists.back().list });
            } else
                connection->answer({ 404, { { "error", "unknown path" } } });
        }

        void handleStream(const http_connection_ptr& connection, const std::string& stream)
        {
            if (controls().refuseInOutage(connection, "/log/outage"))
                return;
            if (connection->request().method() == boost::beast::http::verb::post)
                append(connection, stream);
            else
                read(connection, stream);
        }

        void append(const http_connection_ptr& connection, const std::string& stream)
        {
            const json records = requestJson(connection->request()).value("records", json::array());
            if (records.empty() || !m_appendRate.admit(controls().number("/log/appends_per_second"))) {
                refuse(connection, records.empty() ? 400 : 429);
                return;
            }
            stream_records& target = m_streams[stream];
            const std::uint64_t first = target.end();
            for (const json& record : records)
                target.records.push_back({ { "offset", target.end() }, { "id", record.value("id", "") }, { "data", record.value("data", json()) } });
            const std::uint64_t next = target.end();
            target.retain(retention());
            controls().countExecution(connection->request());
            if (controls().consume("/log/lose_reply_after_write"))
                connection->close();
            else
                m_server.answerAfter(controls().delay("/log/latency_ms"), connection, { 200, { { "first", first }, { "next", next } } });
            answerWaitingReads(stream);
        }

        void read(const http_connection_ptr& connection, const std::string& stream)
        {
            const http_request& request = connection->request();
            const std::uint64_t waitMs = queryNumber(request, "wait_ms", 0);
            const waiting_read wait { connection, stream, queryNumber(request, "from", 0), queryNumber(request, "max", defaultReadRecords) };
            controls().count("reads");
            if (waitMs == 0 || wait.from < m_streams[stream].end()) {
                answerRead(wait);
                return;
            }
            const std::uint64_t readNumber = m_nextReadNumber++;
            m_waitingReads.emplace(readNumber, wait);
            m_server.after(std::chrono::milliseconds(waitMs), [this, readNumber] {
                const std::map<std::uint64_t, waiting_read>::node_type found = m_waitingReads.extract(readNumber);
                if (!found.empty())
                    answerRead(found.mapped());
            });
        }

        void answerRead(const waiting_read& wait)
        {
            if (controls().refuseInOutage(wait.connection, "/log/outage"))
                return;
            const stream_records& stream = m_streams[wait.stream];
            const json gap = controls().value("/log/gap");
            const bool hasGap = gap.is_object() && gap.value("stream", "") == wait.stream;
            json records = json::array();
            std::uint64_t next = std::max(wait.from, stream.first);
            for (; next < stream.end() && records.size() < wait.max; ++next) {
                if (!hasGap || next < gap.value("first", 0U) || next >= gap.value("last", 0U))
                    records.push_back(stream.records[next - stream.first]);
            }
            http_answer answer { 200, { { "first_retained", stream.first }, { "next", next }, { "end", stream.end() }, { "records", records } } };
            if (wait.from < stream.first)
                answer = { 410, { { "first_retained", stream.first }, { "end", stream.end() } } };
            m_server.answerAfter(controls().delay("/log/latency_ms"), wait.connection, answer);
        }

        /// Answers the long polls of \a stream, or those of all streams when \a stream is empty.
        void answerWaitingReads(const std::string& stream)
        {
            for (std::map<std::uint64_t, waiting_read>::iterator it = m_waitingReads.begin(); it != m_waitingReads.end();) {
                const bool isAffected = stream.empty() || it->second.stream == stream;
                if (isAffected)
                    answerRead(it->second);
                it = isAffected ? m_waitingReads.erase(it) : std::next(it);
            }
        }

        /// Applies the faults of the log that take effect without a request: retention and outage.
        void faultsChanged()
        {
            for (std::pair<const std::string, stream_records>& stream : m_streams)
                stream.second.retain(retention());
            if (controls().isOn("/log/outage"))
                answerWaitingReads("");
        }

        /// Makes \a list the newest VM list; gives it the next revision when it names none.
        void setVms(json list)
        {
            m_vmRevision = list.value("revision", m_vmRevision + 1);
            list["revision"] = m_vmRevision;
            m_vmLists.push_back({ steady_clock::now(), std::move(list) });
            if (m_vmLists.size() > maxVmLists)
                m_vmLists.pop_front();
        }

        void handleVms(const http_connection_ptr& connection)
        {
            if (controls().refuseInOutage(connection, "/vm_list/outage"))
                return;
            const steady_clock::time_point visible = steady_clock::now() - controls().delay("/vm_list/lag_ms");
            std::size_t index = m_vmLists.size() - 1;
            while (index > 0 && m_vmLists[index].time > visible)
                --index;
            const std::size_t older = controls().number("/vm_list/older_revision");
            connection->answer({ 200, m_vmLists[index - std::min(index, older)].list });
        }

        /// Weight store: lists or adds the versions of \a model, or admits a load of one.
        void handleModel(const http_connection_ptr& connection, const std::string& model, const std::string& action)
        {
            if (controls().refuseInOutage(connection, "/weight_store/outage"))
                return;
            const bool isPost = connection->request().method() == boost::beast::http::verb::post;
            const json body = requestJson(connection->request());
            const json version = { { "base", body.value("base", 0) }, { "adapter", body.value("adapter", 0) } };
            json& versions = m_models[model];
            const bool isKnown = std::find(versions.begin(), versions.end(), version) != versions.end();
            if (action == "loads") {
                if (!m_loadRate.admit(controls().number("/weight_store/rate_per_second"))) {
                    controls().count("loads_refused");
                    refuse(connection, 429);
                    return;
                }
                controls().countExecution(connection->request());
            } else if (isPost && !isKnown) {
                versions.push_back(version);
                std::sort(versions.begin(), versions.end(), [](const json& left, const json& right) {
                    return std::pair(left["base"], left["adapter"]) < std::pair(right["base"], right["adapter"]);
                });
            }
            m_server.answerAfter(controls().delay("/weight_store/latency_ms"), connection,
                { 200, { { "model", model }, { "versions", versions.is_null() ? json::array() : versions } } });
        }

        static void refuse(const http_connection_ptr& connection, int status)
        {
            connection->answer({ status, { { "error", "refused" } }, { { "Retry-After", "1" } } });
        }

        std::size_t retention() { return controls().number("/log/retention_records", std::numeric_limits<std::int64_t>::max()); }
        standin_controls& controls() { return m_server.controls(); }

        standin_server m_server;
        std::map<std::string, stream_records> m_streams;
        std::map<std::uint64_t, waiting_read> m_waitingReads;
        std::uint64_t m_nextReadNumber = 0;
        std::deque<vm_list_change> m_vmLists;
        std::uint64_t m_vmRevision = 0;
        json m_models;
        rate_limit m_appendRate;
        rate_limit m_loadRate;
    };

}

standin_server_ptr startPlatform(boost::asio::io_context& context, const json& settings)
{
    const std::shared_ptr<platform_standin> standin = std::make_shared<platform_standin>(context, settings);
    return { standin, &standin->server() };
}

}

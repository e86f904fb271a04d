#pragma once

#include <net/httpserver.h>
#include <rollout/sharedlog.h>

#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <string>
#include <vector>

namespace ragwortreach::Tests {

/// How the store answers.
enum class store_behaviour {
    Serving,
    /// Says that nothing was done.
    Refusing,
    /// Carries appends out and answers nothing.
    Mute,
};

/// The platform's log of keyed topics on a port, with what the daemon asks of it. For the thread of its io_context.
class store_standin {
public:
    explicit store_standin(boost::asio::io_context& context);

    std::string address() const;
    void setBehaviour(store_behaviour behaviour) { m_behaviour = behaviour; }
    /// The pages of \a topic come half a second late from now on.
    void setSlowPages(const std::string& topic) { m_slowTopic = topic; }
    /// Writes as another writer.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Drops the history of all topics.
    void compact();
    /// Newest values of a topic's keys, over all partitions.
    std::size_t keys(const std::string& topic) const;

private:
    struct partition {
        std::vector<keyed_record> records;
        std::uint64_t firstRetained = 0;
        /// Number of the next append and first offset of the last one, by producer.
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> producers;
    };
    struct waiting_read {
        http_exchange exchange;
        std::string where;
        std::uint64_t from = 0;
        std::chrono::steady_clock::time_point due;
    };

    void answer(const http_exchange& exchange);
    void append(const http_exchange& exchange);
    void read(const http_exchange& exchange);
    void newest(const http_exchange& exchange);
    void answerLatePages();
    void answerWaiting(bool isAll);
    void respondRecords(const waiting_read& read);
    void tick();

    http_server m_server;
    boost::asio::steady_timer m_timer;
    store_behaviour m_behaviour = store_behaviour::Serving;
    std::map<std::string, partition> m_partitions;
    std::list<waiting_read> m_waiting;
    std::vector<http_exchange> m_unanswered;
    struct late_page {
        http_exchange exchange;
        std::chrono::steady_clock::time_point due;
    };
    std::list<late_page> m_latePages;
    std::string m_slowTopic;
};

}

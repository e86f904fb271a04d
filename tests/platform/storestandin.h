#pragma once

#include <net/httpserver.h>
#include <rollout/sharedlog.h>

#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortreach::Tests {

/// How the store handles requests.
enum class store_behaviour {
    Serving,
    /// Answers each request with status 503 and does nothing.
    Refusing,
    /// Performs appends, but sends no answers.
    Unresponsive,
};

/// How the store treats all requests that arrive at one of its addresses.
enum class store_access {
    Serving,
    /// Status 503.
    Busy,
    /// Status 429.
    TooManyRequests,
    /// The connection is reset.
    Resetting,
    /// No answer.
    Silent,
};

/// Stand-in of the log of the users' platform: keyed topics with the append, read and newest-values requests that
/// the daemon uses. May only be used on the thread of its io_context.
class store_standin {
public:
    explicit store_standin(boost::asio::io_context& context);

    /// Opens a further address of the same store, and returns it.
    std::string addAddress();
    /// Treats requests at \a address so from now on, but for reads that wait already.
    void setAccess(const std::string& address, store_access access);
    /// Answers reads of \a topic, of all topics when it is empty, with status 503 at \a address; at none when that is empty.
    void refuseReads(std::string address, std::string topic);
    /// Lists all replicas at \a replicaAddress to who reads the list at \a address; to nobody when that is empty.
    void redirectReplicas(std::string address, std::string replicaAddress);
    void setBehaviour(store_behaviour behaviour) { m_behaviour = behaviour; }
    /// Delays the pages of newest values of \a topic by half a second from now on.
    void setSlowPages(const std::string& topic) { m_slowTopic = topic; }
    /// From now on all answers to reads together get this rate, in the order of the requests and whether or not their
    /// callers still wait, and a page of newest values has as many keys as on the users' platform. With 0 they are sent at
    /// once again.
    void setReadRate(double bytesPerSecond);
    /// Bytes of the answers to reads at \a address so far, whether or not their callers still waited.
    std::uint64_t readBytes(const std::string& address) const;
    /// Appends a record to partition 0 of \a topic, as another writer would.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Compacts all topics: only the newest value of each key stays readable, and reads of older offsets get status
    /// 410.
    void compact();
    /// Number of keys of \a topic that have a value, in all partitions.
    std::size_t keyCount(const std::string& topic) const;

private:
    struct partition {
        std::vector<keyed_record> records;
        std::uint64_t firstRetained = 0;
        /// By producer: sequence number expected next, and first offset of its last append.
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> producers;
    };
    /// Long poll that waits for records at or after \c from.
    struct waiting_read {
        http_exchange exchange;
        /// Address at which the read arrived.
        std::string address;
        std::string partitionKey;
        std::uint64_t from = 0;
        /// Limit for the records of the answer, but for the first one.
        std::size_t maxBytes = 0;
        std::chrono::steady_clock::time_point deadline;
    };

    void answer(const http_exchange& exchange, const std::string& address);
    /// Refuses a request at \a address, or leaves it without an answer; false when it is to be served.
    bool turnAway(const http_exchange& exchange, const std::string& address);
    void append(const http_exchange& exchange);
    void read(const http_exchange& exchange, const std::string& address);
    void newest(const http_exchange& exchange, const std::string& address);
    /// \a record as it is shown at \a address.
    keyed_record shown(keyed_record record, const std::string& partitionKey, const std::string& address) const;
    void answerLatePages();
    /// Responds to a read at \a address, at the reading rate if one is set.
    void respondToRead(const http_exchange& exchange, const std::string& address, http_response response);
    void sendLateAnswers();
    /// Answers long polls that have records or whose deadline has passed; all of them when \a answersAll is set.
    void answerWaiting(bool answersAll);
    void respondRecords(const waiting_read& read);
    /// Every 10 ms: answers late pages and long polls, and drops held requests when the store is responsive again.
    void tick();

    boost::asio::io_context& m_context;
    std::vector<std::unique_ptr<http_server>> m_servers;
    std::map<std::string, store_access> m_access;
    /// Requests at silent addresses, by address.
    std::multimap<std::string, http_exchange> m_ignored;
    std::string m_refusingAddress;
    std::string m_refusedTopic;
    std::string m_redirectedAddress;
    std::string m_redirectedReplicas;
    boost::asio::steady_timer m_timer;
    store_behaviour m_behaviour = store_behaviour::Serving;
    std::map<std::string, partition> m_partitions;
    std::list<waiting_read> m_waiting;
    std::vector<http_exchange> m_unanswered;
    /// Request for a page of newest values that is answered late.
    struct late_page {
        http_exchange exchange;
        std::string address;
        std::chrono::steady_clock::time_point answerAt;
    };
    std::list<late_page> m_latePages;
    /// Answer that waits for its turn at the reading rate.
    struct late_answer {
        http_exchange exchange;
        http_response response;
        std::chrono::steady_clock::time_point sendAt;
    };
    std::list<late_answer> m_lateAnswers;
    double m_readRate = 0;
    /// By address.
    std::map<std::string, std::uint64_t> m_readBytes;
    std::chrono::steady_clock::time_point m_readsDoneAt {};
    std::size_t m_pageSize;
    std::string m_slowTopic;
};

}

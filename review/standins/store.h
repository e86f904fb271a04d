#pragma once

#include "http.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace review {

/// The platform's store: keyed topics with appends, reads and newest values, as the protocol page tells it. Each daemon
/// gets an address of its own, so that the store can turn away one machine and serve the others.
class store {
public:
    explicit store(std::size_t daemons);

    const std::string& address(std::size_t daemon) const { return m_doors[daemon]->listener->address(); }
    /// Turns a machine away: each of its calls gets 503, and nothing is done.
    void setBusy(std::size_t daemon, bool isBusy) { m_doors[daemon]->isBusy = isBusy; }
    /// Appends a record to partition 0 of \a topic, as the operator and the replicas do. The return is the
    /// acknowledgement.
    void put(const std::string& topic, const std::string& key, const std::string& value);

private:
    struct record {
        std::string key;
        std::string value;
        /// Key and value as they were sent.
        std::string content;
    };
    struct partition {
        std::vector<record> records;
        struct producer {
            std::uint64_t epoch = 0;
            std::uint64_t nextNumber = 0;
            /// First offsets of the last appends by number.
            std::map<std::uint64_t, std::uint64_t> offsets;
        };
        std::map<std::string, producer> producers;
    };
    struct door {
        std::unique_ptr<server> listener;
        std::atomic<bool> isBusy = false;
    };

    bool answer(door& entered, connection& peer, const http_message& request);
    std::string append(const http_message& request);
    std::string read(door& entered, const http_message& request);
    std::string newest(const http_message& request);

    std::vector<std::unique_ptr<door>> m_doors;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, partition> m_partitions;
};

}

#pragma once

#include "fact.h"

#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Facts to send to the daemon on \c vm.
struct fact_delivery {
    std::string vm;
    std::vector<fact> facts;
};

/// Decides which facts are sent to which daemons.
///
/// A daemon passes each fact that is news to it on, to all other daemons of a small fleet and to a random few of a large
/// one; what it learned itself it sends once more, since messages get lost. Besides, it sends some of the facts that it
/// knows to one random daemon in each syncPeriod, which reaches daemons that missed a message. A daemon that joins gets all
/// facts from a few of the others.
class fact_spread {
public:
    static constexpr duration syncPeriod = std::chrono::seconds(1);
    static constexpr duration repeatDelay = std::chrono::milliseconds(50);
    /// Fleet up to which the daemon that learned a fact sends it to all others by itself.
    static constexpr std::size_t smallFleet = 16;
    static constexpr std::size_t maxFactsPerDelivery = 16;
    static constexpr std::size_t maxFactsPerSync = 48;
    static constexpr std::size_t maxFactsForJoining = 256;
    /// Number of daemons that send their facts to one that joins, on average.
    static constexpr double joiningSenders = 6;

    explicit fact_spread(std::uint64_t seed);

    /// Sets the other daemons that are alive.
    void setDaemons(std::vector<std::string> vms);
    /// Adds a fact that is news to this daemon. \a isOwn: it comes from an answer to this daemon.
    void add(const fact& news, bool isOwn);
    /// Deliveries of the news, to be sent at once.
    std::vector<fact_delivery> takeNews();
    /// Whether takeSync() has something to deliver at \a now.
    bool isSyncDue(instant now) const;
    /// Deliveries that are due at \a now: news once more, and facts out of \a all that this daemon knows.
    std::vector<fact_delivery> takeSync(std::span<const fact> all, instant now);

private:
    void addNews(std::span<const fact> news, std::vector<fact_delivery>& deliveries);
    void addRepeats(instant now, std::vector<fact_delivery>& deliveries);
    void addSync(std::span<const fact> all, std::vector<fact_delivery>& deliveries);
    std::vector<std::string> chooseReceivers();

    std::vector<std::string> m_vms;
    std::set<std::string> m_joining;
    std::vector<fact> m_news;
    /// Own news that were sent and are to be sent once more.
    std::vector<fact> m_repeats;
    std::optional<instant> m_repeatAt;
    std::minstd_rand m_random;
    instant m_nextSync {};
    /// Position in the list of all facts at which the next sync begins.
    std::size_t m_syncPosition = 0;
};

}

#pragma once

#include "streamnote.h"

#include <core/ownermap.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

using stream_number = std::uint64_t;

/// Effect: send \c message to the daemon on \c vm.
struct send_stream_message {
    std::string vm;
    stream_message message;
};

/// Effect: a search has ended.
struct stream_found {
    stream_number number = 0;
    /// Version that began the stream; empty when there is no note on it.
    std::string software;
    /// Longest time for which a keeper without a note has kept notes; zero when none answered.
    duration searchedBack {};
};

using stream_effect = std::variant<send_stream_message, stream_found>;

/// Notes which software version began each stream, and finds the notes of the fleet.
///
/// A caller may take its stream up at another daemon, after the first one was killed. So a note is sent to a few daemons, the
/// keepers, chosen by rendezvous hashing over the daemons that are alive; those that are left are asked for it.
class stream_registry {
public:
    /// Number of daemons that keep each note.
    static constexpr std::size_t keepers = 3;
    /// Time in which the keepers have to answer.
    static constexpr duration answerTimeout = std::chrono::milliseconds(120);
    static constexpr std::size_t maxNotes = 100000;

    /// \a vm: the VM of this daemon, which keeps notes from \a now on.
    stream_registry(std::string vm, instant now);

    /// Sets the daemons that are alive.
    void setDaemons(owner_map daemons) { m_daemons = std::move(daemons); }

    /// Keeps a note of this daemon, and sends it to the keepers if \a isShared.
    void add(const stream_note& note, bool isShared);
    /// Searches the note on the stream of \a request; stream_found follows.
    stream_number find(const std::string& request, instant now);
    void onMessage(std::string_view fromVm, const stream_message& message, instant now);
    /// Ends searches whose keepers have not answered, and forgets the notes from before \a limit.
    void tick(instant limit, instant now);

    /// Returns the effects to carry out, in order, and clears them.
    std::vector<stream_effect> takeEffects();
    std::size_t notes() const { return m_notes.size(); }

private:
    struct search {
        instant begunAt {};
        std::size_t openQuestions = 0;
        duration searchedBack {};
    };

    std::vector<std::string> keepersOf(std::string_view request) const;
    void keep(const stream_note& note);
    const stream_note* noteOn(std::string_view request) const;
    void onQuestion(std::string_view fromVm, const stream_question& question, instant now);
    void onAnswer(const stream_answer& answer);
    void conclude(stream_number number, const std::string& software);

    std::string m_vm;
    instant m_keepsSince;
    owner_map m_daemons;
    std::map<std::string, stream_note, std::less<>> m_notes;
    /// Requests of the notes in the order in which they were kept.
    std::deque<std::string> m_order;
    std::map<stream_number, search> m_searches;
    stream_number m_lastNumber = 0;
    std::vector<stream_effect> m_effects;
};

}

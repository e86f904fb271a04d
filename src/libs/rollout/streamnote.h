#pragma once

#include <core/instant.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ragwortreach {

/// Which version of the replicas' software began the stream of a request.
struct stream_note {
    /// Id of the request that brought the first event.
    std::string request;
    std::string software;
    instant begunAt {};
};

/// Asks a keeper of the note on a stream.
struct stream_question {
    std::uint64_t number = 0;
    std::string request;
};

/// Answers a stream_question.
struct stream_answer {
    std::uint64_t number = 0;
    /// Empty when the keeper has no note.
    std::string software;
    /// Time for which the keeper has kept notes.
    duration keepsFor {};
};

/// Message between daemons about the streams of their callers.
using stream_message = std::variant<stream_note, stream_question, stream_answer>;

}

#pragma once

#include "requestdigest.h"

#include <core/sharedtext.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Header of the request that runs an item.
struct item_header {
    std::string name;
    std::string value;
};

/// Call that gets the reward of an item once its text is complete. It may be repeated.
struct reward_call {
    std::string id;
    std::string host;
    std::string path;
    std::string body;

    bool operator==(const reward_call&) const = default;
};

/// Item of a batch: one prompt to complete.
struct batch_item {
    std::string id;
    /// Path of the request that runs the item.
    std::string path;
    std::vector<item_header> headers;
    std::string body;
    /// Sum of the prompt tokens and the maximum number of generated tokens.
    std::uint64_t tokens = 0;
    /// The trainer's estimate of the generated tokens, correct in the median but often far off; 0 without an estimate.
    std::uint64_t expectedTokens = 0;
    /// Items of one group share their prompt.
    std::string group;
    /// Empty for an item whose result needs no reward.
    std::optional<reward_call> reward {};
};

/// Part of an item that only its run and its reward call need, and that may be large: the headers and bodies of both.
struct item_contents {
    std::vector<item_header> headers;
    shared_text body;
    /// Empty for an item without a reward call.
    shared_text rewardBody;

    /// Memory that the contents take, in bytes, about.
    std::size_t bytes() const;
};

/// Contents of \a item, whose headers and bodies are moved out of it.
item_contents takeContents(batch_item& item);

/// Location and digests of the contents of an item within the stored contents of its batch.
struct contents_location {
    /// First byte of the encoded item, and number of its bytes.
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
    /// Equal for items with the same body, and for those with the same body of the reward call.
    request_digest body;
    request_digest rewardBody;
};

/// Upper bound of what all daemons have to read of \a item in the record of its batch, in bytes.
std::size_t sharedBytes(const batch_item& item);

/// Digests of \a body and of the body of the reward call of \a item; the location is left out.
contents_location digestsOf(const batch_item& item, std::string_view body);
/// Digests of the bodies of \a item.
contents_location digestsOf(const batch_item& item);

/// Location of a text that is stored in records of its own in the log.
struct text_reference {
    /// Key of the record; with several records, the common prefix of their keys.
    std::string key;
    std::uint32_t partition = 0;
    /// Offset of the first record.
    std::uint64_t offset = 0;
    /// Number of records that the text is split into. They are consecutive, but for a text that took several appends.
    std::uint32_t records = 1;
    /// Length of the text in bytes.
    std::uint64_t bytes = 0;
    /// Offsets of the first records of the later appends of a text that took several; 0 for one that the log did not name.
    /// Releases that did not write them left them out.
    std::vector<std::uint64_t> laterAppends {};
    /// Number of records of each append but the last one; 0 with a single append.
    std::uint32_t recordsPerAppend = 0;
    /// Number of the first record; not 0 for a part of a text only.
    std::uint32_t firstRecord = 0;

    /// Offset at which \a record, counted from the begin of the whole text, is expected.
    std::uint64_t offsetOf(std::uint32_t record) const;
};

/// Batch as a trainer submitted it.
struct batch_submission {
    std::string id;
    std::string host;
    std::string model;
    std::uint64_t trainStep = 0;
    /// Oldest version of the weights that may generate text.
    std::uint64_t minVersion = 0;
    /// Number of complete groups that the trainer waits for.
    std::uint32_t wantedGroups = 0;
    std::vector<batch_item> items;
    /// Version of the configuration under which the batch was accepted; 0 in records of releases that did not write it.
    std::uint64_t configuration = 0;
    /// Location of the complete submission, if the items lack the contents that only a run needs: path, headers, body
    /// and reward call.
    std::optional<text_reference> contents {};
    /// Organisation that submitted the batch: empty for a public route, nothing when the configuration had no
    /// organisations.
    std::optional<std::string> organisation {};
};

/// \a item without the contents that only a run needs: path, headers, body and reward call.
batch_item withoutContents(batch_item item);

/// A batch was accepted. Later records of the same batch are ignored.
struct batch_accepted {
    batch_submission submission;
};

/// Text of an item, with the versions of the weights that generated it.
struct item_text {
    /// Data of the events in order, separated by line feeds.
    std::string text;
    /// Id of the last event in \a text; 0 before the first one.
    std::uint64_t lastEvent = 0;
    /// Each version once, in the order of first appearance.
    std::vector<std::uint64_t> versions;
    /// The text contains all its events.
    bool isComplete = false;
    /// Version of the software of the replicas that wrote the text; empty when it is unknown.
    std::string software {};
};

/// An item has its final result. Only the first record of an item takes effect.
struct item_finished {
    std::string batch;
    std::string item;
    /// False for an item that was abandoned.
    bool isCompleted = true;
    /// The text is empty when \a reference is set; it is then stored in records of its own.
    item_text output;
    std::optional<text_reference> reference {};
    /// Signature of the answer to the reward call; empty for an item without one.
    std::string reward {};
};

/// Text of an unfinished item, saved so that another daemon can continue it. Only former releases wrote it to the journal.
struct item_progressed {
    std::string batch;
    std::string item;
    item_text output;
};

/// The trainer ended a batch.
struct batch_ended {
    std::string batch;
};

/// A batch is in the journal. Written with its acceptance, under keys that are read without the other records.
struct batch_listed {
    std::string batch;
    std::string model;
    /// Oldest version of the weights that may generate text.
    std::uint64_t minVersion = 0;
    /// Organisation that submitted the batch, as in batch_submission.
    std::optional<std::string> organisation {};
};

/// Record of the journal. All daemons apply the records in the order of the log.
using journal_record = std::variant<batch_accepted, item_finished, item_progressed, batch_ended, batch_listed>;

}

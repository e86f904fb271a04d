#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortreach {

/// Header of the request that runs an item.
struct item_header {
    std::string name;
    std::string value;
};

/// Call that gets the reward of an item, once its text is whole. It may be repeated.
struct reward_call {
    std::string id;
    std::string host;
    std::string path;
    std::string body;

    bool operator==(const reward_call&) const = default;
};

/// Item of a batch: one prompt that is to be completed.
struct batch_item {
    std::string id;
    /// Path of the request that runs the item.
    std::string path;
    std::vector<item_header> headers;
    std::string body;
    /// Prompt tokens and the largest number of generated ones together.
    std::uint64_t tokens = 0;
    /// Estimate of the generated tokens by the trainer, right in the median and often far off; 0 when there is none.
    std::uint64_t expectedTokens = 0;
    /// Items of one group share their prompt.
    std::string group;
    /// Empty for an item whose result needs no reward.
    std::optional<reward_call> reward {};
};

/// Place of a text that stands in the log by itself.
struct text_reference {
    /// Key of the record; with several records, the begin of their keys.
    std::string key;
    std::uint32_t partition = 0;
    /// Offset of the first record.
    std::uint64_t offset = 0;
    /// Records that the text is cut into, one after the other.
    std::uint32_t records = 1;
    /// Length of the text.
    std::uint64_t bytes = 0;
};

/// Batch as a trainer submitted it.
struct batch_submission {
    std::string id;
    std::string host;
    std::string model;
    std::uint64_t trainStep = 0;
    /// Oldest version of the weights that may generate text.
    std::uint64_t minVersion = 0;
    /// Complete groups that the trainer waits for.
    std::uint32_t wantedGroups = 0;
    std::vector<batch_item> items;
    /// Where the whole submission stands, if the items lack what only a run needs: path, headers, body, reward call.
    std::optional<text_reference> contents {};
};

/// \a item without what only a run needs.
batch_item withoutContents(batch_item item);

/// A batch was accepted. Batches that are accepted again are ignored.
struct batch_accepted {
    batch_submission submission;
};

/// Text of an item, with the versions of the weights that generated it.
struct item_text {
    /// Data of the events in order, separated by line feeds.
    std::string text;
    /// Number of the last event in \a text; 0 before the first one.
    std::uint64_t lastEvent = 0;
    /// In the order in which they were first seen, each once.
    std::vector<std::uint64_t> versions;
    /// The text has all its events.
    bool isComplete = false;
};

/// An item has its final result. The first record of an item counts.
struct item_finished {
    std::string batch;
    std::string item;
    /// False for an item that was given up.
    bool isCompleted = true;
    /// Without its text when \a reference says where that stands.
    item_text output;
    std::optional<text_reference> reference {};
    /// Signature of the answer to the reward call; empty for an item without one.
    std::string reward {};
};

/// Text of an item that another daemon is to go on with.
struct item_progressed {
    std::string batch;
    std::string item;
    item_text output;
};

/// The trainer ended a batch.
struct batch_ended {
    std::string batch;
};

/// Record of the journal. All daemons apply the records in the order of the log.
using journal_record = std::variant<batch_accepted, item_finished, item_progressed, batch_ended>;

}

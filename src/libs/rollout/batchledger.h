#pragma once

#include "journalrecord.h"

#include <core/instant.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace ragwortreach {

/// Item of an earlier batch.
struct earlier_item {
    std::string batch;
    std::size_t item = 0;
};

/// State of one item of a batch.
struct ledger_item {
    /// The same item in an earlier batch of the model, when the trainer submits it again.
    std::optional<earlier_item> earlier;
    /// Position of the item's result in the batch; empty until the item has one.
    std::optional<std::size_t> position;
    /// Text, partial or complete, that a daemon of a former release journalled when it handed the item over.
    item_text progress;
    /// Valid while the batch is loaded.
    contents_location contents;
};

/// What a run needs to know of an item before its contents: an item without headers and bodies, and where those are.
struct loaded_item {
    batch_item outline;
    contents_location contents;
};

/// Result at a position of a batch.
struct ledger_result {
    /// Index of the item in the submission.
    std::size_t item = 0;
    bool isCompleted = true;
    /// The text is empty when \a reference is set; it is then stored in a record of its own.
    item_text output;
    std::optional<text_reference> reference;
    /// Signature of the answer to the reward call; empty for an item without one.
    std::string reward;

    std::uint64_t bytes() const { return reference ? reference->bytes : output.text.size(); }
};

/// Batch and the state that results from its journal records.
struct ledger_batch {
    batch_submission submission;
    /// Offset in the log at which it was listed; batches were accepted in this order.
    std::uint64_t acceptedOffset = 0;
    /// Partition of the journal that has its records.
    std::uint32_t partition = 0;
    /// Time at which this process read that the batch was accepted; never earlier than the acceptance.
    instant learnedAt {};
    bool isEnded = false;
    /// Whether the items have their outlines: path and reward call. Their contents are in memory only when they are stored in
    /// the journal itself.
    bool isLoaded = true;
    std::vector<ledger_item> items;
    /// In journal order; the position of a result never changes.
    std::vector<ledger_result> results;
    std::map<std::string, std::size_t, std::less<>> itemIndex;
    /// Number of items without a result, by group.
    std::map<std::string, std::size_t, std::less<>> openItems;
    /// Number of groups in which every item has a result.
    std::size_t completeGroups = 0;
    /// Groups with items of an earlier batch. The trainer waits for each of them, however many other groups are
    /// complete.
    std::set<std::string, std::less<>> requiredGroups;
    std::size_t openRequiredGroups = 0;

    /// Whether the contents of the items are stored apart from the journal.
    bool hasStoredContents() const { return submission.contents.has_value(); }
    /// Index of the item with the id \a item, if the batch has it.
    std::optional<std::size_t> indexOf(std::string_view item) const;
    /// Results from \a position on whose texts have at most \a maxBytes in total; at least one result, if any is left.
    std::span<const ledger_result> page(std::size_t position, std::size_t maxBytes) const;
    /// Whether all groups that the trainer waits for are complete; false for a batch without a number of wanted groups.
    bool isSatisfied() const
    {
        return submission.wantedGroups != 0 && completeGroups >= submission.wantedGroups && openRequiredGroups == 0;
    }
    /// Whether the trainer has not ended the batch and items have no result yet.
    bool isOpen() const { return !isEnded && results.size() < items.size(); }
};

/// State of all batches, built by applying the journal records in order.
///
/// Only the first acceptance of a batch and the first result of an item take effect, so all daemons reach the same
/// state, whichever daemons wrote the records and however often.
///
/// A daemon may be behind the journal without knowing it, while the batch has been ended at another one. So work on a
/// batch begins only while what is known of it is recent.
class batch_ledger {
public:
    /// Work on a batch does not begin with older knowledge of it. The platform expects no request for a batch later than three
    /// seconds after its end; this leaves time for the request to reach its replica.
    static constexpr duration maxAgeForWork = std::chrono::milliseconds(1500);

    /// Applies the next record of its batch; returns the batch that changed, or null. An acceptance gets the time
    /// \a learnedAt and the offset \a acceptedOffset.
    const ledger_batch* apply(const journal_record& record, instant learnedAt, std::uint64_t acceptedOffset = 0, std::uint32_t partition = 0);
    /// Notes that all acceptances and ends in \a partition that were written until \a time are known.
    void setConfirmedAt(std::uint32_t partition, instant time) { m_confirmedAt[partition] = time; }
    /// An end of \a batch that was written until this time is known; empty before its partition was read.
    std::optional<instant> confirmedAt(const ledger_batch& batch) const;
    /// Whether requests for \a batch may be sent to replicas at \a now: it is open, and an end of it would be known.
    bool mayBeginWork(const ledger_batch& batch, instant now) const;

    const ledger_batch* find(std::string_view id) const;
    /// Adds the outlines that the record of an accepted batch left out. The batches of a model have to be loaded in
    /// journal order, so that resubmitted items are found in the earlier batches. False when the batch is unknown or
    /// has another number of items.
    bool load(std::string_view id, std::vector<loaded_item> items);
    /// Removes the outlines that load() added.
    void unload(std::string_view id);
    /// All batches, in the order of their acceptance.
    std::span<const std::string> order() const { return m_order; }
    /// Batches that are no longer open and that this process learned of before \a limit.
    std::vector<std::string> closedBefore(instant limit) const;
    /// Texts of the results of \a batch to which no other batch refers.
    std::vector<text_reference> textsOnlyOf(const ledger_batch& batch) const;
    /// Removes the batch.
    void forget(std::string_view id);

private:
    friend class ledger_visitor;

    void insertIntoOrder(const ledger_batch& batch);
    static void noteDigests(ledger_batch& batch);
    void linkEarlier(ledger_batch& batch) const;

    std::map<std::string, ledger_batch, std::less<>> m_batches;
    std::vector<std::string> m_order;
    /// By partition of the journal.
    std::map<std::uint32_t, instant> m_confirmedAt;
};

}

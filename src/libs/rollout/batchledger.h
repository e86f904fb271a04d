#pragma once

#include "journalrecord.h"

#include <core/instant.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>

namespace ragwortreach {

/// Item of a batch that came before.
struct earlier_item {
    std::string batch;
    std::size_t item = 0;
};

/// State of one item of a batch.
struct ledger_item {
    /// The same item in an earlier batch of the trainer.
    std::optional<earlier_item> earlier;
    /// Position of its result; empty while there is none.
    std::optional<std::size_t> position;
    /// Text that another daemon left behind.
    item_text progress;
};

/// Result at a position of a batch.
struct ledger_result {
    /// Index of the item in the submission.
    std::size_t item = 0;
    bool isCompleted = true;
    /// Without its text when \a reference says where that stands.
    item_text output;
    std::optional<text_reference> reference;
    /// Signature of the answer to the reward call; empty for an item without one.
    std::string reward;

    std::uint64_t bytes() const { return reference ? reference->bytes : output.text.size(); }
};

/// Batch with what the journal says of it.
struct ledger_batch {
    batch_submission submission;
    /// When this process learned of the batch; never before it was accepted.
    instant learnedAt {};
    bool isEnded = false;
    /// The items have what a run needs.
    bool isLoaded = true;
    std::vector<ledger_item> items;
    /// In the order of the journal; a result keeps its position for good.
    std::vector<ledger_result> results;
    std::map<std::string, std::size_t, std::less<>> itemIndex;
    /// Items of each group that have no result yet.
    std::map<std::string, std::size_t, std::less<>> openItems;
    /// Groups all of whose items have a result.
    std::size_t completeGroups = 0;
    /// Groups that stood in an earlier batch. The trainer waits for them whatever other groups are complete.
    std::set<std::string, std::less<>> requiredGroups;
    std::size_t openRequiredGroups = 0;

    std::optional<std::size_t> indexOf(std::string_view item) const;
    /// Results from \a position on whose texts have \a maxBytes together; at least one, if there is one.
    std::span<const ledger_result> page(std::size_t position, std::size_t maxBytes) const;
    /// Whether the trainer has as many complete groups as it waits for.
    bool isSatisfied() const
    {
        return submission.wantedGroups != 0 && completeGroups >= submission.wantedGroups && openRequiredGroups == 0;
    }
    bool isOpen() const { return !isEnded && results.size() < items.size(); }
};

/// State of all batches: a fold of the journal.
///
/// The first acceptance of a batch and the first result of an item count, so all daemons reach the same state,
/// whichever daemons wrote the records and how often.
class batch_ledger {
public:
    /// Applies the next record; returns the batch that changed, or null.
    const ledger_batch* apply(const journal_record& record, instant now);

    const ledger_batch* find(std::string_view id) const;
    /// Completes the items of a batch by what its record lacked. Batches of a model are loaded in their order, so that
    /// items that come again are found. False when \a whole is another batch.
    bool load(const batch_submission& whole);
    /// Drops what load() added.
    void unload(std::string_view id);
    /// All batches, oldest first.
    std::span<const std::string> order() const { return m_order; }
    /// Batches that this process learned of before \a limit and that are not open.
    std::vector<std::string> closedBefore(instant limit) const;
    void forget(std::string_view id);

private:
    friend class ledger_visitor;

    void linkEarlier(ledger_batch& batch) const;

    std::map<std::string, ledger_batch, std::less<>> m_batches;
    std::vector<std::string> m_order;
};

}

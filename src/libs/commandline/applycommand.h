#pragma once

#include "adminclient.h"
#include "commandenvironment.h"
#include "entryfile.h"

#include <string>

namespace ragwortreach {

/// Submits one edit of the catalogue and waits until all VMs have applied it.
///
/// An edit is sent only once, since a lost reply does not tell whether it was appended to the log. Its outcome is then
/// found by its record id in the history of the entry.
class apply_command {
public:
    explicit apply_command(const command_environment& environment);

    /// Blocks until the outcome is known or the confirmation time-out has passed. An item equal to the current entry is not
    /// submitted.
    exit_code run(const entry_file_item& item);

private:
    exit_code submit(const entry_file_item& item, const entry_row& current);
    /// Polls the history of the entry for the record of an edit whose reply was lost.
    exit_code findRecord(const catalogue_submission& submission);
    /// Polls until all VMs have confirmed the accepted edit, or until the confirmation time-out.
    exit_code awaitConfirmations(const catalogue_submission& submission, const submission_accepted& accepted);
    /// Reports a rejected edit; for a conflict, with both sides as differences to their common base.
    exit_code reportRejection(const catalogue_submission& submission, const submission_rejected& rejected);
    /// Body of the revision that \a submission is based on; empty for a new entry, or when the history no longer holds it.
    std::string baseBody(const catalogue_submission& submission) const;
    /// Writes the VMs that have not confirmed to the error stream, if they have changed since the last call.
    void showProgress(const edit_confirmations& confirmations);
    exit_code reportUnconfirmed(const catalogue_submission& submission, const submission_accepted& accepted, const edit_confirmations& latest);

    const command_environment& m_environment;
    admin_client m_client;
    /// Entry as it was when the command read it, before the edit.
    entry_row m_read;
    std::string m_shownProgress;
};

}

#pragma once

#include "adminclient.h"
#include "commandenvironment.h"
#include "entryfile.h"

#include <string>

namespace ragwortreach {

/// Applies one edit of the catalogue and follows it until all VMs have it in force.
///
/// An edit is sent once. When its reply is lost, the record id is looked up in the history of the entry.
class apply_command {
public:
    explicit apply_command(const command_environment& environment);

    exit_code run(const entry_file_item& item);

private:
    exit_code submit(const entry_file_item& item, const entry_row& current);
    exit_code lookUp(const catalogue_submission& submission);
    exit_code follow(const catalogue_submission& submission, const submission_accepted& accepted);
    exit_code reject(const catalogue_submission& submission, const submission_rejected& rejected);
    /// Body that \a submission was based on; empty when nobody knows it any more.
    std::string baseBody(const catalogue_submission& submission) const;
    void showProgress(const edit_confirmations& confirmations);
    exit_code unconfirmed(const catalogue_submission& submission, const submission_accepted& accepted, const edit_confirmations& last);

    const command_environment& m_environment;
    admin_client m_client;
    /// Entry as it was read before the edit.
    entry_row m_read;
    std::string m_shownProgress;
};

}

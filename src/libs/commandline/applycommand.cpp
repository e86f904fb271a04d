#include "applycommand.h"

#include "entrydiff.h"

#include <core/jsonreader.h>

#include <algorithm>
#include <ostream>

namespace ragwortreach {

using nlohmann::json;

namespace {

    std::string quoted(const std::string& name)
    {
        return '\'' + name + '\'';
    }

    void writeLines(std::ostream& output, const std::vector<std::string>& lines)
    {
        for (const std::string& line : lines)
            output << "  " << line << '\n';
        if (lines.empty())
            output << "  (no difference)\n";
    }

    json unconfirmedVms(const edit_confirmations& confirmations)
    {
        json vms = json::array();
        for (const vm_confirmation& vm : confirmations.vms) {
            if (!vm.isConfirmed)
                vms.push_back({ { "vm", vm.vm }, { "data_centre", vm.dataCentre }, { "position", vm.position } });
        }
        return vms;
    }

    std::string progressText(const edit_confirmations& confirmations)
    {
        std::string text;
        for (const vm_confirmation& vm : confirmations.vms) {
            if (vm.isConfirmed)
                continue;
            text += "Not confirmed: " + vm.vm + " (" + vm.dataCentre + ") is at position " + std::to_string(vm.position)
                + " of " + std::to_string(confirmations.needed) + ".\n";
        }
        return text;
    }

    bool isInForce(const edit_confirmations& confirmations)
    {
        return !confirmations.vms.empty()
            && std::all_of(confirmations.vms.begin(), confirmations.vms.end(), [](const vm_confirmation& vm) { return vm.isConfirmed; });
    }

}

apply_command::apply_command(const command_environment& environment)
    : m_environment(environment)
    , m_client(environment)
{
}

exit_code apply_command::run(const entry_file_item& item)
{
    const admin_result<entry_row> current = m_client.entry(item.entry);
    if (const command_failure* failure = std::get_if<command_failure>(&current))
        return report(m_environment, *failure);
    m_read = std::get<entry_row>(current);
    const bool isUnchanged = canonicalBody(m_read.body) == canonicalBody(item.body) && item.revision.value_or(m_read.revision) == m_read.revision;
    if (!isUnchanged)
        return submit(item, m_read);
    if (m_environment.format == output_format::Json)
        m_environment.output << json { { "entry", item.entry }, { "accepted", false }, { "unchanged", true }, { "revision", m_read.revision } } << '\n';
    else
        m_environment.output << "Unchanged: entry " << quoted(item.entry) << " is at revision " << m_read.revision << ".\n";
    return exit_code::Ok;
}

exit_code apply_command::submit(const entry_file_item& item, const entry_row& current)
{
    catalogue_submission submission;
    submission.record = m_environment.newRecordId();
    submission.entry = item.entry;
    submission.replaces = item.revision.value_or(current.revision);
    submission.body = item.body;
    const admin_result<submission_outcome> result = m_client.submit(submission);
    if (const command_failure* failure = std::get_if<command_failure>(&result))
        return report(m_environment, *failure);
    const submission_outcome& outcome = std::get<submission_outcome>(result);
    if (const submission_accepted* accepted = std::get_if<submission_accepted>(&outcome))
        return awaitConfirmations(submission, *accepted);
    if (const submission_rejected* rejected = std::get_if<submission_rejected>(&outcome))
        return reportRejection(submission, *rejected);
    return findRecord(submission);
}

exit_code apply_command::findRecord(const catalogue_submission& submission)
{
    m_environment.errors << "The reply to the edit of entry " << quoted(submission.entry) << " was lost; looking for its record "
                         << submission.record << " in the history.\n";
    std::chrono::milliseconds waited { 0 };
    while (true) {
        const admin_result<std::vector<catalogue_history_item>> history = m_client.history(submission.entry);
        if (const std::vector<catalogue_history_item>* items = std::get_if<std::vector<catalogue_history_item>>(&history)) {
            const auto it = std::find_if(items->begin(), items->end(),
                [&submission](const catalogue_history_item& item) { return item.record == submission.record; });
            if (it != items->end() && it->code == 0)
                return awaitConfirmations(submission, { it->offset, it->revision });
            if (it != items->end())
                return reportRejection(submission, { it->code, std::string(resultCodeInfo(static_cast<result_code>(it->code)).name), it->detail, std::nullopt });
        }
        if (waited >= m_environment.confirmTimeout)
            break;
        m_environment.pause(m_environment.pollPeriod);
        waited += m_environment.pollPeriod;
    }
    return report(m_environment,
        { exit_code::Unreachable,
            "The outcome of the edit of entry " + quoted(submission.entry) + " is unknown: the history does not show its record "
                + submission.record + " yet. Look for this record with 'ragwortreach catalogue history " + submission.entry
                + "' before applying the change again." });
}

exit_code apply_command::awaitConfirmations(const catalogue_submission& submission, const submission_accepted& accepted)
{
    const bool isText = m_environment.format == output_format::Text;
    if (isText) {
        m_environment.output << "Accepted: entry " << quoted(submission.entry) << " is at revision " << accepted.revision << " (offset "
                             << accepted.offset << ", record " << submission.record << ").\n"
                             << std::flush;
    }
    edit_confirmations latest;
    for (std::chrono::milliseconds waited { 0 }; true; waited += m_environment.pollPeriod) {
        const admin_result<edit_confirmations> confirmations = m_client.confirmations(accepted.offset);
        if (const edit_confirmations* shown = std::get_if<edit_confirmations>(&confirmations)) {
            latest = *shown;
            showProgress(latest);
        }
        if (isInForce(latest) || waited >= m_environment.confirmTimeout)
            break;
        m_environment.pause(m_environment.pollPeriod);
    }
    if (!isInForce(latest))
        return reportUnconfirmed(submission, accepted, latest);
    if (isText)
        m_environment.output << "In force: all " << latest.vms.size() << " VMs have applied revision " << accepted.revision << " of entry " << quoted(submission.entry) << ".\n";
    else
        m_environment.output << json { { "entry", submission.entry }, { "record", submission.record }, { "accepted", true }, { "offset", accepted.offset }, { "revision", accepted.revision }, { "in_force", true }, { "unconfirmed", json::array() } } << '\n';
    return exit_code::Ok;
}

void apply_command::showProgress(const edit_confirmations& confirmations)
{
    const std::string progress = progressText(confirmations);
    if (progress == m_shownProgress)
        return;
    m_shownProgress = progress;
    m_environment.errors << progress << std::flush;
}

exit_code apply_command::reportUnconfirmed(
    const catalogue_submission& submission, const submission_accepted& accepted, const edit_confirmations& latest)
{
    const json vms = unconfirmedVms(latest);
    if (m_environment.format == output_format::Json)
        m_environment.output << json { { "entry", submission.entry }, { "record", submission.record }, { "accepted", true }, { "offset", accepted.offset }, { "revision", accepted.revision }, { "in_force", false }, { "unconfirmed", vms } } << '\n';
    const std::string who = latest.vms.empty() ? "no daemon could say which VMs have applied it"
                                               : std::to_string(vms.size()) + " of " + std::to_string(latest.vms.size()) + " VMs have not confirmed it";
    return report(m_environment,
        { exit_code::Unconfirmed,
            "The edit of entry " + quoted(submission.entry) + " was accepted, but after " + std::to_string(m_environment.confirmTimeout.count())
                + " ms " + who + ". It will take effect there when they read the log; check them with 'ragwortreach status'." });
}

std::string apply_command::baseBody(const catalogue_submission& submission) const
{
    if (submission.replaces == 0 || m_read.revision == submission.replaces)
        return submission.replaces == 0 ? std::string() : m_read.body;
    const admin_result<std::vector<catalogue_history_item>> history = m_client.history(submission.entry);
    const std::vector<catalogue_history_item>* items = std::get_if<std::vector<catalogue_history_item>>(&history);
    if (items == nullptr)
        return {};
    const auto it = std::find_if(items->begin(), items->end(),
        [&submission](const catalogue_history_item& item) { return item.code == 0 && item.revision == submission.replaces; });
    return it == items->end() ? std::string() : it->body;
}

exit_code apply_command::reportRejection(const catalogue_submission& submission, const submission_rejected& rejected)
{
    std::optional<entry_row> theirs = rejected.current;
    if (!theirs) {
        const admin_result<entry_row> read = m_client.entry(submission.entry);
        if (const entry_row* item = std::get_if<entry_row>(&read))
            theirs = *item;
    }
    if (m_environment.format == output_format::Json) {
        json document { { "entry", submission.entry }, { "record", submission.record }, { "accepted", false }, { "code", rejected.code }, { "title", rejected.title }, { "detail", rejected.detail } };
        if (theirs)
            document["current"] = { { "revision", theirs->revision }, { "operator", theirs->operatorName }, { "body", parseJson(theirs->body) } };
        m_environment.output << document << '\n';
    }
    m_environment.errors << "Rejected: the edit of entry " << quoted(submission.entry) << " (" << rejected.title << ", result code "
                         << rejected.code << "): " << rejected.detail << '\n';
    const bool isConflict = theirs && rejected.code == static_cast<int>(result_code::EditConflict);
    if (!isConflict)
        return exit_code::Rejected;
    const std::string base = canonicalBody(baseBody(submission));
    const std::string author = theirs->operatorName.empty() ? "another operator" : theirs->operatorName;
    m_environment.errors << "Their edit, by " << author << ", from revision " << submission.replaces << " to revision " << theirs->revision << ":\n";
    writeLines(m_environment.errors, diffBodies(base, canonicalBody(theirs->body)));
    m_environment.errors << "Your edit of revision " << submission.replaces << ":\n";
    writeLines(m_environment.errors, diffBodies(base, canonicalBody(submission.body)));
    m_environment.errors << "Get revision " << theirs->revision << " with 'ragwortreach catalogue get " << submission.entry
                         << "', make the change there and apply it again.\n";
    return exit_code::Rejected;
}

}

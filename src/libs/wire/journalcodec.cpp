#include "journalcodec.h"

#include "itemcodec.h"

namespace ragwortreach {

namespace {

    void writeText(const item_text& from, wire::JournalItemText& to)
    {
        to.set_text(from.text);
        to.set_last_event(from.lastEvent);
        for (const std::uint64_t version : from.versions)
            to.add_versions(version);
        to.set_whole(from.isComplete);
        to.set_software(from.software);
    }

    item_text readText(const wire::JournalItemText& from)
    {
        return { from.text(), from.last_event(), { from.versions().begin(), from.versions().end() }, from.whole(), from.software() };
    }

    void writeReference(const text_reference& from, wire::JournalTextReference& to)
    {
        to.set_key(from.key);
        to.set_partition(from.partition);
        to.set_offset(from.offset);
        to.set_records(from.records);
        to.set_bytes(from.bytes);
        for (const std::uint64_t offset : from.laterAppends)
            to.add_later_appends(offset);
        to.set_records_per_append(from.recordsPerAppend);
    }

    text_reference readReference(const wire::JournalTextReference& from)
    {
        return { from.key(), from.partition(), from.offset(), from.records(), from.bytes(),
            { from.later_appends().begin(), from.later_appends().end() }, from.records_per_append() };
    }

    class record_writer {
    public:
        explicit record_writer(wire::JournalRecord& message)
            : m_message(message)
        {
        }

        void operator()(const batch_accepted& record) const
        {
            wire::JournalBatchAccepted& accepted = *m_message.mutable_accepted();
            accepted.set_id(record.submission.id);
            accepted.set_host(record.submission.host);
            accepted.set_model(record.submission.model);
            accepted.set_train_step(record.submission.trainStep);
            accepted.set_min_version(record.submission.minVersion);
            accepted.set_wanted_groups(record.submission.wantedGroups);
            for (const batch_item& item : record.submission.items)
                writeItem(item, *accepted.add_items());
            accepted.set_configuration(record.submission.configuration);
            if (record.submission.organisation)
                accepted.set_organisation(*record.submission.organisation);
            if (record.submission.contents)
                writeReference(*record.submission.contents, *accepted.mutable_contents());
        }

        void operator()(const item_finished& record) const
        {
            wire::JournalItemFinished& finished = *m_message.mutable_finished();
            finished.set_batch(record.batch);
            finished.set_item(record.item);
            finished.set_completed(record.isCompleted);
            writeText(record.output, *finished.mutable_output());
            if (record.reference)
                writeReference(*record.reference, *finished.mutable_reference());
            finished.set_reward(record.reward);
        }

        void operator()(const item_progressed& record) const
        {
            wire::JournalItemProgressed& progressed = *m_message.mutable_progressed();
            progressed.set_batch(record.batch);
            progressed.set_item(record.item);
            writeText(record.output, *progressed.mutable_output());
        }

        void operator()(const batch_ended& record) const { m_message.mutable_ended()->set_batch(record.batch); }

        void operator()(const batch_listed& record) const
        {
            wire::JournalBatchListed& listed = *m_message.mutable_listed();
            listed.set_batch(record.batch);
            listed.set_model(record.model);
            listed.set_min_version(record.minVersion);
            if (record.organisation)
                listed.set_organisation(*record.organisation);
        }

    private:
        wire::JournalRecord& m_message;
    };

    batch_accepted readAccepted(wire::JournalBatchAccepted& from)
    {
        batch_accepted record;
        record.submission.id = from.id();
        record.submission.host = from.host();
        record.submission.model = from.model();
        record.submission.trainStep = from.train_step();
        record.submission.minVersion = from.min_version();
        record.submission.wantedGroups = from.wanted_groups();
        for (wire::JournalItem& item : *from.mutable_items())
            record.submission.items.push_back(takeItem(item));
        record.submission.configuration = from.configuration();
        if (from.has_organisation())
            record.submission.organisation = from.organisation();
        if (from.has_contents())
            record.submission.contents = readReference(from.contents());
        return record;
    }

}

std::string encodeJournalRecord(const journal_record& record)
{
    wire::JournalRecord message;
    std::visit(record_writer(message), record);
    return message.SerializeAsString();
}

std::optional<journal_record> decodeJournalRecord(std::string_view bytes)
{
    wire::JournalRecord message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    switch (message.record_case()) {
    case wire::JournalRecord::kAccepted:
        return readAccepted(*message.mutable_accepted());
    case wire::JournalRecord::kFinished: {
        const wire::JournalItemFinished& finished = message.finished();
        item_finished record { finished.batch(), finished.item(), finished.completed(), readText(finished.output()), std::nullopt, finished.reward() };
        if (finished.has_reference())
            record.reference = readReference(finished.reference());
        return record;
    }
    case wire::JournalRecord::kProgressed: {
        const wire::JournalItemProgressed& progressed = message.progressed();
        return item_progressed { progressed.batch(), progressed.item(), readText(progressed.output()) };
    }
    case wire::JournalRecord::kEnded:
        return batch_ended { message.ended().batch() };
    case wire::JournalRecord::kListed: {
        const wire::JournalBatchListed& listed = message.listed();
        batch_listed record { listed.batch(), listed.model(), listed.min_version() };
        if (listed.has_organisation())
            record.organisation = listed.organisation();
        return record;
    }
    case wire::JournalRecord::RECORD_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

}

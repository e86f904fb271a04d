#include "usagecodec.h"

#include "usage.pb.h"

namespace ragwortreach {

namespace {

    using count_list = google::protobuf::RepeatedPtrField<wire::UsageCount>;

    void writeCounts(const usage_counts& from, count_list& to)
    {
        for (const std::pair<const std::string, std::uint64_t>& item : from) {
            wire::UsageCount& written = *to.Add();
            written.set_organisation(item.first);
            written.set_requests(item.second);
        }
    }

    usage_counts readCounts(const count_list& from)
    {
        usage_counts counts;
        for (const wire::UsageCount& item : from)
            counts[item.organisation()] = item.requests();
        return counts;
    }

    class record_writer {
    public:
        explicit record_writer(wire::UsageRecord& message)
            : m_message(message)
        {
        }

        void operator()(const process_usage& usage) const
        {
            wire::ProcessUsage& process = *m_message.mutable_process();
            for (const usage_window& window : usage.windows) {
                wire::UsageWindow& written = *process.add_windows();
                written.set_number(window.number);
                written.set_closed(window.isClosed);
                writeCounts(window.counts, *written.mutable_counts());
            }
        }

        void operator()(const usage_report& report) const
        {
            m_message.mutable_report()->set_window(report.window);
            writeCounts(report.counts, *m_message.mutable_report()->mutable_counts());
        }

        void operator()(const usage_accepted& accepted) const { m_message.mutable_accepted()->set_window(accepted.window); }

    private:
        wire::UsageRecord& m_message;
    };

    process_usage readProcess(const wire::ProcessUsage& from)
    {
        process_usage usage;
        for (const wire::UsageWindow& window : from.windows())
            usage.windows.push_back({ window.number(), window.closed(), readCounts(window.counts()) });
        return usage;
    }

}

std::string encodeUsageRecord(const usage_record& record)
{
    wire::UsageRecord message;
    std::visit(record_writer(message), record);
    return message.SerializeAsString();
}

std::optional<usage_record> decodeUsageRecord(std::string_view bytes)
{
    wire::UsageRecord message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    switch (message.record_case()) {
    case wire::UsageRecord::kProcess:
        return readProcess(message.process());
    case wire::UsageRecord::kReport:
        return usage_report { message.report().window(), readCounts(message.report().counts()) };
    case wire::UsageRecord::kAccepted:
        return usage_accepted { message.accepted().window() };
    case wire::UsageRecord::RECORD_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

}

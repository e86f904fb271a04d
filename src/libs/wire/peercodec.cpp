#include "peercodec.h"

#include <peer.pb.h>

#include <algorithm>
#include <span>

namespace ragwortreach {

namespace {

    bool isBatchId(const std::string& batch)
    {
        return !batch.empty() && batch.size() <= maxBatchIdLength;
    }

    struct request_writer {
        wire::PeerRequest& out;

        void operator()(const open_batch_request& request) const { out.mutable_open_batch()->set_body(request.body); }
        void operator()(const fetch_batch_request& request) const
        {
            out.mutable_fetch_batch()->set_batch(request.batch);
            out.mutable_fetch_batch()->set_body(request.body);
        }
        void operator()(const cancel_batch_request& request) const { out.mutable_cancel_batch()->set_batch(request.batch); }
        void operator()(const batch_progress_request& request) const { out.mutable_batch_progress()->set_batch(request.batch); }
        void operator()(const catalogue_read_request& request) const { out.mutable_catalogue_read()->set_from(request.from); }
        void operator()(const status_request&) const { out.mutable_status(); }
    };

    struct reply_writer {
        wire::PeerReply& out;

        void operator()(const open_batch_reply& reply) const
        {
            out.mutable_open_batch()->set_created(reply.created);
            out.mutable_open_batch()->set_body(reply.body);
        }
        void operator()(const fetch_batch_reply& reply) const { out.mutable_fetch_batch()->set_body(reply.body); }
        void operator()(const cancel_batch_reply& reply) const { out.mutable_cancel_batch()->set_body(reply.body); }
        void operator()(const batch_progress_reply& reply) const { out.mutable_batch_progress()->set_body(reply.body); }
        void operator()(const catalogue_read_reply& reply) const
        {
            wire::CatalogueReadReply& body = *out.mutable_catalogue_read();
            for (const log_record& record : reply.records) {
                wire::LogRecord& item = *body.add_records();
                item.set_offset(record.offset);
                item.set_id(record.id);
                item.set_data(record.data);
            }
            if (reply.snapshot)
                body.set_snapshot(*reply.snapshot);
            body.set_end(reply.end);
        }
        void operator()(const status_reply& reply) const { out.mutable_status()->set_body(reply.body); }
        void operator()(const error_reply& reply) const
        {
            out.mutable_error()->set_code(static_cast<std::uint32_t>(reply.code));
            out.mutable_error()->set_detail(reply.detail);
        }
    };

    bool readRequest(const wire::PeerRequest& in, peer_request& request)
    {
        switch (in.body_case()) {
        case wire::PeerRequest::kOpenBatch:
            request = open_batch_request { in.open_batch().body() };
            return true;
        case wire::PeerRequest::kFetchBatch:
            request = fetch_batch_request { in.fetch_batch().batch(), in.fetch_batch().body() };
            return isBatchId(in.fetch_batch().batch());
        case wire::PeerRequest::kCancelBatch:
            request = cancel_batch_request { in.cancel_batch().batch() };
            return isBatchId(in.cancel_batch().batch());
        case wire::PeerRequest::kBatchProgress:
            request = batch_progress_request { in.batch_progress().batch() };
            return isBatchId(in.batch_progress().batch());
        case wire::PeerRequest::kCatalogueRead:
            request = catalogue_read_request { in.catalogue_read().from() };
            return true;
        case wire::PeerRequest::kStatus:
            request = status_request {};
            return true;
        case wire::PeerRequest::BODY_NOT_SET:
            return false;
        }
        return false;
    }

    /// Returns false when there are too many records or their offsets do not increase.
    bool readCatalogue(const wire::CatalogueReadReply& in, catalogue_read_reply& reply)
    {
        if (in.records_size() > static_cast<int>(maxCatalogueRecords))
            return false;
        for (const wire::LogRecord& item : in.records())
            reply.records.push_back({ item.offset(), item.id(), item.data() });
        if (in.has_snapshot())
            reply.snapshot = in.snapshot();
        reply.end = in.end();
        const auto unordered = std::adjacent_find(reply.records.begin(), reply.records.end(),
            [](const log_record& left, const log_record& right) { return left.offset >= right.offset; });
        return unordered == reply.records.end();
    }

    bool readError(const wire::ErrorReply& in, error_reply& reply)
    {
        const std::span<const result_code_info> codes = resultCodes();
        const auto it = std::find_if(codes.begin(), codes.end(),
            [&in](const result_code_info& info) { return static_cast<std::uint32_t>(info.code) == in.code(); });
        if (it == codes.end())
            return false;
        reply = { it->code, in.detail() };
        return true;
    }

    bool readReply(const wire::PeerReply& in, peer_reply& reply)
    {
        switch (in.body_case()) {
        case wire::PeerReply::kOpenBatch:
            reply = open_batch_reply { in.open_batch().created(), in.open_batch().body() };
            return true;
        case wire::PeerReply::kFetchBatch:
            reply = fetch_batch_reply { in.fetch_batch().body() };
            return true;
        case wire::PeerReply::kCancelBatch:
            reply = cancel_batch_reply { in.cancel_batch().body() };
            return true;
        case wire::PeerReply::kBatchProgress:
            reply = batch_progress_reply { in.batch_progress().body() };
            return true;
        case wire::PeerReply::kCatalogueRead:
            return readCatalogue(in.catalogue_read(), reply.emplace<catalogue_read_reply>());
        case wire::PeerReply::kStatus:
            reply = status_reply { in.status().body() };
            return true;
        case wire::PeerReply::kError:
            return readError(in.error(), reply.emplace<error_reply>());
        case wire::PeerReply::BODY_NOT_SET:
            return false;
        }
        return false;
    }

    template <class Message>
    bool parse(std::string_view bytes, Message& message)
    {
        return bytes.size() <= maxPeerMessageSize && message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    }

}

std::string encodePeerRequest(const peer_request_frame& frame)
{
    wire::PeerRequest out;
    out.set_hybrid_time(frame.hybridTime);
    out.set_correlation(frame.correlation);
    out.set_remaining_us(static_cast<std::uint64_t>(std::clamp(frame.remaining, duration::zero(), maxPeerTimeout).count()));
    std::visit(request_writer { out }, frame.request);
    return out.SerializeAsString();
}

std::string encodePeerReply(const peer_reply_frame& frame)
{
    wire::PeerReply out;
    out.set_hybrid_time(frame.hybridTime);
    out.set_correlation(frame.correlation);
    std::visit(reply_writer { out }, frame.reply);
    return out.SerializeAsString();
}

std::error_code decodePeerRequest(std::string_view bytes, peer_request_frame& frame)
{
    frame = {};
    wire::PeerRequest in;
    if (!parse(bytes, in) || in.remaining_us() > static_cast<std::uint64_t>(maxPeerTimeout.count()))
        return result_code::MalformedMessage;
    frame.hybridTime = in.hybrid_time();
    frame.correlation = in.correlation();
    frame.remaining = duration(static_cast<std::int64_t>(in.remaining_us()));
    return readRequest(in, frame.request) ? std::error_code() : result_code::MalformedMessage;
}

std::error_code decodePeerReply(std::string_view bytes, peer_reply_frame& frame)
{
    frame = {};
    wire::PeerReply in;
    if (!parse(bytes, in))
        return result_code::MalformedMessage;
    frame.hybridTime = in.hybrid_time();
    frame.correlation = in.correlation();
    return readReply(in, frame.reply) ? std::error_code() : result_code::MalformedMessage;
}

}

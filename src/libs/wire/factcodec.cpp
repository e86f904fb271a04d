#include "factcodec.h"

#include "facts.pb.h"

#include <core/overloaded.h>

#include <algorithm>
#include <cmath>

namespace ragwortreach {

namespace {

    /// Ages and waits beyond this are malformed.
    constexpr std::uint64_t maxMicroseconds = std::uint64_t { 3600 } * 1000 * 1000;

    std::uint64_t toMicroseconds(duration time)
    {
        return static_cast<std::uint64_t>(std::max<duration::rep>(time.count(), 0));
    }

    duration toDuration(std::uint64_t microseconds)
    {
        return duration(static_cast<duration::rep>(std::min(microseconds, maxMicroseconds)));
    }

    void write(const replica_limit& limit, instant now, wire::ReplicaLimit& out)
    {
        out.set_replica(limit.replica.id);
        out.set_started_at_ms(limit.replica.startedAt);
        out.set_age_us(toMicroseconds(now - limit.statedAt));
        if (limit.perSecond)
            out.set_per_second(*limit.perSecond);
    }

    std::optional<replica_limit> read(const wire::ReplicaLimit& in, instant now)
    {
        replica_limit limit { { in.replica(), in.started_at_ms() }, std::nullopt, now - toDuration(in.age_us()) };
        if (limit.replica.id.empty())
            return std::nullopt;
        if (!in.has_per_second())
            return limit;
        if (!std::isfinite(in.per_second()) || in.per_second() < 0)
            return std::nullopt;
        limit.perSecond = in.per_second();
        return limit;
    }

    void write(const request_crash& crash, instant now, wire::RequestCrash& out)
    {
        out.set_request_high(crash.request.high);
        out.set_request_low(crash.request.low);
        out.set_replica(crash.replica.id);
        out.set_started_at_ms(crash.replica.startedAt);
        out.set_age_us(toMicroseconds(now - crash.at));
    }

    void write(const request_success& success, instant now, wire::RequestSuccess& out)
    {
        out.set_request_high(success.request.high);
        out.set_request_low(success.request.low);
        out.set_age_us(toMicroseconds(now - success.at));
    }

    void write(const replica_leaving& leaving, instant now, wire::ReplicaLeaving& out)
    {
        out.set_replica(leaving.replica.id);
        out.set_started_at_ms(leaving.replica.startedAt);
        out.set_age_us(toMicroseconds(now - leaving.statedAt));
    }

    void write(const configuration_read& read, instant now, wire::ConfigurationRead& out)
    {
        out.set_version(read.version);
        out.set_age_us(toMicroseconds(now - read.readAt));
    }

    void write(const access_statement& statement, instant now, wire::AccessStatement& out)
    {
        out.set_vm(statement.vm);
        out.set_has_access(statement.hasAccess);
        out.set_number(statement.number);
        out.set_age_us(toMicroseconds(now - statement.statedAt));
    }

    /// Fact of the message, or nothing when it is malformed or of a kind that is not known here.
    std::optional<fact> read(const wire::Fact& in, instant now)
    {
        switch (in.fact_case()) {
        case wire::Fact::kLimit: {
            const std::optional<replica_limit> limit = read(in.limit(), now);
            return limit ? std::optional<fact>(*limit) : std::nullopt;
        }
        case wire::Fact::kCrash: {
            const wire::RequestCrash& crash = in.crash();
            if (crash.replica().empty())
                return std::nullopt;
            return request_crash { { crash.request_high(), crash.request_low() }, { crash.replica(), crash.started_at_ms() }, now - toDuration(crash.age_us()) };
        }
        case wire::Fact::kSuccess: {
            const wire::RequestSuccess& success = in.success();
            return request_success { { success.request_high(), success.request_low() }, now - toDuration(success.age_us()) };
        }
        case wire::Fact::kLeaving: {
            const wire::ReplicaLeaving& leaving = in.leaving();
            if (leaving.replica().empty())
                return std::nullopt;
            return replica_leaving { { leaving.replica(), leaving.started_at_ms() }, now - toDuration(leaving.age_us()) };
        }
        case wire::Fact::kConfiguration: {
            const wire::ConfigurationRead& configuration = in.configuration();
            if (configuration.version() == 0)
                return std::nullopt;
            return configuration_read { configuration.version(), now - toDuration(configuration.age_us()) };
        }
        case wire::Fact::kAccess: {
            const wire::AccessStatement& access = in.access();
            if (access.vm().empty())
                return std::nullopt;
            return access_statement { access.vm(), access.has_access(), access.number(), now - toDuration(access.age_us()) };
        }
        case wire::Fact::FACT_NOT_SET:
            return std::nullopt;
        }
        return std::nullopt;
    }

    bool readPermit(const wire::FactMessage& in, instant now, std::optional<permit_message>& permit)
    {
        switch (in.permit_case()) {
        case wire::FactMessage::kAsk: {
            const std::optional<replica_limit> limit = read(in.ask().limit(), now);
            if (!limit)
                return false;
            permit = permit_ask { in.ask().number(), *limit, toDuration(in.ask().max_wait_us()), in.ask().is_stand_in() };
            return true;
        }
        case wire::FactMessage::kReply:
            permit = permit_reply { in.reply().number(), in.reply().is_granted(), toDuration(in.reply().wait_us()) };
            return true;
        case wire::FactMessage::PERMIT_NOT_SET:
            return true;
        }
        return false;
    }

    void writeStream(const stream_message& message, instant now, wire::FactMessage& out)
    {
        std::visit(overloaded {
                       [&out, now](const stream_note& note) {
                           out.mutable_stream_note()->set_request(note.request);
                           out.mutable_stream_note()->set_software(note.software);
                           out.mutable_stream_note()->set_age_us(toMicroseconds(now - note.begunAt));
                       },
                       [&out](const stream_question& question) {
                           out.mutable_stream_question()->set_number(question.number);
                           out.mutable_stream_question()->set_request(question.request);
                       },
                       [&out](const stream_answer& answer) {
                           out.mutable_stream_answer()->set_number(answer.number);
                           out.mutable_stream_answer()->set_software(answer.software);
                           out.mutable_stream_answer()->set_keeps_for_us(toMicroseconds(answer.keepsFor));
                       },
                   },
            message);
    }

    /// False when the message about a stream is malformed.
    bool readStream(const wire::FactMessage& in, instant now, std::optional<stream_message>& stream)
    {
        switch (in.stream_case()) {
        case wire::FactMessage::kStreamNote:
            if (in.stream_note().request().empty() || in.stream_note().software().empty())
                return false;
            stream = stream_note { in.stream_note().request(), in.stream_note().software(), now - toDuration(in.stream_note().age_us()) };
            return true;
        case wire::FactMessage::kStreamQuestion:
            stream = stream_question { in.stream_question().number(), in.stream_question().request() };
            return true;
        case wire::FactMessage::kStreamAnswer:
            stream = stream_answer { in.stream_answer().number(), in.stream_answer().software(), toDuration(in.stream_answer().keeps_for_us()) };
            return true;
        case wire::FactMessage::STREAM_NOT_SET:
            return true;
        }
        return false;
    }

}

std::string encodeFactMessage(const fact_message& message, instant now)
{
    wire::FactMessage out;
    for (const fact& item : message.facts) {
        wire::Fact& added = *out.add_facts();
        std::visit(overloaded {
                       [&added, now](const replica_limit& limit) { write(limit, now, *added.mutable_limit()); },
                       [&added, now](const request_crash& crash) { write(crash, now, *added.mutable_crash()); },
                       [&added, now](const request_success& success) { write(success, now, *added.mutable_success()); },
                       [&added, now](const replica_leaving& leaving) { write(leaving, now, *added.mutable_leaving()); },
                       [&added, now](const configuration_read& read) { write(read, now, *added.mutable_configuration()); },
                       [&added, now](const access_statement& statement) { write(statement, now, *added.mutable_access()); },
                   },
            item);
    }
    if (message.stream)
        writeStream(*message.stream, now, out);
    if (!message.permit)
        return out.SerializeAsString();
    std::visit(overloaded {
                   [&out, now](const permit_ask& ask) {
                       out.mutable_ask()->set_number(ask.number);
                       write(ask.limit, now, *out.mutable_ask()->mutable_limit());
                       out.mutable_ask()->set_max_wait_us(toMicroseconds(ask.maxWait));
                       out.mutable_ask()->set_is_stand_in(ask.isStandIn);
                   },
                   [&out](const permit_reply& reply) {
                       out.mutable_reply()->set_number(reply.number);
                       out.mutable_reply()->set_is_granted(reply.isGranted);
                       out.mutable_reply()->set_wait_us(toMicroseconds(reply.wait));
                   },
               },
        *message.permit);
    return out.SerializeAsString();
}

std::optional<fact_message> decodeFactMessage(std::string_view bytes, instant now)
{
    wire::FactMessage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    fact_message message;
    for (const wire::Fact& item : in.facts()) {
        // A daemon of a later build may send facts of other kinds.
        if (item.fact_case() == wire::Fact::FACT_NOT_SET)
            continue;
        const std::optional<fact> known = read(item, now);
        if (!known)
            return std::nullopt;
        message.facts.push_back(*known);
    }
    if (!readPermit(in, now, message.permit) || !readStream(in, now, message.stream))
        return std::nullopt;
    return message;
}

std::string encodeAnnouncement(const vm_list_entry& entry)
{
    wire::VmAnnouncement out;
    out.set_data_centre(entry.dataCentre);
    out.set_region(entry.region);
    out.set_gossip(entry.addresses.gossip);
    out.set_peer(entry.addresses.peer);
    return out.SerializeAsString();
}

std::optional<vm_list_entry> decodeAnnouncement(const std::string& vm, std::string_view bytes)
{
    wire::VmAnnouncement in;
    if (vm.empty() || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.gossip().empty())
        return std::nullopt;
    vm_list_entry entry;
    entry.vm = vm;
    entry.dataCentre = in.data_centre();
    entry.region = in.region();
    entry.addresses.gossip = in.gossip();
    entry.addresses.peer = in.peer();
    return entry;
}

}

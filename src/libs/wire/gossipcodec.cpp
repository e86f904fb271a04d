#include "gossipcodec.h"

#include <core/gossipmessage.h>
#include <core/resultcode.h>

#include <gossip.pb.h>

#include <algorithm>
#include <utility>

namespace ragwortreach {

namespace {

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxGossipNameLength;
    }

    bool fitsNameBound(const std::string& text)
    {
        return text.size() <= maxGossipNameLength;
    }

    void write(const member_instance& instance, wire::Life& out)
    {
        out.set_incarnation(instance.incarnation);
        out.set_run(instance.startMilliseconds);
    }

    member_instance read(const wire::Life& in)
    {
        return { in.incarnation(), in.run() };
    }

    wire::Health toWire(member_health health)
    {
        switch (health) {
        case member_health::Alive:
            return wire::ALIVE;
        case member_health::Suspect:
            return wire::SUSPECT;
        case member_health::Failed:
            return wire::FAILED;
        }
        return wire::FAILED;
    }

    void write(const member_details& details, wire::MemberDetails& out)
    {
        out.set_data_centre(details.dataCentre);
        out.set_region(details.region);
        out.set_gossip_address(details.addresses.gossip);
        out.set_peer_address(details.addresses.peer);
        out.set_admin_address(details.addresses.admin);
        out.set_caller_address(details.addresses.caller);
    }

    bool read(const wire::MemberDetails& in, member_details& details)
    {
        details.dataCentre = in.data_centre();
        details.region = in.region();
        details.addresses = { in.gossip_address(), in.peer_address(), in.admin_address(), in.caller_address() };
        const member_addresses& addresses = details.addresses;
        return fitsNameBound(details.dataCentre) && fitsNameBound(details.region) && fitsNameBound(addresses.gossip)
            && fitsNameBound(addresses.peer) && fitsNameBound(addresses.admin) && fitsNameBound(addresses.caller);
    }

    void write(const member_delta& delta, wire::MemberDelta& out)
    {
        out.set_vm(delta.vm);
        write(delta.instance, *out.mutable_life());
        out.set_refutation(delta.refutation);
        out.set_health(toWire(delta.health));
        out.set_leaving(delta.leaving);
        if (delta.details)
            write(*delta.details, *out.mutable_details());
    }

    bool read(const wire::MemberDelta& in, member_delta& delta)
    {
        delta.vm = in.vm();
        delta.instance = read(in.life());
        delta.refutation = in.refutation();
        delta.leaving = in.leaving();
        if (!wire::Health_IsValid(in.health()) || !isName(delta.vm))
            return false;
        delta.health = static_cast<member_health>(in.health());
        return !in.has_details() || read(in.details(), delta.details.emplace());
    }

    void write(const values_delta& delta, wire::ValuesDelta& out)
    {
        out.set_vm(delta.vm);
        write(delta.instance, *out.mutable_life());
        out.set_revision(delta.values.revision);
        out.set_catalogue_position(delta.values.cataloguePosition);
        for (const owner_demand& demand : delta.values.demands) {
            wire::OwnerDemand& item = *out.add_demands();
            item.set_owner(demand.owner);
            item.set_milli_requests_per_second(demand.milliRequestsPerSecond);
        }
    }

    bool read(const wire::ValuesDelta& in, values_delta& delta)
    {
        delta.vm = in.vm();
        delta.instance = read(in.life());
        delta.values.revision = in.revision();
        delta.values.cataloguePosition = in.catalogue_position();
        if (!isName(delta.vm) || in.demands_size() > static_cast<int>(maxDemandsPerMember))
            return false;
        for (const wire::OwnerDemand& item : in.demands())
            delta.values.demands.push_back({ item.owner(), item.milli_requests_per_second() });
        return std::all_of(delta.values.demands.begin(), delta.values.demands.end(),
            [](const owner_demand& demand) { return fitsNameBound(demand.owner); });
    }

    struct body_writer {
        wire::GossipMessage& out;

        void operator()(const ping_body& body) const
        {
            out.mutable_ping()->set_sequence(body.sequence);
            out.mutable_ping()->set_target(body.target);
            out.mutable_ping()->set_carries_values(body.carriesValues);
        }
        void operator()(const ack_body& body) const
        {
            out.mutable_ack()->set_sequence(body.sequence);
            out.mutable_ack()->set_target(body.target);
        }
        void operator()(const indirect_ping_body& body) const
        {
            out.mutable_indirect_ping()->set_sequence(body.sequence);
            out.mutable_indirect_ping()->set_target(body.target);
            out.mutable_indirect_ping()->set_target_address(body.targetAddress);
        }
        void operator()(const push_body& body) const { out.mutable_push()->set_is_sync(body.isSync); }
        void operator()(const digest_body& body) const
        {
            for (const std::uint32_t hash : body.hashes)
                out.mutable_digest()->add_hashes(hash);
            out.mutable_digest()->set_is_reply(body.isReply);
        }
        void operator()(const details_request_body& body) const
        {
            out.mutable_details_request();
            for (const std::string& vm : body.vms)
                out.mutable_details_request()->add_vms(vm);
        }
        void operator()(const payload_body& body) const { out.set_payload(body.bytes); }
    };

    bool readDigest(const wire::Digest& in, digest_body& body)
    {
        if (in.hashes_size() != static_cast<int>(digestBucketCount))
            return false;
        std::copy(in.hashes().begin(), in.hashes().end(), body.hashes.begin());
        body.isReply = in.is_reply();
        return true;
    }

    bool readDetailsRequest(const wire::DetailsRequest& in, details_request_body& body)
    {
        body.vms.assign(in.vms().begin(), in.vms().end());
        return std::all_of(body.vms.begin(), body.vms.end(), isName);
    }

    bool readBody(const wire::GossipMessage& in, gossip_body& body)
    {
        switch (in.body_case()) {
        case wire::GossipMessage::kPing:
            body = ping_body { in.ping().sequence(), in.ping().target(), in.ping().carries_values() };
            return isName(in.ping().target());
        case wire::GossipMessage::kAck:
            body = ack_body { in.ack().sequence(), in.ack().target() };
            return isName(in.ack().target());
        case wire::GossipMessage::kIndirectPing:
            body = indirect_ping_body { in.indirect_ping().sequence(), in.indirect_ping().target(), in.indirect_ping().target_address() };
            return isName(in.indirect_ping().target()) && isName(in.indirect_ping().target_address());
        case wire::GossipMessage::kPush:
            body = push_body { in.push().is_sync() };
            return true;
        case wire::GossipMessage::kDigest:
            return readDigest(in.digest(), body.emplace<digest_body>());
        case wire::GossipMessage::kDetailsRequest:
            return readDetailsRequest(in.details_request(), body.emplace<details_request_body>());
        case wire::GossipMessage::kPayload:
            body = payload_body { in.payload() };
            return true;
        case wire::GossipMessage::BODY_NOT_SET:
            return false;
        }
        return false;
    }

    bool read(const wire::PositionReport& in, position_report& report)
    {
        report.position = in.position();
        report.members.assign(in.members().begin(), in.members().end());
        return report.members.size() <= maxReportedMembers;
    }

    bool read(const wire::GossipMessage& in, gossip_message& message)
    {
        message.hybridTime = in.hybrid_time();
        message.sender = in.sender();
        message.senderInstance = read(in.sender_life());
        message.catalogueHead = in.catalogue_head();
        if (!isName(message.sender) || !readBody(in, message.body))
            return false;
        for (const wire::MemberDelta& item : in.deltas()) {
            if (!read(item, message.deltas.emplace_back()))
                return false;
        }
        for (const wire::ValuesDelta& item : in.values()) {
            if (!read(item, message.values.emplace_back()))
                return false;
        }
        return read(in.reached(), message.reached);
    }

}

std::string encodeGossip(const gossip_message& message)
{
    wire::GossipMessage out;
    out.set_hybrid_time(message.hybridTime);
    out.set_sender(message.sender);
    write(message.senderInstance, *out.mutable_sender_life());
    out.set_catalogue_head(message.catalogueHead);
    std::visit(body_writer { out }, message.body);
    for (const member_delta& delta : message.deltas)
        write(delta, *out.add_deltas());
    for (const values_delta& delta : message.values)
        write(delta, *out.add_values());
    if (!message.reached.members.empty()) {
        out.mutable_reached()->set_position(message.reached.position);
        out.mutable_reached()->mutable_members()->Assign(message.reached.members.begin(), message.reached.members.end());
    }
    return out.SerializeAsString();
}

std::error_code decodeGossip(std::string_view bytes, gossip_message& message)
{
    message = {};
    wire::GossipMessage in;
    if (bytes.size() > maxGossipMessageSize || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return result_code::MalformedMessage;
    return read(in, message) ? std::error_code() : result_code::MalformedMessage;
}

}

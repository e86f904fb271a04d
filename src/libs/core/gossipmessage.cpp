#include "gossipmessage.h"

namespace ragwortreach {

namespace {

    constexpr std::size_t maxVarintSize = 10;
    /// Tag and length of a field, in bytes.
    constexpr std::size_t fieldOverhead = 3;
    constexpr std::size_t numberSize = maxVarintSize + 1;
    constexpr std::size_t instanceSize = 2 * numberSize + fieldOverhead;

    std::size_t textSize(const std::string& text)
    {
        return text.size() + fieldOverhead;
    }

    struct body_size {
        std::size_t operator()(const ping_body& body) const { return numberSize + textSize(body.target) + 2; }
        std::size_t operator()(const ack_body& body) const { return numberSize + textSize(body.target); }
        std::size_t operator()(const indirect_ping_body& body) const
        {
            return numberSize + textSize(body.target) + textSize(body.targetAddress);
        }
        std::size_t operator()(const push_body&) const { return fieldOverhead; }
        std::size_t operator()(const digest_body&) const { return digestBucketCount * 4 + 2 * fieldOverhead; }
        std::size_t operator()(const details_request_body& body) const
        {
            std::size_t size = 0;
            for (const std::string& vm : body.vms)
                size += textSize(vm);
            return size;
        }
        std::size_t operator()(const payload_body& body) const { return textSize(body.bytes); }
    };

}

std::size_t encodedSizeBound(const member_delta& delta)
{
    std::size_t size = fieldOverhead + textSize(delta.vm) + instanceSize + numberSize + 4;
    if (!delta.details)
        return size;
    const member_addresses& addresses = delta.details->addresses;
    size += fieldOverhead + textSize(delta.details->dataCentre) + textSize(delta.details->region);
    size += textSize(addresses.gossip) + textSize(addresses.peer);
    size += textSize(addresses.admin) + textSize(addresses.caller);
    return size;
}

std::size_t encodedSizeBound(const values_delta& delta)
{
    std::size_t size = fieldOverhead + textSize(delta.vm) + instanceSize + 2 * numberSize;
    for (const owner_demand& demand : delta.values.demands)
        size += fieldOverhead + textSize(demand.owner) + numberSize;
    return size;
}

std::size_t encodedSizeBound(const gossip_message& message)
{
    std::size_t size = 9 + textSize(message.sender) + instanceSize + numberSize + fieldOverhead;
    size += std::visit(body_size {}, message.body);
    for (const member_delta& delta : message.deltas)
        size += encodedSizeBound(delta);
    for (const values_delta& delta : message.values)
        size += encodedSizeBound(delta);
    if (!message.reached.members.empty())
        size += numberSize + 2 * fieldOverhead + 4 * message.reached.members.size();
    return size;
}

}

#include "daemoncore.h"

#include "batchcontroller.h"
#include "callcontroller.h"
#include "cataloguecontroller.h"
#include "daemoncontext.h"
#include "overloaded.h"
#include "platformcontroller.h"
#include "weightscontroller.h"

#include <nlohmann/json.hpp>

namespace ragwortreach {

namespace {

    using nlohmann::json;

    json memberJson(const member& item)
    {
        return { { "vm", item.vm }, { "data_centre", item.dataCentre }, { "state", toString(item.state) },
            { "incarnation", item.instance.incarnation }, { "catalogue_position", item.values.cataloguePosition },
            { "admin", item.addresses.admin } };
    }

    std::string_view stateName(const upstream_replica& replica, instant now)
    {
        if (replica.listing.isLeaving)
            return "leaving";
        return replica.suspectUntil > now ? "suspect" : "live";
    }

    json replicaJson(const upstream_replica& replica, instant now)
    {
        json document { { "upstream", replica.listing.upstream }, { "vm", replica.listing.vm },
            { "data_centre", replica.listing.dataCentre }, { "state", stateName(replica, now) }, { "weights", nullptr } };
        if (replica.engine)
            document["weights"] = { { "base", replica.engine->weights.base }, { "adapter", replica.engine->weights.adapter } };
        return document;
    }

}

class daemon_core::state {
public:
    explicit state(const daemon_identity& identity)
        : context(identity)
        , platform(context)
        , catalogue(context)
        , calls(context)
        , batches(context)
        , weights(context)
    {
    }

    void on(const daemon_tick&)
    {
        platform.tick();
        catalogue.tick();
        calls.tick();
        batches.tick();
        weights.tick();
    }
    void on(const log_read_ended& event)
    {
        if (!catalogue.handle(event) && !calls.handle(event) && !weights.handle(event))
            batches.handle(event);
        platform.announceLocalState();
    }
    void on(const append_ended& event)
    {
        if (!catalogue.handle(event) && !calls.handle(event))
            batches.handle(event);
    }
    void on(const vm_list_read& event) { platform.handle(event); }
    void on(const message_received& event) { platform.handle(event); }
    void on(const peer_request_received& event)
    {
        if (const catalogue_read_request* const read = std::get_if<catalogue_read_request>(&event.request))
            context.emit(answer_peer { event.number, catalogue.answerRead(*read) });
        else
            batches.handlePeer(event.number, event.request);
    }
    void on(const peer_reply_received& event)
    {
        if (!catalogue.handle(event))
            batches.handle(event);
    }
    void on(const batch_request_received& event) { batches.handle(event); }
    void on(const edit_submitted& event) { catalogue.handle(event); }
    void on(const call_arrived& event) { calls.handle(event); }
    void on(const attempt_ended& event) { calls.handle(event); }
    void on(const caller_gone& event)
    {
        calls.handle(event);
        batches.handle(event);
    }
    void on(const engine_chunk_received& event) { batches.handle(event); }
    void on(const engine_stream_ended& event) { batches.handle(event); }
    void on(const score_ended& event) { batches.handle(event); }
    void on(const engine_state_read& event)
    {
        platform.handle(event);
        weights.handle(event);
    }
    void on(const versions_read& event)
    {
        batches.handle(event);
        weights.handle(event);
    }
    void on(const weight_order_ended& event) { weights.handle(event); }
    void on(const drain_requested&)
    {
        if (context.isDraining)
            return;
        context.isDraining = true;
        context.addTimelineEvent(event_kind::DrainStarted, context.vm(), "The daemon was asked to stop and is handing over its work.");
        platform.announceLocalState();
    }

    Internal::daemon_context context;
    Internal::platform_controller platform;
    Internal::catalogue_controller catalogue;
    Internal::call_controller calls;
    Internal::batch_controller batches;
    Internal::weights_controller weights;
};

daemon_core::daemon_core(const daemon_identity& identity)
    : m_state(std::make_unique<state>(identity))
{
}

daemon_core::~daemon_core() = default;

daemon_effects daemon_core::handle(const daemon_event& event, instant now)
{
    m_state->context.now = now;
    std::visit([this](const auto& typed) { m_state->on(typed); }, event);
    return m_state->context.takeEffects();
}

bool daemon_core::isReady() const
{
    return !m_state->context.isDraining && m_state->platform.isReady() && m_state->context.catalogue.isReady();
}

bool daemon_core::isDraining() const
{
    return m_state->context.isDraining;
}

bool daemon_core::isIdle() const
{
    return m_state->calls.openCalls() == 0 && m_state->batches.owner().size() == 0;
}

const catalogue_reader& daemon_core::catalogue() const
{
    return m_state->context.catalogue;
}

const membership& daemon_core::members() const
{
    return m_state->context.members;
}

const daemon_counters& daemon_core::counters() const
{
    return m_state->context.counters();
}

std::string daemon_core::status() const
{
    const Internal::daemon_context& context = m_state->context;
    json members = json::array();
    context.members.visitMembers([&members](const member& item) { members.push_back(memberJson(item)); });
    json upstreams = json::array();
    const std::vector<std::string> names = context.upstreams.upstreams();
    for (const std::string& name : names) {
        const std::vector<const upstream_replica*> replicas = context.upstreams.replicas(name);
        for (const upstream_replica* replica : replicas)
            upstreams.push_back(replicaJson(*replica, context.now));
    }
    json batches = json::array();
    const std::vector<std::string> owned = m_state->batches.owner().batches();
    for (const std::string& batch : owned) {
        const batch_tracker* const tracker = m_state->batches.owner().tracker(batch);
        if (tracker->isFinished())
            continue;
        const batch_progress progress = tracker->progress();
        batches.push_back({ { "batch", batch }, { "owner_vm", context.vm() }, { "remaining", progress.slots - progress.held } });
    }
    const member& local = context.members.local();
    return json { { "vm", context.vm() }, { "data_centre", local.dataCentre }, { "incarnation", local.instance.incarnation },
        { "draining", context.isDraining }, { "catalogue_position", context.catalogue.table().position() },
        { "log_down", context.catalogue.isLogDown() }, { "members", std::move(members) },
        { "upstreams", std::move(upstreams) }, { "batches", std::move(batches) } }
        .dump();
}

std::string daemon_core::confirmations(std::uint64_t offset) const
{
    const std::uint64_t needed = offset + 1;
    json vms = json::array();
    m_state->context.members.visitMembers([&vms, needed](const member& item) {
        if (item.state == member_state::Failed)
            return;
        vms.push_back({ { "vm", item.vm }, { "data_centre", item.dataCentre }, { "position", item.values.cataloguePosition },
            { "confirmed", item.values.cataloguePosition >= needed } });
    });
    return json { { "needed", needed }, { "vms", std::move(vms) } }.dump();
}

}

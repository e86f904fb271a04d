#include "weightscontroller.h"

#include "daemoncontext.h"
#include "holderlease.h"
#include "overloaded.h"
#include "weightrollout.h"

namespace ragwortreach::Internal {

namespace {

    constexpr duration modelScanPeriod = std::chrono::milliseconds(500);
    constexpr duration readPeriod = std::chrono::milliseconds(1000);

    rollout_events::order_result orderResult(result_code code)
    {
        if (code == result_code::Ok)
            return rollout_events::order_result::Accepted;
        return code == result_code::UpstreamRefused ? rollout_events::order_result::Fenced : rollout_events::order_result::Failed;
    }

    lease_settings leaseSettings(daemon_context& context, const std::string& model)
    {
        const member& local = context.identity().local;
        return { local.dataCentre, model, { local.vm, local.instance.startMilliseconds }, context.nextRecordId() };
    }

    rollout_settings rolloutSettings(daemon_context& context)
    {
        rollout_settings settings;
        settings.seed = context.random();
        return settings;
    }

}

struct weights_controller::model_state {
    model_state(const holder_table& table, lease_settings lease, const rollout_settings& rollout)
        : lease(table, std::move(lease))
        , rollout(rollout)
    {
    }

    holder_lease lease;
    weight_rollout rollout;
    bool isHolding = false;
};

weights_controller::weights_controller(daemon_context& context)
    : m_context(context)
    , m_tail("holders")
{
}

weights_controller::~weights_controller() = default;

void weights_controller::tick()
{
    m_tail.read(m_context, m_table.position());
    if (m_context.now >= m_nextModelScan) {
        m_nextModelScan = m_context.now + modelScanPeriod;
        findModels();
    }
    const bool isReadDue = m_context.now >= m_nextRead;
    if (isReadDue)
        m_nextRead = m_context.now + readPeriod;
    for (auto it = m_models.begin(); it != m_models.end(); ++it) {
        if (isReadDue && it->second->isHolding)
            readWhileHolding(it->first);
    }
    tickLeases();
}

void weights_controller::findModels()
{
    const std::vector<catalogue_entry_state> entries = m_context.catalogue.table().entries();
    for (const catalogue_entry_state& item : entries) {
        if (item.body.kind == entry_kind::Model && !m_models.contains(item.body.upstream))
            addModel(item.body.upstream);
    }
    for (auto it = m_models.begin(); it != m_models.end(); ++it)
        updateMembers(it->first);
}

void weights_controller::addModel(const std::string& model)
{
    m_models.emplace(model, std::make_unique<model_state>(m_table, leaseSettings(m_context, model), rolloutSettings(m_context)));
}

void weights_controller::updateMembers(const std::string& model)
{
    if (m_context.isDraining) {
        runLease(model, lease_events::leaving {});
        return;
    }
    const std::string& dataCentre = m_context.identity().local.dataCentre;
    const std::vector<std::string> first = m_context.owners.candidates("weights-" + model, dataCentre, 1);
    lease_events::members_changed event;
    event.isFirst = !first.empty() && first.front() == m_context.vm();
    m_context.members.visitMembers([&event, &dataCentre](const member& candidate) {
        if (candidate.isEligible() && candidate.dataCentre == dataCentre)
            event.eligible.push_back({ candidate.vm, candidate.instance.startMilliseconds });
    });
    runLease(model, event);
}

void weights_controller::readWhileHolding(const std::string& model)
{
    m_context.emit(read_versions { model });
    const std::vector<const upstream_replica*> replicas = m_context.upstreams.replicas(model);
    for (const upstream_replica* replica : replicas) {
        if (isOwnReplica(replica->listing.vm))
            m_context.emit(read_engine_state { replica->listing.vm, replica->listing.address });
    }
}

void weights_controller::tickLeases()
{
    std::vector<std::string> models;
    for (auto it = m_models.begin(); it != m_models.end(); ++it)
        models.push_back(it->first);
    for (const std::string& model : models) {
        runLease(model, lease_events::tick {});
        runRollout(model, rollout_events::tick {});
    }
}

void weights_controller::handle(const engine_state_read& event)
{
    const std::string model = modelOf(event.vm);
    if (model.empty() || !isOwnReplica(event.vm))
        return;
    if (event.state)
        runRollout(model, rollout_events::replica_reported { event.vm, event.state->weights, event.state->isLoading });
    else
        runRollout(model, rollout_events::replica_unavailable { event.vm });
}

void weights_controller::handle(const versions_read& event)
{
    if (event.versions && !event.versions->empty())
        runRollout(event.model, rollout_events::target_version_changed { event.versions->back() });
}

void weights_controller::handle(const weight_order_ended& event)
{
    const std::string model = modelOf(event.vm);
    if (event.answer.code != result_code::Ok) {
        m_context.count(daemon_counter::OrdersRefused);
        m_context.addTimelineEvent(event_kind::OrderRefused, event.vm, "The replica " + event.vm + " did not accept the order to load weights.", event.answer.code);
    }
    runRollout(model, rollout_events::order_answered { event.vm, orderResult(event.answer.code) });
}

bool weights_controller::handle(const log_read_ended& event)
{
    if (!m_tail.finishRead(m_context, event))
        return false;
    if (event.code == result_code::LogUnavailable)
        return true;
    if (event.code == result_code::LogTruncated)
        m_table.skipTo(event.page.firstRetained);
    for (const log_record& record : event.page.records)
        m_table.apply(record);
    tickLeases();
    m_tail.read(m_context, m_table.position());
    return true;
}

bool weights_controller::isHolding(std::string_view model) const
{
    const auto it = m_models.find(model);
    return it != m_models.end() && it->second->isHolding;
}

template <typename Event>
void weights_controller::runLease(const std::string& model, const Event& event)
{
    model_state& state = *m_models.at(model);
    const std::vector<lease_effect> effects = state.lease.handle(event, m_context.now);
    for (const lease_effect& effect : effects) {
        std::visit(overloaded {
                       [this](const lease_effects::append_record& append) {
                           m_context.emit(append_stream { m_context.nextNumber(), m_tail.stream(), { { append.recordId, append.data } } });
                       },
                       [this, &model, &state](const lease_effects::holding_changed& change) {
                           if (change.isHolding != state.isHolding)
                               m_context.addTimelineEvent(event_kind::HolderChanged, model,
                                   m_context.vm() + (change.isHolding ? " holds the lease on the weight roll-outs of " : " no longer holds the lease on the weight roll-outs of ") + model + '.');
                           state.isHolding = change.isHolding;
                           runRollout(model, rollout_events::holding_changed { change.isHolding, change.fencing });
                       },
                   },
            effect);
    }
}

template <typename Event>
void weights_controller::runRollout(const std::string& model, const Event& event)
{
    const auto it = m_models.find(model);
    if (it == m_models.end())
        return;
    const std::vector<rollout_effect> effects = it->second->rollout.handle(event, m_context.now);
    for (const rollout_effect& effect : effects) {
        const weight_load_order& load = std::get<weight_load_order>(effect);
        sendWeightOrder(model, *it->second, load.replica, load.version, load.fencing);
    }
}

void weights_controller::sendWeightOrder(const std::string& model, const model_state& state, const std::string& vm,
    const weight_version& version, std::uint64_t fencing)
{
    const upstream_replica* const replica = m_context.upstreams.replica(vm);
    if (!replica || !state.lease.maySendOrders(m_context.now))
        return;
    m_context.count(daemon_counter::OrdersSent);
    m_context.addTimelineEvent(event_kind::OrderSent, vm, "The replica " + vm + " is ordered to load version " + toString(version) + " of " + model + '.');
    m_context.emit(send_weight_order { vm, replica->listing.address, model, version, fencing });
}

bool weights_controller::isOwnReplica(std::string_view vm) const
{
    const upstream_replica* const replica = m_context.upstreams.replica(vm);
    return replica && replica->listing.dataCentre == m_context.identity().local.dataCentre && !replica->listing.isLeaving;
}

std::string weights_controller::modelOf(std::string_view vm) const
{
    const upstream_replica* const replica = m_context.upstreams.replica(vm);
    return replica ? replica->listing.upstream : std::string();
}

}

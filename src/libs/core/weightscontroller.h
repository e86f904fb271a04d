#pragma once

#include "daemonevent.h"
#include "holdertable.h"
#include "streamtail.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace ragwortreach::Internal {

class daemon_context;

/// Brings the replicas of this data centre to the newest versions of the weight store while this daemon holds the
/// lease.
///
/// There is one lease for each model and data centre. Only its holder polls the weight store and the states of all
/// replicas.
class weights_controller {
public:
    explicit weights_controller(daemon_context& context);
    ~weights_controller();

    void tick();
    void handle(const engine_state_read& event);
    void handle(const versions_read& event);
    void handle(const weight_order_ended& event);
    /// Returns whether the event belongs to the stream `holders`.
    bool handle(const log_read_ended& event);

    /// Whether this daemon holds the lease of \a model.
    bool isHolding(std::string_view model) const;

private:
    struct model_state;

    /// Adds the models that are new in the catalogue and updates the members of all leases.
    void findModels();
    void addModel(const std::string& model);
    void readWhileHolding(const std::string& model);
    void updateMembers(const std::string& model);
    void tickLeases();
    template <typename Event>
    void runLease(const std::string& model, const Event& event);
    template <typename Event>
    void runRollout(const std::string& model, const Event& event);
    void sendWeightOrder(const std::string& model, const model_state& state, const std::string& vm, const weight_version& version, std::uint64_t fencing);
    /// Whether \a vm is a replica in this data centre that is not leaving.
    bool isOwnReplica(std::string_view vm) const;
    std::string modelOf(std::string_view vm) const;

    daemon_context& m_context;
    holder_table m_table;
    stream_tail m_tail;
    std::map<std::string, std::unique_ptr<model_state>, std::less<>> m_models;
    instant m_nextModelScan {};
    instant m_nextRead {};
};

}

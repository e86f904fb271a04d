#include "rewardcaller.h"

#include "answernotes.h"
#include "bootclock.h"

#include <support/log.h>
#include <support/logline.h>

namespace ragwortreach {

namespace {

    constexpr duration connectTimeout = std::chrono::milliseconds(300);
    /// Only the signature in the headers is used, so bodies can be limited.
    constexpr std::size_t maxAnswerBytes = std::size_t { 256 } * 1024;
    constexpr int failedStatus = 500;

}

/// Reward call in flight.
struct reward_caller::open_call {
    std::string id;
    std::string item;
    replica_instance replica;
    instant sentAt {};
    http_call_handle handle;
};

reward_caller::reward_caller(http_client& client, const batch_ledger& ledger, const replica_pool& pool, replica_gate& gate, work_watch& work, log& log, end_handler onEnd)
    : m_client(client)
    , m_ledger(ledger)
    , m_pool(pool)
    , m_gate(gate)
    , m_work(work)
    , m_log(log)
    , m_onEnd(std::move(onEnd))
{
}

reward_caller::~reward_caller() = default;

void reward_caller::start(const start_reward& effect)
{
    const ledger_batch* const batch = m_ledger.find(effect.key.batch);
    if (!batch)
        return;
    const batch_item& item = batch->submission.items[effect.key.item];
    open_call& call = *m_calls.emplace(effect.call, std::make_unique<open_call>()).first->second;
    call.id = item.reward->id;
    call.item = item.id;
    call.replica = m_pool.instanceOf(effect.replica);
    call.sentAt = bootNow();
    m_work.noteBegun(work_kind::Reward, *batch, item.id, effect.replica);
    http_call_options options;
    options.timeout = effect.timeout;
    options.connectTimeout = connectTimeout;
    options.bodyLimit = maxAnswerBytes;
    const platform::replica_request_options sent { effect.replica, effect.timeout, 0, batch->submission.organisation };
    call.handle = m_client.callBuffered(parseEndpoint(effect.address).value_or(endpoint {}), platform::encodeRewardRequest(*item.reward, effect.body, sent), options,
        [this, number = effect.call](const http_outcome& outcome, const http_response& response) { onResponse(number, outcome, response); });
}

void reward_caller::cancel(const cancel_reward& effect)
{
    const auto found = m_calls.find(effect.call);
    if (found == m_calls.end())
        return;
    const duration age = bootNow() - found->second->sentAt;
    m_log.write(log_line(log_level::Info, "reward_cancelled")
                    .with("item", found->second->item)
                    .with("request", found->second->id)
                    .with("replica", found->second->replica.id)
                    .with("reason", effect.reason)
                    .with("age_us", age.count()));
    found->second->handle.cancel();
    m_calls.erase(found);
}

reward_answer reward_caller::classifyResponse(const open_call& call, const http_outcome& outcome, const http_response& response) const
{
    if (outcome.code == result_code::UpstreamUnreachable)
        return { reward_end::Unreachable, {} };
    if (outcome.code == result_code::MalformedRequest)
        return { reward_end::Failed, {} };
    const platform::replica_answer answer = noteResponse(m_gate, call.replica, call.id, response);
    if (outcome.code != result_code::Ok)
        return { reward_end::Interrupted, {} };
    if (answer.isNotRun)
        return { reward_end::NotRun, {} };
    if (!answer.belongsTo(call.id))
        return { reward_end::Interrupted, {} };
    if (isSuccess(answer.status))
        return { reward_end::Scored, answer.signature };
    return { answer.status == failedStatus ? reward_end::Failed : reward_end::Rejected, {} };
}

void reward_caller::onResponse(reward_number number, const http_outcome& outcome, const http_response& response)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    const std::unique_ptr<open_call> call = std::move(found->second);
    m_calls.erase(found);
    const reward_answer answer = classifyResponse(*call, outcome, response);
    const duration took = bootNow() - call->sentAt;
    noteUnanswered(m_gate, call->replica, outcome.code, call->sentAt);
    if (answer.end == reward_end::Scored) {
        m_latency.microseconds += static_cast<std::uint64_t>(took.count());
        ++m_latency.calls;
    } else {
        m_log.write(log_line(log_level::Info, "reward_ended")
                        .with("item", call->item)
                        .with("request", call->id)
                        .with("replica", call->replica.id)
                        .with("status", response.status)
                        .with("outcome", toString(answer.end))
                        .with("reason", outcome.detail)
                        .with("took_us", took.count()));
    }
    m_onEnd(number, answer);
}

}

#include "requestorigin.h"

#include "daemoncontext.h"
#include "overloaded.h"

namespace ragwortreach::Internal {

namespace {

    constexpr std::chrono::seconds retryAfter { 1 };

    daemon_effect callerAnswer(request_number number, peer_reply answer)
    {
        return std::visit(overloaded {
                              [number](open_batch_reply& open) -> daemon_effect {
                                  return answer_request { number, open.created ? 201 : 200, std::move(open.body) };
                              },
                              [number](fetch_batch_reply& fetch) -> daemon_effect { return answer_request { number, 200, std::move(fetch.body) }; },
                              [number](cancel_batch_reply& cancel) -> daemon_effect { return answer_request { number, 200, std::move(cancel.body) }; },
                              [number](batch_progress_reply& progress) -> daemon_effect { return answer_request { number, 200, std::move(progress.body) }; },
                              [number](catalogue_read_reply&) -> daemon_effect { return refuse_call { number, result_code::Internal, {}, {} }; },
                              [number](status_reply& status) -> daemon_effect { return answer_request { number, 200, std::move(status.body) }; },
                              [number](error_reply& error) -> daemon_effect { return refuse_call { number, error.code, std::move(error.detail), retryAfter }; },
                          },
            answer);
    }

}

void reply(daemon_context& context, const request_origin& to, peer_reply answer)
{
    if (to.isPeer)
        context.emit(answer_peer { to.number, std::move(answer) });
    else
        context.emit(callerAnswer(to.number, std::move(answer)));
}

void refuse(daemon_context& context, const request_origin& to, result_code code, std::string detail)
{
    reply(context, to, error_reply { code, std::move(detail) });
}

}

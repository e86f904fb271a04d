#include "statuscommand.h"

#include "adminclient.h"
#include "texttable.h"

#include <ostream>

namespace ragwortreach {

namespace {

    void writeMembers(std::ostream& output, const std::vector<member_row>& members)
    {
        text_table table({ "VM", "DATA CENTRE", "STATE", "INCARNATION", "CATALOGUE", "ADMIN" });
        for (const member_row& member : members) {
            table.add({ member.vm, member.dataCentre, member.state, std::to_string(member.incarnation),
                std::to_string(member.cataloguePosition), member.admin });
        }
        output << '\n'
               << table.text();
    }

    void writeUpstreams(std::ostream& output, const std::vector<upstream_row>& upstreams)
    {
        text_table table({ "UPSTREAM", "VM", "DATA CENTRE", "STATE", "IN FLIGHT", "WEIGHTS" });
        for (const upstream_row& upstream : upstreams) {
            table.add({ upstream.upstream, upstream.vm, upstream.dataCentre, upstream.state,
                std::to_string(upstream.inFlight), upstream.weights });
        }
        output << '\n'
               << table.text();
    }

    void writeBatches(std::ostream& output, const std::vector<batch_row>& batches)
    {
        text_table table({ "BATCH", "OWNER", "REMAINING" });
        for (const batch_row& batch : batches)
            table.add({ batch.batch, batch.ownerVm, std::to_string(batch.remaining) });
        output << '\n'
               << table.text();
    }

}

exit_code runStatus(const command_environment& environment)
{
    const admin_result<daemon_status> result = admin_client(environment).status();
    if (const command_failure* failure = std::get_if<command_failure>(&result))
        return report(environment, *failure);
    const daemon_status& status = std::get<daemon_status>(result);
    if (environment.format == output_format::Json) {
        environment.output << status.json << '\n';
        return exit_code::Ok;
    }
    environment.output << status.vm << " in " << status.dataCentre << ", incarnation " << status.incarnation << ", "
                       << (status.isDraining ? "draining" : "serving") << ", catalogue at position " << status.cataloguePosition << '\n';
    if (!status.members.empty())
        writeMembers(environment.output, status.members);
    if (!status.upstreams.empty())
        writeUpstreams(environment.output, status.upstreams);
    if (!status.batches.empty())
        writeBatches(environment.output, status.batches);
    return exit_code::Ok;
}

}

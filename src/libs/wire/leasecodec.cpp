#include "leasecodec.h"

#include "journal.pb.h"

namespace ragwortreach {

namespace {

    class lease_writer {
    public:
        explicit lease_writer(wire::LeaseRecord& message)
            : m_message(message)
        {
        }

        void operator()(const lease_claim& record) const
        {
            writeParty(record.party);
            wire::LeaseClaim& claim = *m_message.mutable_claim();
            claim.set_lease(record.lease);
            claim.set_renewals(record.renewals);
            claim.set_short_tenures(record.shortTenures);
            if (record.formerClaim)
                claim.set_former_claim(*record.formerClaim);
        }

        void operator()(const lease_renewal& record) const
        {
            writeParty(record.party);
            m_message.mutable_renewal()->set_number(record.number);
        }

        void operator()(const lease_release& record) const
        {
            writeParty(record.party);
            wire::LeaseRelease& release = *m_message.mutable_release();
            for (const recent_order& order : record.recentOrders) {
                wire::RecentOrder& written = *release.add_orders();
                written.set_replica(order.replica);
                written.set_age_us(static_cast<std::uint64_t>(order.age.count()));
            }
        }

    private:
        void writeParty(const lease_party& party) const
        {
            m_message.mutable_party()->set_vm(party.vm);
            m_message.mutable_party()->set_life(party.instance);
        }

        wire::LeaseRecord& m_message;
    };

    lease_claim readClaim(const lease_party& party, const wire::LeaseClaim& from)
    {
        lease_claim claim { from.lease(), party, std::nullopt, from.renewals(), from.short_tenures() };
        if (from.has_former_claim())
            claim.formerClaim = from.former_claim();
        return claim;
    }

    lease_release readRelease(const lease_party& party, const wire::LeaseRelease& from)
    {
        lease_release release { party, {} };
        for (const wire::RecentOrder& order : from.orders())
            release.recentOrders.push_back({ order.replica(), duration(static_cast<duration::rep>(order.age_us())) });
        return release;
    }

}

std::string encodeLeaseRecord(const lease_record& record)
{
    wire::LeaseRecord message;
    std::visit(lease_writer(message), record);
    return message.SerializeAsString();
}

std::optional<lease_record> decodeLeaseRecord(std::string_view bytes)
{
    wire::LeaseRecord message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    const lease_party party { message.party().vm(), message.party().life() };
    switch (message.record_case()) {
    case wire::LeaseRecord::kClaim:
        return readClaim(party, message.claim());
    case wire::LeaseRecord::kRenewal:
        return lease_renewal { party, message.renewal().number() };
    case wire::LeaseRecord::kRelease:
        return readRelease(party, message.release());
    case wire::LeaseRecord::RECORD_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

}

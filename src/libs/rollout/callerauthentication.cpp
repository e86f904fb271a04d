#include "callerauthentication.h"

namespace ragwortreach {

caller_admission admitCaller(const route_table& routes, std::string_view key, bool isPublic, instant now)
{
    if (!routes.configuration().organisations)
        return {};
    const organisation* const holder = key.empty() ? nullptr : routes.findOrganisation(key);
    const bool isHonoured = holder && routes.allows(configuration_use::HonourKey, now);
    if (isHonoured)
        return { admission_verdict::Admitted, { holder->name, holder->priority } };
    if (isPublic)
        return { admission_verdict::Admitted, { std::string(), std::nullopt } };
    if (holder || !routes.allows(configuration_use::DenyRoute, now))
        return { admission_verdict::Unconfirmed, {} };
    return { admission_verdict::UnknownKey, {} };
}

}

#include <caller_authentication.h>

#include <config/route_table.h>

namespace orioledrum
{

authentication authenticate(const route_table &table, const route &route, const caller_credential &credential)
{
    authentication result;
    if (!table.requiresKeys()) {
        result.accepted = true;
        return result;
    }
    result.identity.verified = true;
    if (credential.kind == credential_kind::key) {
        result.identity.member = table.organisationOf(credential.key);
    }
    result.accepted = route.isPublic || result.identity.member != nullptr;
    if (!result.accepted) {
        switch (credential.kind) {
        case credential_kind::none:
            result.reason = "the request carries no key";
            result.refusal = "noKey";
            break;
        case credential_kind::malformed:
            result.reason = "the key of the request is not readable";
            result.refusal = "malformedKey";
            break;
        case credential_kind::key:
            result.reason = "no organisation holds the key of the request";
            result.refusal = "unknownKey";
            break;
        }
    }
    return result;
}

bool isWithdrawn(const std::optional<key_digest> &key, const route_table &current)
{
    return key && current.requiresKeys() && !current.holdsKey(*key);
}

} // namespace orioledrum

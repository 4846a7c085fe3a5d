#include <ownership/lease_actions.h>

namespace orioledrum
{

std::string_view toString(lease_loss reason)
{
    switch (reason) {
    case lease_loss::expired:
        return "expired";
    case lease_loss::revoked:
        return "revoked";
    case lease_loss::notIsolated:
        return "notIsolated";
    case lease_loss::groupRemoved:
        return "groupRemoved";
    }
    return "unknown";
}

} // namespace orioledrum

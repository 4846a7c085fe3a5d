#include <search/search_action.h>

namespace orioledrum
{

std::string_view toString(missing_reason reason)
{
    switch (reason) {
    case missing_reason::noReplica:
        return "noReplica";
    case missing_reason::partial:
        return "partial";
    case missing_reason::snapshotNotHeld:
        return "snapshotNotHeld";
    case missing_reason::overloaded:
        return "overloaded";
    case missing_reason::refused:
        return "refused";
    case missing_reason::failed:
        return "failed";
    case missing_reason::late:
        return "late";
    }
    return "failed";
}

double search_result::coverage() const
{
    return shardsTotal == 0 ? 0.0 : static_cast<double>(shardsAnswered) / shardsTotal;
}

} // namespace orioledrum

#include <wire/control_messages.h>
#include <wire/order_messages.h>
#include <wire/search_messages.h>

namespace orioledrum
{

std::string_view toString(backend_state state)
{
    switch (state) {
    case backend_state::warm:
        return "warm";
    case backend_state::cold:
        return "cold";
    case backend_state::draining:
        return "draining";
    }
    return "cold";
}

std::string_view toString(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::notRun:
        return "notRun";
    case order_outcome::ran:
        return "ran";
    case order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(host_state state)
{
    switch (state) {
    case host_state::live:
        return "live";
    case host_state::leaving:
        return "leaving";
    case host_state::suspect:
        return "suspect";
    case host_state::down:
        return "down";
    }
    return "down";
}

} // namespace orioledrum

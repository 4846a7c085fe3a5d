#include <history/render.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace orioledrum::history
{

using json = nlohmann::json;

std::string renderText(const std::vector<promise_result> &results, std::size_t maxShown)
{
    std::string text;
    for (const auto &result : results) {
        text += std::to_string(result.number) + " " + result.name + ": " + std::string(toString(result.decision())) + ", "
            + std::to_string(result.checked) + " checked";
        for (const auto &[name, count] : result.counts) {
            text += ", " + name + " " + std::to_string(count);
        }
        text += "\n";
        for (const auto &evidence : result.missingEvidence) {
            text += "  missing: " + evidence + "\n";
        }
        if (!result.violations.empty()) {
            text += "  violations: " + std::to_string(result.violations.size()) + "\n";
        }
        for (std::size_t index = 0; index < std::min(maxShown, result.violations.size()); ++index) {
            text += "  - " + result.violations[index].text + "\n";
            for (const auto &event : result.violations[index].events) {
                text += "      " + event.place + ": " + event.text + "\n";
            }
        }
    }
    return text;
}

std::string renderJson(const std::vector<promise_result> &results, std::size_t maxShown)
{
    json promises = json::array();
    for (const auto &result : results) {
        json violations = json::array();
        for (std::size_t index = 0; index < std::min(maxShown, result.violations.size()); ++index) {
            json shownEvents = json::array();
            for (const auto &event : result.violations[index].events) {
                shownEvents.push_back({{"place", event.place}, {"line", event.text}});
            }
            violations.push_back({{"text", result.violations[index].text}, {"events", std::move(shownEvents)}});
        }
        promises.push_back({{"number", result.number},
                            {"promise", result.name},
                            {"statement", result.statement},
                            {"verdict", toString(result.decision())},
                            {"checked", result.checked},
                            {"violationCount", result.violations.size()},
                            {"violations", std::move(violations)},
                            {"missing", result.missingEvidence},
                            {"counts", result.counts}});
    }
    return json{{"promises", std::move(promises)}}.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace orioledrum::history

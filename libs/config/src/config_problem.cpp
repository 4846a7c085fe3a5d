#include <config/config_problem.h>

namespace orioledrum
{

std::string config_problem::describe() const
{
    std::string text;
    for (const auto *part : {&file, &keyPath}) {
        if (!part->empty()) {
            text += *part + ": ";
        }
    }
    return text + "found " + found + ", allowed: " + allowed;
}

std::string describe(const std::vector<config_problem> &problems)
{
    std::string text;
    for (const auto &problem : problems) {
        text += (text.empty() ? "" : "\n") + problem.describe();
    }
    return text;
}

} // namespace orioledrum

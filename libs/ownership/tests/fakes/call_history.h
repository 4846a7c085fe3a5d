#pragma once

#include <base/ids.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace orioledrum
{

/// Calls to backend servers in true time, and the check that no two hosts use a group at the same time.
class call_history
{
public:
    using duration = std::chrono::nanoseconds;

    /// Records a call. @param group The group. @param process Host and incarnation. @param begin When it was sent.
    /// @param end When the backend server is done with it. @param share Part of the backend server's limit that the sender uses.
    void add(const group_id &group, const std::string &process, duration begin, duration end, double share);

    /// @return The first overlap whose shares exceed the limit, in words; empty when there is none.
    [[nodiscard]] std::string firstOverlap() const;
    /// @return The number of calls.
    [[nodiscard]] std::size_t size() const;

private:
    struct call {
        std::string process;
        duration begin;
        duration end;
        double share = 1;
    };
    std::map<group_id, std::vector<call>> m_calls;
};

} // namespace orioledrum

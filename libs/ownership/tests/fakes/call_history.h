#pragma once

#include <base/ids.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace orioledrum
{

/// Records calls to backend servers in simulation time and checks that all processes together never exceed the
/// limit of a backend server.
class call_history
{
public:
    using duration = std::chrono::nanoseconds;

    /// Records a call. @param process Host and incarnation of the sender. @param begin When it was sent.
    /// @param end When the backend server stops working on it. @param share Fraction of the backend server's limit that the
    /// sender may use: 1 under a lease, less under fixed shares.
    void add(const group_id &group, const std::string &process, duration begin, duration end, double share);

    /// @return A description of the first call found that overlaps calls of other processes so that the sum of the shares exceeds 1;
    /// empty when there is none.
    [[nodiscard]] std::string firstOverlap() const;
    /// @return The number of recorded calls.
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

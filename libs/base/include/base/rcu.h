#pragma once

namespace orioledrum::rcu
{

/// Marks a read-side critical section for its lifetime. Registers the calling thread on first use.
class read_guard
{
public:
    read_guard();
    ~read_guard();
    read_guard(const read_guard &) = delete;
    read_guard &operator=(const read_guard &) = delete;
};

/// Waits until every read-side critical section that had started before the call has ended.
void synchronize();

} // namespace orioledrum::rcu

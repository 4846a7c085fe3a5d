#pragma once

namespace orioledrum::rcu
{

/// RCU read-side critical section that lasts as long as this object. Registers the calling thread on first use.
class read_guard
{
public:
    read_guard();
    ~read_guard();
    read_guard(const read_guard &) = delete;
    read_guard &operator=(const read_guard &) = delete;
};

/// Waits for a grace period: until every read-side critical section that started before the call has ended.
/// Must not be called while the calling thread holds a read_guard; it would wait for itself.
void synchronize();

} // namespace orioledrum::rcu

#pragma once

#include <base/rcu.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace orioledrum
{

/// Holds an immutable value that many threads read and one replaces at a time. Readers take no lock.
template<typename T>
class rcu_cell
{
public:
    explicit rcu_cell(std::shared_ptr<const T> value = nullptr)
        : m_slot(new std::shared_ptr<const T>(std::move(value)))
    {
    }
    ~rcu_cell() { delete m_slot.load(std::memory_order_acquire); }
    rcu_cell(const rcu_cell &) = delete;
    rcu_cell &operator=(const rcu_cell &) = delete;

    /// @return The current value; it stays valid for as long as the caller keeps the pointer.
    [[nodiscard]] std::shared_ptr<const T> read() const
    {
        const rcu::read_guard guard;
        return *m_slot.load(std::memory_order_acquire);
    }

    /// Publishes a new value and waits until no reader can still be copying the old pointer.
    /// @param value The value that later reads return.
    void publish(std::shared_ptr<const T> value)
    {
        auto *fresh = new std::shared_ptr<const T>(std::move(value));
        const std::lock_guard lock(m_writers);
        auto *old = m_slot.exchange(fresh, std::memory_order_acq_rel);
        rcu::synchronize();
        delete old;
    }

private:
    std::atomic<std::shared_ptr<const T> *> m_slot;
    std::mutex m_writers;
};

} // namespace orioledrum

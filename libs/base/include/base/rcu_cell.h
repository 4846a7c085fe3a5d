#pragma once

#include <base/rcu.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace orioledrum
{

/// Holds an immutable value that many threads read without a lock. Writers replace the value one at a time.
template<typename T>
class rcu_cell
{
public:
    explicit rcu_cell(std::shared_ptr<const T> value = nullptr)
        : m_current(new std::shared_ptr<const T>(std::move(value)))
    {
    }
    ~rcu_cell() { delete m_current.load(std::memory_order_acquire); }
    rcu_cell(const rcu_cell &) = delete;
    rcu_cell &operator=(const rcu_cell &) = delete;

    /// @return The current value. It stays valid as long as the caller keeps the pointer, even after the next publish.
    [[nodiscard]] std::shared_ptr<const T> read() const
    {
        const rcu::read_guard guard;
        return *m_current.load(std::memory_order_acquire);
    }

    /// Replaces the value. Blocks until no reader can still be copying the old pointer; must not be called while
    /// the calling thread holds an rcu::read_guard.
    void publish(std::shared_ptr<const T> value)
    {
        auto *replacement = new std::shared_ptr<const T>(std::move(value));
        const std::lock_guard lock(m_writeMutex);
        auto *old = m_current.exchange(replacement, std::memory_order_acq_rel);
        rcu::synchronize();
        delete old;
    }

private:
    std::atomic<std::shared_ptr<const T> *> m_current;
    std::mutex m_writeMutex;
};

} // namespace orioledrum

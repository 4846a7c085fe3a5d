#include <socket_registry.h>

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace orioledrum
{

namespace
{

thread_local std::shared_ptr<peer_close_watch> threadWatch; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

/// Sends a response without blocking to a client whose request is incomplete and never runs. It may be lost when the client still sends.
void sendTimeout(int descriptor)
{
    constexpr std::string_view text = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    ::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace

asio::execution_context::id socket_registry::id;

socket_registry::socket_registry(asio::execution_context &context)
    : asio::execution_context::service(context)
{
}

void socket_registry::addConnection()
{
    const std::lock_guard lock(m_mutex);
    ++m_connectionCount;
}

void socket_registry::removeConnection()
{
    const std::lock_guard lock(m_mutex);
    --m_connectionCount;
    if (m_connectionsMadeRoom > 0) {
        --m_connectionsMadeRoom;
    }
}

std::size_t socket_registry::connectionCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_connectionCount;
}

void socket_registry::setMemoryBudget(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_account.setBudget(std::max(m_account.budget(), bytes));
}

void socket_registry::setPolicy(const asio::ip::tcp::endpoint &address, std::shared_ptr<const request_policy> policy)
{
    const std::lock_guard lock(m_mutex);
    if (policy) {
        m_policies[address] = std::move(policy);
    } else {
        m_policies.erase(address);
    }
}

std::shared_ptr<const request_policy> socket_registry::policy(const asio::ip::tcp::endpoint &local) const
{
    const std::lock_guard lock(m_mutex);
    auto found = m_policies.find(local);
    if (found == m_policies.end()) {
        found = m_policies.find({local.protocol(), local.port()}); // A server that listens on all addresses.
    }
    return found == m_policies.end() ? nullptr : found->second;
}

memory_account::holder_id socket_registry::addHolder(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    const auto holder = m_account.add(std::chrono::steady_clock::now());
    m_holderDescriptors[holder] = descriptor;
    return holder;
}

void socket_registry::removeHolder(memory_account::holder_id holder)
{
    const std::lock_guard lock(m_mutex);
    m_account.remove(holder);
    m_holderDescriptors.erase(holder);
}

bool socket_registry::setHolder(memory_account::holder_id holder, memory_account::phase waitsFor, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    const bool open = m_account.set(holder, waitsFor, bytes, std::chrono::steady_clock::now());
    shutdownClosedHolders();
    return open;
}

bool socket_registry::growHolder(memory_account::holder_id holder, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    const bool accepted = m_account.grow(holder, bytes, std::chrono::steady_clock::now());
    shutdownClosedHolders();
    return accepted;
}

void socket_registry::recordTransfer(memory_account::holder_id holder, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_account.recordTransfer(holder, bytes, std::chrono::steady_clock::now());
}

bool socket_registry::admitsLarge(std::size_t bytes) const
{
    const std::lock_guard lock(m_mutex);
    return m_account.admitsLarge(bytes);
}

std::size_t socket_registry::heldBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_account.used();
}

void socket_registry::shutdownClosedHolders()
{
    for (const auto &closed : m_account.takeClosed()) {
        const auto found = m_holderDescriptors.find(closed.id);
        if (found == m_holderDescriptors.end()) {
            continue;
        }
        if (closed.waitedFor == memory_account::phase::receiving) {
            sendTimeout(found->second);
        }
        ::shutdown(found->second, SHUT_RDWR);
    }
}

void socket_registry::addIdle(int descriptor, std::chrono::steady_clock::time_point since)
{
    const std::lock_guard lock(m_mutex);
    m_idle[descriptor] = since;
}

void socket_registry::removeIdle(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_idle.erase(descriptor);
}

void socket_registry::addUnfinishedHead(int descriptor, memory_account::holder_id holder, std::chrono::steady_clock::time_point since)
{
    const std::lock_guard lock(m_mutex);
    m_unfinishedHeads[descriptor] = {holder, since};
}

void socket_registry::addUnfinishedBody(int descriptor, memory_account::holder_id holder)
{
    const std::lock_guard lock(m_mutex);
    m_unfinishedBodies[descriptor] = holder;
}

void socket_registry::removeUnfinished(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_unfinishedHeads.erase(descriptor);
    m_unfinishedBodies.erase(descriptor);
}

void socket_registry::addWriting(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_writing[descriptor] = std::chrono::steady_clock::now();
}

void socket_registry::removeWriting(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_writing.erase(descriptor);
}

void socket_registry::shutdownStalledWrites(std::chrono::milliseconds after)
{
    const auto latestStart = std::chrono::steady_clock::now() - after;
    const std::lock_guard lock(m_mutex);
    for (const auto &[descriptor, since] : m_writing) {
        if (since <= latestStart) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

void socket_registry::endUnfinished(int descriptor, memory_account::holder_id holder)
{
    m_account.close(holder); // The rest may have arrived meanwhile; the request must not be handled after the 408.
    sendTimeout(descriptor);
    ::shutdown(descriptor, SHUT_RDWR);
}

void socket_registry::shutdownUnfinished(std::chrono::milliseconds headTime, std::chrono::milliseconds bodyTime)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    for (const auto &[descriptor, head] : m_unfinishedHeads) {
        if (headTime.count() > 0 && head.since <= now - headTime) {
            endUnfinished(descriptor, head.holder);
        }
    }
    for (const auto &[descriptor, holder] : m_unfinishedBodies) {
        if (bodyTime.count() > 0 && m_account.lastProgress(holder) <= now - bodyTime) {
            endUnfinished(descriptor, holder);
        }
    }
}

bool socket_registry::makeRoom(std::size_t maxConnections)
{
    const std::lock_guard lock(m_mutex);
    if (m_connectionCount < maxConnections + m_connectionsMadeRoom) {
        return true;
    }
    const auto latestStart = std::chrono::steady_clock::now() - minRoomWait;
    // The entry that has waited longest and long enough.
    const auto longest = [latestStart](const auto &entries, auto since) {
        const auto earlier = [&](const auto &a, const auto &b) { return since(a.second) < since(b.second); };
        const auto found = std::min_element(entries.begin(), entries.end(), earlier);
        return found != entries.end() && since(found->second) <= latestStart ? found : entries.end();
    };
    const auto self = [](const auto &since) { return since; };
    const auto head = longest(m_unfinishedHeads, [](const unfinished_head &each) { return each.since; });
    const auto body = longest(m_unfinishedBodies, [this](const auto &holder) { return m_account.lastProgress(holder); });
    const auto writing = longest(m_writing, self);
    const auto idle = longest(m_idle, self);
    if (head != m_unfinishedHeads.end()) {
        endUnfinished(head->first, head->second.holder);
        m_unfinishedHeads.erase(head);
    } else if (body != m_unfinishedBodies.end()) {
        endUnfinished(body->first, body->second);
        m_unfinishedBodies.erase(body);
    } else if (writing != m_writing.end()) {
        ::shutdown(writing->first, SHUT_RDWR);
        m_writing.erase(writing);
    } else if (idle != m_idle.end()) {
        ::shutdown(idle->first, SHUT_RD); // A request that has arrived is still read.
        m_idle.erase(idle);
    } else {
        return false;
    }
    ++m_connectionsMadeRoom;
    return true;
}

void socket_registry::setCurrentWatch(std::shared_ptr<peer_close_watch> watch)
{
    threadWatch = std::move(watch);
}

std::shared_ptr<peer_close_watch> socket_registry::currentWatch()
{
    return threadWatch;
}

void socket_registry::shutdownIdle(std::chrono::milliseconds idleFor)
{
    const auto latestStart = std::chrono::steady_clock::now() - idleFor;
    const std::lock_guard lock(m_mutex);
    for (const auto &[descriptor, since] : m_idle) {
        if (since <= latestStart) {
            ::shutdown(descriptor, SHUT_RD);
        }
    }
}

} // namespace orioledrum

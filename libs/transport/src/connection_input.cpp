#include <connection_input.h>

#include <socket_registry.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

constexpr int headTooLarge = 431;
constexpr int bodyTooLarge = 413;
/// States that the request has not run, unlike 413, after which clients do not retry.
constexpr int noMemory = 503;

thread_local connection_input *threadInput = nullptr; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

} // namespace

connection_input::connection_input(socket_registry &registry, int descriptor)
    : m_registry(registry)
    , m_holder(registry.addHolder(descriptor))
{
}

connection_input::~connection_input()
{
    detach();
}

void connection_input::setPolicy(std::shared_ptr<const request_policy> policy)
{
    m_policy = std::move(policy);
    m_limits = m_policy->limits();
}

bool connection_input::receive(std::size_t bytes)
{
    if (m_phase == phase::body || m_phase == phase::complete) {
        return true;
    }
    if (m_phase == phase::idle) {
        m_limits = m_policy->limits(); // They may have been raised while the connection was idle.
    }
    m_rawHeadBytes += bytes;
    return m_rawHeadBytes <= m_limits.maxHeadBytes + maxPaddingBytes || reject(headTooLarge);
}

void connection_input::beginRequest()
{
    m_phase = phase::head;
    m_limits = m_policy->limits();
    m_headBytes = 0;
    m_charged = 0;
    m_uncharged = 0;
    m_largeAdmitted = false;
    m_waitsSince = clock::now();
    m_registry.setHolder(m_holder, memory_account::phase::receiving, 0);
}

bool connection_input::addHead(std::size_t bytes, bool field)
{
    constexpr std::size_t separatorBytes = 4; // Colon, space and line end.
    m_headBytes += bytes + (field ? separatorBytes : 0);
    if (m_headBytes > m_limits.maxHeadBytes) {
        return reject(headTooLarge);
    }
    return charge(bytes + (field ? fieldOverhead : 0));
}

bool connection_input::endHead(std::optional<std::uint64_t> announcedBytes)
{
    m_phase = phase::body;
    m_rawHeadBytes = 0;
    m_announced = announcedBytes.has_value();
    if (!announcedBytes) {
        return true;
    }
    if (*announcedBytes > m_limits.maxBodyBytes) {
        return reject(bodyTooLarge);
    }
    const auto size = static_cast<std::size_t>(*announcedBytes);
    if (m_charged + size > memory_account::maxOrdinaryBytes && !m_largeAdmitted) {
        m_largeAdmitted = true;
        if (!m_registry.admitsLarge(size)) {
            return reject(noMemory);
        }
    }
    m_body.reserve(size); // Untouched memory is not resident, and the body is not copied while it grows.
    return true;
}

bool connection_input::addBody(std::string_view data)
{
    if (m_body.size() + data.size() > m_limits.maxBodyBytes) {
        return reject(bodyTooLarge);
    }
    const auto before = m_body.capacity();
    m_body.append(data);
    if (m_announced) {
        return charge(data.size());
    }
    const auto grown = m_body.capacity() - before;
    m_transferred += data.size();
    if (m_transferred >= memory_account::progressBytes) {
        m_registry.recordTransfer(m_holder, std::exchange(m_transferred, 0));
    }
    return grown == 0 || charge(grown);
}

std::optional<std::string> connection_input::takeBody()
{
    m_phase = phase::complete;
    m_uncharged = 0;
    // The request is held, and a copy of its body in each call to a backend server.
    if (!m_registry.setHolder(m_holder, memory_account::phase::handling, m_charged + m_body.size())) {
        return std::nullopt;
    }
    return std::exchange(m_body, {});
}

void connection_input::setResponse(std::size_t bytes)
{
    m_registry.setHolder(m_holder, memory_account::phase::sending, bytes);
}

void connection_input::endResponse()
{
    m_phase = phase::idle;
    m_rawHeadBytes = 0;
    m_charged = 0;
    m_uncharged = 0;
    m_waitsSince = clock::now();
    m_registry.setHolder(m_holder, memory_account::phase::idle, 0);
}

void connection_input::recordTaken(std::size_t bytes)
{
    m_registry.recordTransfer(m_holder, bytes);
}

void connection_input::detach()
{
    m_registry.removeHolder(std::exchange(m_holder, 0));
}

bool connection_input::charge(std::size_t bytes)
{
    m_charged += bytes;
    if (m_charged > memory_account::maxOrdinaryBytes && !std::exchange(m_largeAdmitted, true) && !m_registry.admitsLarge(bytes)) {
        return reject(noMemory);
    }
    m_uncharged += bytes;
    // A lock for each header field would cost processor time. What is not in the account yet is part of what a connection takes.
    return m_uncharged < memory_account::progressBytes || m_registry.growHolder(m_holder, std::exchange(m_uncharged, 0))
        || reject(noMemory);
}

connection_input *connection_input::current()
{
    return threadInput;
}

void connection_input::setCurrent(connection_input *input)
{
    threadInput = input;
}

} // namespace orioledrum

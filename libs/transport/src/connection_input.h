#pragma once

#include <memory_account.h>
#include <transport/request_limits.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace orioledrum
{

struct request_policy;
class socket_registry;

/// What one connection receives of its current request, and the limits on it. The callbacks of the HTTP parser pass on what they read.
/// After a function has returned false, rejection() is the status with which the request is refused; it has not run then.
/// setResponse() may be called on any thread, everything else on that of the connection.
class connection_input : public std::enable_shared_from_this<connection_input>
{
public:
    using clock = std::chrono::steady_clock;

    /// A header field takes about this many bytes more than its name and value: two strings in RESTinio and two in http_request.
    static constexpr std::size_t fieldOverhead = 160;
    /// Bytes in a head that are not counted there, such as empty lines before it and spaces around values, are limited to this.
    static constexpr std::size_t maxPaddingBytes = std::size_t{16} * 1024;

    connection_input(socket_registry &registry, int descriptor);
    ~connection_input();
    connection_input(const connection_input &) = delete;
    connection_input &operator=(const connection_input &) = delete;

    void setPolicy(std::shared_ptr<const request_policy> policy);

    /// Bytes have arrived; called before they are parsed.
    /// @return False when there are too many bytes before the end of the head.
    bool receive(std::size_t bytes);

    /// The first byte of a request.
    void beginRequest();
    /// @param field True for a name or a value that is the first piece of a header field.
    bool addHead(std::size_t bytes, bool field);
    /// @param announcedBytes Content-Length; empty when the body comes in chunks.
    bool endHead(std::optional<std::uint64_t> announcedBytes);
    bool addBody(std::string_view data);
    /// The request is complete.
    /// @return Its body; empty when the request must not be handled, because its client was told that it never runs.
    std::optional<std::string> takeBody();

    /// @param bytes Size of the response, which the connection holds from now on in place of the request.
    void setResponse(std::size_t bytes);
    /// A response was written. The connection waits for a request.
    void endResponse();
    /// The client has taken bytes of a response.
    void recordTaken(std::size_t bytes);
    /// The connection is closed.
    void detach();

    void setParsing(bool parsing) { m_parsing = parsing; }
    /// @return Whether input that has just been read is being parsed.
    [[nodiscard]] bool isParsing() const { return m_parsing; }

    [[nodiscard]] int rejection() const { return m_rejection; }
    /// @return Whether a request has begun to arrive and its head is not complete.
    [[nodiscard]] bool inHead() const { return m_phase == phase::head; }
    /// @return Whether the head of a request is complete and its body is not.
    [[nodiscard]] bool inBody() const { return m_phase == phase::body; }
    /// @return Start of the wait for a request or of its head.
    [[nodiscard]] clock::time_point waitsSince() const { return m_waitsSince; }
    [[nodiscard]] memory_account::holder_id holder() const { return m_holder; }

    /// @return The input that is being parsed on the calling thread, or null.
    static connection_input *current();
    static void setCurrent(connection_input *input);

private:
    enum class phase { idle, head, body, complete };

    bool reject(int status)
    {
        m_rejection = status;
        return false;
    }
    /// Adds bytes to the account, in steps.
    bool charge(std::size_t bytes);

    socket_registry &m_registry;
    memory_account::holder_id m_holder;
    phase m_phase = phase::idle;
    std::shared_ptr<const request_policy> m_policy;
    request_limits m_limits; ///< For the current request.
    std::size_t m_rawHeadBytes = 0; ///< Bytes received since the last request, up to the end of the head.
    std::size_t m_headBytes = 0;
    std::size_t m_charged = 0; ///< Bytes that the current request takes.
    std::size_t m_uncharged = 0; ///< Part of m_charged that is not in the account yet.
    bool m_largeAdmitted = false;
    std::size_t m_transferred = 0; ///< Bytes of a body in chunks since the last report of progress.
    bool m_announced = false; ///< The length of the body is known and reserved.
    std::string m_body;
    clock::time_point m_waitsSince = clock::now();
    int m_rejection = 0;
    bool m_parsing = false;
};

} // namespace orioledrum

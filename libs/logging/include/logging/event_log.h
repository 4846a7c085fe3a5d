#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace orioledrum
{

/// A field of a structured log line. Durations are written as a number of milliseconds.
struct event_field {
    std::string_view key;
    std::variant<std::int64_t, double, std::string, std::chrono::microseconds> value;
};

/// Writes one JSON object per line to standard output: "at" (UTC), "host", "part", "event", then the fields.
///
/// A writer thread takes the lines from a bounded queue, so logging never blocks on the output. Lines about requests are limited to
/// maxRequestLinesPerSecond; the number of omitted lines is reported in a line "linesOmitted". Not thread-safe: each instance is used
/// by one thread only.
class event_log
{
public:
    /// Maximum number of lines about requests per second.
    static constexpr std::uint32_t maxRequestLinesPerSecond = 200;
    /// Maximum number of lines that wait for the writer thread; Boost.Log drops further ones.
    static constexpr std::size_t maxQueuedLines = 2048;

    /// @param host Id of this entry host, the value of "host" in each line.
    explicit event_log(std::string host);
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Writes a line that is not about a single request, for example a state change. These lines are not rate-limited.
    /// @param part Component that writes the line.
    void write(std::string_view part, std::string_view event, std::initializer_list<event_field> fields = {});

    /// Writes a line about a request, unless maxRequestLinesPerSecond is exceeded.
    /// @return False when the line was omitted because of this limit.
    bool writeRequest(std::string_view part, std::string_view event, time_point now, std::initializer_list<event_field> fields);

    /// @return Number of lines about requests omitted since the start because of the rate limit.
    [[nodiscard]] std::uint64_t omitted() const { return m_omittedTotal; }

private:
    class sink;

    std::string m_host;
    std::unique_ptr<sink> m_sink;
    time_point m_windowStart;
    std::uint32_t m_linesInWindow = 0;
    std::uint64_t m_unreportedOmitted = 0;
    std::uint64_t m_omittedTotal = 0;
};

} // namespace orioledrum

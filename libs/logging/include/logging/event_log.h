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

/// A key and value of a structured log line. Times are written as a number of milliseconds.
struct event_field {
    std::string_view key;
    std::variant<std::int64_t, double, std::string, std::chrono::microseconds> value;
};

/// Writes one JSON object a line to standard output: "at" (UTC), "host", "part", "event", then the fields.
///
/// Lines are handed to a writer thread through a bounded queue, so a caller never waits for the output. Lines of requests
/// are limited to requestLinesPerSecond; what was left out is reported by a line "linesOmitted". Not thread-safe apart from
/// the queue: one instance belongs to one thread.
class event_log
{
public:
    /// Most lines of requests in a second.
    static constexpr std::uint32_t requestLinesPerSecond = 200;
    /// Lines that wait for the writer at most; further ones are dropped by the logging library.
    static constexpr std::size_t queueLines = 2048;

    /// @param host Name of this process, part of each line.
    explicit event_log(std::string host);
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Writes a line about a belief or the life of the process.
    void write(std::string_view part, std::string_view name, std::initializer_list<event_field> fields = {});

    /// Writes a line about a request, within the bound.
    /// @return False when the line was left out.
    bool writeRequest(std::string_view part, std::string_view name, time_point now, std::initializer_list<event_field> fields);

    /// @return Lines left out since the start.
    [[nodiscard]] std::uint64_t omitted() const { return m_omittedTotal; }

private:
    class sink;

    std::string m_host;
    std::unique_ptr<sink> m_sink;
    time_point m_second;
    std::uint32_t m_lines = 0;
    std::uint64_t m_omitted = 0;
    std::uint64_t m_omittedTotal = 0;
};

} // namespace orioledrum

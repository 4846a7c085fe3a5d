#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace orioledrum::standin
{

/// Writes one line per call to a file, if one is open. append() and flush() are thread-safe.
class recorder
{
public:
    recorder() = default;

    /// Truncates the file, or creates it.
    /// @return False when the file cannot be opened for writing.
    bool open(const std::string &file);

    /// @return True when a file is open.
    [[nodiscard]] bool enabled() const { return m_enabled; }

    void append(const std::string &line);
    void flush();

private:
    std::mutex m_mutex;
    std::ofstream m_output;
    bool m_enabled = false;
};

} // namespace orioledrum::standin

#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace orioledrum::standin
{

/// Appends JSON lines to a file. Thread-safe.
class recorder
{
public:
    recorder() = default;

    /// @return False when the file cannot be written.
    bool open(const std::string &file);

    /// @return True when lines are kept.
    [[nodiscard]] bool enabled() const { return m_enabled; }

    void append(const std::string &line);
    void flush();

private:
    std::mutex m_mutex;
    std::ofstream m_output;
    bool m_enabled = false;
};

} // namespace orioledrum::standin

#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace orioledrum::standin
{

/// Appends lines to a file. append() and flush() are thread-safe and have no effect when no file is open.
class recorder
{
public:
    recorder() = default;

    /// Truncates the file, or creates it. Must be called before other threads use the recorder.
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

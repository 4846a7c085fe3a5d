#include <standin/recorder.h>

namespace orioledrum::standin
{

bool recorder::open(const std::string &file)
{
    m_output.open(file, std::ios::binary | std::ios::trunc);
    m_enabled = m_output.is_open();
    return m_enabled;
}

void recorder::append(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_output << line << '\n';
}

void recorder::flush()
{
    const std::lock_guard lock(m_mutex);
    if (m_enabled) {
        m_output.flush();
    }
}

} // namespace orioledrum::standin

#include <logging/event_log.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <iostream>
#include <utility>

namespace orioledrum
{

namespace
{

/// @return The current UTC time as "2026-01-31T12:00:00.123Z".
std::string utcTimestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto millisecond = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 40> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(millisecond));
    return text.data();
}

template<typename Value>
const Value &toJsonValue(const Value &value)
{
    return value;
}

double toJsonValue(const std::chrono::microseconds &time)
{
    return static_cast<double>(time.count()) / 1000;
}

} // namespace

class event_log::sink
{
public:
    using backend = boost::log::sinks::text_ostream_backend;
    using frontend =
        boost::log::sinks::asynchronous_sink<backend,
                                             boost::log::sinks::bounded_fifo_queue<maxQueuedLines, boost::log::sinks::drop_on_overflow>>;

    sink()
        : m_frontend(boost::make_shared<frontend>())
    {
        const auto output = m_frontend->locked_backend();
        output->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
        output->auto_flush(true);
        boost::log::core::get()->add_sink(m_frontend);
    }

    sink(const sink &) = delete;
    sink &operator=(const sink &) = delete;

    ~sink()
    {
        boost::log::core::get()->remove_sink(m_frontend);
        m_frontend->stop();
        m_frontend->flush();
    }

    void write(const std::string &line) { BOOST_LOG(m_logger) << line; }

private:
    boost::shared_ptr<frontend> m_frontend;
    boost::log::sources::logger m_logger;
};

event_log::event_log(std::string host)
    : m_host(std::move(host))
    , m_sink(std::make_unique<sink>())
{
}

event_log::~event_log() = default;

void event_log::write(std::string_view part, std::string_view event, std::initializer_list<event_field> fields)
{
    nlohmann::ordered_json line;
    line["at"] = utcTimestamp();
    line["host"] = m_host;
    line["part"] = part;
    line["event"] = event;
    for (const auto &field : fields) {
        std::visit([&](const auto &value) { line[std::string(field.key)] = toJsonValue(value); }, field.value);
    }
    // Values from callers may contain invalid UTF-8; it is replaced, because dump() would otherwise throw.
    m_sink->write(line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

bool event_log::writeRequest(std::string_view part, std::string_view event, time_point now, std::initializer_list<event_field> fields)
{
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_linesInWindow = 0;
        if (m_unreportedOmitted > 0) {
            write("log", "linesOmitted", {{"lines", static_cast<std::int64_t>(std::exchange(m_unreportedOmitted, 0))}});
        }
    }
    if (m_linesInWindow >= maxRequestLinesPerSecond) {
        ++m_unreportedOmitted;
        ++m_omittedTotal;
        return false;
    }
    ++m_linesInWindow;
    write(part, event, fields);
    return true;
}

} // namespace orioledrum

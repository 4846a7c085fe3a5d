#include <logging/component_logger.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace orioledrum
{

namespace
{

using severity_source = boost::log::sources::severity_logger_mt<log_level>;

severity_source &severitySource()
{
    static severity_source instance;
    return instance;
}

} // namespace

std::ostream &operator<<(std::ostream &out, log_level level)
{
    switch (level) {
    case log_level::debug:
        return out << "debug";
    case log_level::info:
        return out << "info";
    case log_level::warning:
        return out << "warning";
    case log_level::error:
        return out << "error";
    }
    return out << "error";
}

expected<log_level> parseLogLevel(std::string_view text)
{
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "info") {
        return log_level::info;
    }
    if (text == "warning") {
        return log_level::warning;
    }
    if (text == "error") {
        return log_level::error;
    }
    return makeError(
        error_code::invalidArgument, "read log level", "found '" + std::string(text) + "'; allowed are debug, info, warning, error");
}

void initLogging(std::string_view process, log_level minLevel)
{
    namespace expr = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::core::get()->set_filter(expr::attr<log_level>("Severity") >= minLevel);
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format = expr::stream
                                    << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f") << ' '
                                    << std::string(process) << ' ' << expr::attr<log_level>("Severity") << ' ' << expr::smessage,
                                boost::log::keywords::auto_flush = true);
}

component_logger::component_logger(std::string component)
    : m_component(std::move(component))
{
}

void component_logger::write(log_level level, std::string_view message, std::initializer_list<log_field> fields) const
{
    BOOST_LOG_SEV(severitySource(), level) << m_component << ": " << message << [&fields] {
        std::string text;
        for (const auto &field : fields) {
            text.append(" ").append(field.key).append("=").append(field.value);
        }
        return text;
    }();
}

} // namespace orioledrum

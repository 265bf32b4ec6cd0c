// JSON lines on log4cplus: the line is rendered here, log4cplus filters by level and writes it.
#include "adapters/logging/json_log.h"

#include <chrono>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace anvilpost {
namespace {

std::string& node_name()
{
    static std::string name;
    return name;
}

log4cplus::LogLevel to_log4cplus(log_level level)
{
    switch (level) {
    case log_level::debug: return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info: return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning: return log4cplus::WARN_LOG_LEVEL;
    case log_level::error: return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string_view level_name(log_level level)
{
    switch (level) {
    case log_level::debug: return "debug";
    case log_level::info: return "info";
    case log_level::warning: return "warning";
    case log_level::error: return "error";
    }
    return "info";
}

} // namespace

void set_up_logging(log_level least, const std::string& node)
{
    static const log4cplus::Initializer initializer;
    node_name() = node;
    constexpr bool log_to_standard_error = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(log_to_standard_error, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(least));
}

void write_log(log_level level, const std::string& message, std::initializer_list<log_field> fields)
{
    auto logger = log4cplus::Logger::getRoot();
    if (!logger.isEnabledFor(to_log4cplus(level))) {
        return;
    }
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json line;
    line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    line["level"] = level_name(level);
    line["node"] = node_name();
    line["message"] = message;
    for (const auto& [name, value] : fields) {
        line[name] = value;
    }
    logger.forcedLog(to_log4cplus(level),
                     line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace anvilpost

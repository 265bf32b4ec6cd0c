// JSON log lines: formatted here, filtered by level in log4cplus, written by an appender that never blocks.
#include "adapters/logging/json_log.h"

#include <algorithm>
#include <chrono>
#include <climits>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <poll.h>
#include <unistd.h>

namespace anvilpost {
namespace {

std::string& node_name()
{
    static std::string name;
    return name;
}

std::uint64_t& dropped_line_count()
{
    static std::uint64_t count = 0;
    return count;
}

/// Writes lines to standard output without ever blocking: a pipe that polls as writable accepts PIPE_BUF
/// bytes at once, so longer lines are written in pieces of at most that size. If a piece cannot be written,
/// the rest of the line is dropped and the line is counted.
class output_appender : public log4cplus::Appender {
public:
    output_appender() = default;
    output_appender(const output_appender&) = delete;
    output_appender& operator=(const output_appender&) = delete;
    ~output_appender() override { destructorImpl(); }

    void close() override {}

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const std::string line = event.getMessage() + "\n";
        std::size_t written = 0;
        while (written < line.size()) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            const auto piece_size = std::min<std::size_t>(line.size() - written, PIPE_BUF);
            const bool writable = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
            const auto count = writable ? write(STDOUT_FILENO, line.data() + written, piece_size) : -1;
            if (count <= 0) {
                ++dropped_line_count();
                return;
            }
            written += static_cast<std::size_t>(count);
        }
    }
};

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

void set_up_logging(log_level min_level, const std::string& node)
{
    static const log4cplus::Initializer initializer;
    node_name() = node;
    log4cplus::SharedAppenderPtr appender(new output_appender);
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(min_level));
}

std::uint64_t dropped_log_lines()
{
    return dropped_line_count();
}

void write_log(log_level level, std::string_view message, std::initializer_list<log_field> fields)
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

#pragma once

#include "kernel/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Anvilcart
{
/// One record of a stream.
struct LogRecord
{
    std::uint64_t offset = 0;
    std::string body;
};

/// Records in the order of their offsets, and the offset at which to continue reading.
struct LogPage
{
    /// The lowest offset that the stream still retains.
    std::uint64_t first = 0;
    /// The offset after the last record of this page.
    std::uint64_t next = 0;
    /// The offset after the last record of the stream.
    std::uint64_t end = 0;
    std::vector<LogRecord> records;
};

/// The call failed. An append may have taken effect nevertheless, if the request was sent.
struct LogFailure
{
    // A constructor, since GCC 12 copies a braced aggregate inside a co_await or co_return expression byte by byte.
    LogFailure(bool mayHave, std::string text)
        : mayHaveTakenEffect(mayHave)
        , error(std::move(text))
    {
    }

    bool mayHaveTakenEffect;
    std::string error;
};

/// The record was appended at this offset.
struct LogAppended
{
    std::uint64_t offset = 0;
};

using LogReadResult = std::variant<LogPage, LogFailure>;
using LogAppendResult = std::variant<LogAppended, LogFailure>;

/// The platform's append-only log. Each call runs on the executor of the awaiting coroutine.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Reads records from the offset `from`; waits up to `wait` for a record if there is none yet.
    virtual boost::asio::awaitable<LogReadResult> read(std::string stream, std::uint64_t from, Duration wait) = 0;

    /// Appends one record.
    virtual boost::asio::awaitable<LogAppendResult> append(std::string stream, std::string body) = 0;
};
} // namespace Anvilcart

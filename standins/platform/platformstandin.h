#pragma once

#include "kernel/eventloops.h"
#include "model/endpoint.h"
#include "net/httpserver.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Faults and limits that POST /control sets, as a JSON object with these names.
struct PlatformFaults
{
    /// Answers nothing at all.
    bool outage = false;
    /// Time of a synced append.
    std::int64_t syncMs = 5;
    /// Appends a second over all streams.
    std::int64_t appendsPerSecond = 400;
    /// So many of the next appends take effect and lose their answer.
    std::int64_t loseAnswers = 0;
    /// So many of the next appends take effect this much later, after their caller was cut off.
    std::int64_t lateAppends = 0;
    std::int64_t lateMs = 0;
    /// How old the host list is when it is read.
    std::int64_t hostLagMs = 0;
    /// Answers nothing to callers whose address has this third number.
    std::set<std::int64_t> cutZones;
};

/// An append-only log with offsets and a lagging host list over HTTP. All state lives on one loop.
class PlatformStandin
{
public:
    /// Precondition: loops has exactly one loop.
    PlatformStandin(EventLoops &loops, const Endpoint &endpoint);

private:
    using Answer = boost::asio::awaitable<HttpResponse>;
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Stream
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
        std::vector<std::shared_ptr<boost::asio::steady_timer>> readers;
    };

    struct HostsAt
    {
        TimePoint since;
        std::map<std::string, std::string> entries;
    };

    Answer handle(HttpRequest request);
    Answer append(std::string stream, std::string body);
    Answer read(std::string stream, std::string query);
    HttpResponse hosts() const;
    HttpResponse changeHost(const HttpRequest &request);
    HttpResponse control(const std::string &body);
    HttpResponse expire(const std::string &body);
    void appendNow(const std::string &stream, std::string body);
    bool isCutOff(const HttpRequest &request) const;

    EventLoops &m_loops;
    PlatformFaults m_faults;
    std::map<std::string, Stream> m_streams;
    std::deque<HostsAt> m_hosts;
    TimePoint m_nextAppend;
    HttpServer m_server;
};
} // namespace Anvilcart

#include "platform/platformstandin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono;

namespace
{
constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PageRecords = 1000;
constexpr std::string_view LogPrefix = "/v1/logs/";
constexpr std::string_view LogSuffix = "/records";

HttpResponse failure(int status)
{
    HttpResponse response;
    response.status = status;
    response.body = "{}";
    return response;
}

HttpResponse success(const json::value &value)
{
    HttpResponse response;
    response.body = json::serialize(value);
    return response;
}

HttpResponse cutOff()
{
    HttpResponse response;
    response.abort = true;
    return response;
}

std::uint64_t queryNumber(const std::string &query, const std::string &key)
{
    const auto start = query.find(key + "=");
    return start == std::string::npos ? 0 : std::strtoull(query.c_str() + start + key.size() + 1, nullptr, 10);
}

void readNumber(const json::object &object, std::string_view key, std::int64_t &number)
{
    if (const auto *value = object.if_contains(key)) {
        number = value->to_number<std::int64_t>();
    }
}

std::int64_t zoneNumber(const std::string &address)
{
    const auto second = address.find('.', address.find('.') + 1);
    return second == std::string::npos ? 0 : std::strtoll(address.c_str() + second + 1, nullptr, 10);
}
} // namespace

PlatformStandin::PlatformStandin(EventLoops &loops, const Endpoint &endpoint)
    : m_loops(loops)
    , m_hosts {HostsAt {TimePoint(), {}}}
    , m_server(
          loops,
          endpoint,
          HttpLimits(),
          [this](HttpRequest request, HttpPeer &) {
              return handle(std::move(request));
          },
          [](ResultCode) {
              return failure(400);
          })
{
}

PlatformStandin::Answer PlatformStandin::handle(HttpRequest request)
{
    if (request.path == "/control") {
        co_return control(request.body);
    }
    if (request.path == "/control/expire") {
        co_return expire(request.body);
    }
    if (request.path.starts_with("/control/hosts/")) {
        co_return changeHost(request);
    }
    if (m_faults.outage || isCutOff(request)) {
        co_return cutOff();
    }
    if (request.path == "/v1/hosts") {
        co_return hosts();
    }
    if (!request.path.starts_with(LogPrefix) || !request.path.ends_with(LogSuffix)) {
        co_return failure(404);
    }
    auto stream = request.path.substr(LogPrefix.size(), request.path.size() - LogPrefix.size() - LogSuffix.size());
    if (request.method == "POST") {
        co_return co_await append(std::move(stream), std::move(request.body));
    }
    co_return co_await read(std::move(stream), request.query);
}

PlatformStandin::Answer PlatformStandin::append(std::string stream, std::string body)
{
    const auto turn = std::max(m_nextAppend, steady_clock::now());
    m_nextAppend = turn + microseconds(1'000'000 / m_faults.appendsPerSecond);
    const bool late = m_faults.lateAppends > 0;
    if (late) {
        --m_faults.lateAppends;
        auto timer = std::make_shared<asio::steady_timer>(m_loops.at(0), turn + milliseconds(m_faults.lateMs));
        timer->async_wait([this, timer, stream, body](const boost::system::error_code &) {
            appendNow(stream, body);
        });
        co_return cutOff();
    }
    asio::steady_timer sync(m_loops.at(0), turn + milliseconds(m_faults.syncMs));
    co_await sync.async_wait(Awaitable);
    appendNow(stream, std::move(body));
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        co_return cutOff();
    }
    const auto &records = m_streams[stream];
    co_return success(json::object {{"offset", records.first + records.records.size() - 1}});
}

void PlatformStandin::appendNow(const std::string &stream, std::string body)
{
    auto &target = m_streams[stream];
    target.records.push_back(std::move(body));
    for (auto &reader : target.readers) {
        reader->cancel();
    }
    target.readers.clear();
}

PlatformStandin::Answer PlatformStandin::read(std::string stream, std::string query)
{
    const auto from = queryNumber(query, "from");
    const auto wait = milliseconds(queryNumber(query, "wait_ms"));
    if (from >= m_streams[stream].first + m_streams[stream].records.size() && wait.count() > 0) {
        auto timer = std::make_shared<asio::steady_timer>(m_loops.at(0), wait);
        m_streams[stream].readers.push_back(timer);
        co_await timer->async_wait(Awaitable);
    }
    if (m_faults.outage) {
        co_return cutOff();
    }
    const auto &source = m_streams[stream];
    const auto end = source.first + source.records.size();
    auto next = std::clamp(from, source.first, end);
    json::array records;
    while (next < end && records.size() < PageRecords) {
        records.push_back(json::object {{"offset", next}, {"body", source.records[next - source.first]}});
        ++next;
    }
    co_return success(json::object {{"first", source.first}, {"next", next}, {"end", end}, {"records", std::move(records)}});
}

HttpResponse PlatformStandin::hosts() const
{
    const auto visible = steady_clock::now() - milliseconds(m_faults.hostLagMs);
    const auto newest = std::find_if(m_hosts.rbegin(), m_hosts.rend(), [&](const HostsAt &hosts) {
        return hosts.since <= visible;
    });
    json::array entries;
    if (newest != m_hosts.rend()) {
        for (const auto &[name, entry] : newest->entries) {
            entries.push_back(json::parse(entry));
        }
    }
    return success(json::object {{"hosts", std::move(entries)}});
}

HttpResponse PlatformStandin::changeHost(const HttpRequest &request)
{
    const auto name = request.path.substr(std::string_view("/control/hosts/").size());
    auto entries = m_hosts.back().entries;
    if (request.method == "DELETE") {
        entries.erase(name);
    } else {
        entries[name] = request.body;
    }
    m_hosts.push_back({steady_clock::now(), std::move(entries)});
    return success(json::object {});
}

HttpResponse PlatformStandin::control(const std::string &body)
{
    const auto value = json::parse(body);
    const auto &object = value.as_object();
    if (const auto *outage = object.if_contains("outage")) {
        m_faults.outage = outage->as_bool();
    }
    readNumber(object, "sync_ms", m_faults.syncMs);
    readNumber(object, "appends_per_second", m_faults.appendsPerSecond);
    readNumber(object, "lose_answers", m_faults.loseAnswers);
    readNumber(object, "late_appends", m_faults.lateAppends);
    readNumber(object, "late_ms", m_faults.lateMs);
    readNumber(object, "host_lag_ms", m_faults.hostLagMs);
    if (const auto *zones = object.if_contains("cut_zones")) {
        m_faults.cutZones.clear();
        for (const auto &zone : zones->as_array()) {
            m_faults.cutZones.insert(zone.to_number<std::int64_t>());
        }
    }
    return success(json::object {});
}

HttpResponse PlatformStandin::expire(const std::string &body)
{
    const auto value = json::parse(body);
    auto &stream = m_streams[json::value_to<std::string>(value.at("stream"))];
    const auto before = value.at("before").to_number<std::uint64_t>();
    while (!stream.records.empty() && stream.first < before) {
        stream.records.pop_front();
        ++stream.first;
    }
    return success(json::object {{"first", stream.first}});
}

bool PlatformStandin::isCutOff(const HttpRequest &request) const
{
    return m_faults.cutZones.contains(zoneNumber(request.remoteAddress));
}
} // namespace Anvilcart

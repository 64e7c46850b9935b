#include "publication/logclient.h"

#include "net/httpclient.h"

#include <boost/json.hpp>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr Milliseconds CallTimeout {2000};
constexpr int StatusOk = 200;

std::string recordsPath(const std::string &stream)
{
    return "/v1/logs/" + stream + "/records";
}

LogReadResult decodePage(const std::string &body)
{
    try {
        const auto value = json::parse(body);
        const auto &object = value.as_object();
        LogPage page;
        page.first = object.at("first").to_number<std::uint64_t>();
        page.next = object.at("next").to_number<std::uint64_t>();
        page.end = object.at("end").to_number<std::uint64_t>();
        for (const auto &record : object.at("records").as_array()) {
            page.records.push_back({record.at("offset").to_number<std::uint64_t>(), json::value_to<std::string>(record.at("body"))});
        }
        return page;
    } catch (const std::exception &error) {
        return LogFailure(false, std::string("the log's response cannot be decoded: ") + error.what());
    }
}

LogAppendResult decodeAppendResult(const std::string &body)
{
    try {
        return LogAppended {json::parse(body).at("offset").to_number<std::uint64_t>()};
    } catch (const std::exception &error) {
        return LogFailure(true, std::string("the log's response cannot be decoded: ") + error.what());
    }
}

std::string describeFailure(const HttpReply &reply)
{
    return reply.progress == CallProgress::Answered ? "the log returned HTTP status " + std::to_string(reply.status) : reply.error;
}
} // namespace

LogClient::LogClient(std::vector<Endpoint> endpoints, std::string sourceAddress)
    : m_endpoints(std::move(endpoints))
    , m_sourceAddress(std::move(sourceAddress))
{
}

asio::awaitable<LogReadResult> LogClient::read(std::string stream, std::uint64_t from, Duration wait)
{
    const auto waitMs = std::chrono::duration_cast<Milliseconds>(wait).count();
    HttpCall call {"GET", recordsPath(stream) + "?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(waitMs), ""};
    const auto reply = co_await callOnce(currentEndpoint(), std::move(call), wait + CallTimeout, m_sourceAddress);
    if (reply.progress != CallProgress::Answered || reply.status != StatusOk) {
        switchToNextEndpoint();
        co_return LogFailure(false, describeFailure(reply));
    }
    co_return decodePage(reply.body);
}

asio::awaitable<LogAppendResult> LogClient::append(std::string stream, std::string body)
{
    HttpCall call {"POST", recordsPath(stream), std::move(body)};
    const auto reply = co_await callOnce(currentEndpoint(), std::move(call), CallTimeout, m_sourceAddress);
    if (reply.progress != CallProgress::Answered || reply.status != StatusOk) {
        switchToNextEndpoint();
        co_return LogFailure(reply.progress != CallProgress::NotSent, describeFailure(reply));
    }
    co_return decodeAppendResult(reply.body);
}

const Endpoint &LogClient::currentEndpoint() const
{
    return m_endpoints[m_endpointIndex.load(std::memory_order_relaxed) % m_endpoints.size()];
}

void LogClient::switchToNextEndpoint()
{
    m_endpointIndex.fetch_add(1, std::memory_order_relaxed);
}
} // namespace Anvilcart

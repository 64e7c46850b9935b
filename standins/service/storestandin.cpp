#include "service/storestandin.h"

#include "net/httpserver.h"
#include "platform/names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <atomic>
#include <cstring>
#include <limits>
#include <map>
#include <mutex>
#include <vector>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr Milliseconds PollPeriod {10};

struct Topic
{
    std::vector<std::string> contents;
    std::uint64_t firstOffset = 0;
    /// Value and offset of the newest record of each key.
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
};

std::string encodeRecord(const std::string &key, const std::string &value)
{
    return std::string(1, static_cast<char>(key.size())) + key + value;
}

template<typename Number>
std::string bigEndian(Number number)
{
    const auto swapped = boost::endian::native_to_big(number);
    std::string bytes(sizeof(Number), '\0');
    std::memcpy(bytes.data(), &swapped, sizeof(Number));
    return bytes;
}

std::string queryValue(const std::string &query, const std::string &name)
{
    const auto begin = ("&" + query).find("&" + name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const auto rest = query.substr(begin + name.size() + 1);
    return rest.substr(0, rest.find('&'));
}

std::string percentDecoded(const std::string &text)
{
    constexpr std::size_t DigitCount = 2;
    constexpr int Hexadecimal = 16;
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + DigitCount < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(index + 1, DigitCount), nullptr, Hexadecimal));
            index += DigitCount;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::uint64_t queryNumber(const std::string &query, const std::string &name)
{
    std::uint64_t number = 0;
    boost::conversion::try_lexical_convert(queryValue(query, name), number);
    return number;
}

HttpResponse answer(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}
} // namespace

struct StoreStandin::Private : std::enable_shared_from_this<StoreStandin::Private>
{
    void put(const std::string &name, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex);
        auto &topic = topics[name];
        const auto offset = topic.firstOffset + topic.contents.size();
        topic.contents.push_back(encodeRecord(key, value));
        if (value.empty()) {
            topic.newest.erase(key);
        } else {
            topic.newest[key] = {value, offset};
        }
    }

    std::string encodeOffsets(Topic &topic)
    {
        return bigEndian<std::uint64_t>(topic.firstOffset + topic.contents.size()) + bigEndian<std::uint64_t>(topic.firstOffset);
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        ++calls;
        if (unavailable.load()) {
            co_return answer(503, "{}");
        }
        const auto name = queryValue(request.query, "topic");
        if (request.path == Platform::Names::LogAppendPath) {
            co_return append(name, request.body);
        }
        if (request.path == Platform::Names::LogNewestPath) {
            co_return newest(name, percentDecoded(queryValue(request.query, "depends_on")));
        }
        if (request.path == Platform::Names::LogReadPath) {
            co_return co_await read(name, queryNumber(request.query, "from"), Milliseconds(queryNumber(request.query, "wait_ms")));
        }
        co_return answer(404, "{}");
    }

    HttpResponse append(const std::string &name, const std::string &body)
    {
        constexpr std::size_t LengthBytes = 4;
        if (body.size() <= LengthBytes) {
            return answer(400, "{}");
        }
        const auto keyLength = static_cast<unsigned char>(body[LengthBytes]);
        put(name, body.substr(LengthBytes + 1, keyLength), body.substr(LengthBytes + 1 + keyLength));
        return answer(200, R"({"offset":0,"end_offset":1})");
    }

    HttpResponse newest(const std::string &name, const std::string &afterKey)
    {
        namespace base64 = boost::beast::detail::base64;
        const std::lock_guard lock(mutex);
        auto &topic = topics[name];
        json::array items;
        bool hasMore = false;
        for (auto next = topic.newest.upper_bound(afterKey); next != topic.newest.end(); ++next) {
            if (items.size() == pageSize) {
                hasMore = true;
                break;
            }
            const auto &[key, record] = *next;
            std::string encoded(base64::encoded_size(record.first.size()), '\0');
            encoded.resize(base64::encode(encoded.data(), record.first.data(), record.first.size()));
            items.push_back({{"key", key}, {"value", encoded}, {"offset", record.second}});
        }
        const auto end = topic.firstOffset + topic.contents.size();
        return answer(200, json::serialize(json::object {{"items", items}, {"has_more", hasMore}, {"end_offset", end}}));
    }

    asio::awaitable<HttpResponse> read(std::string name, std::uint64_t from, Milliseconds wait)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const auto waitUntil = Clock::now() + wait;
        while (true) {
            {
                const std::lock_guard lock(mutex);
                auto &topic = topics[name];
                if (from < topic.firstOffset) {
                    co_return answer(410, json::serialize(json::object {{"first_offset", topic.firstOffset}}));
                }
                if (from < topic.firstOffset + topic.contents.size() || Clock::now() >= waitUntil) {
                    co_return answer(200, encodeOffsets(topic) + recordsFrom(topic, from));
                }
            }
            timer.expires_after(PollPeriod);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    static std::string recordsFrom(const Topic &topic, std::uint64_t from)
    {
        std::string records;
        for (auto index = from - topic.firstOffset; index < topic.contents.size(); ++index) {
            records += bigEndian(static_cast<std::uint32_t>(topic.contents[index].size())) + topic.contents[index];
        }
        return records;
    }

    std::mutex mutex;
    std::map<std::string, Topic> topics;
    std::atomic<bool> unavailable = false;
    std::atomic<std::size_t> calls = 0;
    std::atomic<std::size_t> pageSize = std::numeric_limits<std::size_t>::max();
    std::unique_ptr<HttpServer> server;
};

StoreStandin::StoreStandin(EventLoops &loops, const Endpoint &endpoint)
    : d(std::make_shared<Private>())
{
    d->server = std::make_unique<HttpServer>(
        loops,
        endpoint,
        HttpLimits(),
        // A plain pointer is safe: the stand-in owns the server, and its site stops the loops before destroying the stand-in.
        [self = d.get()](HttpRequest request, HttpPeer &) {
            return self->handle(std::move(request));
        },
        [](ResultCode) {
            return answer(400, "{}");
        });
}

StoreStandin::~StoreStandin() = default;

void StoreStandin::put(const std::string &topic, const std::string &key, const std::string &value)
{
    d->put(topic, key, value);
}

void StoreStandin::setUnavailable(bool down)
{
    d->unavailable.store(down);
}

void StoreStandin::setPageSize(std::size_t keys)
{
    d->pageSize.store(keys);
}

void StoreStandin::dropHistory()
{
    const std::lock_guard lock(d->mutex);
    for (auto &[name, topic] : d->topics) {
        topic.firstOffset += topic.contents.size();
        topic.contents.clear();
    }
}

std::size_t StoreStandin::callCount() const
{
    return d->calls.load();
}
} // namespace Anvilcart

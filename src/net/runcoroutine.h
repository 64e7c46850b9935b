#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace Anvilcart
{
/// Runs one coroutine to its end on a loop of its own and returns its value. Blocks.
template<typename T>
T runCoroutine(boost::asio::awaitable<T> coroutine)
{
    boost::asio::io_context loop;
    auto value = boost::asio::co_spawn(loop, std::move(coroutine), boost::asio::use_future);
    loop.run();
    return value.get();
}
} // namespace Anvilcart

#include "kernel/snapshot.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(SnapshotSuite, *boost::unit_test::label("kernel"))

BOOST_AUTO_TEST_CASE(Readers_see_only_whole_values_while_one_is_replaced)
{
    struct Pair
    {
        int left;
        int right;
    };
    Snapshot<Pair> snapshot;
    snapshot.publish(std::make_shared<const Pair>(Pair {0, 0}));
    std::atomic<bool> stop = false;
    std::atomic<int> torn = 0;
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i) {
        readers.emplace_back([&] {
            while (!stop.load()) {
                const auto value = snapshot.read();
                torn += value->left != value->right ? 1 : 0;
            }
        });
    }
    for (int i = 1; i <= 300; ++i) {
        snapshot.publish(std::make_shared<const Pair>(Pair {i, i}));
    }
    stop = true;
    for (auto &reader : readers) {
        reader.join();
    }
    BOOST_TEST(torn.load() == 0);
    BOOST_TEST(snapshot.read()->left == 300);
}

BOOST_AUTO_TEST_SUITE_END()

#include "publication/configurationservice.h"
#include "publication/peerconfiguration.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
LogPage pageWithRecord(std::uint64_t offset, const std::string &body)
{
    LogPage page;
    page.next = offset + 1;
    page.end = page.next;
    page.records = {{offset, body}};
    return page;
}

std::string encodedRecord(std::uint64_t parent, const std::string &base)
{
    ConfigurationRecord record;
    record.id = "r" + std::to_string(parent);
    record.parent = parent;
    record.version = parent + 1;
    record.files = {{BaseFileName, base}};
    return encode(record);
}
} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationServiceSuite, *boost::unit_test::label("platform"))

BOOST_AUTO_TEST_CASE(A_version_that_cannot_be_parsed_leaves_the_previous_one_in_force_and_the_next_builds_on_it)
{
    ConfigurationService service;
    service.applyPage(pageWithRecord(0, encodedRecord(0, "limits:\n  max_queued_tasks: 5\n")));
    service.applyPage(pageWithRecord(1, encodedRecord(1, "limits:\n  from_a_later_release: 5\n")));
    BOOST_TEST(service.current()->version == 1);
    BOOST_TEST(service.status()->accepted.record.version == 2);
    BOOST_TEST(service.skippedRecords() == 1);
    service.applyPage(pageWithRecord(2, encodedRecord(2, "limits:\n  max_queued_tasks: 6\n")));
    BOOST_TEST(service.current()->version == 3);
}

BOOST_AUTO_TEST_CASE(A_record_that_cannot_be_decoded_is_skipped_and_counted)
{
    ConfigurationService service;
    service.applyPage(pageWithRecord(0, "\xff{"));
    service.applyPage(pageWithRecord(1, encodedRecord(0, "")));
    BOOST_TEST(service.skippedRecords() == 1);
    BOOST_TEST(service.current()->version == 1);
}

BOOST_AUTO_TEST_CASE(A_peer_configuration_is_decoded_as_it_was_encoded)
{
    const auto record = decodeConfigurationRecord(encodedRecord(4, "teams: []\n"));
    const auto peer = decodePeerConfiguration(encode(PeerConfiguration {*record, 17, true}));
    BOOST_REQUIRE(peer.has_value());
    BOOST_TEST(peer->next == 17);
    BOOST_TEST(peer->established);
    BOOST_TEST((peer->record.files == record->files));
    BOOST_TEST(!decodePeerConfiguration("[]").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include "verbs/checkedfiles.h"

#include "config/configurationparser.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
template<typename Read>
CheckResult check(const Read &read)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<CheckResult> {
            CheckedFiles checked;
            BOOST_LEAF_ASSIGN(checked.files, read());
            BOOST_LEAF_ASSIGN(checked.configuration, parseConfiguration(checked.files));
            return CheckResult(std::move(checked));
        },
        [](const ConfigurationError &error) {
            return CheckResult(error);
        },
        [] {
            return CheckResult(ConfigurationError {{{"", 0, "the files could not be checked", "report this"}}});
        });
}
} // namespace

CheckResult checkFiles(std::vector<ConfigurationFile> files)
{
    return check([&]() -> leaf::result<std::vector<ConfigurationFile>> {
        return std::move(files);
    });
}

CheckResult checkFolder(const std::string &folder)
{
    return check([&] {
        return readConfigurationFiles(folder);
    });
}

void printMistakes(const ConfigurationError &error)
{
    for (const auto &mistake : error.mistakes) {
        std::cerr << toLine(mistake) << "\n";
    }
}
} // namespace Anvilcart

#pragma once

#include "config/configuration.h"
#include "config/configurationfiles.h"

#include <boost/leaf/result.hpp>

namespace Anvilcart
{
/// Parses and checks the whole set of files; the version is left 0. Error: ConfigurationError with every mistake. Thread-safe.
boost::leaf::result<Configuration> parseConfiguration(const std::vector<ConfigurationFile> &files);
} // namespace Anvilcart

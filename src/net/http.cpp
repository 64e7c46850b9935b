#include "net/http.h"

#include <boost/algorithm/string/predicate.hpp>

namespace Anvilcart
{
std::string HttpRequest::header(std::string_view name) const
{
    for (const auto &header : headers) {
        if (boost::algorithm::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}
} // namespace Anvilcart

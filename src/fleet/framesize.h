#pragma once

#include <cstddef>
#include <string_view>

namespace Anvilcart::Fleet
{
/// An estimate of the memory that an encoded frame takes once it is decoded, beside its text, found without decoding it: a row without
/// content takes two bytes of the frame and hundreds of bytes of memory. Thread-safe.
std::size_t estimateDecodedBytes(std::string_view frame);
} // namespace Anvilcart::Fleet

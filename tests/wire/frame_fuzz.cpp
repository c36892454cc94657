#include "wire/untrusted_input.h"

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size > 0) {
        poplarshed::wire::test::feed_untrusted({data + 1, size - 1}, data[0]);
    }
    return 0;
}

// Measures the memory of a ledger entry: the heap growth per entry, beside the bytes that the ledger accounts for.

#include "coordination/ledger.h"

#include <cstdio>
#include <malloc.h>

using namespace ApricotStep;

namespace
{

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void measure(std::size_t answerSize)
{
    constexpr std::size_t Counts[] = { 20'000, 40'000, 80'000 };
    std::size_t lastBytes = 0;
    std::size_t lastCount = 0;
    for (const std::size_t count : Counts) {
        const std::size_t before = heapBytes();
        Ledger ledger(Duration::seconds(3600), count, { 1U << 30U, 4096 });
        for (std::size_t i = 0; i < count; ++i) {
            const IdempotencyKey key { NodeId("n1"), Incarnation(1), Time(1), i };
            ledger.accept(key, std::string(15, 'h'), Time(2));
            ledger.markSent(key);
            ledger.complete(key, { 200, "application/json", std::string(answerSize, 'a') });
        }
        const std::size_t bytes = heapBytes() - before;
        std::printf("answer=%zu entries=%zu heap=%zu charged=%zu heap/entry=%.0f", answerSize, count, bytes, ledger.bytes(),
            static_cast<double>(bytes) / static_cast<double>(count));
        if (lastCount > 0) {
            std::printf(" slope=%.0f", static_cast<double>(bytes - lastBytes) / static_cast<double>(count - lastCount));
        }
        std::printf("\n");
        lastBytes = bytes;
        lastCount = count;
    }
}

} // namespace

int main()
{
    measure(0);
    measure(200);
    measure(2000);
}

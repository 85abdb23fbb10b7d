// Measures the memory of a catalog and the time to resolve a selector and to apply a change, with 3,000 and 130,000 adapters.

#include "state/catalog.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>

using namespace ApricotStep;

namespace
{

constexpr int SmallCount = 3'000;
constexpr int LargeCount = 130'000;
constexpr int ChangeCount = 2'000;
constexpr int ResolveCount = 200'000;

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

AdapterSpec adapterOf(int number, const char *track)
{
    AdapterSpec spec;
    spec.key = { AdapterId("adapter-of-shop-" + std::to_string(number / 2)), AdapterVersion(std::to_string(number % 2 + 1)) };
    spec.labels = { { "shop", "shop-" + std::to_string(number / 2) }, { "track", track }, { "region", "r" + std::to_string(number % 5) } };
    spec.baseModel = BaseModelId("base-" + std::to_string(number % 7));
    return spec;
}

std::shared_ptr<const Catalog> build(int count)
{
    CatalogContent content;
    content.version = ConfigVersion(1);
    for (int i = 0; i < count; ++i) {
        content.adapters.push_back(adapterOf(i, i % 2 == 0 ? "stable" : "canary"));
    }
    return Catalog::create(std::move(content)).value();
}

double microsecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

struct Measurement
{
    double bytesPerAdapter;
    double resolveByName;
    double resolveByLabels;
    double apply;
};

Measurement measure(int count)
{
    const std::size_t before = heapBytes();
    auto catalog = build(count);
    malloc_trim(0);
    Measurement measurement {};
    measurement.bytesPerAdapter = static_cast<double>(heapBytes() - before) / count;
    std::size_t found = 0;
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < ResolveCount; ++i) {
        found += catalog->resolve("adapter-of-shop-" + std::to_string(i % (count / 2)) + "@1").isOk() ? 1 : 0;
    }
    measurement.resolveByName = microsecondsSince(start) / ResolveCount;
    start = std::chrono::steady_clock::now();
    for (int i = 0; i < ResolveCount; ++i) {
        found += catalog->resolve("track=stable,shop=shop-" + std::to_string(i % (count / 2))).isOk() ? 1 : 0;
    }
    measurement.resolveByLabels = microsecondsSince(start) / ResolveCount;
    start = std::chrono::steady_clock::now();
    for (int i = 0; i < ChangeCount; ++i) {
        CatalogDelta delta { catalog->version(), ConfigVersion(catalog->version().value() + 1) };
        delta.adapters = { adapterOf(i * 7 % count, "moved") };
        catalog = catalog->apply(delta).value();
    }
    measurement.apply = microsecondsSince(start) / ChangeCount;
    std::printf(
        "%7d adapters: %6.1f B per adapter, resolve by name %5.2f us, by two labels %5.2f us, apply a change %6.1f us (%zu found)\n", count,
        measurement.bytesPerAdapter, measurement.resolveByName, measurement.resolveByLabels, measurement.apply, found);
    return measurement;
}

} // namespace

int main()
{
    const Measurement small = measure(SmallCount);
    const Measurement large = measure(LargeCount);
    constexpr double Growth = static_cast<double>(LargeCount) / SmallCount;
    std::printf("catalog x%.1f: resolve by name x%.2f, by labels x%.2f, apply x%.2f (%.2f us more per 1,000 adapters)\n", Growth,
        large.resolveByName / small.resolveByName, large.resolveByLabels / small.resolveByLabels, large.apply / small.apply,
        (large.apply - small.apply) / (LargeCount - SmallCount) * 1000);
    return 0;
}

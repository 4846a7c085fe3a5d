#include <load/arrival.h>

#include <base/random_source.h>

#include <algorithm>
#include <cmath>

namespace orioledrum::load
{

namespace
{

/// @return A random name, picked with a probability proportional to its weight.
const std::string &pickWeighted(const std::vector<weighted_name> &names, random_source &random)
{
    double total = 0;
    for (const auto &entry : names) {
        total += entry.weight;
    }
    double remaining = random.nextDouble() * total;
    for (const auto &entry : names) {
        remaining -= entry.weight;
        if (remaining < 0) {
            return entry.name;
        }
    }
    return names.back().name;
}

/// Appends the arrivals of one Poisson process: searches, or orders when `isOrder` is true.
void addPoissonArrivals(const arrival_settings &settings, bool isOrder, random_source random, std::vector<arrival> &result)
{
    const double rate = isOrder ? settings.ordersPerSecond : settings.searchesPerSecond;
    const auto &services = isOrder ? settings.orderServices : settings.searchServices;
    if (!(rate > 0) || services.empty() || settings.customers.empty()) {
        return;
    }
    double offsetSeconds = 0;
    while (true) {
        offsetSeconds -= std::log(1 - random.nextDouble()) / rate;
        const std::chrono::microseconds scheduled(static_cast<std::int64_t>(offsetSeconds * 1e6));
        if (scheduled >= settings.duration) {
            return;
        }
        arrival next;
        next.scheduled = scheduled;
        next.isOrder = isOrder;
        next.service = pickWeighted(services, random);
        next.customer = pickWeighted(settings.customers, random);
        next.query = "query " + std::to_string(random.below(std::max<std::uint32_t>(settings.queryCount, 1)));
        next.hostIndex = random.below(std::max<std::size_t>(settings.hostCount, 1));
        result.push_back(std::move(next));
    }
}

} // namespace

std::vector<arrival> makeArrivals(const arrival_settings &settings)
{
    std::vector<arrival> result;
    random_source seeds(settings.seed);
    addPoissonArrivals(settings, false, random_source(seeds.next()), result);
    addPoissonArrivals(settings, true, random_source(seeds.next()), result);
    std::stable_sort(
        result.begin(), result.end(), [](const arrival &left, const arrival &right) { return left.scheduled < right.scheduled; });
    return result;
}

} // namespace orioledrum::load

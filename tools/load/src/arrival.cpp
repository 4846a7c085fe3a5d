#include <load/arrival.h>

#include <base/random_source.h>

#include <algorithm>
#include <cmath>

namespace orioledrum::load
{

namespace
{

const std::string &choose(const std::vector<weighted_name> &names, random_source &random)
{
    double total = 0;
    for (const auto &entry : names) {
        total += entry.weight;
    }
    double rest = random.unit() * total;
    for (const auto &entry : names) {
        rest -= entry.weight;
        if (rest < 0) {
            return entry.name;
        }
    }
    return names.back().name;
}

void addProcess(const arrival_settings &settings, bool order, random_source random, std::vector<arrival> &result)
{
    const double rate = order ? settings.ordersPerSecond : settings.searchesPerSecond;
    const auto &services = order ? settings.orderServices : settings.searchServices;
    if (!(rate > 0) || services.empty() || settings.customers.empty()) {
        return;
    }
    double seconds = 0;
    while (true) {
        seconds -= std::log(1 - random.unit()) / rate;
        const std::chrono::microseconds at(static_cast<std::int64_t>(seconds * 1e6));
        if (at >= settings.duration) {
            return;
        }
        arrival next;
        next.scheduled = at;
        next.isOrder = order;
        next.service = choose(services, random);
        next.customer = choose(settings.customers, random);
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
    addProcess(settings, false, random_source(seeds.next()), result);
    addProcess(settings, true, random_source(seeds.next()), result);
    std::stable_sort(
        result.begin(), result.end(), [](const arrival &left, const arrival &right) { return left.scheduled < right.scheduled; });
    return result;
}

} // namespace orioledrum::load

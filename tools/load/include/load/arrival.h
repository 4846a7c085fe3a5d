#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum::load
{

/// A name that is picked with a probability proportional to its weight.
struct weighted_name {
    std::string name;
    double weight = 1;
};

/// Rates and contents of the generated requests.
struct arrival_settings {
    std::uint64_t seed = 1;
    double searchesPerSecond = 0;
    double ordersPerSecond = 0;
    std::chrono::microseconds duration{0};
    std::vector<weighted_name> searchServices;
    std::vector<weighted_name> orderServices;
    std::vector<weighted_name> customers;
    std::uint32_t queryCount = 1000; ///< Number of distinct query texts.
    std::size_t hostCount = 1; ///< Number of entry hosts; each request goes to a random one.
};

/// One request, to be sent at its scheduled time whether or not earlier requests have ended.
struct arrival {
    std::chrono::microseconds scheduled{0}; ///< Since the start of the run.
    bool isOrder = false; ///< False for a search.
    std::string service;
    std::string customer;
    std::string query;
    std::size_t hostIndex = 0; ///< Index of the entry host.
};

/// Generates the arrivals of a run from two independent Poisson processes, one for searches and one for orders.
/// @return The arrivals sorted by scheduled time. Equal settings, including the seed, give equal arrivals.
std::vector<arrival> makeArrivals(const arrival_settings &settings);

} // namespace orioledrum::load

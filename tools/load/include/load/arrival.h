#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum::load
{

/// A name that is chosen in proportion to its weight.
struct weighted_name {
    std::string name;
    double weight = 1;
};

/// What kinds of requests arrive, and how often.
struct arrival_settings {
    std::uint64_t seed = 1;
    double searchesPerSecond = 0;
    double ordersPerSecond = 0;
    std::chrono::microseconds duration{0};
    std::vector<weighted_name> searchServices;
    std::vector<weighted_name> orderServices;
    std::vector<weighted_name> customers;
    std::uint32_t queryCount = 1000; ///< Number of different queries.
    std::size_t hostCount = 1; ///< Number of entry hosts to choose from.
};

/// One request that must be sent at a given time, whatever happened to earlier ones.
struct arrival {
    std::chrono::microseconds scheduled{0}; ///< Since the start of the run.
    bool isOrder = false;
    std::string service;
    std::string customer;
    std::string query;
    std::size_t hostIndex = 0;
};

/// Draws all arrivals beforehand: two Poisson processes, one for searches and one for orders.
/// @return The arrivals in the order of their times; equal settings give equal arrivals.
std::vector<arrival> makeArrivals(const arrival_settings &settings);

} // namespace orioledrum::load

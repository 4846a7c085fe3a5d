#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>

namespace orioledrum
{

/// String identifier. Identifiers with different tags are different types, so they cannot be mixed up.
template<typename Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const std::string &str() const { return m_value; }
    [[nodiscard]] bool empty() const { return m_value.empty(); }
    auto operator<=>(const strong_id &other) const = default; // NOLINT(modernize-use-nullptr): flags the generated comparison.

private:
    std::string m_value;
};

template<typename Tag>
std::ostream &operator<<(std::ostream &out, const strong_id<Tag> &id)
{
    return out << id.str();
}

} // namespace orioledrum

template<typename Tag>
struct std::hash<orioledrum::strong_id<Tag>> {
    std::size_t operator()(const orioledrum::strong_id<Tag> &id) const noexcept { return std::hash<std::string>{}(id.str()); }
};

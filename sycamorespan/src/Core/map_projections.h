#ifndef SYCAMORESPAN_CORE_MAP_PROJECTIONS_H
#define SYCAMORESPAN_CORE_MAP_PROJECTIONS_H

namespace sycamorespan {

/** \brief Projection from a map's entry to its key, for the algorithms of std::ranges. */
inline constexpr auto keyOf = [](auto &entry) -> auto &
{
    return entry.first;
};

/** \brief Projection from a map's entry to its value, for the algorithms of std::ranges. */
inline constexpr auto mappedOf = [](auto &entry) -> auto &
{
    return entry.second;
};

} // namespace sycamorespan

#endif

#ifndef SYCAMORESPAN_CORE_OVERLOADED_H
#define SYCAMORESPAN_CORE_OVERLOADED_H

namespace sycamorespan {

/** \brief Visitor for std::visit that combines one lambda for each alternative. */
template<typename... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};

template<typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace sycamorespan

#endif

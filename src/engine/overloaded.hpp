// A visitor for std::visit that is made of one function for each alternative.
#pragma once

namespace whinledge {

template <class... Cases>
struct Overloaded : Cases... {
    using Cases::operator()...;
};
template <class... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

}  // namespace whinledge

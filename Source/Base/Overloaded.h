#pragma once

namespace jayramp {

/// A visitor for std::visit that combines one callable for each alternative.
template <typename... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace jayramp

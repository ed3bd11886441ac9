#pragma once
// Combines lambdas into a visitor for std::visit.
namespace mosskeel {

template <class... F>
struct overload : F... {
  using F::operator()...;
};
template <class... F>
overload(F...) -> overload<F...>;

}  // namespace mosskeel

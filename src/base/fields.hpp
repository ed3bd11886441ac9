#pragma once
// Structs whose fields the codec and the JSON layer can visit by name.
#include <boost/hana.hpp>
#include <boost/preprocessor.hpp>

/// Declares the fields of a struct, each given as `(type, name)`, and makes them visible to Boost.Hana, as
/// BOOST_HANA_DEFINE_STRUCT does; but each field has a value, zero or empty, also where a variable of the struct is
/// declared without an initializer. The order of the fields is the order of their encoding (base/codec.hpp).
#define MOSSKEEL_FIELDS(Type, ...)                                                                        \
  BOOST_PP_SEQ_FOR_EACH(MOSSKEEL_DECLARE_FIELD, _, BOOST_PP_VARIADIC_TO_SEQ(__VA_ARGS__))                 \
  struct hana_accessors_impl {                                                                            \
    static constexpr auto apply() {                                                                       \
      struct member_names {                                                                               \
        static constexpr auto get() {                                                                     \
          return ::boost::hana::make_tuple(BOOST_PP_SEQ_ENUM(                                             \
              BOOST_PP_SEQ_TRANSFORM(MOSSKEEL_FIELD_STRING, _, BOOST_PP_VARIADIC_TO_SEQ(__VA_ARGS__))));  \
        }                                                                                                 \
      };                                                                                                  \
      return ::boost::hana::make_tuple(                                                                   \
          BOOST_PP_SEQ_FOR_EACH_I(MOSSKEEL_FIELD_ACCESSOR, Type, BOOST_PP_VARIADIC_TO_SEQ(__VA_ARGS__))); \
    }                                                                                                     \
  }

// The type of a field may contain commas, so its name is the last element of the tuple and the type all before it.
#define MOSSKEEL_FIELD_NAME(field) BOOST_PP_TUPLE_ELEM(BOOST_PP_DEC(BOOST_PP_TUPLE_SIZE(field)), field)
#define MOSSKEEL_FIELD_TYPE(field) BOOST_PP_TUPLE_ENUM(BOOST_PP_TUPLE_POP_BACK(field))
#define MOSSKEEL_DECLARE_FIELD(r, data, field) MOSSKEEL_FIELD_TYPE(field) MOSSKEEL_FIELD_NAME(field){};
#define MOSSKEEL_FIELD_STRING(s, data, field) BOOST_PP_STRINGIZE(MOSSKEEL_FIELD_NAME(field))
#define MOSSKEEL_FIELD_ACCESSOR(r, Type, index, field)                                                           \
  BOOST_PP_COMMA_IF(index)                                                                                       \
  ::boost::hana::make_pair(::boost::hana::struct_detail::prepare_member_name<index, member_names>(),             \
                           ::boost::hana::struct_detail::member_ptr<decltype(&Type::MOSSKEEL_FIELD_NAME(field)), \
                                                                    &Type::MOSSKEEL_FIELD_NAME(field)>{})

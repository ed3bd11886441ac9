#pragma once
// Reflection for structs: lets the codec and the JSON layer visit fields by name.
#include <boost/hana.hpp>
#include <boost/preprocessor.hpp>

/// Declares the fields of a struct, each given as `(type, name)`, and registers them with Boost.Hana as
/// BOOST_HANA_DEFINE_STRUCT does. Unlike with that macro, each field is value-initialized to zero or empty, even if a
/// variable is declared without an initializer. The order of fields is their encoding order (base/codec.hpp).
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

// A field's type may contain commas, so the name is the last tuple element and the type is everything before it.
#define MOSSKEEL_FIELD_NAME(field) BOOST_PP_TUPLE_ELEM(BOOST_PP_DEC(BOOST_PP_TUPLE_SIZE(field)), field)
#define MOSSKEEL_FIELD_TYPE(field) BOOST_PP_TUPLE_ENUM(BOOST_PP_TUPLE_POP_BACK(field))
#define MOSSKEEL_DECLARE_FIELD(r, data, field) MOSSKEEL_FIELD_TYPE(field) MOSSKEEL_FIELD_NAME(field){};
#define MOSSKEEL_FIELD_STRING(s, data, field) BOOST_PP_STRINGIZE(MOSSKEEL_FIELD_NAME(field))
#define MOSSKEEL_FIELD_ACCESSOR(r, Type, index, field)                                                           \
  BOOST_PP_COMMA_IF(index)                                                                                       \
  ::boost::hana::make_pair(::boost::hana::struct_detail::prepare_member_name<index, member_names>(),             \
                           ::boost::hana::struct_detail::member_ptr<decltype(&Type::MOSSKEEL_FIELD_NAME(field)), \
                                                                    &Type::MOSSKEEL_FIELD_NAME(field)>{})

#pragma once
// The vocabulary types that every module uses, and the standard containers that their interfaces are made of.
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mosskeel/hash.hpp"
#include "mosskeel/ids.hpp"
#include "mosskeel/overload.hpp"
#include "mosskeel/result.hpp"
#include "mosskeel/time.hpp"

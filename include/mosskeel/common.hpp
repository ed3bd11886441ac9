#pragma once
// Vocabulary types used by all modules, and the standard containers used in their interfaces.
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

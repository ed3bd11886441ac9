#pragma once
// Data directories of a controller and a store, written by their state machines and the disk layer in a fixed order of
// events. Only the test `[.write-golden-folders]` runs this: each directory is written once, read by all later versions
// of the code and never rewritten.
#include <filesystem>

#include "consensus/controller_machine.hpp"
#include "history/store_machine.hpp"

namespace mosskeel::golden {

inline constexpr auto kControllerFolder = "controller-folder";
inline constexpr auto kUnfoundedControllerFolder = "unfounded-controller-folder";
inline constexpr auto kStoreFolder = "store-folder";

inline constexpr Incarnation kControllerIncarnation{101};
inline constexpr Incarnation kStoreIncarnation{301};

Identity controller_identity();
Identity store_identity();

/// Writes `folder`, which must not exist yet.
void write_controller_folder(const std::filesystem::path& folder);
void write_unfounded_controller_folder(const std::filesystem::path& folder);
void write_store_folder(const std::filesystem::path& folder);

}  // namespace mosskeel::golden

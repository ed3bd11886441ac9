#pragma once
// Data folders of a controller and a store, written by their machines and the disk layer in a fixed order of events.
// Only `[.write-golden-folders]` runs this: what is written once is read for good, and never written again.
#include <filesystem>

#include "consensus/controller_machine.hpp"
#include "history/store_machine.hpp"

namespace mosskeel::golden {

constexpr auto controller_folder = "controller-folder";
constexpr auto unfounded_controller_folder = "unfounded-controller-folder";
constexpr auto store_folder = "store-folder";

constexpr Incarnation controller_incarnation{101};
constexpr Incarnation store_incarnation{301};

Identity controller_identity();
Identity store_identity();

/// Writes the folder that does not exist yet.
void write_controller_folder(const std::filesystem::path& folder);
void write_unfounded_controller_folder(const std::filesystem::path& folder);
void write_store_folder(const std::filesystem::path& folder);

}  // namespace mosskeel::golden

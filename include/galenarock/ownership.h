#pragma once

#include <galenarock/control.h>
#include <galenarock/grantholder.h>

/// Ownership of slices: the state machine of a backend server and the control core of a shard.

#pragma once

/// Ownership of slices: the state machine of a backend server and the control core of a shard.
#include <galenarock/control.h>
#include <galenarock/grantholder.h>
#include <galenarock/shardcontroller.h>

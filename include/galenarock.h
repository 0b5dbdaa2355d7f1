#pragma once

/// Umbrella header of the galenarock library.
#include <galenarock/assignment.h>
#include <galenarock/base.h>
#include <galenarock/config.h>
#include <galenarock/control.h>
#include <galenarock/document.h>
#include <galenarock/error.h>
#include <galenarock/eventlog.h>
#include <galenarock/membership.h>
#include <galenarock/metrics.h>
#include <galenarock/peer.h>
#include <galenarock/placement.h>
#include <galenarock/platform.h>
#include <galenarock/platformclient.h>
#include <galenarock/requests.h>
#include <galenarock/ring.h>
#include <galenarock/thread.h>

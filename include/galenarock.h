#pragma once

/// Umbrella header of the galenarock library.
#include <galenarock/admission.h>
#include <galenarock/assignment.h>
#include <galenarock/base.h>
#include <galenarock/control.h>
#include <galenarock/document.h>
#include <galenarock/error.h>
#include <galenarock/eventlog.h>
#include <galenarock/grantholder.h>
#include <galenarock/ledger.h>
#include <galenarock/membership.h>
#include <galenarock/metrics.h>
#include <galenarock/ownership.h>
#include <galenarock/peer.h>
#include <galenarock/placement.h>
#include <galenarock/platform.h>
#include <galenarock/proxy.h>
#include <galenarock/platformclient.h>
#include <galenarock/requests.h>
#include <galenarock/retry.h>
#include <galenarock/ring.h>
#include <galenarock/routing.h>
#include <galenarock/serverchoice.h>
#include <galenarock/settings.h>
#include <galenarock/suspects.h>
#include <galenarock/thread.h>

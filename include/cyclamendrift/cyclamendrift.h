#pragma once

/// Everything of cyclamendrift's decision library. Packages that do I/O have headers of their own.
#include <cyclamendrift/commits/acknowledgements.h>
#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/error.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/outcome.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/core/slot_status.h>
#include <cyclamendrift/core/statement.h>
#include <cyclamendrift/core/timer_service.h>
#include <cyclamendrift/forward_declarations.h>
#include <cyclamendrift/sessions/replica_tracker.h>
#include <cyclamendrift/sessions/session_token.h>

#pragma once

#include <map>
#include <string>

#include "audit_p.h"

namespace Galenarock::Standin
{

/// Imbalance, churn and unavailable time of each service of the mix.
std::map<std::string, ServiceMeasures> measure(const AuditInput &input);

}

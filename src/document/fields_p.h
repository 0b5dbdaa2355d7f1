#pragma once

#include <vector>

#include <galenarock/document.h>

namespace Galenarock
{

/// A FieldInfo with access to the member of ServiceDocument that it describes.
struct FieldRow
{
    FieldInfo info;
    nlohmann::json (*read)(const ServiceDocument &);
    /// Called only with a value whose type and range were checked.
    void (*write)(ServiceDocument &, const nlohmann::json &);
};

const std::vector<FieldRow> &fieldRows();

/// Checks one value against its row; empty message means that it fits.
Finding checkField(const FieldInfo &info, const nlohmann::json &value);

/// Contradictions between fields. A rule is left out when one of its fields already has a finding.
void checkContradictions(const ServiceDocument &document, Findings &findings);

/// The field whose pointer is closest to `pointer`; empty when nothing is close.
std::string_view nearestField(std::string_view pointer);

}

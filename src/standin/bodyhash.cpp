#include "bodyhash_p.h"

#include <galenarock/base.h>

namespace Galenarock::Standin
{

BodyHash::BodyHash()
    : m_state(XXH3_createState())
{
    XXH3_64bits_reset(m_state);
}

BodyHash::~BodyHash()
{
    XXH3_freeState(m_state);
}

void BodyHash::add(std::string_view part)
{
    XXH3_64bits_update(m_state, part.data(), part.size());
    m_bytes += part.size();
}

std::string BodyHash::digest() const
{
    return toHex(XXH3_64bits_digest(m_state));
}

}

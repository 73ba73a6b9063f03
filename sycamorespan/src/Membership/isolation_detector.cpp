#include "sycamorespan/src/Membership/isolation_detector.h"

namespace sycamorespan {

bool isolation_detector::update(const isolation_evidence &evidence, time_point now)
{
    const bool storeIsSilent =
            evidence.storeUnansweredFor && *evidence.storeUnansweredFor > m_policy.storeTimeout;
    // An instance that hears nobody may be alone in having a fault.
    const bool isConfirmed =
            evidence.hearsOwnDataCentre || storeIsSilent || evidence.isMemberElsewhereUnreachable;
    // Time during which this process stood still is no evidence.
    const bool stoodStill = now - m_lastUpdate > m_policy.confirmationTime;
    m_lastUpdate = now;
    if (evidence.hearsOtherDataCentres != false || !isConfirmed || stoodStill) {
        m_since.reset();
        return false;
    }
    if (!m_since)
        m_since = now;
    return now - *m_since >= m_policy.confirmationTime;
}

} // namespace sycamorespan

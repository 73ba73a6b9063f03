#include "sycamorespan/src/Configuration/configuration_holder.h"

#include "sycamorespan/src/Core/error.h"

namespace sycamorespan::configuration {

bool configuration_holder::offer(configuration_version version, const std::string &body)
{
    if (version <= m_version)
        return false;
    try {
        auto document = std::make_shared<const configuration_document>(parseDocument(body));
        if (document->version != version)
            throw decode_error("version: the body differs from the announced version");
        m_document = std::move(document);
    } catch (const decode_error &) {
        ++m_refusedBodies;
        return false;
    }
    m_version = version;
    m_body = body;
    m_object = objectName(version, m_document->recentEdits.back().request);
    return true;
}

} // namespace sycamorespan::configuration

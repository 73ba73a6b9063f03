#include "sycamorespan/src/Settings/checked_file.h"

#include "sycamorespan/src/Configuration/configuration_document.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace sycamorespan::settings {

std::string readFile(const std::string &fileName)
{
    std::ifstream stream(fileName, std::ios::binary);
    std::ostringstream text;
    if (stream)
        text << stream.rdbuf();
    if (!stream)
        throw file_error(fileName + ": the file can't be read: " + std::strerror(errno));
    return text.str();
}

configuration::configuration_lists parseLists(const std::string &text, const std::string &fileName)
{
    const yaml_document document(text, fileName);
    schema::decode_errors errors;
    configuration::configuration_lists lists;
    fromJson(document.root(), "", errors, lists);
    if (errors.empty())
        configuration::validateLists(lists, "", errors);
    document.throwIfAny(errors);
    return lists;
}

configuration::configuration_lists loadLists(const std::string &fileName)
{
    return parseLists(readFile(fileName), fileName);
}

} // namespace sycamorespan::settings

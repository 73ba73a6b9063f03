#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_ACTIONS_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_ACTIONS_H

#include "sycamorespan/src/Configuration/configuration_document.h"
#include "sycamorespan/src/Messages/generated/message.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespan::configuration {

/** \brief Read the configuration row and pass the result to configuration_reader::rowRead(). */
struct read_row
{
    std::uint64_t request = 0; /**< to be passed back with the result */

    bool operator==(const read_row &) const = default;
};

/** \brief Read a body from the object store and pass it to configuration_reader::bodyRead(). */
struct read_body
{
    configuration_version version = 0;
    std::string object;

    bool operator==(const read_body &) const = default;
};

/** \brief Send a message to the agent of an instance. */
struct send_message
{
    instance_id to;
    messages::message content;

    bool operator==(const send_message &) const = default;
};

/** \brief Put this document in force. */
struct put_in_force
{
    std::shared_ptr<const configuration_document> document;

    bool operator==(const put_in_force &) const = default;
};

/** \brief Action that configuration_reader or configuration_follower requests from its caller. */
using configuration_action = std::variant<read_row, read_body, send_message, put_in_force>;
using configuration_actions = std::vector<configuration_action>;

} // namespace sycamorespan::configuration

#endif

#ifndef SYCAMORESPAN_PROTOCOL_BACKEND_MESSAGES_H
#define SYCAMORESPAN_PROTOCOL_BACKEND_MESSAGES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan {

/** \brief One column of a result. */
struct column_description
{
    std::string name;
    std::uint32_t tableId = 0;
    std::int16_t columnNumber = 0;
    std::uint32_t typeId = 25;
    std::int16_t typeSize = -1;
    std::int32_t typeModifier = -1;
    /** Format code: 0 is text, 1 is binary. */
    std::int16_t format = 0;

    bool operator==(const column_description &) const = default;
};

/** \brief Fields of an ErrorResponse or NoticeResponse that the system creates or forwards. */
struct error_report
{
    std::string severity = "ERROR";
    std::string sqlstate;
    std::string message;
    std::string detail;
    std::string hint;

    bool operator==(const error_report &) const = default;
};

/** \brief Transaction state of a session, as reported in ReadyForQuery. */
enum class transaction_status : char { idle = 'I', active = 'T', failed = 'E' };

/** \brief Encoded values of one row; an empty optional is NULL. */
using row_values = std::vector<std::optional<std::string_view>>;

/** \brief Encodes backend messages; each function appends one message to a buffer. */
class backend_writer
{
public:
    const std::string &bytes() const noexcept { return m_bytes; }
    std::string release() noexcept { return std::move(m_bytes); }

    /** \brief Appends messages that have been encoded before. */
    void raw(std::string_view messages) { m_bytes.append(messages); }

    void authenticationOk();
    void authenticationCleartextPassword();
    void parameterStatus(std::string_view name, std::string_view value);
    void backendKeyData(std::int32_t processId, std::int32_t secret);
    void readyForQuery(transaction_status status);
    void rowDescription(const std::vector<column_description> &columns);
    void parameterDescription(const std::vector<std::uint32_t> &types);
    void dataRow(const row_values &values);
    void commandComplete(std::string_view tag);
    void emptyQueryResponse();
    void errorResponse(const error_report &report);
    void noticeResponse(const error_report &report);
    void parseComplete();
    void bindComplete();
    void closeComplete();
    void noData();
    void portalSuspended();

private:
    std::size_t begin(char type);
    void end(std::size_t lengthOffset);
    void empty(char type);
    void putInt16(std::int16_t value);
    void putInt32(std::int32_t value);
    void putString(std::string_view value);
    void putReport(char type, const error_report &report);

    std::string m_bytes;
};

} // namespace sycamorespan

#endif

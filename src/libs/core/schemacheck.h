#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Checks JSON texts against one JSON schema (draft 4).
class schema_check {
public:
    /// \a schema must be a valid schema without references to other documents.
    explicit schema_check(std::string_view schema);
    ~schema_check();
    schema_check(const schema_check&) = delete;
    schema_check& operator=(const schema_check&) = delete;

    /// Description of the first error in \a text: the key, its value and what was expected.
    /// Empty when the text conforms to the schema.
    std::string firstError(std::string_view text) const;

private:
    struct compiled_schema;
    std::unique_ptr<compiled_schema> m_schema;
};

}

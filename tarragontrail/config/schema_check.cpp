#include "tarragontrail/config/schema_check.hpp"

#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/generated_bundle_schema.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace tarragontrail::config {

namespace {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

/// Compiled JSON schema.
class compiled_schema
{
public:
    explicit compiled_schema(const json& from)
    {
        valijson::SchemaParser parser;
        parser.populateSchema(NlohmannJsonAdapter(from), m_schema);
    }

    /// Throws bundle_error unless the value is valid; `path` is its JSON pointer.
    void check(const json& value, const std::string& path) const
    {
        valijson::Validator validator;
        valijson::ValidationResults results;
        if (validator.validate(m_schema, NlohmannJsonAdapter(value), &results))
        {
            return;
        }
        throw_innermost_error(results, path);
    }

private:
    /// Throws the error of the most deeply nested value, which is the most specific one.
    [[noreturn]] static void throw_innermost_error(valijson::ValidationResults& results,
                                                   const std::string& path)
    {
        valijson::ValidationResults::Error error;
        valijson::ValidationResults::Error innermost;
        while (results.popError(error))
        {
            if (error.context.size() > innermost.context.size())
            {
                innermost = error;
            }
        }
        throw bundle_error(path + to_pointer(innermost.context), innermost.description);
    }

    /// Converts a valijson context such as `<root>`, `[upstreams]`, `[3]` to a JSON pointer.
    static std::string to_pointer(const std::vector<std::string>& context)
    {
        std::string pointer;
        for (const std::string& part : context)
        {
            if (part.size() < 2 || part.front() != '[')
            {
                continue;
            }
            pointer += '/';
            pointer += part.substr(1, part.size() - 2);
        }
        return pointer;
    }

    valijson::Schema m_schema;
};

/// Parsed schema of the bundle document.
const json& schema_tree()
{
    static const json tree = json::parse(bundle_schema_text);
    return tree;
}

} // namespace

void check_document(const json& document)
{
    static const compiled_schema schema(schema_tree());
    schema.check(document, "");
}

void check_workspace(const json& value, const std::string& path)
{
    static const compiled_schema schema(schema_tree()["definitions"]["workspace"]);
    schema.check(value, path);
}

} // namespace tarragontrail::config

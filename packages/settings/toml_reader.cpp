#include "toml_reader.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <toml.hpp>

namespace {

/* Sets "text" to the strings of an array, joined with commas.  Returns false
 * if the value is not an array of strings. */
bool
join_strings(const toml::value &value, std::string &text)
{
    if (!value.is_array()) {
        return false;
    }
    for (const auto &element : value.as_array()) {
        if (!element.is_string()) {
            return false;
        }
        text += (text.empty() ? "" : ",") + element.as_string().str;
    }
    return true;
}

bool
visit_value(const std::string &section, const std::string &key,
            const toml::value &value, bool (*visit)(void *, const TomlEntry *),
            void *context)
{
    std::string text;
    TomlEntry entry = {};
    entry.section = section.c_str();
    entry.key = key.c_str();
    entry.line = static_cast<unsigned>(value.location().line());
    if (value.is_string()) {
        entry.type = TOML_STRING;
        text = value.as_string().str;
    }
    else if (join_strings(value, text)) {
        entry.type = TOML_STRING;
    }
    else if (value.is_integer()) {
        entry.type = TOML_INTEGER;
        entry.number = value.as_integer();
        text = std::to_string(entry.number);
    }
    else {
        text.clear();
        std::ostringstream out;
        out << value;
        entry.type = TOML_OTHER;
        text = out.str();
    }
    entry.text = text.c_str();
    return visit(context, &entry);
}

} // namespace

extern "C" bool
toml_read(const char *path, bool (*visit)(void *, const TomlEntry *),
          void *context, char *message, size_t size)
{
    try {
        std::ifstream file(path, std::ios::binary);
        if (!file) {
            std::snprintf(message, size,
                          "cannot be opened; check the path and the rights");
            return false;
        }
        const toml::value root = toml::parse(file, path);
        for (const auto &item : root.as_table()) {
            if (!item.second.is_table()) {
                if (!visit_value("", item.first, item.second, visit,
                                 context)) {
                    return true;
                }
                continue;
            }
            for (const auto &inner : item.second.as_table()) {
                if (!visit_value(item.first, inner.first, inner.second, visit,
                                 context)) {
                    return true;
                }
            }
        }
        return true;
    } catch (const std::exception &e) {
        std::snprintf(message, size, "%s", e.what());
        return false;
    }
}

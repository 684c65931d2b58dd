#include "toml_reader.h"

#include <cstdio>
#include <filesystem>
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

/* Greatest number of open brackets in a settings file.  The parser is
 * recursive: 100,000 brackets overflow the default stack.  No setting nests
 * more than one array. */
constexpr std::size_t max_depth = 32;

/* Finds the first line at which more than max_depth brackets are open, outside
 * of strings and comments.  A string is taken to end with its line, since no
 * setting spans lines; brackets are counted on over lines. */
class NestingCheck {
  public:
    /* Returns the number of the line, from 1, with its text in "line"; 0: no
     * line nests too deeply. */
    unsigned
    find(const std::string &text, std::string &line)
    {
        std::istringstream lines(text);
        for (unsigned number = 1; std::getline(lines, line); number++) {
            if (!read_line(line)) {
                return number;
            }
        }
        return 0;
    }

  private:
    std::size_t depth = 0;

    static std::size_t
    skip_string(const std::string &line, std::size_t at)
    {
        const char quote = line[at];
        for (at++; at < line.size() && line[at] != quote; at++) {
            if (quote == '"' && line[at] == '\\') {
                at++;
            }
        }
        return at;
    }

    /* Returns false if the line opens too many brackets. */
    bool
    read_line(const std::string &line)
    {
        for (std::size_t at = 0; at < line.size() && line[at] != '#'; at++) {
            switch (line[at]) {
            case '"':
            case '\'':
                at = skip_string(line, at);
                break;
            case '[':
            case '{':
                if (++depth > max_depth) {
                    return false;
                }
                break;
            case ']':
            case '}':
                depth -= depth > 0 ? 1 : 0;
                break;
            default:
                break;
            }
        }
        return true;
    }
};

/* Writes the message on a line that nests too deeply, with its key, the text
 * before the equals sign. */
void
report_nesting(unsigned number, const std::string &line, char *message,
               size_t size)
{
    const std::string key = line.substr(0, line.find_first_of("= [{"));
    std::snprintf(message, size,
                  "%u: %.80s has more than %zu nested brackets; remove "
                  "brackets, no setting needs more than one pair",
                  number, key.c_str(), max_depth);
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
                          " cannot be opened; check the path and the rights");
            return false;
        }
        if (std::filesystem::is_directory(path)) {
            std::snprintf(message, size,
                          " is a directory; name the settings file in it");
            return false;
        }
        std::stringstream text;
        text << file.rdbuf();
        std::string line;
        const unsigned number = NestingCheck().find(text.str(), line);
        if (number > 0) {
            report_nesting(number, line, message, size);
            return false;
        }
        const toml::value root = toml::parse(text, path);
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
        std::snprintf(message, size, " %s", e.what());
        return false;
    }
}

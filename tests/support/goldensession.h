#pragma once

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

namespace Anvilcart
{
/// The text of a whole session with what differs from run to run taken out, to be compared with a committed file.
/// ANVILCART_RENEW_GOLDEN=1 in the environment writes the file anew.
class GoldenSession
{
public:
    /// The file is below tests/golden; folder is the folder of the site, whose path is taken out.
    GoldenSession(const std::string &name, std::string folder)
        : m_path(std::string(ANVILCART_SOURCE) + "/tests/golden/" + name)
        , m_folder(std::move(folder))
    {
    }

    /// Adds a command, what it printed and how it ended.
    void add(const std::string &command, const std::string &output, const std::string &errors, int exitCode)
    {
        m_text += "$ anvilcart " + command + "\n" + output + errors + "exit " + std::to_string(exitCode) + "\n\n";
    }

    /// Adds a line that tells what happens meanwhile.
    void note(const std::string &text)
    {
        m_text += "# " + text + "\n\n";
    }

    /// The session as it went.
    std::string actual() const
    {
        auto text = m_text;
        for (auto found = text.find(m_folder); found != std::string::npos; found = text.find(m_folder)) {
            text.replace(found, m_folder.size(), "SITE");
        }
        text = std::regex_replace(text, std::regex("127\\.[0-9]+\\."), "127.N.");
        text = std::regex_replace(text, std::regex("[0-9]{4}-[0-9]{2}-[0-9]{2} [0-9:]{8}Z"), "TIME");
        return std::regex_replace(text, std::regex("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}"), "ID");
    }

    /// The session as the committed file has it; renews the file first where that was asked for.
    std::string expected() const
    {
        if (std::getenv("ANVILCART_RENEW_GOLDEN") != nullptr) {
            std::ofstream(m_path) << actual();
        }
        const std::ifstream stream(m_path);
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

private:
    std::string m_path;
    std::string m_folder;
    std::string m_text;
};
} // namespace Anvilcart

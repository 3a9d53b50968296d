#include "Config/Declarations.h"

#include <cstddef>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace Nutmegrill {

namespace {

// YAML aliases can expand a small text into a huge tree, so the converted tree is limited. For
// scale: 700 client accounts have about 10,000 values.
constexpr std::size_t MaxValues = 1'000'000;
constexpr int MaxDepth = 16;

class TreeConverter
{
public:
    DeclaredValue convert(const YAML::Node &node, int depth = 0)
    {
        if (depth > MaxDepth || ++this->values > MaxValues)
            throw YAML::ParserException(node.Mark(), "the document is too deep or too large");
        DeclaredValue value;
        value.line = node.Mark().line + 1;
        if (node.IsScalar()) {
            value.shape = DeclaredValue::Shape::Scalar;
            value.text = node.Scalar();
        } else if (node.IsSequence()) {
            value.shape = DeclaredValue::Shape::List;
            for (const YAML::Node &item : node)
                value.children.push_back(this->convert(item, depth + 1));
        } else if (node.IsMap()) {
            value.shape = DeclaredValue::Shape::Map;
            for (const auto &member : node) {
                DeclaredValue child = this->convert(member.second, depth + 1);
                child.key = member.first.IsScalar() ? member.first.Scalar() : "";
                // The line of the field name, even if its value begins on the next line.
                child.line = member.first.Mark().line + 1;
                value.children.push_back(std::move(child));
            }
        }
        return value;
    }

private:
    std::size_t values = 0;
};

/// Counts the documents of a text without storing them. For some malformed texts the YAML library
/// returns an endless sequence of empty documents, so the count is limited.
class DocumentCount : public YAML::EventHandler
{
public:
    static constexpr std::size_t MaxDocuments = 100'000;

    static void check(const std::string &yaml)
    {
        std::istringstream stream(yaml);
        YAML::Parser parser(stream);
        DocumentCount handler;
        for (std::size_t count = 0; parser.HandleNextDocument(handler); ++count) {
            if (count == MaxDocuments)
                throw YAML::ParserException(handler.lastMark, "too many documents");
        }
    }

    void OnDocumentStart(const YAML::Mark &mark) override { this->lastMark = mark; }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override {}
    void OnAlias(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override {}
    void OnScalar(const YAML::Mark & /*mark*/, const std::string & /*tag*/,
                  YAML::anchor_t /*anchor*/, const std::string & /*value*/) override
    {}
    void OnSequenceStart(const YAML::Mark & /*mark*/, const std::string & /*tag*/,
                         YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override
    {}
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark & /*mark*/, const std::string & /*tag*/,
                    YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override
    {}
    void OnMapEnd() override {}

private:
    YAML::Mark lastMark;
};

std::string scalarField(const DeclaredValue &map, std::string_view key)
{
    for (const DeclaredValue &field : map.children) {
        if (field.key == key && field.shape == DeclaredValue::Shape::Scalar)
            return field.text;
    }
    return {};
}

} // namespace

void Declarations::addFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(stream)), {});
    if (!stream.is_open() || stream.bad()) {
        this->incomplete = true;
        this->faults.push_back({DeclarationError::Code::UnreadableFile, path, 0, "",
                                "the file cannot be read", "check the path and its permissions"});
        return;
    }
    this->addText(path, text);
}

void Declarations::addText(const std::string &file, std::string_view yaml)
{
    try {
        TreeConverter converter;
        const std::string text(yaml);
        DocumentCount::check(text);
        for (const YAML::Node &node : YAML::LoadAll(text)) {
            if (node.IsDefined() && !node.IsNull())
                this->addDocument(file, converter.convert(node));
        }
    } catch (const YAML::Exception &exception) {
        this->incomplete = true;
        this->faults.push_back({DeclarationError::Code::MalformedYaml, file,
                                exception.mark.line + 1, "",
                                "the YAML cannot be parsed: " + exception.msg,
                                "correct the syntax; the documents of this file were not checked"});
    }
}

void Declarations::addDocument(const std::string &file, DeclaredValue document)
{
    if (document.shape != DeclaredValue::Shape::Map) {
        this->faults.push_back({DeclarationError::Code::NotAnObject, file, document.line, "",
                                "the document is not an object",
                                "write fields such as `kind: Service` and `name: ...`; separate "
                                "objects with `---`"});
        return;
    }
    DeclaredObject object;
    object.kind = scalarField(document, "kind");
    object.name = scalarField(document, "name");
    object.file = file;
    object.line = document.line;
    object.fields = std::move(document);
    this->loaded.push_back(std::move(object));
}

} // namespace Nutmegrill

#include "Config/Declarations.h"

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <unordered_map>
#include <utility>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace Nutmegrill {

namespace {

/// Converts the events of the YAML parser to values. The library's own tree is not built: with
/// 100,000 client accounts that took more than half of the time of a check.
class DocumentReader : public YAML::EventHandler
{
public:
    static std::vector<DeclaredValue> readAll(const std::string &yaml)
    {
        std::istringstream stream(yaml);
        YAML::Parser parser(stream);
        DocumentReader reader;
        // For some malformed texts the parser returns an endless sequence of empty documents.
        for (std::size_t count = 0; parser.HandleNextDocument(reader); ++count) {
            if (count == MaxDocuments)
                throw YAML::ParserException(reader.lastMark, "too many documents");
        }
        return std::move(reader.documents);
    }

    void OnDocumentStart(const YAML::Mark &mark) override
    {
        this->lastMark = mark;
        this->anchors.clear();
    }
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        this->begin(mark, anchor, DeclaredValue::Shape::Null);
        this->end();
    }

    void OnScalar(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor,
                  const std::string &text) override
    {
        this->begin(mark, anchor, DeclaredValue::Shape::Scalar);
        this->open.back().value.text = text;
        this->end();
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        const auto found = this->anchors.find(anchor);
        // An anchor that is not complete yet contains its own alias.
        if (found == this->anchors.end())
            fail(mark);
        const Extent extent = extentOf(found->second);
        this->values += extent.values;
        if (this->values > MaxValues || this->open.size() + extent.height > MaxDepth)
            fail(mark);
        this->add(found->second);
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        this->begin(mark, anchor, DeclaredValue::Shape::List);
    }
    void OnSequenceEnd() override { this->end(); }

    void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        this->begin(mark, anchor, DeclaredValue::Shape::Map);
    }
    void OnMapEnd() override { this->end(); }

private:
    // YAML aliases can expand a small text into a huge tree, so the tree is limited. For scale:
    // 100,000 client accounts with all their fields have about 1,300,000 values.
    static constexpr std::size_t MaxValues = 2'000'000;
    static constexpr std::size_t MaxDepth = 17;
    /// 100,000 client accounts in one file, with room for the other objects.
    static constexpr std::size_t MaxDocuments = 200'000;

    struct Extent
    {
        std::size_t values = 1;
        std::size_t height = 1;
    };

    /// A value whose end has not been read.
    struct OpenValue
    {
        DeclaredValue value;
        YAML::anchor_t anchor = 0;
        /// Name of the next member of a map, once it has been read.
        std::optional<std::string> key;
        int keyLine = 0;
    };

    [[noreturn]] static void fail(const YAML::Mark &mark)
    {
        throw YAML::ParserException(mark, "the document is too deep or too large");
    }

    static Extent extentOf(const DeclaredValue &value)
    {
        Extent extent;
        for (const DeclaredValue &child : value.children) {
            const auto [values, height] = extentOf(child);
            extent.values += values;
            extent.height = std::max(extent.height, height + 1);
        }
        return extent;
    }

    void begin(const YAML::Mark &mark, YAML::anchor_t anchor, DeclaredValue::Shape shape)
    {
        if (++this->values > MaxValues || this->open.size() >= MaxDepth)
            fail(mark);
        OpenValue opened;
        opened.value.shape = shape;
        opened.value.line = mark.line + 1;
        opened.anchor = anchor;
        this->open.push_back(std::move(opened));
    }

    void end()
    {
        OpenValue closed = std::move(this->open.back());
        this->open.pop_back();
        if (closed.anchor != 0)
            this->anchors[closed.anchor] = closed.value;
        this->add(std::move(closed.value));
    }

    void add(DeclaredValue value)
    {
        if (this->open.empty()) {
            this->documents.push_back(std::move(value));
            return;
        }
        OpenValue &parent = this->open.back();
        if (parent.value.shape == DeclaredValue::Shape::Map) {
            if (!parent.key) {
                parent.key = value.shape == DeclaredValue::Shape::Scalar ? value.text : "";
                parent.keyLine = value.line;
                // Only the value of a member stays in the tree.
                --this->values;
                return;
            }
            value.key = std::move(*parent.key);
            // The line of the field name, even if its value begins on the next line.
            value.line = parent.keyLine;
            parent.key.reset();
        }
        parent.value.children.push_back(std::move(value));
    }

    std::vector<DeclaredValue> documents;
    std::vector<OpenValue> open;
    /// Complete values of the document that have an anchor.
    std::unordered_map<YAML::anchor_t, DeclaredValue> anchors;
    std::size_t values = 0;
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
        for (DeclaredValue &document : DocumentReader::readAll(std::string(yaml))) {
            if (document.shape != DeclaredValue::Shape::Null)
                this->addDocument(file, std::move(document));
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

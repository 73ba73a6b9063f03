#!/usr/bin/python3
"""Generates the C++ value types and codecs from the schema, and docs/SETTINGS.md.

usage: tools/generate.py [--check]

With --check, writes nothing and exits with status 1 if a generated file is missing, differs from
the schema or is no longer produced.
"""
import argparse
import dataclasses
import pathlib
import sys

import jinja2
import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATES = ROOT / "tools" / "templates"

IDENTIFIER_FORMATS = {
    "instance_id", "data_centre_id", "workspace_id", "database_id", "server_id", "session_id",
}
MILLISECONDS_SUFFIX = "_ms"


class SchemaError(Exception):
    """The schema uses a construct that the generator doesn't support."""


@dataclasses.dataclass(frozen=True)
class SchemaSet:
    """A folder of schema files and the module that contains the code generated from them."""

    folder: str
    module: str
    namespace: str

    @property
    def output(self):
        return ROOT / "sycamorespan" / "src" / self.module / "generated"


MESSAGES = SchemaSet("messages", "Messages", "messages")
SETTINGS = SchemaSet("settings", "Settings", "settings")
CONFIGURATION = SchemaSet("configuration", "Configuration", "configuration")


@dataclasses.dataclass(frozen=True)
class CppType:
    """A C++ type, the limits that its decoder checks, and its description in docs/SETTINGS.md."""

    name: str
    limits: str
    documented_type: str


@dataclasses.dataclass(frozen=True)
class Field:
    name: str
    member: str
    type: CppType
    is_required: bool
    initializer: str
    description: str
    default: object
    reference: str


@dataclasses.dataclass(frozen=True)
class Struct:
    name: str
    description: str
    fields: list


@dataclasses.dataclass(frozen=True)
class Enumeration:
    name: str
    description: str
    values: list


@dataclasses.dataclass(frozen=True)
class Topic:
    """The content of one schema file."""

    title: str
    description: str
    structs: list
    enumerations: list
    alternatives: list
    includes: list


def camel_case(name):
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def cpp_string(text):
    return '"' + str(text).replace("\\", "\\\\").replace('"', '\\"') + '"'


def require(condition, message):
    if not condition:
        raise SchemaError(message)


class TopicReader:
    """Reads one schema file and maps its types to C++ types."""

    def __init__(self, path):
        self._path = path
        self._document = yaml.safe_load(path.read_text(encoding="utf-8"))
        self._definitions = self._document["$defs"]
        self._includes = set()

    def read(self):
        structs = []
        enumerations = []
        for name, definition in self._definitions.items():
            if "enum" in definition:
                enumerations.append(
                    Enumeration(name, definition["description"], definition["enum"]))
            else:
                structs.append(self._struct(name, definition))
        alternatives = [self._reference_name(alternative["$ref"])
                        for alternative in self._document.get("oneOf", [])]
        return Topic(self._document["title"], self._document.get("description", ""), structs,
                     enumerations, alternatives, sorted(self._includes))

    def _struct(self, name, definition):
        require(definition.get("additionalProperties") is False,
                f"{self._path}: {name} must set additionalProperties to false")
        properties = definition["properties"]
        required = set(definition["required"])
        require(required <= set(properties),
                f"{self._path}: {name} lists a required field that has no definition")
        fields = [self._field(f"{name}.{field}", field, properties[field], field in required)
                  for field in properties]
        return Struct(name, definition["description"], fields)

    def _field(self, location, name, definition, is_required):
        cpp_type = self._type(location, definition)
        member = camel_case(name)
        if definition.get("format") == "milliseconds":
            require(name.endswith(MILLISECONDS_SUFFIX),
                    f"{self._path}: {location} is in milliseconds, so its name must end in _ms")
            member = camel_case(name.removesuffix(MILLISECONDS_SUFFIX))
        initializer = ""
        if "default" in definition:
            require(not is_required,
                    f"{self._path}: {location} is required and must not have a default")
            initializer = self._initializer(cpp_type, definition["default"])
        elif not is_required:
            cpp_type = dataclasses.replace(cpp_type, name=f"std::optional<{cpp_type.name}>")
        elif cpp_type.name in ("std::uint64_t", "std::int64_t", "double", "bool"):
            initializer = "false" if cpp_type.name == "bool" else "0"
        elif definition.get("format") == "milliseconds":
            initializer = "{}"
        elif "$ref" in definition and self._is_enumeration(definition["$ref"]):
            initializer = "{}"
        reference = definition.get("$ref") or definition.get("items", {}).get("$ref") \
            or self._map_values(definition).get("$ref", "")
        return Field(name, member, cpp_type, is_required, initializer,
                     self._description(definition), definition.get("default"),
                     self._reference_name(reference) if reference else "")

    @staticmethod
    def _map_values(definition):
        values = definition.get("additionalProperties")
        return values if isinstance(values, dict) else {}

    def _description(self, definition):
        return definition.get("description", "")

    @staticmethod
    def _initializer(cpp_type, default):
        if isinstance(default, bool):
            return str(default).lower()
        if isinstance(default, (int, float)):
            return str(default) if "milliseconds" not in cpp_type.name else f"{{{default}}}"
        if isinstance(default, (list, dict)):
            return "{}"
        if cpp_type.limits.startswith("enumeration_limits"):
            return f"{cpp_type.name}::{camel_case(default)}"
        return f"{{{cpp_string(default)}}}"

    def _type(self, location, definition):
        if "$ref" in definition:
            return self._referenced_type(definition["$ref"])
        type_name = definition.get("type")
        handler = getattr(self, f"_{type_name}_type", None)
        require(handler, f"{self._path}: {location} has the unsupported type {type_name}")
        return handler(location, definition)

    def _referenced_type(self, reference):
        name = self._reference_name(reference)
        if self._is_enumeration(reference):
            values = self._definition(reference)["enum"]
            return CppType(name, "enumeration_limits{}",
                           ", ".join(f"`{value}`" for value in values))
        return CppType(name, "object_limits{}", "object")

    def _definition(self, reference):
        file, _, pointer = reference.partition("#/$defs/")
        if not file:
            return self._definitions[pointer]
        self._includes.add(pathlib.Path(file).stem)
        other = yaml.safe_load((self._path.parent / file).read_text(encoding="utf-8"))
        return other["$defs"][pointer]

    def _is_enumeration(self, reference):
        return "enum" in self._definition(reference)

    @staticmethod
    def _reference_name(reference):
        return reference.rpartition("/")[2]

    def _string_type(self, location, definition):
        string_format = definition.get("format")
        if string_format == "socket_address":
            return CppType("std::string", "socket_address_limits{}", "IP:port")
        if string_format == "url":
            return CppType("std::string", "url_limits{}", "http:// or https:// URL")
        require(string_format is None or string_format in IDENTIFIER_FORMATS,
                f"{self._path}: {location} has the unknown format {string_format}")
        minimum = definition.get("minLength", 0)
        maximum = self._bound(location, definition, "maxLength")
        return CppType(string_format or "std::string", f"text_limits{{{minimum}, {maximum}}}",
                       f"string, {minimum} to {maximum} bytes")

    def _integer_type(self, location, definition):
        minimum = self._bound(location, definition, "minimum")
        maximum = self._bound(location, definition, "maximum")
        documented_type = f"integer, {minimum} to {maximum}"
        if definition.get("format") == "milliseconds":
            return CppType("std::chrono::milliseconds", f"unsigned_limits{{{minimum}, {maximum}}}",
                           documented_type + ", in milliseconds")
        if minimum >= 0:
            return CppType("std::uint64_t", f"unsigned_limits{{{minimum}, {maximum}}}",
                           documented_type)
        return CppType("std::int64_t", f"signed_limits{{{minimum}, {maximum}}}", documented_type)

    def _number_type(self, location, definition):
        minimum = self._bound(location, definition, "minimum")
        maximum = self._bound(location, definition, "maximum")
        return CppType("double", f"real_limits{{{minimum}, {maximum}}}",
                       f"number, {minimum} to {maximum}")

    def _boolean_type(self, _place, _definition):
        return CppType("bool", "boolean_limits{}", "true or false")

    def _array_type(self, location, definition):
        maximum = self._bound(location, definition, "maxItems")
        item = self._type(location + "[]", definition["items"])
        return CppType(f"std::vector<{item.name}>", f"array_limits{{{maximum}, {item.limits}}}",
                       f"list of at most {maximum}: {item.documented_type}")

    def _object_type(self, location, definition):
        maximum = self._bound(location, definition, "maxProperties")
        key = self._string_type(location + " keys", definition["propertyNames"])
        item = self._type(location + "{}", definition["additionalProperties"])
        return CppType(f"std::map<{key.name}, {item.name}>",
                       f"map_limits{{{maximum}, {key.limits}, {item.limits}}}",
                       f"map of at most {maximum}: {item.documented_type}")

    def _bound(self, location, definition, name):
        require(name in definition, f"{self._path}: {location} must set {name}")
        return definition[name]


def read_topics(schema_set):
    return [TopicReader(path).read()
            for path in sorted((ROOT / "schema" / schema_set.folder).glob("*.yaml"))]


def environment():
    result = jinja2.Environment(loader=jinja2.FileSystemLoader(TEMPLATES), trim_blocks=True,
                                lstrip_blocks=True, keep_trailing_newline=True,
                                undefined=jinja2.StrictUndefined)
    result.filters["camel_case"] = camel_case
    result.filters["cpp_string"] = cpp_string
    return result


def render_set(templates, schema_set, topics):
    """Yields the path and the text of each generated file of the set."""
    for topic in topics:
        for suffix, template in (("types.h", "types.h.j2"), ("fields.h", "fields.h.j2"),
                                 ("types.cpp", "types.cpp.j2")):
            yield (schema_set.output / f"{topic.title}_{suffix}",
                   templates.get_template(template).render(topic=topic, set=schema_set))


def render_all():
    templates = environment()
    messages = read_topics(MESSAGES)
    settings = read_topics(SETTINGS)
    yield from render_set(templates, MESSAGES, messages)
    for name in ("message.h", "message.cpp", "message_fields.h"):
        yield (MESSAGES.output / name,
               templates.get_template(name + ".j2").render(topics=messages, set=MESSAGES))
    yield from render_set(templates, SETTINGS, settings)
    yield from render_set(templates, CONFIGURATION, read_topics(CONFIGURATION))
    if settings:
        yield (ROOT / "docs" / "SETTINGS.md",
               templates.get_template("settings.md.j2").render(topics=settings))


def stale_files(rendered):
    """Returns the existing generated files that the schema no longer produces."""
    expected = {path for path, _ in rendered}
    return [path for schema_set in (MESSAGES, SETTINGS, CONFIGURATION)
            for path in sorted(schema_set.output.glob("*")) if path not in expected]


def check(rendered):
    differing = [path for path, text in rendered
                 if not path.exists() or path.read_text(encoding="utf-8") != text]
    for path in differing + stale_files(rendered):
        print(f"{path.relative_to(ROOT)}: differs from the schema; run tools/generate.py",
              file=sys.stderr)
    return 1 if differing or stale_files(rendered) else 0


def write(rendered):
    for path, text in rendered:
        path.parent.mkdir(parents=True, exist_ok=True)
        if not path.exists() or path.read_text(encoding="utf-8") != text:
            path.write_text(text, encoding="utf-8")
    for path in stale_files(rendered):
        path.unlink()
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true", help="compare only, write nothing")
    arguments = parser.parse_args()
    try:
        rendered = list(render_all())
    except (SchemaError, yaml.YAMLError, KeyError) as failure:
        print(f"tools/generate.py: {failure!r}", file=sys.stderr)
        return 2
    return check(rendered) if arguments.check else write(rendered)


if __name__ == "__main__":
    sys.exit(main())

"""Generates C++ message and settings code and the settings page from the schema files.

Run without arguments to write the files, with --check to fail when a committed file differs.
"""
import json
import pathlib
import subprocess
import sys

import jinja2

ROOT = pathlib.Path(__file__).resolve().parent.parent
IDS = {
    "instance_id", "workspace_id", "upstream_id", "model_id", "adapter_id", "failure_domain_id",
    "region_id", "request_id", "view_number", "incarnation",
}
SCALARS = {
    "integer": "std::uint64_t", "signed": "std::int64_t", "number": "double", "boolean": "bool",
    "string": "std::string", "duration_ms": "std::chrono::milliseconds",
}


def cpp_type(field):
    """C++ type of one message property."""
    if field["type"] == "array":
        return f"std::vector<{cpp_type(field['items'])}>"
    if field["type"] in IDS:
        return f"core::{field['type']}"
    return SCALARS.get(field["type"], field["type"])


def initialiser(field):
    """Initialiser that gives scalars a defined value."""
    kind = field["type"]
    if kind in ("array", "string") or (kind not in IDS and kind not in SCALARS):
        return ""
    return "{}"


def formatted(text):
    """Text after clang-format with the project's style."""
    return subprocess.run(
        ["clang-format", "--style=file", "--assume-filename=" + str(ROOT / "schema/x.cpp")],
        input=text, capture_output=True, text=True, check=True, cwd=ROOT).stdout


def cpp_default(field):
    """C++ literal of a setting's default."""
    value = field["default"]
    if field["type"] == "boolean":
        return "true" if value else "false"
    if field["type"] == "string":
        return json.dumps(value)
    return str(value)


def range_text(field):
    """What a setting's value must be, for errors and help."""
    if field["type"] == "boolean":
        return "true or false"
    if "minimum" not in field:
        return f"text that matches {field['pattern']}" if "pattern" in field else "any text"
    kind = "a whole number" if field["type"] == "integer" else "a number"
    return f"{kind} between {field['minimum']} and {field['maximum']}"


def bundle_schema():
    """Header that embeds the bundle's JSON Schema."""
    text = (ROOT / "schema/bundle.json").read_text()
    return ("#pragma once\n\nnamespace tarragontrail::config {\n\n/// JSON Schema of the bundle.\n"
            f'inline constexpr const char* bundle_schema_text = R"schema({text})schema";\n\n'
            "} // namespace tarragontrail::config\n")


def outputs():
    """Pairs of path and content for every generated file."""
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(ROOT / "schema"), trim_blocks=True, lstrip_blocks=True,
        keep_trailing_newline=True, undefined=jinja2.StrictUndefined)
    environment.filters.update(cpp_type=cpp_type, initialiser=initialiser, cpp_default=cpp_default,
                               range_text=range_text)
    environment.filters["quoted"] = json.dumps
    environment.filters["shown"] = lambda value: json.dumps(value) if isinstance(value, bool) else str(value)
    messages = json.loads((ROOT / "schema/messages.json").read_text())
    for suffix in ("hpp", "cpp"):
        text = environment.get_template(f"messages.{suffix}.j2").render(schema=messages)
        yield ROOT / f"tarragontrail/wire/generated_messages.{suffix}", formatted(text)
    programs = []
    for path in sorted((ROOT / "schema").glob("settings_*.json")):
        schema = json.loads(path.read_text())
        kind = path.stem.removeprefix("settings_")
        programs.append(schema)
        for suffix in ("hpp", "cpp"):
            text = environment.get_template(f"settings.{suffix}.j2").render(schema=schema, kind=kind)
            yield ROOT / f"tarragontrail/config/generated_{kind}_settings.{suffix}", formatted(text)
    yield ROOT / "tarragontrail/config/generated_bundle_schema.hpp", formatted(bundle_schema())
    yield ROOT / "docs/SETTINGS.md", environment.get_template("settings.md.j2").render(programs=programs)


def main():
    check = "--check" in sys.argv
    stale = []
    for path, content in outputs():
        if path.exists() and path.read_text() == content:
            continue
        if check:
            stale.append(str(path.relative_to(ROOT)))
            continue
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(content)
    if stale:
        sys.exit("generated code is stale, run schema/generate.py: " + " ".join(stale))


if __name__ == "__main__":
    main()

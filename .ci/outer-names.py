#!/usr/bin/env python3
"""Names that leave the process, drawn from the source of every package.

A row of `.ci/outer-names` is `package kind count name`: how many times the package writes or reads the name. The kinds:

- field, value: a serde field or enum variant under its outer name (after `rename` and `rename_all`)
- flag, command, choice: a flag, subcommand or value of the command line, as clap derives it
- text: a string literal in the form of a name: header, path, metric, label, environment variable, settings key, table,
  file name, fixed value of a message
- trace: a field of an event of the trace target, which `hoptiller beliefs` reads

`outer-names.py` compares the list with the source and fails on any difference; `--write` writes the list anew.
"""

import re
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / ".ci" / "outer-names"
CLAP_DERIVES = {"Args", "Parser", "Subcommand", "ValueEnum"}
SERDE_DERIVES = {"Serialize", "Deserialize"}
NAME_LITERAL = re.compile(r"[\w./:@*{}?=&-]*[A-Za-z][\w./:@*{}?=&-]*|[A-Za-z]+\(\{\}(, \{\})*\)")
DERIVE = re.compile(r"#\[derive\(([^)]*)\)\]")
ITEM = re.compile(r"(?:pub(?:\([a-z: ]+\))? )?(struct|enum) (\w+)")


def is_test(path):
    return path.name == "tests.rs" or "tests" in path.parts


def blank_comments(text):
    """The source with comments blanked, string literals kept."""
    token = re.compile(
        r'//[^\n]*|/\*.*?\*/|r(#*)".*?"\1|b?"(?:\\.|[^"\\])*"|b?\'(?:\\.[^\']*|[^\'\\])\'', re.S
    )
    return token.sub(lambda m: " " if m.group().startswith(("//", "/*")) else m.group(), text)


def words(name):
    spaced = re.sub(r"([a-z0-9])([A-Z])|([A-Z])([A-Z][a-z])", r"\1\3_\2\4", name)
    return [word.lower() for word in spaced.split("_") if word]


def apply_case(name, rule):
    """The outer form of an identifier under `rename_all`."""
    if rule is None:
        return name
    parts = words(name)
    return {
        "camelCase": parts[0] + "".join(p.capitalize() for p in parts[1:]),
        "PascalCase": "".join(p.capitalize() for p in parts),
        "snake_case": "_".join(parts),
        "kebab-case": "-".join(parts),
        "lowercase": "".join(parts),
        "UPPERCASE": "".join(parts).upper(),
        "SCREAMING_SNAKE_CASE": "_".join(parts).upper(),
    }[rule]


def closing(text, start):
    """Position after the bracket that closes the one at `start`; string literals are skipped."""
    depth, at = 0, start
    literal = re.compile(r'"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])\'', re.S)
    while at < len(text):
        found = literal.match(text, at)
        if found:
            at = found.end()
            continue
        if text[at] in "([{<":
            depth += 1
        elif text[at] in ")]}" or (text[at] == ">" and text[at - 1] not in "-="):
            depth -= 1
            if depth == 0:
                return at + 1
        at += 1
    raise SystemExit(f"outer-names: no closing bracket after {text[start:start + 60]!r}")


def members(body):
    """Attributes and text of each field or variant of an item's body."""
    at, start, attributes = 0, 0, []
    found = []
    while at < len(body):
        rest = re.compile(r"\s*#\[").match(body, at)
        if rest and not body[start:at].strip():
            end = closing(body, rest.end() - 1)
            attributes.append(body[rest.end():end - 1])
            at = start = end
        elif body[at] in "([{<":
            at = closing(body, at)
        elif body[at] == ",":
            found.append((attributes, body[start:at].strip()))
            at, attributes = at + 1, []
            start = at
        else:
            at += 1
    if body[start:].strip():
        found.append((attributes, body[start:].strip()))
    return found


def serde_attributes(attributes):
    return [attribute for attribute in attributes if attribute.startswith("serde(")]


def serde_rule(attributes, key):
    """The form that `rename_all` or `rename_all_fields` names."""
    for attribute in serde_attributes(attributes):
        found = re.search(rf'\b{key}\s*=\s*"([^"]*)"', attribute)
        if found:
            return found.group(1)
    return None


def serde_names(attributes):
    """The names that `rename` and `alias` give, also those of one direction only."""
    given = re.compile(r'\b(?:rename|alias|serialize|deserialize)\s*=\s*"([^"]*)"')
    return [name for attribute in serde_attributes(attributes) for name in given.findall(attribute)]


def field_name(text):
    found = re.match(r"(?:pub(?:\([a-z: ]+\))? )?(?:r#)?(\w+)\s*:(?!:)", text)
    return found and found.group(1)


def skipped(attributes):
    return any(re.search(r"\b(skip|flatten)\b", attribute) for attribute in serde_attributes(attributes))


def serde_fields(body, rule, rows):
    for attributes, text in members(body):
        name = field_name(text)
        if name and not skipped(attributes):
            for outer in serde_names(attributes) or [apply_case(name, rule)]:
                rows["field", outer] += 1


def serde_item(kind, attributes, body, rows):
    rule = serde_rule(attributes, "rename_all")
    for attribute in serde_attributes(attributes):
        for name in re.findall(r'\b(?:tag|content)\s*=\s*"([^"]*)"', attribute):
            rows["field", name] += 1
    if kind == "struct":
        serde_fields(body, rule, rows)
        return
    for variant, text in members(body):
        name = re.match(r"\w+", text)
        if not name or skipped(variant):
            continue
        for outer in serde_names(variant) or [apply_case(name.group(), rule)]:
            rows["value", outer] += 1
        opening = re.match(r"\w+\s*\{", text)
        if opening:
            fields_rule = serde_rule(variant, "rename_all") or serde_rule(attributes, "rename_all_fields")
            serde_fields(text[opening.end():text.rindex("}")], fields_rule, rows)


def clap_item(kind, derives, body, rows):
    """Flags of a struct; choices of a value enum; subcommands of another, and the flags of each."""
    for attributes, text in members(body):
        shown = " ".join(a for a in attributes if re.match(r"(arg|command|clap|value)\b", a))
        if kind == "struct":
            name = field_name(text)
            if name and re.search(r"\blong\b", shown):
                given = re.search(r'\blong\s*=\s*"([^"]*)"', shown)
                rows["flag", "--" + (given.group(1) if given else name.replace("_", "-"))] += 1
            continue
        name = re.match(r"\w+", text)
        if not name:
            continue
        given = re.search(r'\bname\s*=\s*"([^"]*)"', shown)
        outer = given.group(1) if given else "-".join(words(name.group()))
        rows["choice" if "ValueEnum" in derives else "command", outer] += 1
        opening = re.match(r"\w+\s*\{", text)
        if opening:
            clap_item("struct", derives, text[opening.end():text.rindex("}")], rows)


def items(text):
    """Kind, derives, attributes and body of each item that derives something."""
    for found in DERIVE.finditer(text):
        derives = {d.split("::")[-1].strip() for d in found.group(1).split(",")}
        at, attributes = found.end(), []
        while True:
            more = re.compile(r"\s*#\[").match(text, at)
            if not more:
                break
            end = closing(text, more.end() - 1)
            attributes.append(text[more.end():end - 1])
            at = end
        item = ITEM.match(text[at:].lstrip())
        if item is None:  # the template in a macro
            continue
        at = text.index(item.group(), at)
        before = text[:found.start()].rstrip()
        while before.endswith("]") and "#[" in before[before.rfind("\n") + 1:]:
            line = before[before.rfind("\n") + 1:].strip()
            attributes.append(line[2:-1])
            before = before[:before.rfind("\n") + 1].rstrip()
        opening = re.compile(r"[^;{(]*([;{(])").match(text, at + len(item.group()))
        if opening.group(1) == "{":
            start = opening.end() - 1
            yield item.group(1), derives, attributes, text[start + 1:closing(text, start) - 1]


def settings_items(text):
    """Attributes and body of each struct that the macro `settings!` of `coordination` declares; its fields are JSON keys."""
    for found in re.finditer(r"\bsettings! \{", text):
        start = found.end() - 1
        declaration = text[start + 1:closing(text, start) - 1]
        opening = declaration.index("{", declaration.index("pub struct"))
        body = declaration[opening + 1:closing(declaration, opening) - 1]
        yield re.sub(r"(?<!#)\[\w+\] (?=\w+:)", "", body)


def literals(text, rows):
    """String literals in the form of a name, with placeholders emptied."""
    # Attributes are read with their items; messages to people are no names.
    text = re.sub(r"#!?\[(?:serde|error|doc|cfg|expect|allow)\b[^\]]*\]", " ", text)
    text = re.sub(r"\b(?:panic|assert|assert_eq|debug_assert|unreachable|env|include_str)!\([^;]*?\)", " ", text)
    for found in re.finditer(r'"((?:\\.|[^"\\])*)"', text, re.S):
        name = re.sub(r"\{[^}]*\}", "{}", found.group(1))
        if len(name) > 1 and NAME_LITERAL.fullmatch(name):
            rows["text", name] += 1


def traces(text, rows):
    """Fields of the events of the trace target."""
    for found in re.finditer(r"tracing::\w+!\(", text):
        call = text[found.end():closing(text, found.end() - 1) - 1]
        if "TRACE_TARGET" not in call:
            continue
        for _, member in members(call):
            name = re.match(r"[?%]?(\w+)\s*(?:=|$)", member)
            if name:
                rows["trace", name.group(1)] += 1


def package_rows(folder):
    rows = Counter()
    for path in sorted((folder / "src").rglob("*.rs")):
        if is_test(path.relative_to(folder)):
            continue
        text = blank_comments(path.read_text())
        for kind, derives, attributes, body in items(text):
            if derives & SERDE_DERIVES:
                serde_item(kind, attributes, body, rows)
            if derives & CLAP_DERIVES:
                clap_item(kind, derives, body, rows)
        for body in settings_items(text):
            serde_fields(body, None, rows)
        literals(text, rows)
        traces(text, rows)
    return rows


def current():
    lines = []
    for folder in sorted((ROOT / "crates").iterdir()):
        rows = package_rows(folder)
        lines += [f"{folder.name} {kind} {count} {name}" for (kind, name), count in sorted(rows.items())]
    return lines


def main():
    found = current()
    if sys.argv[1:] == ["--write"]:
        LIST.write_text("".join(line + "\n" for line in found))
        return 0
    listed = [line for line in LIST.read_text().splitlines() if line and not line.startswith("#")]
    gone, new = sorted(set(listed) - set(found)), sorted(set(found) - set(listed))
    for line in gone:
        print(f"outer-names: listed, not in the source: {line}", file=sys.stderr)
    for line in new:
        print(f"outer-names: in the source, not listed: {line}", file=sys.stderr)
    if not gone and not new:
        print(f"outer-names: {len(found)} names, as listed")
    return 1 if gone or new else 0


if __name__ == "__main__":
    sys.exit(main())

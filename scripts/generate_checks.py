"""Generates the validators in src/foxtaildrum/checks.py from schema.json."""

import json
import re
import sys

import fastjsonschema

CHECKED_RECORDS = (
    "Settings",
    "Announcement",
    "Route",
    "Pool",
    "Organisation",
    "Limits",
)
HEADER = '"""Validators generated from schema.json with scripts/generate.sh."""\n'
IMPORTS = "from .exceptions import SchemaMismatchError\n"


def build_schema(path: str) -> dict:
    """Return a schema with one property for each record to validate."""
    with open(path, encoding="utf-8") as file:
        defs = json.load(file)["$defs"]
    records = {name: {"$ref": f"#/$defs/{name}"} for name in CHECKED_RECORDS}
    return {"type": "object", "properties": records, "$defs": defs}


def main(schema_path: str, out_path: str) -> None:
    """Write the validators of ``schema_path`` to ``out_path``."""
    code = fastjsonschema.compile_to_code(build_schema(schema_path), use_default=False)
    code = code[code.index("REGEX_PATTERNS") :]
    code = re.sub(r"(?m)^NoneType = .*$", "", code)
    code = re.sub(r"\bNoneType\b", "type(None)", code)
    # The generated code only detects that a value is invalid; validation.py lists the problems.
    code = re.sub(r"raise JsonSchemaValueException\(.*", "raise SchemaMismatchError", code)
    code = re.sub(r"(?m)^def validate\(.*?(?=^def )", "", code, flags=re.DOTALL)
    code = code.replace("validate____defs_", "check_")
    code = re.sub(r", Decimal\b", "", code)
    with open(out_path, "w", encoding="utf-8") as file:
        file.write(f"{HEADER}\nimport re\n\n{IMPORTS}\n{code}")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])

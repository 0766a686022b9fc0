"""Text of records to a tree, by a lark grammar; commas are put in at line ends, as CUE does.

The subset: fields, optional fields, pattern fields with an alias, definitions, nested labels, closed and open
structs, lists, references, `&`, `|` with `*default`, bounds, `=~`, sums and products, comments.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

GRAMMAR = r"""
start: [_decls]
_decls: decl (_COMMA decl)* _COMMA?
?decl: field | embed | open
embed: expr
open: _DOTS
field: label QUERY? ":" (field_in | expr)
field_in: field
label: IDENT -> plain | WORD -> plain | DEF -> plain | STRING -> quoted
     | "[" [IDENT "="] expr "]" -> pattern
?expr: first ("|" first)* -> either
first: STAR? all
?all: sum ("&" sum)* -> both
?sum: product (SIGN product)* -> arith
?product: unary (FACTOR unary | STAR unary)* -> arith
?unary: COMPARE unary -> bound | SIGN unary -> signed | primary
?primary: IDENT ("." (IDENT | DEF))* -> ref | DEF ("." IDENT)* -> ref
     | NUMBER -> number | STRING -> string | WORD -> word
     | "{" [_decls] "}" -> struct | "[" "]" -> many | "[" expr "]" -> many
     | "[" element _COMMA [_elements] "]" -> many | "[" rest "]" -> many
     | "(" expr ")" -> paren
_elements: element (_COMMA element)* _COMMA?
?element: expr | rest
rest: _DOTS expr?
WORD.3: /(true|false|null|string|int|number|bool|_)(?![A-Za-z0-9_])/
DEF: /#[A-Za-z_][A-Za-z0-9_]*/
IDENT: /[A-Za-z_][A-Za-z0-9_]*/
NUMBER: /[0-9][0-9_]*(\.[0-9]+)?([eE][-+]?[0-9]+)?/
STRING: /"([^"\\\n]|\\.)*"/
COMPARE: ">=" | "<=" | "!=" | "=~" | ">" | "<"
STAR: "*"
SIGN: "+" | "-"
FACTOR: "/"
QUERY: "?"
_COMMA: ","
_DOTS: "..."
NEWLINE: /\n/
COMMENT: /\/\/[^\n]*/
%ignore COMMENT
%ignore /[ \t\r]+/
"""


@dataclass(frozen=True, slots=True)
class Position:
    """Where something stands: file, line and column from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True, eq=False)
class Tree:
    """One expression. Kinds and their parts are those of the grammar's names."""

    kind: str
    at: Position
    parts: tuple[Any, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Field:
    """kind: 'field', 'optional' or 'pattern'; `label` is text, or a pattern's expression."""

    kind: str
    label: Any
    alias: str
    value: Tree
    at: Position


class RecordSyntaxError(Exception):
    """The text is no record; the message names file, line and column."""


class _Commas:
    """A comma stands at each line end that follows something complete."""

    always_accept = ("NEWLINE",)
    ends = frozenset({"IDENT", "DEF", "STRING", "NUMBER", "WORD", "RBRACE", "RSQB", "RPAR", "_DOTS"})

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        last = ""
        for token in stream:
            if token.type != "NEWLINE":
                last = token.type
                yield token
            elif last in self.ends:
                last = "_COMMA"
                yield Token.new_borrow_pos("_COMMA", ",", token)


def _alone(parts: list[Any]) -> Tree | None:
    return parts[0] if len(parts) == 1 else None


@v_args(meta=True)
class _Build(Transformer[Token, Any]):
    def __init__(self, file: str) -> None:
        super().__init__()
        self.file = file

    def at(self, meta: Any) -> Position:
        return Position(self.file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def start(self, meta: Any, parts: list[Any]) -> Tree:
        return self.struct(meta, parts)

    def struct(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("struct", self.at(meta), tuple(part for part in parts if part is not None))

    def embed(self, meta: Any, parts: list[Any]) -> Any:
        return parts[0]

    def open(self, meta: Any, parts: list[Any]) -> str:
        return "..."

    def plain(self, meta: Any, parts: list[Any]) -> tuple[str, Any, str]:
        return "field", str(parts[0]), ""

    def quoted(self, meta: Any, parts: list[Any]) -> tuple[str, Any, str]:
        return "field", json.loads(parts[0]), ""

    def pattern(self, meta: Any, parts: list[Any]) -> tuple[str, Any, str]:
        return "pattern", parts[-1], str(parts[0]) if len(parts) > 1 and parts[0] is not None else ""

    def field_in(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("struct", parts[0].at, (parts[0],))

    def field(self, meta: Any, parts: list[Any]) -> Field:
        kind, label, alias = parts[0]
        if any(isinstance(part, Token) for part in parts[1:-1]):
            kind = "optional"
        return Field(kind, label, alias, parts[-1], self.at(meta))

    def first(self, meta: Any, parts: list[Any]) -> tuple[bool, Tree]:
        return len(parts) > 1, parts[-1]

    def either(self, meta: Any, parts: list[Any]) -> Tree:
        if len(parts) == 1 and not parts[0][0]:
            tree: Tree = parts[0][1]
            return tree
        return Tree("either", self.at(meta), tuple(parts))

    def both(self, meta: Any, parts: list[Any]) -> Tree:
        return _alone(parts) or Tree("both", self.at(meta), tuple(parts))

    def arith(self, meta: Any, parts: list[Any]) -> Tree:
        return _alone(parts) or Tree("arith", self.at(meta), tuple(parts))

    def bound(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("bound", self.at(meta), (str(parts[0]), parts[1]))

    def signed(self, meta: Any, parts: list[Any]) -> Tree:
        zero = Tree("literal", self.at(meta), (0,))
        return Tree("arith", self.at(meta), (zero, parts[0], parts[1]))

    def ref(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("ref", self.at(meta), tuple(str(part) for part in parts))

    def number(self, meta: Any, parts: list[Any]) -> Tree:
        text = parts[0].replace("_", "")
        value: int | float = int(text) if text.isdigit() else float(text)
        return Tree("literal", self.at(meta), (value,))

    def string(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("literal", self.at(meta), (json.loads(parts[0]),))

    def word(self, meta: Any, parts: list[Any]) -> Tree:
        text = str(parts[0])
        if text in ("true", "false", "null"):
            return Tree("literal", self.at(meta), ({"true": True, "false": False, "null": None}[text],))
        return Tree("type", self.at(meta), (text,))

    def rest(self, meta: Any, parts: list[Any]) -> Tree:
        inner = parts[0] if parts and parts[0] is not None else Tree("type", self.at(meta), ("_",))
        return Tree("rest", self.at(meta), (inner,))

    def many(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("many", self.at(meta), tuple(part for part in parts if part is not None))

    def paren(self, meta: Any, parts: list[Any]) -> Any:
        return parts[0]


_lark = Lark(GRAMMAR, parser="lalr", postlex=_Commas(), propagate_positions=True, maybe_placeholders=False)


def parse(text: str, file: str) -> Tree:
    """The text's struct. Raises RecordSyntaxError."""
    try:
        built: Tree = _Build(file).transform(_lark.parse(text + "\n"))
        return built
    except (UnexpectedCharacters, UnexpectedToken) as trouble:
        line, column = trouble.line, trouble.column
        if isinstance(trouble, UnexpectedToken) and trouble.token.type == "$END":
            raise RecordSyntaxError(f"{file}: the text ends within a record") from trouble
        shown = text.splitlines()[line - 1].strip() if 0 < line <= len(text.splitlines()) else ""
        raise RecordSyntaxError(f"{file}:{line}:{column}: not understood here: {shown}") from trouble
    except UnexpectedInput as trouble:
        raise RecordSyntaxError(f"{file}: {trouble}") from trouble
